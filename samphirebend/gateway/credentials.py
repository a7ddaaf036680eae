"""Bounds how old a host's knowledge of customers' keys may be.

A key that was taken away must not be honoured beyond a time, also by a host
that is cut off or was suspended. Ages are therefore counted from the start of
the call that confirmed the operator's table, on a clock that goes on while the
host is suspended. An answer or a heartbeat may have waited in a buffer, so its
arrival proves nothing; `freshness` does count from arrivals, for bounds that
need not hold on hosts that are out of touch.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Final

# Fraction of the bound up to which keys are honoured. The rest is for the time
# between the check and the start of the request, and for clocks that differ.
HONOURED_FRACTION: Final = 0.85
# Fractions of the bound at which a host refreshes its copy: the host that asks
# the store for its failure domain, and those that ask that host. They differ so
# that what the others get is not due for a refresh already.
LEADER_REFRESH_FRACTION: Final = 0.2
REFRESH_FRACTION: Final = 0.3


def boot_clock() -> float:
    """Return the seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Credentials:
    """Tracks as of when all changes of the keys are known."""

    __slots__ = ("_clock", "_confirmed_at", "changes_unreadable", "revoke_s")

    def __init__(
        self, revoke_s: float | None, clock: Callable[[], float] = boot_clock
    ) -> None:
        # Time after which a removed key must not be honoured by any host; None:
        # only hosts in touch with the store need to know of it.
        self.revoke_s = revoke_s
        self._clock = clock
        self._confirmed_at = -math.inf
        # Whether this host has a change of the keys that it cannot read. Then
        # nothing confirms them until it has a later one.
        self.changes_unreadable = False

    def now(self) -> float:
        """Return the time on the clock of the confirmations."""
        return self._clock()

    def confirm(self, as_of: float) -> None:
        """Record that all changes of the keys up to a time are known."""
        if not self.changes_unreadable:
            self._confirmed_at = max(self._confirmed_at, as_of)

    def age_s(self) -> float:
        """Return the age of what is known; infinite before any confirmation."""
        return self._clock() - self._confirmed_at

    def honoured(self) -> bool:
        """Return whether keys may be honoured now."""
        if self.revoke_s is None:
            return True
        return self.age_s() < HONOURED_FRACTION * self.revoke_s

    def needs_refresh(self, is_leader: bool) -> bool:
        """Return whether the operator's table should be confirmed again."""
        if self.revoke_s is None or self.changes_unreadable:
            return False
        fraction = LEADER_REFRESH_FRACTION if is_leader else REFRESH_FRACTION
        return self.age_s() > fraction * self.revoke_s
