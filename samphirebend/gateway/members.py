"""The other hosts, as their heartbeats show them, and whom callers are sent to."""

from __future__ import annotations

import random
from typing import Final

import xxhash

from ..addresses import Address
from .observations import fingerprint

LIVENESS_TIMEOUT_S: Final = 1.6  # silence after which callers are sent elsewhere
# Number of hosts below which each one hears all others itself.
GOSSIP_MIN_HOSTS: Final = 100
# The silence where others pass on most of what is heard.
GOSSIP_LIVENESS_TIMEOUT_S: Final = 4.0
DROP_SILENT_AFTER_S: Final = 60.0
# Hosts assumed before the others are known, so that shares of limits stay small.
ASSUMED_HOSTS: Final = 8
MAX_ADDRESSES: Final = 64


class Member:
    """One host; times are this host's monotonic clock in seconds."""

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
        self.front = Address("0.0.0.0", 1)  # where callers connect
        self.peer = Address("0.0.0.0", 1)  # where hosts talk to each other
        self.capacity_per_s = 1.0  # requests that its link and processor carry
        self.incarnation = 0
        self.sequence = 0  # of the newest heartbeat known, also through others
        self.direct_sequence = 0  # of the newest one that it sent here
        self.fingerprint = fingerprint(host)
        self.ready = False
        self.heard_at = 0.0  # 0: not yet
        self.row_versions: dict[str, int] = {}  # newest row that it knows, by table


def _score(host: str, key: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{host}/{key}".encode()))


class Members:
    """All known hosts and this one."""

    __slots__ = (
        "_by_fingerprint",
        "_by_region",
        "_others",
        "_rng",
        "host_list_read",
        "own",
    )

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._others: dict[str, Member] = {}
        self._by_fingerprint: dict[int, Member] = {}
        # The same hosts by region, since look-ups ask for those of one.
        self._by_region: dict[str, dict[str, Member]] = {}
        self.host_list_read = False  # the list of hosts was read

    def note_listed(self, member: Member) -> None:
        """Take a host from a list; it is not live before it is heard."""
        if member.host != self.own.host and member.host not in self._others:
            self._put(member)

    def note_heartbeat(self, heard: Member, now: float) -> bool:
        """Take a heartbeat; return whether it is newer than what is known."""
        if heard.host == self.own.host:
            return False
        known = self._others.get(heard.host)
        heard.direct_sequence = heard.sequence
        if known is not None and known.incarnation == heard.incarnation:
            if heard.sequence <= known.direct_sequence:
                return False
            if heard.sequence < known.sequence:
                # Others have passed on a newer one.
                heard.sequence, heard.ready = known.sequence, known.ready
        heard.heard_at = now
        self._put(heard)
        return True

    def note_relayed(
        self,
        host_fingerprint: int,
        incarnation: int,
        sequence: int,
        ready: bool,
        now: float,
    ) -> None:
        """Take what another host passes on of a host that this one has heard.

        `incarnation` is the low 32 bits of it.
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
        """Tell whether another host was heard lately."""
        item = self._others.get(host)
        return item is not None and now - item.heard_at < self._liveness_timeout_s()

    def live(self, now: float) -> list[Member]:
        """Return the other hosts that were heard lately."""
        since = now - self._liveness_timeout_s()
        return [item for item in self._others.values() if item.heard_at > since]

    def _liveness_timeout_s(self) -> float:
        """Return the silence after which a host counts as lost, in seconds."""
        return (
            LIVENESS_TIMEOUT_S
            if len(self._others) < GOSSIP_MIN_HOSTS
            else GOSSIP_LIVENESS_TIMEOUT_S
        )

    def count(self) -> int:
        """Return the number of hosts that may use shares of limits."""
        known = len(self._others) + 1
        return known if self.host_list_read else max(known, ASSUMED_HOSTS)

    def position(self, key: str) -> int:
        """Return the place of this host in the order of all hosts for a key."""
        own = _score(self.own.host, key)
        return sum(_score(host, key) > own for host in self._others)

    def drop_silent(self, now: float) -> None:
        """Drop hosts that have been silent for long."""
        for host, item in list(self._others.items()):
            if item.heard_at and now - item.heard_at > DROP_SILENT_AFTER_S:
                self._drop(host)

    def addresses(
        self, region: str, home_regions: frozenset[str], now: float
    ) -> list[Address]:
        """Return where callers of a region may connect, best hosts only.

        Hosts of the caller's region come before those of `homes`, which are the
        regions that may handle the requests; empty: any.
        """
        named = self._ready_in(region, now)
        if not named:
            named = [
                item for home in home_regions for item in self._ready_in(home, now)
            ]
        if not named:
            every = {self.own.region, *self._by_region}
            named = [item for other in every for item in self._ready_in(other, now)]
        chosen = self._sample_by_capacity(named)
        self._rng.shuffle(chosen)
        return [item.front for item in chosen[:MAX_ADDRESSES]]

    def _ready_in(self, region: str, now: float) -> list[Member]:
        """Return the hosts of a region that take callers, this one among them."""
        hosts = self._by_region.get(region, {}).values()
        since = now - self._liveness_timeout_s()
        ready = [item for item in hosts if item.ready and item.heard_at > since]
        if self.own.ready and self.own.region == region:
            ready.append(self.own)
        return ready

    def _sample_by_capacity(self, hosts: list[Member]) -> list[Member]:
        """Leave hosts out as often as they carry less than the strongest.

        Callers take any address of an answer alike, so a host's share of them
        follows from how many answers name it. On a narrow link an even share of
        the callers' bytes waits for most of the time that a request has.
        """
        most = max((item.capacity_per_s for item in hosts), default=0.0)
        return [
            item for item in hosts if self._rng.random() * most <= item.capacity_per_s
        ]
