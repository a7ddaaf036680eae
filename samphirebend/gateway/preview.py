"""Explains where a request would go now, and why, without sending it.

`front` serves the result to operators. The decisions are those of the request
path: admission and quotas are asked on copies of their state, and placement is
asked not to record anything.
"""

from __future__ import annotations

from typing import Final

import msgspec

from .admission import Refused as NotAdmitted
from .config import Customer, Route
from .context import GatewayContext
from .placement import Placed, PlacementRequest
from .upstreams import Upstream

MAX_CANDIDATES: Final = 8  # of the upstreams ranked for the object


class PreviewQuery:
    """The request to explain."""

    __slots__ = ("customer", "host_name", "object_key", "path")

    def __init__(
        self, host_name: str, path: str, object_key: str = "", customer: str = ""
    ) -> None:
        self.host_name = host_name
        self.path = path
        self.object_key = object_key  # empty: the request names no object
        self.customer = customer  # name of the customer, not a key


class Candidate(msgspec.Struct):
    """One upstream, in the order in which it is ranked for the object."""

    rank: int
    upstream: str
    failure_domain: str
    region: str
    health: str
    usable: str  # "yes", or why it is passed over
    load: float  # estimated requests running or queued
    slots: int
    in_flight: int  # of this host
    handled_object: bool
    expected_wait_ms: int
    expected_service_ms: int
    slowdown: float  # mean of its reports, 1.0 is usual
    load_report_age_ms: int | None  # None: it has not reported any


class ServicePreview(msgspec.Struct):
    """What would happen if the route's next request went to one service."""

    service: str
    weight: float
    choice: str  # id of the upstream; empty: the request would be refused
    reason: str
    retry_after_s: float | None
    admission: str
    candidates: list[Candidate]


class Preview(msgspec.Struct):
    """Explanation of one request at this host."""

    outcome: str
    config_version: int
    route: str = ""
    kind: str = ""
    customer: str = ""
    priority: int = 0
    home_regions: list[str] = []
    quota_wait_s: float = 0.0
    table_ages_s: dict[str, float] = {}
    services: list[ServicePreview] = []


def preview_request(
    gateway: GatewayContext, query: PreviewQuery, now: float
) -> Preview:
    """Return where a request would go now, and why."""
    state = gateway.routing_state
    if state.config is None or state.routes is None:
        return Preview("refused: this host knows no configuration", 0)
    version = state.config.version
    route = state.routes.match(query.host_name, query.path)
    if route is None:
        return Preview("rejected: no route matches", version)
    customer = state.config.customers.get(query.customer)
    result = Preview("", version, route.name, route.kind.value, query.customer)
    if state.config.customers and customer is None and not route.public:
        result.outcome = "rejected: the route needs the key of a known customer"
        return result
    if customer is not None and not gateway.credentials.honoured():
        result.outcome = "refused: this host may have missed a change of the keys"
        return result
    _fill(result, gateway, route, customer, query, now)
    return result


def _fill(
    result: Preview,
    gateway: GatewayContext,
    route: Route,
    customer: Customer | None,
    query: PreviewQuery,
    now: float,
) -> None:
    object_key = query.object_key or query.path
    for backend in route.backends:
        request = PlacementRequest(route, backend.service, object_key, customer)
        service = _preview_service(gateway, request, now)
        service.weight = backend.weight
        result.services.append(service)
        result.priority = request.priority
        result.home_regions = sorted(request.home_regions)
    if customer is not None:
        result.quota_wait_s = gateway.quota_gate.wait_s(customer.name)
    if result.quota_wait_s:
        result.outcome = "refused: the customer's quota is used up at this host"
    elif any(service.choice for service in result.services):
        result.outcome = "placed"
    else:
        result.outcome = "refused"


def _preview_service(
    gateway: GatewayContext, request: PlacementRequest, now: float
) -> ServicePreview:
    placement = gateway.placement
    deadline = now + request.route.timeout_s
    decision = gateway.gate.preview(request, deadline, now)
    admission = "not in use" if decision is None else decision.rule.value
    candidates = [
        _describe(gateway, request, rank, upstream, now)
        for rank, upstream in enumerate(placement.ranked(request)[:MAX_CANDIDATES])
    ]
    service = ServicePreview(request.service, 1.0, "", "", None, admission, candidates)
    if isinstance(decision, NotAdmitted):
        service.reason = f"admission-{decision.rule.value}"
        service.retry_after_s = round(decision.retry_after_s, 2)
        return service
    request.admitted = decision
    choice = placement.choose(request, now, dry_run=True)
    if isinstance(choice, Placed):
        service.choice = choice.upstream.name
        service.reason = (
            f"rank {choice.rank}, expected wait {choice.queue_wait_s * 1000:.0f} ms"
        )
    else:
        service.reason = choice.reason
        service.retry_after_s = round(choice.retry_after_s, 2)
    return service


def _describe(
    gateway: GatewayContext,
    request: PlacementRequest,
    rank: int,
    upstream: Upstream,
    now: float,
) -> Candidate:
    objective_s = request.route.objective_s
    baseline = gateway.routing_state.registry.baseline(request.service, now)
    warm = upstream.is_warm_for(request.object_fingerprint)
    reported_at = upstream.reported_at
    wait_s = upstream.queue_wait_s(baseline, objective_s, now)
    service_s = upstream.service_time_s(warm, baseline, objective_s, now + wait_s)
    return Candidate(
        rank,
        upstream.name,
        upstream.entry.zone,
        upstream.region,
        upstream.health(baseline, now).value,
        gateway.placement.passed_over(request, upstream, now) or "yes",
        round(upstream.load(now), 2),
        upstream.slots,
        upstream.in_flight,
        warm,
        round(wait_s * 1000),
        round(service_s * 1000),
        round(upstream.speed.mean, 2),
        round((now - reported_at) * 1000) if reported_at else None,
    )
