"""Trunk reservation of slots for the callers of this host's region.

The term is from telephony. A request that a full region relays here (an
overflow request) gets a slot only if the local requests do not need it.
Without the reservation, long overflow requests would fill each dip of the
local load and still hold the slots when the load returns. Requests relayed by
a region that had free slots count as local, because their region takes them
back if they are refused here.

`targets` reports the local requests that take a slot and `router` asks how
many free slots overflow requests may use.
"""

from __future__ import annotations

import math
from typing import Final

# Time constants, in seconds, of the moving average of the slots that local
# requests use. The average falls slowly because callers change hosts with each
# look-up and come back.
RISE_S: Final = 0.5
FALL_S: Final = 10.0
# Slots reserved on top of the average, in standard deviations. The standard
# deviation of the number of independent requests in flight is the square root
# of its mean. With 1 or 1.5, local requests were refused while overflow
# requests filled the dips of the local load.
RESERVED_DEVIATIONS: Final = 2.0


class _LocalUsage:
    """Slots of a service that local requests use, and their average."""

    __slots__ = ("average", "changed_at", "in_use")

    def __init__(self, now: float) -> None:
        self.in_use = 0
        self.average = 0.0  # average at `changed_at`
        self.changed_at = now

    def advance(self, now: float) -> None:
        """Update the average to the given time."""
        age_s = now - self.changed_at
        if age_s > 0.0:
            constant_s = RISE_S if self.in_use > self.average else FALL_S
            weight = -math.expm1(-age_s / constant_s)
            self.average += (self.in_use - self.average) * weight
            self.changed_at = now


class TrunkReservation:
    """Reserves slots of each service for local requests."""

    __slots__ = ("_usages",)

    def __init__(self) -> None:
        self._usages: dict[str, _LocalUsage] = {}  # keyed by service

    def record_begin(self, service: str, now: float) -> None:
        """Record that a local request takes a slot."""
        self._usage(service, now).in_use += 1

    def record_end(self, service: str, now: float) -> None:
        """Record that a local request releases its slot."""
        self._usage(service, now).in_use -= 1

    def _usage(self, service: str, now: float) -> _LocalUsage:
        usage = self._usages.get(service)
        if usage is None:
            usage = self._usages[service] = _LocalUsage(now)
        usage.advance(now)
        return usage

    def available(self, service: str, free: int, now: float) -> int:
        """Return how many of the free slots overflow requests may use.

        >>> TrunkReservation().available("s", 20, 0.0)
        20
        """
        usage = self._usage(service, now)
        needed = max(usage.in_use, usage.average)
        needed += RESERVED_DEVIATIONS * math.sqrt(needed)
        return max(0, int(free - (needed - usage.in_use)))
