"""Parts of a gateway host that all its requests share."""

from __future__ import annotations

import itertools
import random
from typing import Any, Final

from loguru import logger

from ..httpclient import ConnectionPool
from ..metrics import Metrics
from .budgets import ColdLimit, RetryBudget
from .crashcheck import CrashChecks
from .dialect import Dialect
from .learned import Learned
from .members import Members
from .placement import Placement
from .upstreams import Upstream
from .view import View

# Answers on time are logged one in this many.
SUCCESS_SAMPLE: Final = 50


class Gateway:
    """Parts that the requests of one host share."""

    __slots__ = (
        "_numbers",
        "_rng",
        "budget",
        "cold",
        "crash_checks",
        "dialect",
        "in_flight",
        "learned",
        "members",
        "metrics",
        "placement",
        "pool",
        "reactor",
        "refusing",
        "view",
    )

    def __init__(
        self,
        dialect: Dialect,
        view: View,
        placement: Placement,
        members: Members,
        budget: RetryBudget,
        cold: ColdLimit,
        learned: Learned,
        pool: ConnectionPool,
        metrics: Metrics,
        reactor: Any,
        rng: random.Random,
    ) -> None:
        self.dialect = dialect
        self.learned = learned
        self.crash_checks = CrashChecks(learned, pool, reactor)
        self.view = view
        self.placement = placement
        self.members = members
        self.budget = budget
        self.cold = cold
        self.pool = pool
        self.metrics = metrics
        self.reactor = reactor
        self._rng = rng
        self._numbers = itertools.count(1)
        self.in_flight = 0  # requests that are handled
        self.refusing = False  # the host takes no more requests

    def note_end(self) -> None:
        """Note that a request is no longer handled."""
        self.in_flight -= 1

    def note_health(self, upstream: Upstream, now: float) -> None:
        """Log how far an upstream is trusted, if that changed."""
        norm = self.view.book.norm(upstream.entry.service, now)
        health = upstream.health(norm, now)
        if health is upstream.logged_health:
            return
        logger.info(
            "upstream's health changed",
            event="upstream_health",
            upstream=upstream.name,
            service=upstream.entry.service,
            zone=upstream.entry.zone,
            before=upstream.logged_health.value,
            health=health.value,
            connect_failures=upstream.connect_failures,
            faulty=round(upstream.faulty, 2),
            usual_faulty=round(norm.faulty, 2),
            warm_ms=round(upstream.warm_s * 1000),
            usual_warm_ms=round(norm.warm_s * 1000),
        )
        upstream.logged_health = health

    def next_number(self) -> int:
        """Return a number for one try."""
        return next(self._numbers)

    def samples_success(self) -> bool:
        """Tell whether this good answer is logged."""
        return self._rng.random() * SUCCESS_SAMPLE < 1.0
