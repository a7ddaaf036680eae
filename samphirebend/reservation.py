"""Slots that requests of full regions may take.

`places` reports each other request that takes a slot, and asks for the free
slots that are left. Own callers come first: a request that another region
relays for want of a slot gets one only beyond what they need. Long requests
from elsewhere would otherwise fill each dip of the own load and keep the slots
when it returns. Requests that left a region with free slots count as own ones,
since their region takes them back. In telephony this is known as trunk
reservation.
"""

from __future__ import annotations

import math
from typing import Final

# Time constants of the average of the slots that own callers have in use. It falls
# slowly, since callers change their host with each look-up and come back.
RISE_S: Final = 0.5
FALL_S: Final = 10.0
# Slots kept free on top of the average, in its square roots: the number of
# independent requests in flight varies by one. With one or one and a half, own
# requests were refused while others filled the dips.
RESERVED_DEVIATIONS: Final = 2.0


class _Use:
    """Slots of one service that own callers have in use."""

    __slots__ = ("average", "changed_at", "in_use")

    def __init__(self, now: float) -> None:
        self.in_use = 0
        self.average = 0.0  # at `changed_at`
        self.changed_at = now

    def advance(self, now: float) -> None:
        """Bring the average up to the given time."""
        age_s = now - self.changed_at
        if age_s > 0.0:
            constant_s = RISE_S if self.in_use > self.average else FALL_S
            weight = -math.expm1(-age_s / constant_s)
            self.average += (self.in_use - self.average) * weight
            self.changed_at = now


class TrunkReservation:
    """What this host keeps for the callers of its region, by service."""

    __slots__ = ("_uses",)

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}

    def note_begin(self, service: str, now: float) -> None:
        """Record that an own caller's request takes a slot."""
        self._use(service, now).in_use += 1

    def note_end(self, service: str, now: float) -> None:
        """Record that an own caller's request gives its slot back."""
        self._use(service, now).in_use -= 1

    def _use(self, service: str, now: float) -> _Use:
        use = self._uses.get(service)
        if use is None:
            use = self._uses[service] = _Use(now)
        use.advance(now)
        return use

    def available(self, service: str, free: int, now: float) -> int:
        """Return how many of the free slots others may take.

        >>> TrunkReservation().available("s", 20, 0.0)
        20
        """
        use = self._use(service, now)
        needed = max(use.in_use, use.average)
        needed += RESERVED_DEVIATIONS * math.sqrt(needed)
        return max(0, int(free - (needed - use.in_use)))
