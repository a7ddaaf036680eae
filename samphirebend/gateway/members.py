"""Membership of hosts, learned from heartbeats, and addresses for callers."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Final

from ..addresses import Address
from .observations import fingerprint
from .quotahosts import REMOVED_FACTOR
from .rendezvous import score
from .sharelease import CAUTION_S, MAX_LATENCY_S
from .silences import SILENT_S

# Time without a heartbeat after which a host counts as lost, so that callers
# are sent to other hosts.
LIVENESS_TIMEOUT_S: Final = 1.6
# Below this number of other hosts, each host sends heartbeats directly to all
# others.
DOMAIN_RELAY_MIN_HOSTS: Final = 30
# Below this number, the heartbeats of each host reach all others, if not
# directly.
GOSSIP_MIN_HOSTS: Final = 100
# Liveness timeout with gossip, where the state of most hosts is relayed.
GOSSIP_LIVENESS_TIMEOUT_S: Final = 4.0
# Time without a heartbeat after which a host is deleted, if it is not registered.
DROP_SILENT_AFTER_S: Final = 60.0
# The same if the list of hosts has been read since the last heartbeat. The host has
# used its part of the retry budget with caution for the window of that by then.
DROP_UNREGISTERED_AFTER_S: Final = SILENT_S + MAX_LATENCY_S + CAUTION_S + 10.0
# Host count assumed until the list of hosts is read, so that this host's
# shares of fleet-wide limits are not too large.
ASSUMED_HOSTS: Final = 8
MAX_ADDRESSES: Final = 64  # addresses in the answer to one look-up


class Member:
    """One host of the fleet; times are local monotonic time in seconds."""

    __slots__ = (
        "capacity_per_s",
        "direct_sequence",
        "fingerprint",
        "front",
        "heard_at",
        "host",
        "incarnation",
        "peer",
        "ready",
        "region",
        "row_versions",
        "sequence",
        "zone",
    )

    def __init__(self, host: str, zone: str, region: str) -> None:
        self.host = host
        self.zone = zone  # failure domain
        self.region = region
        self.front = Address("0.0.0.0", 1)  # listener for callers
        self.peer = Address("0.0.0.0", 1)  # listener for other hosts
        # Requests per second that its link and processor sustain.
        self.capacity_per_s = 1.0
        # Random number, drawn when the host process starts.
        self.incarnation = 0
        # Sequence number of the newest known heartbeat, direct or relayed.
        self.sequence = 0
        # Sequence number of the newest heartbeat received directly.
        self.direct_sequence = 0
        self.fingerprint = fingerprint(host)
        self.ready = False
        # Time of the newest heartbeat, direct or relayed; 0: none yet.
        self.heard_at = 0.0
        # Version of the newest row that it has, keyed by table.
        self.row_versions: dict[str, int] = {}


class Members:
    """This host and all other known hosts."""

    __slots__ = (
        "_by_fingerprint",
        "_by_region",
        "_listed_at",
        "_others",
        "_registered",
        "_rng",
        "contact_fraction",
        "host_list_read",
        "is_removed",
        "own",
        "without_share",
    )

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._others: dict[str, Member] = {}
        self._by_fingerprint: dict[int, Member] = {}
        # Index for look-ups, which ask for the hosts of one region.
        self._by_region: dict[str, dict[str, Member]] = {}
        # Whether the list of hosts has been read from the store.
        self.host_list_read = False
        # Hosts in that list, and the time as of which it is known.
        self._registered: Collection[str] = frozenset()
        self._listed_at = 0.0
        # Whether other hosts may have divided this host's share of the limits.
        self.is_removed = False
        # Hosts in contact that have no share of the limits, as they have said.
        self.without_share: Collection[str] = frozenset()
        # Part of the limits of upstreams that may be used; see `quotahosts`.
        self.contact_fraction = 1.0

    def set_registered(self, hosts: Collection[str], as_of: float) -> None:
        """Record which hosts the list of hosts has as of a time."""
        self._registered, self._listed_at = hosts, as_of

    def confirm_registered(self, as_of: float) -> None:
        """Record that the list of hosts was still the same at a time."""
        self._listed_at = max(self._listed_at, as_of)

    def add_listed(self, member: Member) -> None:
        """Add a host from the host list; it is not live before a heartbeat."""
        if member.host != self.own.host and member.host not in self._others:
            self._put(member)

    def record_heartbeat(self, member: Member, now: float) -> bool:
        """Update a host from its heartbeat; return whether it was used.

        A repeated or outdated heartbeat and this host's own are ignored.
        """
        if member.host == self.own.host:
            return False
        known = self._others.get(member.host)
        member.direct_sequence = member.sequence
        if known is not None and known.incarnation == member.incarnation:
            if member.sequence <= known.direct_sequence:
                return False
            if member.sequence < known.sequence:
                # The state of a newer heartbeat has already been relayed.
                member.sequence, member.ready = known.sequence, known.ready
        member.heard_at = now
        self._put(member)
        return True

    def update_relayed(
        self,
        host_fingerprint: int,
        incarnation: int,
        sequence: int,
        ready: bool,
        now: float,
    ) -> None:
        """Update a host from its relayed state, if that is newer.

        Hosts from which no heartbeat has arrived directly are ignored.
        `incarnation` holds the low 32 bits of the host's incarnation.
        """
        known = self._by_fingerprint.get(host_fingerprint)
        if known is None or not known.direct_sequence:
            return
        if known.incarnation & 0xFFFFFFFF != incarnation or sequence <= known.sequence:
            return
        known.sequence = sequence
        known.ready = ready
        known.heard_at = now

    def _put(self, member: Member) -> None:
        self._drop(member.host)
        self._others[member.host] = member
        self._by_fingerprint[member.fingerprint] = member
        self._by_region.setdefault(member.region, {})[member.host] = member

    def _drop(self, host: str) -> None:
        known = self._others.pop(host, None)
        if known is not None:
            del self._by_region[known.region][host]
            self._by_fingerprint.pop(known.fingerprint, None)

    def others(self) -> list[Member]:
        """Return all other hosts."""
        return list(self._others.values())

    def is_live(self, host: str, now: float) -> bool:
        """Return whether another host is within its liveness timeout."""
        member = self._others.get(host)
        return member is not None and now - member.heard_at < self._liveness_timeout_s()

    def live(self, now: float) -> list[Member]:
        """Return the other hosts that are within their liveness timeout."""
        since = now - self._liveness_timeout_s()
        return [member for member in self._others.values() if member.heard_at > since]

    def _liveness_timeout_s(self) -> float:
        """Return the liveness timeout for the current size of the fleet."""
        return (
            LIVENESS_TIMEOUT_S
            if len(self._others) < GOSSIP_MIN_HOSTS
            else GOSSIP_LIVENESS_TIMEOUT_S
        )

    def count(self) -> int:
        """Return the number of hosts that share the fleet-wide limits."""
        known = len(self._others.keys() - self.without_share) + 1
        if not self.host_list_read:
            return max(known, ASSUMED_HOSTS)
        # The part of a host that others may have removed is then within the
        # margin of `budgets`.
        return REMOVED_FACTOR * known if self.is_removed else known

    def position(self, key: str) -> int:
        """Return this host's index in a key's rendezvous order of hosts."""
        own = score(self.own.host, key)
        others = self._others.keys() - self.without_share
        return sum(score(host, key) > own for host in others)

    def share_position(self, key: str) -> int:
        """Return this host's index in a key's order of the hosts with shares.

        Of the hosts that others may have removed, only the first has a small one.
        """
        position = self.position(key)
        return position * self.count() if self.is_removed else position

    def live_position(
        self, key: str, now: float, but: Collection[str] = frozenset()
    ) -> int:
        """Return this host's index in a key's order of live hosts but some."""
        own = score(self.own.host, key)
        live = (member.host for member in self.live(now) if member.host not in but)
        return sum(score(host, key) > own for host in live)

    def domain_leader(self, now: float) -> Member:
        """Return the live host that stands for this host's failure domain.

        All hosts of the domain that see each other choose the same one.
        """
        zone = self.own.zone
        hosts = [member for member in self.live(now) if member.zone == zone]
        return max([self.own, *hosts], key=lambda member: score(member.host, zone))

    def drop_silent(self, now: float) -> None:
        """Delete silent hosts that are not registered, and so have no shares.

        Registered hosts are kept, as they may only be cut off.
        """
        for host, member in list(self._others.items()):
            if host not in self._registered and self._may_drop(member, now):
                self._drop(host)

    def _may_drop(self, member: Member, now: float) -> bool:
        silent_s = now - member.heard_at
        if self.host_list_read and self._listed_at > member.heard_at:
            return silent_s > DROP_UNREGISTERED_AFTER_S
        if self.host_list_read or not member.heard_at:
            return False  # it may have registered since the list was read
        return silent_s > DROP_SILENT_AFTER_S

    def addresses(
        self, region: str, home_regions: frozenset[str], now: float
    ) -> list[Address]:
        """Return addresses to which callers of a region may connect.

        Ready hosts in the caller's region are preferred, then those in
        `home_regions`, the regions that may handle the requests (empty means
        any), then those in any region.
        """
        hosts = self._ready_in(region, now)
        if not hosts:
            hosts = [
                member for home in home_regions for member in self._ready_in(home, now)
            ]
        if not hosts:
            regions = {self.own.region, *self._by_region}
            hosts = [
                member for other in regions for member in self._ready_in(other, now)
            ]
        sampled = self._sample_by_capacity(hosts)
        self._rng.shuffle(sampled)
        return [member.front for member in sampled[:MAX_ADDRESSES]]

    def _ready_in(self, region: str, now: float) -> list[Member]:
        """Return the live, ready hosts of a region, this host included."""
        hosts = self._by_region.get(region, {}).values()
        since = now - self._liveness_timeout_s()
        ready = [member for member in hosts if member.ready and member.heard_at > since]
        if self.own.ready and self.own.region == region:
            ready.append(self.own)
        return ready

    def _sample_by_capacity(self, hosts: list[Member]) -> list[Member]:
        """Sample hosts with a probability proportional to their capacity.

        Callers pick evenly among the addresses of an answer, so a host's share
        of callers follows from how often it is returned. On a narrow link, an
        even share of the callers' traffic would queue for most of a request's
        time limit.
        """
        max_per_s = max((member.capacity_per_s for member in hosts), default=0.0)
        return [
            member
            for member in hosts
            if self._rng.random() * max_per_s <= member.capacity_per_s
        ]
