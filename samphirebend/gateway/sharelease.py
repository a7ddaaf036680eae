"""Decides how long this host may use its shares of the fleet-wide limits.

Shares are divided among the hosts that the list in the store has. A host may use
its share while it is certain that no other host has deleted its registration. It
knows that from two sources, and each is good for `LEASE_S`:

- All other listed hosts confirm in their heartbeats that they hear this host and
  have the same list. A host deletes the registration only of one that it misses.
- This host, or another one that says so in its heartbeats, has read the list, and
  the registration is in it and not marked as suspected. A registration is deleted
  only some time after it was marked.

So hosts that are all in contact need no store, and hosts with a store need no
other host.
"""

from __future__ import annotations

import math
from typing import Final

# Time after a confirmation for which the share may be used.
LEASE_S: Final = 5.0
# The same where most heartbeats are relayed.
GOSSIP_LEASE_S: Final = 20.0
# Greatest latency of a heartbeat that takes no longer than usual.
MAX_LATENCY_S: Final = 0.25
# Age of the last confirmation from which limits are used with caution that are
# counted over a longer window than quotas.
CAUTION_S: Final = LEASE_S / 2


class ShareLease:
    """Times of the last confirmations, in seconds."""

    __slots__ = ("_lapsed_at", "_peers_at", "has_list", "lease_s", "list_at")

    def __init__(self) -> None:
        self.lease_s = LEASE_S
        self.has_list = False  # whether the list has been read
        self._peers_at = -math.inf  # all other hosts
        self.list_at = -math.inf  # the list in the store
        # When the confirmations of the other hosts were last found to be too old.
        # They may have deleted this host's registration since then, so the list
        # has to be read before they count again.
        self._lapsed_at = -math.inf

    def confirm_by_peers(self, at: float, now: float) -> None:
        """Record the time as of which all other hosts have confirmed this one."""
        if now - self._peers_at >= self.lease_s:
            self._lapsed_at = now
        self._peers_at = max(self._peers_at, at)

    def confirm_by_list(self, at: float) -> None:
        """Record the time as of which the list is known to have this host."""
        self.list_at = max(self.list_at, at)

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation that counts."""
        at = self.list_at
        if self.list_at > self._lapsed_at or not self.has_list:
            at = max(at, self._peers_at)
        return now - at

    def list_age_s(self, now: float) -> float:
        """Return the age of the last confirmation by the list."""
        return now - self.list_at

    def is_valid(self, now: float) -> bool:
        """Return whether this host may use its share."""
        return self.age_s(now) < self.lease_s
