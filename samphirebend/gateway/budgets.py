"""Shares of limits that all hosts keep together, without a call for each use.

A limit that binds the sum over all hosts is divided by the number of hosts that
may be alive. Each host keeps its own part, so the sum holds also while hosts do
not hear each other.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Part of the common allowance that is used, so that windows which end at other
# moments at other hosts stay within it.
USABLE_BUDGET_FRACTION: Final = 0.8


class RetryBudget:
    """Bounds repeated arrivals at each service in a sliding window."""

    __slots__ = ("_ratio", "_repeats", "_requests", "_slack", "_window_s")

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio  # repeats for each request
        self._window_s = window_s
        self._slack = slack  # repeats beyond the ratio, of all hosts together
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Take changed bounds."""
        self._ratio, self._window_s, self._slack = ratio, window_s, slack

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service."""
        self._in_window(self._requests, service, now).append(now)

    def allows(self, service: str, hosts: int, now: float) -> bool:
        """Tell whether one more repeat fits this host's share."""
        repeats = len(self._in_window(self._repeats, service, now))
        requests = len(self._in_window(self._requests, service, now))
        most = self._ratio * requests + self._slack / max(1, hosts)
        return repeats + 1 <= USABLE_BUDGET_FRACTION * most

    def note_repeat(self, service: str, now: float) -> None:
        """Count an arrival at the service beyond the first of a request."""
        self._in_window(self._repeats, service, now).append(now)

    def remaining(self, service: str, hosts: int, now: float) -> float:
        """Return the repeats that this host may still make now."""
        repeats = len(self._in_window(self._repeats, service, now))
        requests = len(self._in_window(self._requests, service, now))
        most = self._ratio * requests + self._slack / max(1, hosts)
        return max(0.0, USABLE_BUDGET_FRACTION * most - repeats)

    def _in_window(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now - self._window_s:
            recent.popleft()
        return recent


class ColdLimit:
    """Bounds the requests that cold upstreams get within any second."""

    __slots__ = ("_rate_factor", "_sent", "_slack")

    def __init__(self, over: float, slack: float) -> None:
        self._rate_factor = over  # factor on the rate that an upstream states
        self._slack = slack  # requests beyond it
        self._sent: dict[str, deque[float]] = {}

    def set_bounds(self, over: float, slack: float) -> None:
        """Take changed bounds."""
        self._rate_factor, self._slack = over, slack

    def allows(
        self, upstream: str, per_s: float, hosts: int, position: int, now: float
    ) -> bool:
        """Tell whether one more request fits this host's share.

        `position` is the place of this host in the order of all hosts for the
        upstream, from 0. Where there are more hosts than requests a second, the
        first hosts share them.
        """
        together = int(
            (per_s * self._rate_factor + self._slack) * USABLE_BUDGET_FRACTION
        )
        share = together // max(1, hosts)
        if share == 0 and position < together:
            share = 1
        return len(self._in_window(upstream, now)) < share

    def note_sent(self, upstream: str, now: float) -> None:
        """Count a request to an upstream, cold or not."""
        self._in_window(upstream, now).append(now)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that is gone."""
        self._sent.pop(upstream, None)

    def _in_window(self, upstream: str, now: float) -> deque[float]:
        sent = self._sent.setdefault(upstream, deque())
        while sent and sent[0] <= now - 1.0:
            sent.popleft()
        return sent
