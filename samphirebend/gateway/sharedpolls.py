"""Lets the hosts of a failure domain share the polls of a busy table.

Upstreams write their entries every few seconds, so each poll of them returns
soon, and the calls to the store grow with the hosts; they are priced and
limited. In a large fleet one host of each failure domain polls the store, and
the others read from it. A host whose copy stays too old polls for itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .follower import Follower
from .members import DOMAIN_RELAY_MIN_HOSTS, Members
from .peers import Peers

ASK_TIMEOUT_S: Final = 0.6  # limit for a call to the host that polls
# Fraction of the bound on the age of a table up to which the answer of the host
# that polls is good enough. The rest is for this host's own pause.
RECENT_FRACTION: Final = 0.5


class SharedPolls:
    """Reads a table from the host that polls it for the failure domain."""

    __slots__ = ("_clock", "_follower", "_members", "_peers")

    def __init__(
        self,
        follower: Follower,
        members: Members,
        peers: Peers,
        clock: Callable[[], float],
    ) -> None:
        self._follower = follower
        self._members = members
        self._peers = peers
        self._clock = clock

    async def read(self, table: str) -> bool:
        """Read a table from a neighbour; return whether it is recent then."""
        if len(self._members.others()) < DOMAIN_RELAY_MIN_HOSTS:
            return False
        leader = self._members.domain_leader(self._clock())
        if leader is self._members.own:
            return False
        await self._peers.fetch(table, leader, ASK_TIMEOUT_S)
        freshness = self._follower.freshness
        return freshness.is_recent(table, RECENT_FRACTION, self._clock())
