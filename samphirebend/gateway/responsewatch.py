"""Ends attempts whose response is not to be expected any more.

A lost upstream, or one that loses a response, resets no connection, and an
idempotent request would wait for it until its deadline although another
upstream could serve it. A response is only late, and is waited for, while
requests queue at an upstream that responds to others: giving up then would add
load where upstreams are slow.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .attempt import Attempt
from .config import Route
from .context import GatewayContext
from .placement import Placed

# Interval of further checks of an upstream that responded to other requests.
RECHECK_INTERVAL_S: Final = 0.25
# Multiple of the expected time after which a response is overdue.
OVERDUE_FACTOR: Final = 5.0


class ResponseWatch:
    """Abandons one attempt when its response is overdue and a retry is possible."""

    __slots__ = (
        "_attempt",
        "_deadline",
        "_gateway",
        "_may_retry",
        "_objective_s",
        "_overdue_at",
        "_reactor",
        "_registry",
        "_timer",
    )

    def __init__(
        self,
        gateway: GatewayContext,
        attempt: Attempt,
        choice: Placed,
        route: Route,
        deadline: float,
        may_retry: Callable[[], bool],
    ) -> None:
        self._attempt = attempt
        self._gateway = gateway
        self._registry = gateway.routing_state.registry
        self._objective_s = route.objective_s
        self._deadline = deadline
        self._may_retry = may_retry
        self._reactor = reactor = gateway.reactor
        now, upstream = reactor.seconds(), attempt.upstream
        baseline = self._registry.baseline(upstream.entry.service, now)
        limit_s = upstream.silence_limit_s(baseline, route.objective_s)
        self._overdue_at = now + max(limit_s, OVERDUE_FACTOR * choice.cost_s)
        self._timer = reactor.callLater(limit_s, self._check)

    def stop(self) -> None:
        """End the watch."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        now, upstream = self._reactor.seconds(), self._attempt.upstream
        baseline = self._registry.baseline(upstream.entry.service, now)
        if self._deadline - now <= baseline.mean_latency_s:
            return  # no time for another attempt
        is_lost = upstream.is_silent(baseline, now, self._objective_s)
        if now >= self._overdue_at and upstream.load(now) <= upstream.slots:
            is_lost = True
        # A stopping host may refuse the retry, and the response would be lost.
        stopping = self._gateway.stop_schedule is not None
        may_end = not stopping and not self._attempt.streaming
        if is_lost and may_end and self._may_retry():
            self._attempt.abandon()
        else:
            self._timer = self._reactor.callLater(RECHECK_INTERVAL_S, self._check)
