"""Begins a second attempt of a request whose first one takes long.

`hedging` decides; this module asks it at the right time and collects what it
needs to know.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .attempt import Attempt
from .context import GatewayContext
from .hedging import RECHECK_INTERVAL_S, HedgeLimit, HedgeRequest
from .placement import Placed, PlacementRequest


class HedgeWatch:
    """Waits for one first attempt, and begins a hedge when that is allowed."""

    __slots__ = (
        "_attempt",
        "_attempts_left",
        "_begin",
        "_counted",
        "_deadline",
        "_gateway",
        "_request",
        "_timer",
    )

    def __init__(
        self,
        gateway: GatewayContext,
        attempt: Attempt,
        request: PlacementRequest,
        deadline: float,
        attempts_left: Callable[[], int],
        begin: Callable[[Placed], None],
    ) -> None:
        self._gateway = gateway
        self._attempt = attempt
        self._request = request
        self._deadline = deadline
        self._attempts_left = attempts_left
        self._begin = begin
        self._counted: set[HedgeLimit] = set()  # limits counted for this attempt
        self._timer: Any = None

    def start(self, delay_s: float) -> None:
        """Check for the first time after a delay."""
        self._timer = self._gateway.reactor.callLater(max(0.0, delay_s), self._check)

    def stop(self) -> None:
        """End the watch."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        gateway, policy = self._gateway, self._gateway.hedging
        attempt, service = self._attempt, self._request.service
        if attempt.end_kind is not None or attempt.response_head is not None:
            return
        now = gateway.reactor.seconds()
        limit = policy.find_limit(self._hedge_request(now), now)
        if limit is None:
            choice = gateway.placement.choose_hedge(self._request, now)
            if choice is not None:
                policy.record_begin(service, now)
                self._begin(choice)
                return
            limit = HedgeLimit.UPSTREAM
        if limit not in self._counted:
            self._counted.add(limit)
            policy.record_limit(service, limit)
        if limit.may_pass:
            self.start(RECHECK_INTERVAL_S)

    def _hedge_request(self, now: float) -> HedgeRequest:
        gateway, service = self._gateway, self._request.service
        hosts = gateway.members.count()
        return HedgeRequest(
            service,
            self._deadline - now,
            self._attempts_left(),
            gateway.retry_budget.allows(service, hosts, now),
            gateway.stop_schedule is not None,
        )
