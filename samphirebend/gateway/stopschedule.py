"""Decides what a stopping host still takes, passes on and answers.

The load that it answers: callers that keep sending on open connections and by
look-up answers that they have cached, until the grace period ends. A host that
cannot finish a request refuses it at once, because another host can still run
it, whereas a request cut at the end has an unknown outcome.
"""

from __future__ import annotations

from typing import Final

# Time after the stop signal for which requests are still accepted: callers may
# use a look-up answer for up to three times its TTL of 1 s.
DRAIN_S: Final = 3.2
# Requests that still run this long before the kill get an error response.
ANSWER_MARGIN_S: Final = 0.4
# The process ends at least this long before it would be killed.
KILL_MARGIN_S: Final = 0.15
# A request is passed on only if this multiple of its expected time is left.
EXPECTED_TIME_FACTOR: Final = 2.0


class StopSchedule:
    """Times of one graceful shutdown, on the clock of the reactor."""

    __slots__ = ("accepts_until", "answers_by", "exits_by")

    def __init__(self, signalled_at: float, grace_s: float) -> None:
        # Requests that have no final response by then get an error response.
        self.answers_by = signalled_at + max(0.0, grace_s - ANSWER_MARGIN_S)
        self.exits_by = signalled_at + max(0.0, grace_s - KILL_MARGIN_S)
        self.accepts_until = min(signalled_at + DRAIN_S, self.answers_by)

    def accepts(self, now: float) -> bool:
        """Return whether new requests are accepted."""
        return now < self.accepts_until

    def can_finish(self, expected_s: float, now: float) -> bool:
        """Return whether a request that takes `expected_s` may be passed on.

        >>> schedule = StopSchedule(10.0, 6.0)
        >>> schedule.can_finish(1.0, 13.0), schedule.can_finish(1.5, 13.0)
        (True, False)
        """
        return now + EXPECTED_TIME_FACTOR * expected_s <= self.answers_by
