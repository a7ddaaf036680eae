"""Selects the receivers of heartbeats and relays the state of other hosts.

In a full mesh, the bytes between failure domains grow with the square of the
hosts; with 75 hosts, heartbeats were most of what went between regions. From
`DOMAIN_RELAY_MIN_HOSTS` other hosts on, a host therefore sends its heartbeats
to the hosts of its own failure domain and to one random host of each other
domain, which passes them on within its domain.

In a full mesh each host also handles as many packets per round as there are hosts;
with 300 hosts, a process woke up 1,500 times a second. From `GOSSIP_MIN_HOSTS`
other hosts on, each host therefore sends its heartbeats to a few random hosts
only. They also carry the newest sequence numbers that it knows of other hosts,
which reach all hosts in a few rounds.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterator
from typing import Final

from .members import DOMAIN_RELAY_MIN_HOSTS, GOSSIP_MIN_HOSTS, Member, Members

# Number of live hosts that get each heartbeat when gossip is in use.
FANOUT: Final = 8
# Number of silent hosts that get it too, so that they are found when they
# return.
SILENT_FANOUT: Final = 2
MAX_RELAYED: Final = 100  # hosts relayed in one heartbeat
# Only hosts heard within this time are relayed.
MAX_RELAY_AGE_S: Final = 1.0
# Unknown seeds, and silent hosts in a full mesh, get one heartbeat in this
# many rounds.
SILENT_ROUND_INTERVAL: Final = 4
_LAYOUT: Final = struct.Struct("<IIIB")  # host, incarnation, sequence, ready


class RelayedHeartbeat:
    """State of another host as relayed in a heartbeat."""

    __slots__ = ("host_fingerprint", "incarnation", "ready", "sequence")

    def __init__(
        self, host_fingerprint: int, incarnation: int, sequence: int, ready: bool
    ) -> None:
        self.host_fingerprint = host_fingerprint
        self.incarnation = incarnation  # low 32 bits
        # Sequence number of the newest heartbeat that the relay knows.
        self.sequence = sequence
        self.ready = ready


class Receivers:
    """Hosts to which one heartbeat is sent."""

    __slots__ = ("direct", "relays")

    def __init__(self, direct: list[Member], relays: list[Member]) -> None:
        self.direct = direct
        # Hosts of other failure domains that pass it on within their domain.
        self.relays = relays


class Gossip:
    """Selects the receivers and the relayed part of each heartbeat."""

    __slots__ = ("_members", "_rng", "_round")

    def __init__(self, members: Members, rng: random.Random) -> None:
        self._members = members
        self._rng = rng
        self._round = 0

    def next_round(self) -> None:
        """Advance to the next round of heartbeats."""
        self._round += 1

    @property
    def includes_silent(self) -> bool:
        """Return whether silent hosts get this round's heartbeat too."""
        return self._round % SILENT_ROUND_INTERVAL == 0

    def receivers(self, now: float) -> Receivers:
        """Return the hosts that get this round's heartbeat."""
        others = self._members.others()
        live = self._members.live(now)
        if len(others) < DOMAIN_RELAY_MIN_HOSTS:
            return Receivers(others if self.includes_silent else live, [])
        live_hosts = {member.host for member in live}
        silent = [member for member in others if member.host not in live_hosts]
        if len(others) < GOSSIP_MIN_HOSTS:
            receivers = self._receivers_by_domain(live)
            if self.includes_silent:
                receivers.direct += silent
            return receivers
        sampled = self._rng.sample(live, min(FANOUT, len(live)))
        sampled += self._rng.sample(silent, min(SILENT_FANOUT, len(silent)))
        return Receivers(sampled, [])

    def _receivers_by_domain(self, live: list[Member]) -> Receivers:
        """Return the live hosts of the own domain and one of each other domain.

        The relays are drawn anew for each round, so that one that cannot be
        reached costs its domain a single heartbeat.
        """
        domains: dict[str, list[Member]] = {}
        for member in live:
            domains.setdefault(member.zone, []).append(member)
        neighbours = domains.pop(self._members.own.zone, [])
        relays = [self._rng.choice(domain) for domain in domains.values()]
        return Receivers(neighbours, relays)

    def neighbours(self, now: float) -> list[Member]:
        """Return the live hosts to which this host passes heartbeats on."""
        zone = self._members.own.zone
        return [member for member in self._members.live(now) if member.zone == zone]

    def encode_relayed(self, now: float) -> bytes:
        """Return the encoded state of other hosts; empty in a full mesh."""
        others = self._members.others()
        if len(others) < GOSSIP_MIN_HOSTS:
            return b""
        recent = [
            member
            for member in others
            if member.heard_at and now - member.heard_at < MAX_RELAY_AGE_S
        ]
        sampled = self._rng.sample(recent, min(MAX_RELAYED, len(recent)))
        return b"".join(
            _LAYOUT.pack(
                member.fingerprint,
                member.incarnation & 0xFFFFFFFF,
                member.sequence & 0xFFFFFFFF,
                member.ready,
            )
            for member in sampled
        )


def decode_relayed(data: bytes) -> Iterator[RelayedHeartbeat]:
    """Yield the relayed hosts of a heartbeat; ignore a truncated last one."""
    usable_bytes = len(data) - len(data) % _LAYOUT.size
    for host, incarnation, sequence, ready in _LAYOUT.iter_unpack(data[:usable_bytes]):
        yield RelayedHeartbeat(host, incarnation, sequence, bool(ready))
