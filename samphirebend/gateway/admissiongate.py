"""Asks admission before placement, with what this host knows of a service.

`forward` places requests through it. Without admission in the configuration,
it only passes them on to `placement`.
"""

from __future__ import annotations

import copy
from typing import Final

from loguru import logger

from . import placement as placing
from .admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Refused,
    Rule,
    ServiceLoad,
)
from .config import Config
from .placement import Placed, Placement, PlacementRequest, max_queue_wait_s
from .registry import BASELINE_SAMPLE_SIZE, UpstreamRegistry
from .routingstate import RoutingState
from .upstreams import INITIAL_WARM_FRACTION

# Time for which a computed load of a service is reused.
LOAD_INTERVAL_S: Final = 0.1
# Weights of a new latency below and above the average. Some requests had to
# wait although a slot was thought to be free, or their object was cold.
WEIGHT_BELOW: Final = 0.1
WEIGHT_ABOVE: Final = 0.02
# Minimum time between log lines about the shortage of one service.
SHORTAGE_LOG_INTERVAL_S: Final = 1.0


class AdmissionGate:
    """Admits requests and places those that are admitted."""

    __slots__ = (
        "_asked_for",
        "_config",
        "_latencies_s",
        "_loads",
        "_logged_at",
        "_placement",
        "_routing_state",
        "_zone",
        "admission",
        "allowed",
    )

    def __init__(
        self,
        admission: Admission,
        placement: Placement,
        routing_state: RoutingState,
        zone: str,
    ) -> None:
        self.admission = admission
        self._placement = placement
        self._routing_state = routing_state
        self._config: Config | None = None  # from which `_asked_for` follows
        self.allowed = False  # whether the operator's settings allow admission
        self._asked_for = False  # whether the configuration asks for it
        self._zone = zone  # failure domain of this host
        # Averages without waiting, keyed by service and route. Routes of one
        # service may differ by a factor of six.
        self._latencies_s: dict[tuple[str, str], float] = {}
        # Load and when it was computed, keyed by service.
        self._loads: dict[str, tuple[float, ServiceLoad]] = {}
        # Time of the last line on a shortage, keyed by service.
        self._logged_at: dict[str, float] = {}

    def choose(
        self, request: PlacementRequest, deadline: float, now: float
    ) -> Placed | placing.Refused:
        """Choose an upstream for the request or refuse it.

        Admission decides once for each request, not again for its retries.
        """
        if not self._is_enabled():
            return self._placement.choose(request, now)
        load = self._load(request.service, now)
        asked = self._admission_request(request, deadline, now)
        if request.admitted is None:
            decision = self.admission.decide(asked, load, now)
            self._log_shortage(asked, load, decision.rule, now)
            if isinstance(decision, Refused):
                reason = f"admission-{decision.rule.value}"
                return placing.Refused(reason, decision.retry_after_s)
            request.admitted = decision
        choice = self._placement.choose(request, now)
        if isinstance(choice, Placed):
            choice.route_name = request.route.name
        elif choice.reason == placing.FULL:
            self.admission.record_full(asked, request.admitted, now)
            choice.retry_after_s = self.admission.retry_after_s(asked, load, now)
        return choice

    def preview(
        self, request: PlacementRequest, deadline: float, now: float
    ) -> Admitted | Refused | None:
        """Return the decision on a request without counting it; None: none."""
        if not self._is_enabled():
            return None
        load = self._load(request.service, now)
        asked = self._admission_request(request, deadline, now)
        return copy.deepcopy(self.admission).decide(asked, load, now)

    def _is_enabled(self) -> bool:
        config = self._routing_state.config
        if config is not self._config:
            self._config = config
            self._asked_for = config is not None and is_needed(config)
        return self._asked_for and self.allowed

    def record_full(
        self, request: PlacementRequest, deadline: float, now: float
    ) -> None:
        """Record that an upstream refused the last attempt of a request."""
        if request.admitted is not None:
            asked = self._admission_request(request, deadline, now)
            self.admission.record_full(asked, request.admitted, now)

    def _admission_request(
        self, request: PlacementRequest, deadline: float, now: float
    ) -> AdmissionRequest:
        route = request.route
        time_left_s = deadline - now
        spent_s = route.timeout_s - time_left_s
        latency_s = self._latency_s(request, now)
        return AdmissionRequest(
            request.service,
            request.priority,
            request.customer,
            self._zone,
            time_left_s,
            is_late=spent_s + latency_s > route.objective_s,
            max_wait_s=max_queue_wait_s(route, latency_s),
            service_time_s=latency_s,
        )

    def record_success(self, choice: Placed, elapsed_s: float) -> None:
        """Record how long a request of a route took without waiting."""
        if self._is_enabled() and not choice.queued:
            key = (choice.upstream.entry.service, choice.route_name)
            known_s = self._latencies_s.get(key, elapsed_s)
            weight = WEIGHT_BELOW if elapsed_s < known_s else WEIGHT_ABOVE
            self._latencies_s[key] = known_s + weight * (elapsed_s - known_s)

    def _latency_s(self, request: PlacementRequest, now: float) -> float:
        """Return the latency of the request's route without waiting."""
        known_s = self._latencies_s.get((request.service, request.route.name))
        if known_s is not None:
            return known_s
        baseline = self._routing_state.registry.baseline(request.service, now)
        expected_s = INITIAL_WARM_FRACTION * request.route.objective_s
        return min(baseline.warm_latency_s or expected_s, expected_s)

    def _load(self, service: str, now: float) -> ServiceLoad:
        cached = self._loads.get(service)
        if cached is not None and now - cached[0] < LOAD_INTERVAL_S:
            return cached[1]
        load = service_load(self._routing_state.registry, service, now)
        self._loads[service] = (now, load)
        return load

    def _log_shortage(
        self, asked: AdmissionRequest, load: ServiceLoad, rule: Rule, now: float
    ) -> None:
        last_at = self._logged_at.get(asked.service, -SHORTAGE_LOG_INTERVAL_S)
        if rule is Rule.ADMITTED or now - last_at < SHORTAGE_LOG_INTERVAL_S:
            return
        self._logged_at[asked.service] = now
        logger.info(
            "requests restricted for lack of capacity",
            event="admission_short",
            service=asked.service,
            priority=asked.priority,
            rule=rule.value,
            load=round(load.load, 1),
            slots=load.slots,
            reserved=self.admission.reserved(asked.service),
            restrictions=self.admission.restrictions(asked.service),
        )


def service_load(registry: UpstreamRegistry, service: str, now: float) -> ServiceLoad:
    """Return the load of a service, from a sample of its upstreams."""
    usable = registry.usable(service)
    usable = usable[:: len(usable) // BASELINE_SAMPLE_SIZE + 1]
    baseline = registry.baseline(service, now)
    slots, load, wait_s, reported_at = 0, 0.0, 0.0, float("-inf")
    for upstream in usable:
        slots += upstream.slots
        load += upstream.load(now)
        wait_s += upstream.queue_wait_s(baseline, baseline.mean_latency_s, now)
        if upstream.reported_at:
            reported_at = max(reported_at, upstream.reported_at)
    mean_wait_s = wait_s / max(1, len(usable))
    place_s = baseline.mean_latency_s * len(usable) / max(1, slots)
    return ServiceLoad(slots, load, mean_wait_s, place_s, now - reported_at)


def is_needed(config: Config) -> bool:
    """Return whether a configuration asks for admission, by its customers.

    Priorities alone do not: deployments without customers have relied on being
    served first come, first served.
    """
    return bool(config.customers)
