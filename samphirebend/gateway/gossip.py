"""Which hosts a host sends its heartbeats to, and what they pass on of others.

Load this answers: hundreds of hosts. Heartbeats of all to all cost each host as many
packets a round as there are hosts: with 300 hosts a process woke up 1,500 times a
second. From `FULL_MESH` hosts on each one greets a few drawn at random and passes on
the newest sequence numbers that it knows of others; they reach all in a few rounds.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterator
from typing import Final

from .members import GOSSIP_MIN_HOSTS, Member, Members

# Live hosts that get each heartbeat where not all do.
FANOUT: Final = 8
# Hosts not heard lately that get it too, so that they are found again.
SILENT_FANOUT: Final = 2
MAX_RELAYED: Final = 100
# Sequence numbers heard up to this long ago are passed on.
MAX_RELAY_AGE_S: Final = 1.0
# Heartbeats to hosts that have not answered are sent one time in this many.
SILENT_ROUND_INTERVAL: Final = 4
_LAYOUT: Final = struct.Struct("<IIIB")


class RelayedHeartbeat:
    """What a host passes on of another host."""

    __slots__ = ("host_fingerprint", "incarnation", "ready", "sequence")

    def __init__(
        self, host_fingerprint: int, incarnation: int, sequence: int, ready: bool
    ) -> None:
        self.host_fingerprint = host_fingerprint
        self.incarnation = incarnation  # its low 32 bits
        self.sequence = sequence  # of the newest heartbeat known
        self.ready = ready


class Gossip:
    """Chooses receivers of heartbeats and what they are told of others."""

    __slots__ = ("_members", "_rng", "_round")

    def __init__(self, members: Members, rng: random.Random) -> None:
        self._members = members
        self._rng = rng
        self._round = 0

    def next_round(self) -> None:
        """Begin the next round of heartbeats."""
        self._round += 1

    @property
    def includes_silent(self) -> bool:
        """Tell whether hosts that were not heard get this round's heartbeat too."""
        return self._round % SILENT_ROUND_INTERVAL == 0

    def receivers(self, now: float) -> list[Member]:
        """Return the known hosts that get this round's heartbeat."""
        others = self._members.others()
        if len(others) < GOSSIP_MIN_HOSTS:
            if self.includes_silent:
                return others
            return self._members.live(now)
        live = self._members.live(now)
        names = {member.host for member in live}
        silent = [member for member in others if member.host not in names]
        chosen = self._rng.sample(live, min(FANOUT, len(live)))
        return chosen + self._rng.sample(silent, min(SILENT_FANOUT, len(silent)))

    def encode_relayed(self, now: float) -> bytes:
        """Return what is passed on of others, encoded."""
        others = self._members.others()
        if len(others) < GOSSIP_MIN_HOSTS:
            return b""
        recent = [
            member
            for member in others
            if member.heard_at and now - member.heard_at < MAX_RELAY_AGE_S
        ]
        chosen = self._rng.sample(recent, min(MAX_RELAYED, len(recent)))
        return b"".join(
            _LAYOUT.pack(
                member.fingerprint,
                member.incarnation & 0xFFFFFFFF,
                member.sequence & 0xFFFFFFFF,
                member.ready,
            )
            for member in chosen
        )


def decode_relayed(data: bytes) -> Iterator[RelayedHeartbeat]:
    """Yield what a heartbeat passes on; a part of an item is ignored."""
    whole = len(data) - len(data) % _LAYOUT.size
    for host, incarnation, sequence, ready in _LAYOUT.iter_unpack(data[:whole]):
        yield RelayedHeartbeat(host, incarnation, sequence, bool(ready))
