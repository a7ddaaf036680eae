"""Per-host shares of fleet-wide limits.

A limit on the sum over all hosts is divided by the number of hosts that may
be alive, and each host enforces its own share locally. The sum therefore
holds without a call per request, even during a network partition.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Fraction of a limit that is used. The margin keeps the limit although the
# sliding windows of different hosts are not aligned.
USABLE_BUDGET_FRACTION: Final = 0.8


class RetryBudget:
    """Limits retries to each service within a sliding window."""

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window_s")

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio  # retries allowed per request
        self._window_s = window_s
        # Additional retries per window, for all hosts together.
        self._slack = slack
        # Times of requests and retries in the window, keyed by service.
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Replace the limits."""
        self._ratio, self._window_s, self._slack = ratio, window_s, slack

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service, without its retries."""
        self._in_window(self._requests, service, now).append(now)

    def allows(self, service: str, host_count: int, now: float) -> bool:
        """Return whether one more retry fits this host's share."""
        retries = len(self._in_window(self._retries, service, now))
        requests = len(self._in_window(self._requests, service, now))
        limit = self._ratio * requests + self._slack / max(1, host_count)
        return retries + 1 <= USABLE_BUDGET_FRACTION * limit

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry: any attempt of a request after the first."""
        self._in_window(self._retries, service, now).append(now)

    def remaining(self, service: str, host_count: int, now: float) -> float:
        """Return how many retries are left in this host's share."""
        retries = len(self._in_window(self._retries, service, now))
        requests = len(self._in_window(self._requests, service, now))
        limit = self._ratio * requests + self._slack / max(1, host_count)
        return max(0.0, USABLE_BUDGET_FRACTION * limit - retries)

    def _in_window(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now - self._window_s:
            recent.popleft()
        return recent


class ColdLimit:
    """Limits the requests to each cold upstream within any second."""

    __slots__ = ("_rate_factor", "_sent", "_slack")

    def __init__(self, rate_factor: float, slack: float) -> None:
        # Factor on the cold-start rate of the upstream's service.
        self._rate_factor = rate_factor
        # Additional requests per second, for all hosts together.
        self._slack = slack
        # Times of requests in the last second, keyed by upstream.
        self._sent: dict[str, deque[float]] = {}

    def set_bounds(self, rate_factor: float, slack: float) -> None:
        """Replace the limits."""
        self._rate_factor, self._slack = rate_factor, slack

    def allows(
        self, upstream: str, per_s: float, host_count: int, position: int, now: float
    ) -> bool:
        """Return whether one more request fits this host's share.

        `per_s` is the service's cold-start rate, and `position` the index of
        this host in the upstream's order of all hosts. If there are more hosts
        than allowed requests per second, the first hosts may send one each.
        """
        limit = int((per_s * self._rate_factor + self._slack) * USABLE_BUDGET_FRACTION)
        share = limit // max(1, host_count)
        if share == 0 and position < limit:
            share = 1
        return len(self._in_window(upstream, now)) < share

    def record_sent(self, upstream: str, now: float) -> None:
        """Count a request to an upstream, cold or not."""
        self._in_window(upstream, now).append(now)

    def forget(self, upstream: str) -> None:
        """Delete the counts of a removed upstream."""
        self._sent.pop(upstream, None)

    def _in_window(self, upstream: str, now: float) -> deque[float]:
        sent = self._sent.setdefault(upstream, deque())
        while sent and sent[0] <= now - 1.0:
            sent.popleft()
        return sent
