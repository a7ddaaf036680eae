"""Service that measures event loop lag.

A periodic timer is due at a known time; its delay is the time for which other
work blocked the event loop. The delay is reported to `metrics`.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Final

from loguru import logger

from .metrics import Metrics

INTERVAL_S: Final = 0.1
WARN_LAG_S: Final = 0.05  # lag that is logged as a warning
WARN_INTERVAL_S: Final = 10.0  # least time between two warnings
WINDOW_S: Final = 60.0  # period of the reported maximum lag


class LoopLag:
    """Measures event loop lag every `interval_s` seconds while running."""

    __slots__ = (
        "_call",
        "_due",
        "_interval_s",
        "_metrics",
        "_next_warning",
        "_reactor",
        "_window",
    )

    def __init__(
        self, reactor: Any, metrics: Metrics, interval_s: float = INTERVAL_S
    ) -> None:
        # An IReactorTime; mypy cannot check zope interfaces without a plug-in.
        self._reactor = reactor
        self._metrics = metrics
        self._interval_s = interval_s
        self._call: Any = None  # the pending IDelayedCall
        self._due = 0.0
        self._next_warning = 0.0
        # (time, lag) pairs in decreasing order of lag, so that the first one
        # is the maximum of the window.
        self._window: deque[tuple[float, float]] = deque()

    def start(self) -> None:
        """Start measuring."""
        self._next_warning = self._reactor.seconds()
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None

    def _schedule(self) -> None:
        self._due = self._reactor.seconds() + self._interval_s
        self._call = self._reactor.callLater(self._interval_s, self._tick)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        lag_s = max(0.0, now - self._due)
        self._metrics.observe_lag(lag_s)
        while self._window and self._window[-1][1] <= lag_s:
            self._window.pop()
        self._window.append((now, lag_s))
        while self._window[0][0] < now - WINDOW_S:
            self._window.popleft()
        self._metrics.set_lag_max(self._window[0][1])
        if lag_s > WARN_LAG_S and now >= self._next_warning:
            # At most one warning per interval, so that a busy event loop does
            # not flood the log.
            self._next_warning = now + WARN_INTERVAL_S
            logger.warning("event loop was blocked", lag_ms=round(lag_s * 1000))
        self._schedule()
