"""Components that all requests of a gateway host share.

`app` creates them, and `front` and `forward` use them.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any, Final, Protocol

from loguru import logger

from ..connectionpool import ConnectionPool
from ..metrics import Metrics
from .admission import Admission
from .admissiongate import AdmissionGate
from .budgets import ColdLimit, RetryBudget
from .bytebudget import BODY_FRACTION, DEFAULT_MEMORY_BYTES, ByteBudget
from .config import Route
from .crashcheck import CrashChecks
from .credentials import Credentials
from .customers import Identity, identify
from .dialect import Dialect
from .feedback import Feedback
from .hedging import HedgePolicy
from .members import Members
from .placement import Placement
from .quotagate import QuotaGate
from .quotas import Quotas
from .routingstate import RoutingState
from .stopschedule import StopSchedule
from .upstreams import Upstream

# Successful requests are sampled for the log, one in this many on average.
SUCCESS_LOG_INTERVAL: Final = 50


class ActiveRequest(Protocol):
    """A request that has no final response yet."""

    def check_stop(self, schedule: StopSchedule, now: float) -> None:
        """End the request if a stopping host cannot finish it."""


class GatewayContext:
    """Components and counters shared by all requests of a host."""

    __slots__ = (
        "_attempt_numbers",
        "_rng",
        "active",
        "body_budget",
        "cold_limit",
        "configuration_current",
        "crash_checks",
        "credentials",
        "dialect",
        "feedback",
        "gate",
        "hedging",
        "members",
        "metrics",
        "placement",
        "pool",
        "quota_gate",
        "reactor",
        "retry_budget",
        "routing_state",
        "stop_schedule",
    )

    def __init__(
        self,
        dialect: Dialect,
        routing_state: RoutingState,
        placement: Placement,
        members: Members,
        retry_budget: RetryBudget,
        cold_limit: ColdLimit,
        feedback: Feedback,
        pool: ConnectionPool,
        metrics: Metrics,
        reactor: Any,
        rng: random.Random,
        credentials: Credentials | None = None,
        quota_gate: QuotaGate | None = None,
        hedging: HedgePolicy | None = None,
    ) -> None:
        self.hedging = hedging or HedgePolicy()
        self.dialect = dialect
        self.quota_gate = quota_gate or QuotaGate(Quotas(members.own.host))
        self.credentials = credentials or Credentials(None)
        # Whether this host's configuration is recent enough to reject a key that
        # it does not know.
        self.configuration_current: Callable[[], bool] = lambda: True
        self.feedback = feedback
        self.crash_checks = CrashChecks(feedback, pool, reactor)
        self.routing_state = routing_state
        self.placement = placement
        self.members = members
        self.retry_budget = retry_budget
        self.cold_limit = cold_limit
        self.pool = pool
        self.metrics = metrics
        self.reactor = reactor
        self._rng = rng
        self.gate = AdmissionGate(
            Admission(rng, feedback.use), placement, routing_state, members.own.zone
        )
        self._attempt_numbers = itertools.count(1)
        self.active: set[ActiveRequest] = set()  # requests being handled
        self.body_budget = ByteBudget(int(DEFAULT_MEMORY_BYTES * BODY_FRACTION))
        # Set while the host is stopping.
        self.stop_schedule: StopSchedule | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return len(self.active)

    def identify(self, route: Route, key: str | None) -> Identity:
        """Identify the customer of a request by the caller's key."""
        return identify(
            self.routing_state.customers,
            route,
            key,
            current=self.configuration_current(),
            honoured=self.credentials.honoured(),
        )

    def log_health_change(self, upstream: Upstream, now: float) -> None:
        """Log the health of an upstream if it has changed."""
        baseline = self.routing_state.registry.baseline(upstream.entry.service, now)
        health = upstream.health(baseline, now)
        if health is upstream.logged_health:
            return
        logger.info(
            "upstream health changed",
            event="upstream_health",
            upstream=upstream.name,
            service=upstream.entry.service,
            zone=upstream.entry.zone,
            before=upstream.logged_health.value,
            health=health.value,
            connect_failures=upstream.connect_failures,
            faulty=round(upstream.failure_rate, 2),
            usual_faulty=round(baseline.failure_rate, 2),
            warm_ms=round(upstream.warm_latency_s * 1000),
            usual_warm_ms=round(baseline.warm_latency_s * 1000),
            slowdown=round(upstream.speed.mean, 2),
        )
        upstream.logged_health = health

    def next_attempt_number(self) -> int:
        """Return a unique number for an attempt."""
        return next(self._attempt_numbers)

    def should_log_success(self) -> bool:
        """Decide at random whether to log a successful request."""
        return self._rng.random() * SUCCESS_LOG_INTERVAL < 1.0
