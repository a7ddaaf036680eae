"""Binds the pure routing decisions to what this host knows.

Collects the figures that `routing` asks for from membership, limits, link
budgets and the manifest, and answers the questions of `dispatch` and `lookup`.
The rules themselves are in `routing`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import xxhash

from .exchange import Pacer
from .httpserver import ServerRequest
from .job import Job
from .ledger import Ledger
from .limits import Limits
from .links import LinkBudgets
from .lookup import Candidate
from .manifest import Host, Manifest
from .membership import Membership, PeerView
from .room import Room
from .routing import (
    HEADROOM,
    NEAR_DELAY_S,
    HostOption,
    PeerOption,
    RelayLog,
    RelayRequest,
    ShiftLimiter,
    choose_peer,
    choose_upstream,
    rank_hosts,
)
from .upstreamstate import UpstreamStates

MS_PER_S: Final = 1000.0


class LinkPacer:
    """Pacer of bytes to a region, or read from callers that are in it."""

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
        """Reserve the bytes; return the seconds to wait."""
        reserve = self._budgets.read_delay if self._reading else self._budgets.delay
        return reserve(self._region, size, self._clock())

    def piece_bytes(self) -> int:
        """Return the most bytes of one call."""
        return self._budgets.piece_bytes(self._region, self._reading)


class Router:
    """Answers where requests and callers should go."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_host",
        "_ledger",
        "_limits",
        "_manifest",
        "_membership",
        "_region",
        "_relay_log",
        "_rng",
        "_shift",
        "_states",
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
        self._relay_log = RelayLog()
        self._shift = ShiftLimiter()
        self._manifest: Manifest | None = None
        self.stopping = False  # look-ups no longer name this host

    def apply(self, manifest: Manifest) -> None:
        """Follow the manifest in force."""
        self._manifest = manifest

    # For requests.

    def upstream_for(self, rooms: list[Room], now: float) -> str | None:
        """Return the upstream with a free slot that suits best, or None."""
        measure = self._manifest.measure if self._manifest else HEADROOM
        return choose_upstream(rooms, self._states, measure, now, self._rng)

    def peer_for(self, job: Job, own_free: int, now: float) -> str | None:
        """Return the peer to relay the job to, or None to keep it."""
        manifest = self._manifest
        if manifest is None or (own_free > 0 and manifest.measure != HEADROOM):
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
        )
        options = self._peer_options(manifest, job, now)
        return choose_peer(
            request,
            options,
            self._relay_log,
            self._shift,
            manifest.measure,
            now,
            self._rng,
        )

    def _peer_options(
        self, manifest: Manifest, job: Job, now: float
    ) -> list[PeerOption]:
        options = []
        service = job.service.name
        for view in self._membership.live(now):
            configured = manifest.hosts.get(view.host)
            if configured is None or view.stopping or view.host in job.tried:
                continue
            region = configured.region
            options.append(
                PeerOption(
                    view.host,
                    region,
                    view.free(service),
                    view.total(service),
                    view.heard_at,
                    self._delay_s(self._region, region),
                    self._budgets.backlog(region, now),
                )
            )
        return options

    def _delay_s(self, region: str, other: str) -> float:
        if region == other or self._manifest is None:
            return 0.0
        link = self._manifest.link(region, other)
        return link.delay_ms / MS_PER_S if link is not None else float("inf")

    def note_relay(self, host: str, service: str) -> None:
        """Record that a request goes to a peer."""
        self._relay_log.note_relay(host, service, self._clock())

    def note_relay_result(self, host: Host, accepted: bool) -> None:
        """Record whether a peer had a slot for a relayed request."""
        if self._delay_s(self._region, host.region) > NEAR_DELAY_S:
            self._shift.note_result(host.region, accepted, self._clock())

    def runner_of_suspect(self, job: Job, now: float) -> str:
        """Return the only host that may run a request suspected of crashes.

        Rendezvous hashing over the live hosts that have upstreams of the
        service gives all hosts the same answer while they hear each other.
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

    # Pacing of bytes that leave the region.

    def pacer_to(self, region: str) -> Pacer | None:
        """Return the pacer of sends to a region, None within the own region."""
        if region == self._region:
            return None
        return LinkPacer(self._budgets, region, False, self._clock)

    def answer_pacer(self, req: ServerRequest) -> Pacer | None:
        """Return the pacer of the answer to a request's sender."""
        region = self.sender_region(req)
        return self.pacer_to(region) if region else None

    def read_pacer(self, req: ServerRequest) -> Pacer | None:
        """Return the pacer of reads from a caller; relays pace their own sends."""
        if req.text(b"relay-host"):
            return None
        region = self.region_of_caller(req.peer_ip)
        if not region or region == self._region:
            return None
        return LinkPacer(self._budgets, region, True, self._clock)

    def sender_region(self, req: ServerRequest) -> str:
        """Return the region that a request came from, empty if unknown."""
        relay_host = req.text(b"relay-host")
        if relay_host and self._manifest is not None:
            configured = self._manifest.hosts.get(relay_host)
            return configured.region if configured is not None else ""
        return self.region_of_caller(req.peer_ip)

    def region_of_caller(self, _ip: str) -> str:
        """Return the region of a caller's address, by default the own region."""
        return self._region

    # For look-ups.

    def lookup_order(self, service: str, region: str, now: float) -> list[Candidate]:
        """Return live hosts for callers of a region, drawn with the best first."""
        manifest = self._manifest
        if manifest is None:
            return []
        views = {view.host: view for view in self._membership.live(now)}
        options = []
        for host in manifest.hosts.values():
            in_region = host.region == region
            delay_s = self._delay_s(region, host.region)
            if host.name == self._host:
                options.append(self._own_option(service, in_region, delay_s))
            elif host.name in views:
                view = views[host.name]
                options.append(
                    HostOption(
                        host.name,
                        in_region,
                        delay_s,
                        view.free(service),
                        view.total(service),
                        view.stopping,
                    )
                )
        ranked = rank_hosts(options, self._rng)
        return [self._candidate(manifest, name, views, now) for name in ranked]

    def _own_option(self, service: str, in_region: bool, delay_s: float) -> HostOption:
        return HostOption(
            self._host,
            in_region,
            delay_s,
            self._limits.free(service),
            self._limits.total(service),
            self.stopping,
        )

    def _candidate(
        self, manifest: Manifest, name: str, views: dict[str, PeerView], now: float
    ) -> Candidate:
        address = str(manifest.hosts[name].entry)
        view = views.get(name)
        if view is None:
            ledger = self._ledger
            return Candidate(name, address, ledger.incarnation, ledger.epoch(now))
        return Candidate(name, address, view.incarnation, view.key_epoch)
