"""Schedule by which a host that was started gets the tokens of its share.

Its predecessor, the process of the same host that ended before, may have used
tokens of the share up to its end, and hosts to which it gave tokens use them for
some time longer. What is released after some time is therefore withheld from
each process in all intervals that are shorter than the window by that time. So
a process and its successors together stay within the share in any window,
whenever they end, and nobody needs to know what the predecessor has used.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence
from typing import Final

# Part of the share, except for the burst, that is released in the first window.
# Quotas are 1.6 times the usual rate, so about half of a share is usually in use.
# The rest of the share is what a process may use at once.
RELEASED: Final = 0.65
# Share up to which nothing is released, since tokens would be withheld that other
# hosts need, and hardly one would come before the whole share.
MAX_WITHHELD_SHARE: Final = 3
MAX_STEPS: Final = 5  # of the release, in a window


class Release:
    """Schedule for one share."""

    __slots__ = ("_per_window", "_step_s", "_steps", "_window_s", "share")

    def __init__(self, share: int, burst_part: float, window_s: float) -> None:
        self.share = share  # in tokens of a window
        self._window_s = window_s
        per_window = round(RELEASED * share * (1.0 - burst_part))
        self._per_window = per_window if share > MAX_WITHHELD_SHARE else 0
        self._steps = min(self._per_window, MAX_STEPS)
        self._step_s = window_s / max(1, self._steps)

    def after(self, age_s: float) -> int:
        """Return how many tokens are released at some age of the process.

        The parts for two successive processes add up to at most the part for
        the sum of their ages.
        """
        return self._after_steps(int(age_s / self._step_s))

    def _after_steps(self, steps: int) -> int:
        return self._per_window * steps // max(1, self._steps)

    def free(
        self,
        used: Sequence[float],
        given: Sequence[tuple[float, int]],
        lifetime_s: float,
        now: float,
    ) -> int:
        """Return the tokens that may be used now, or given for a lifetime.

        `used` has the times of the last window, in order, and `given` the tokens
        given, with the times until which they count.
        """
        charged = len(used)
        for _, tokens in given:
            charged += tokens
        if not self._steps or charged >= self.share:
            return self.share - charged
        # Tokens given, by the first step in which they count.
        counted: Counter[int] = Counter()
        for until, tokens in given:
            age_s = now + self._window_s - until
            counted[math.floor(age_s / self._step_s) + 1] += tokens
        # In the last `step` steps, as much is used at most as leaves a successor
        # what it gets in the other steps of a window. Tokens that are given are
        # used in the future, where `step` is negative.
        first = min(self._steps, 1 - math.ceil(lifetime_s / self._step_s))
        recent_given = sum(n for step, n in counted.items() if step < first)
        free = self.share
        for step in range(first, self._steps):
            recent_given += counted[step]
            since = now - step * self._step_s
            recent = len(used) - bisect_right(used, since) if step > 0 else 0
            most = self.share - self._after_steps(self._steps - step)
            free = min(free, most - recent - recent_given)
            if free <= 0:
                return 0
        return min(free, self.share - charged)
