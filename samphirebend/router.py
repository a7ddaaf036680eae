"""Routing decisions of this host for requests and look-ups.

The functions in `routing` and `peerchoice` choose upstreams, peers and hosts
from values that they are given. This module collects these values from
membership, limits, link budgets and the manifest.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import xxhash

from .callerblocks import parse_ipv4
from .exchange import Pacer
from .job import Job
from .ledger import Ledger
from .limits import Limits
from .links import LinkBudgets
from .lookup import MAX_ALTERNATES, Candidate
from .manifest import Host, Manifest
from .membership import Membership, PeerState
from .peerchoice import NEAR_DELAY_S, RelayRequest, choose_peer
from .relayhistory import RelayCandidate, RelayHistory
from .reservation import TrunkReservation
from .routing import HEADROOM, HostOption, choose_upstream, rank_hosts
from .serverrequest import ServerRequest
from .slotusage import SlotUsage
from .upstreamstate import UpstreamStates

MS_PER_S: Final = 1000.0
# Time that a request of a service is assumed to hold a slot until one is
# measured.
DEFAULT_HOLDING_TIME_S: Final = 0.1
# Time for which the sums of this host's slots over all services are cached.
SLOT_TOTALS_TTL_S: Final = 0.05
# Time for which the relay candidates are cached. Each peer sends a heartbeat
# every 0.5 s, so that candidates of this age rarely lead to another decision.
RELAY_CANDIDATES_TTL_S: Final = 0.005


class LinkPacer:
    """Paces the bytes sent to a region or read from callers in it."""

    __slots__ = ("_budgets", "_clock", "_reading", "_region")

    def __init__(
        self,
        budgets: LinkBudgets,
        region: str,
        reading: bool,
        clock: Callable[[], float],
    ) -> None:
        self._budgets = budgets
        self._region = region
        self._reading = reading
        self._clock = clock

    def __call__(self, size: int) -> float:
        """Reserve bytes; return the seconds to wait before passing them on."""
        reserve = (
            self._budgets.reserve_receive
            if self._reading
            else self._budgets.reserve_send
        )
        return reserve(self._region, size, self._clock())

    def piece_bytes(self) -> int:
        """Return the maximum size of one reservation."""
        return self._budgets.piece_bytes(self._region, self._reading)


class Router:
    """Chooses upstreams and peers for requests, and hosts for callers."""

    __slots__ = (
        "_budgets",
        "_cached_candidates",
        "_clock",
        "_holding_times_s",
        "_host",
        "_ledger",
        "_limits",
        "_manifest",
        "_membership",
        "_own_slots",
        "_region",
        "_relay_histories",
        "_rng",
        "_slot_totals",
        "_slot_totals_until",
        "_states",
        "_tiers",
        "reservation",
        "stopping",
    )

    def __init__(
        self,
        host: str,
        region: str,
        membership: Membership,
        limits: Limits,
        states: UpstreamStates,
        budgets: LinkBudgets,
        ledger: Ledger,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._region = region
        self._membership = membership
        self._limits = limits
        self._states = states
        self._budgets = budgets
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        # Keyed by whether the relayed requests are overflow: for these, peers
        # in other regions report a separate count of free slots.
        self._relay_histories = {False: RelayHistory(), True: RelayHistory()}
        self.reservation = TrunkReservation()
        self._manifest: Manifest | None = None
        # Tiers of hosts with equal delay, nearest first, keyed by the callers'
        # region. Each tier has a delay in seconds and the host names.
        self._tiers: dict[str, list[tuple[float, list[str]]]] = {}
        # Service and time of the last count of this host's slots, and the free
        # and all slots of the service that were counted.
        self._own_slots: tuple[tuple[str, float], tuple[int, int]] = (("", 0.0), (0, 0))
        self._slot_totals = (0, 0)  # free and all slots over all services
        self._slot_totals_until = 0.0  # expiry time of the totals
        # Seconds for which a request holds a slot, keyed by service. Cleared
        # when the totals expire.
        self._holding_times_s: dict[str, float] = {}
        # Expiry time and relay candidates, keyed by service and by whether the
        # request is overflow.
        self._cached_candidates: dict[
            tuple[str, bool], tuple[float, list[RelayCandidate]]
        ] = {}
        self.stopping = False  # whether look-ups leave out this host

    def apply(self, manifest: Manifest) -> None:
        """Use the manifest in force."""
        self._manifest = manifest
        self._tiers.clear()
        self._cached_candidates.clear()

    # Decisions for requests.

    def upstream_for(self, slot_usages: list[SlotUsage], now: float) -> str | None:
        """Return the best upstream with a free slot, or None."""
        measure = self._manifest.measure if self._manifest else HEADROOM
        return choose_upstream(slot_usages, self._states, measure, now, self._rng)

    def own_free(self, service: str, now: float) -> int:
        """Return the free slots of a service at this host.

        Slots withheld from ejected or cold upstreams do not count. Otherwise
        peers would relay requests to a host that has to refuse them.
        """
        allowed = sum(
            max(
                0,
                self._states.limit(usage.upstream, usage.limit, now) - usage.in_flight,
            )
            for usage in self._limits.slot_usages(service)
        )
        return min(allowed, self._limits.free(service))

    def free_for_relay(self, req: ServerRequest, service: str) -> int:
        """Return the free slots to report to a relaying host."""
        now = self._clock()
        if self.is_overflow(req):
            return self.overflow_free(service, now)
        return self.own_free(service, now)

    def overflow_free(self, service: str, now: float) -> int:
        """Return the free slots that overflow requests may use."""
        return self.reservation.available(service, self.own_free(service, now), now)

    def is_overflow(self, req: ServerRequest) -> bool:
        """Return whether another region relayed a request because it is full.

        A request that could have stayed in its region does not count, because
        its region can run it if it is refused here.
        """
        if req.header_text(b"relay-overflow") is None:
            return False
        return self.sender_region(req) not in ("", self._region)

    def _own_slot_totals(self, manifest: Manifest, now: float) -> tuple[int, int]:
        """Return the free and all slots of this host over all services.

        Counting goes over all upstreams of the host, so the sums are cached
        for `SLOT_TOTALS_TTL_S`. They are compared with the counts in the
        peers' heartbeats, which are older.
        """
        if now >= self._slot_totals_until:
            self._slot_totals_until = now + SLOT_TOTALS_TTL_S
            self._holding_times_s.clear()
            self._slot_totals = (
                sum(self.own_free(name, now) for name in manifest.services),
                sum(self._limits.total(name) for name in manifest.services),
            )
        return self._slot_totals

    def peer_for(self, job: Job, own_free: int, now: float) -> str | None:
        """Return the peer to relay the job to, None to keep it here."""
        manifest = self._manifest
        if manifest is None:
            return None
        service = job.service
        size = job.size_hint or (0 if job.body is not None else service.max_body_bytes)
        request = RelayRequest(
            service.name,
            size,
            service.idempotent,
            self._region,
            own_free,
            self._limits.total(service.name),
            *self._own_slot_totals(manifest, now),
            self._holding_time_s(service.name),
        )
        candidates = self._relay_candidates(manifest, service.name, job.overflow, now)
        if job.tried:
            candidates = [peer for peer in candidates if peer.host not in job.tried]
        if job.avoid_far_relays:
            candidates = [peer for peer in candidates if peer.delay_s <= NEAR_DELAY_S]
        return choose_peer(
            request,
            candidates,
            self._relay_histories[job.overflow],
            manifest.measure,
            now,
            self._rng,
        )

    def _holding_time_s(self, service: str) -> float:
        """Return the seconds for which a request of a service holds a slot.

        Cached as long as the sums of slots, because the mean goes over all
        upstreams.
        """
        if service not in self._holding_times_s:
            measured = self._states.service_latency_s(service)
            self._holding_times_s[service] = measured or DEFAULT_HOLDING_TIME_S
        return self._holding_times_s[service]

    def _relay_candidates(
        self, manifest: Manifest, service: str, overflow: bool, now: float
    ) -> list[RelayCandidate]:
        """Return the live peers that are not stopping, as relay candidates.

        The candidates are cached for `RELAY_CANDIDATES_TTL_S`.
        """
        until, candidates = self._cached_candidates.get(
            (service, overflow), (-math.inf, [])
        )
        if now >= until:
            candidates = self._find_relay_candidates(manifest, service, overflow, now)
            self._cached_candidates[(service, overflow)] = (
                now + RELAY_CANDIDATES_TTL_S,
                candidates,
            )
        return candidates

    def _find_relay_candidates(
        self, manifest: Manifest, service: str, overflow: bool, now: float
    ) -> list[RelayCandidate]:
        candidates = []
        for view in self._membership.live(now):
            configured = manifest.hosts.get(view.host)
            if configured is None or view.stopping:
                continue
            region = configured.region
            # Peers in other regions reserve slots for their local requests.
            reservation_applies = overflow and region != self._region
            candidates.append(
                RelayCandidate(
                    view.host,
                    region,
                    view.overflow_free(service)
                    if reservation_applies
                    else view.free(service),
                    view.total(service),
                    sum(load.free for load in view.loads.values()),
                    sum(load.total for load in view.loads.values()),
                    view.heard_at,
                    self._delay_s(self._region, region),
                    self._budgets.backlog(region, now),
                )
            )
        return candidates

    def _delay_s(self, region: str, other: str) -> float:
        if region == other or self._manifest is None:
            return 0.0
        link = self._manifest.link(region, other)
        return link.delay_ms / MS_PER_S if link is not None else float("inf")

    def record_relay(self, job: Job, host: str) -> None:
        """Record that a request is relayed to a peer."""
        history = self._relay_histories[job.overflow]
        history.record_relay(host, job.service.name, self._clock())

    def record_relay_result(
        self, job: Job, host: Host, accepted: bool, free: int | None
    ) -> None:
        """Record whether a peer accepted a relayed request.

        `free` is the number of free slots that the peer reported in its
        response. After a refusal over a long link, the job is not relayed over
        a long link again: that could delay a refusal to the caller beyond the
        time limit.
        """
        service, history = job.service.name, self._relay_histories[job.overflow]
        now = self._clock()
        if free is not None:
            history.record_reported_free(host.name, service, free, now)
        if not accepted:
            history.record_refused(host.name, service, now)
            far = self._delay_s(self._region, host.region) > NEAR_DELAY_S
            job.avoid_far_relays = job.avoid_far_relays or far

    def host_for_suspect(self, job: Job, now: float) -> str:
        """Return the only host that may run a request suspected of crashes.

        The host is chosen by rendezvous hashing over the live hosts that have
        upstreams of the service. Hosts with the same membership view agree.
        """
        service = job.service.name
        hosts = [
            view.host
            for view in self._membership.live(now)
            if view.total(service) and not view.stopping
        ]
        if self._limits.total(service) and not self.stopping:
            hosts.append(self._host)
        return max(
            hosts or [self._host],
            key=lambda host: xxhash.xxh3_64_intdigest(
                f"{job.fingerprint}/{host}".encode()
            ),
        )

    # Pacing of bytes sent to and read from other regions.

    def pacer_to(self, region: str) -> Pacer | None:
        """Return the pacer of sends to a region, None for this region."""
        if region == self._region:
            return None
        return LinkPacer(self._budgets, region, False, self._clock)

    def answer_pacer(self, req: ServerRequest) -> Pacer | None:
        """Return the pacer of the response to a request's sender, or None."""
        region = self.sender_region(req)
        return self.pacer_to(region) if region else None

    def read_pacer(self, req: ServerRequest) -> Pacer | None:
        """Return the pacer of reads from a caller in another region, or None.

        Bytes of a relayed request are paced by the host that sends them.
        """
        if req.header_text(b"relay-host"):
            return None
        region = self.region_of_caller(req.peer_ip)
        if not region or region == self._region:
            return None
        return LinkPacer(self._budgets, region, True, self._clock)

    def sender_region(self, req: ServerRequest) -> str:
        """Return the region that a request was sent from, empty if unknown."""
        relay_host = req.header_text(b"relay-host")
        if relay_host and self._manifest is not None:
            configured = self._manifest.hosts.get(relay_host)
            return configured.region if configured is not None else ""
        return self.region_of_caller(req.peer_ip)

    def region_of_caller(self, ip: str) -> str:
        """Return the region of a caller's address, by default this region."""
        if self._manifest is None:
            return self._region
        address = parse_ipv4(ip)
        if address is None:
            return self._region
        return self._manifest.caller_blocks.find(address) or self._region

    # Decisions for look-ups.

    def lookup_candidates(
        self, service: str, region: str, now: float
    ) -> list[Candidate]:
        """Return live hosts for callers of a region, best first.

        Tiers of increasing delay are added until there are enough hosts to
        fill an answer.
        """
        manifest = self._manifest
        if manifest is None:
            return []
        options: list[HostOption] = []
        for delay_s, names in self._tiers_from(manifest, region):
            for name in names:
                in_region = manifest.hosts[name].region == region
                option = self._host_option(name, service, in_region, delay_s, now)
                if option is not None and not option.stopping:
                    options.append(option)
            if len(options) > MAX_ALTERNATES:
                break
        ranked = rank_hosts(options, self._rng)[: MAX_ALTERNATES + 1]
        return [self._lookup_candidate(manifest, name, now) for name in ranked]

    def _tiers_from(
        self, manifest: Manifest, region: str
    ) -> list[tuple[float, list[str]]]:
        """Return tiers of hosts by delay from a region, its own hosts first.

        Cached until the next manifest, because computing the tiers goes over
        all configured hosts, of which there may be thousands.
        """
        if region not in self._tiers:
            tiers: dict[tuple[bool, float], list[str]] = {}
            for other in manifest.regions:
                key = (other != region, self._delay_s(region, other))
                tiers.setdefault(key, []).extend(manifest.hosts_of(other))
            self._tiers[region] = [(key[1], tiers[key]) for key in sorted(tiers)]
        return self._tiers[region]

    def _host_option(
        self, name: str, service: str, in_region: bool, delay_s: float, now: float
    ) -> HostOption | None:
        """Return a host as a look-up option, None if it is not live."""
        if name == self._host:
            return self._own_option(service, in_region, delay_s, now)
        view = self._membership.peer(name)
        if view is None or view.state(now) is not PeerState.LIVE:
            return None
        free, total = view.free(service), view.total(service)
        return HostOption(name, in_region, delay_s, free, total, view.stopping)

    def _own_option(
        self, service: str, in_region: bool, delay_s: float, now: float
    ) -> HostOption:
        if self._own_slots[0] != (service, now):
            # Cached for the other look-up answers that are drawn at this time.
            slots = self.own_free(service, now), self._limits.total(service)
            self._own_slots = ((service, now), slots)
        free, total = self._own_slots[1]
        return HostOption(self._host, in_region, delay_s, free, total, self.stopping)

    def _lookup_candidate(self, manifest: Manifest, name: str, now: float) -> Candidate:
        address = str(manifest.hosts[name].entry)
        view = self._membership.peer(name)
        if view is None or name == self._host:
            ledger = self._ledger
            return Candidate(name, address, ledger.incarnation, ledger.epoch(now))
        return Candidate(name, address, view.incarnation, view.key_epoch)
