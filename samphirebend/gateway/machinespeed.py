"""Expected speed of an upstream whose machine runs other work as well.

Such an upstream reports its slowdown with its responses: the time that work
takes at that moment, as a factor of the usual time. `attemptresults` records
the reports, and `upstreams` scales expected times and measured latencies.
"""

from __future__ import annotations

import math
from typing import Final

# Time in which a report loses all but 1/e of its weight, in seconds. Slow
# moments last about 0.6 s and are about 3.4 s apart.
FADE_S: Final = 0.5
# Weight of a new report in the mean. It is low because a host may see few
# reports of one upstream, and a single one must not bias placement for long.
MEAN_WEIGHT: Final = 0.05
# Time in which the mean loses all but 1/e of its weight when no report comes,
# in seconds. Without it, an upstream that gets no requests because it was slow
# would never get one that shows that it no longer is.
MEAN_FADE_S: Final = 30.0
# Greatest slowdown that is used. A single higher report would keep requests
# away for many seconds.
MAX_SLOWDOWN: Final = 10.0
# Mean slowdown from which a machine counts as slow for the metrics.
SLOW_MACHINE: Final = 1.5


class MachineSpeed:
    """Slowdown of one upstream: the last report and the mean of all.

    The slowdown at a time is expected between both, nearer to the mean the
    further that time is from the report.
    """

    __slots__ = ("_mean", "_reported_at", "_slowdown")

    def __init__(self) -> None:
        self._slowdown = 1.0
        self._mean = 1.0
        self._reported_at: float | None = None  # None: no report

    @property
    def mean(self) -> float:
        """Return the moving average of the reports, 1.0 without any."""
        return self._mean

    def record(self, slowdown: float, now: float) -> None:
        """Record a report that was made now."""
        slowdown = min(slowdown, MAX_SLOWDOWN)
        self._mean += MEAN_WEIGHT * (slowdown - self._mean)
        self._slowdown = slowdown
        self._reported_at = now

    def expected(self, work_s: float, starts_at: float | None) -> float:
        """Return the expected slowdown of work of a usual length.

        `starts_at` is when it starts; None: at any time.
        """
        if self._reported_at is None or starts_at is None:
            return self._mean
        age_s = max(0.0, starts_at - self._reported_at)
        mean = 1.0 + (self._mean - 1.0) * math.exp(-age_s / MEAN_FADE_S)
        return mean + self._deviation(work_s) * math.exp(-age_s / FADE_S)

    def during(self, elapsed_s: float, now: float) -> float:
        """Return the expected slowdown of the work of the last seconds.

        A report made at the end of long work tells little of its beginning.
        """
        if self._reported_at is None:
            return 1.0
        age_s = max(0.0, now - self._reported_at)
        since_s = min(age_s, elapsed_s)
        before_s = elapsed_s - since_s
        since = self._deviation(since_s) * since_s
        before = self._deviation(before_s) * before_s
        if age_s > elapsed_s:
            since *= math.exp((elapsed_s - age_s) / FADE_S)
        return self._mean + (since + before) / max(elapsed_s, 1e-9)

    def _deviation(self, length_s: float) -> float:
        """Return the mean deviation over a time that begins at the report."""
        spans = max(length_s / FADE_S, 1e-9)
        return (self._slowdown - self._mean) * (1.0 - math.exp(-spans)) / spans
