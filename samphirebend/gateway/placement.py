"""Chooses the upstream of a request, or refuses it.

Placement is designed for demand close to or above the capacity of the
upstreams, which are several times faster on objects that they have handled
before. Under overload, spreading an object over more upstreams would add
work: on an upstream that has not handled the object, the request occupies a
slot several times as long. Each object is therefore assigned a few upstreams
by rendezvous hashing, the same on every host. A request that none of them can
take in time goes to one further upstream if that has spare slots, and is
refused at once otherwise.
"""

from __future__ import annotations

import math
import random
from typing import Final

from ..errorcodes import ErrorKind
from .admission import Admitted
from .budgets import ColdLimit
from .config import Customer, RequestKind, Route, ServicePolicy
from .customers import combined_home_regions, effective_priority
from .members import Members
from .observations import fingerprint
from .ranking import Rankings
from .ratelimits import RateLimits
from .registry import UpstreamRegistry
from .reserve import Reserve
from .upstreams import Health, ServiceBaseline, Upstream

UPSTREAMS_PER_OBJECT: Final = 2
# Fraction of the route's objective that a request may always spend queued.
MIN_QUEUE_WAIT_FRACTION: Final = 0.3
# Network round trip between a caller and this host.
CALLER_ROUND_TRIP_S: Final = 0.015
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 1.5
# Slot utilization up to which an upstream may be given a further object.
SPARE_UTILIZATION: Final = 0.5
# Cap that keeps the retry-adjusted cost, cost / (1 - rate), finite.
MAX_EXCESS_FAILURE_RATE: Final = 0.9
# Minimum time between trial requests to a doubtful upstream.
TRIAL_INTERVAL_S: Final = 1.0
# Minimum time before a non-idempotent request is used as a trial. It is
# longer because a failed trial cannot be retried, so its outcome may be lost.
# After connection failures the shorter interval applies, because a request
# that cannot be sent has no outcome to lose.
NON_IDEMPOTENT_TRIAL_INTERVAL_S: Final = 5.0
# Reason of a refusal because the queues of an object's upstreams are too long.
FULL: Final = "upstreams-full"


class PlacementRequest:
    """The properties of a request that decide its placement."""

    __slots__ = (
        "admitted",
        "customer",
        "home_regions",
        "object_fingerprint",
        "object_key",
        "priority",
        "route",
        "service",
        "tried",
    )

    def __init__(
        self,
        route: Route,
        service: str,
        object_key: str,
        customer: Customer | None = None,
    ) -> None:
        self.route = route
        # Name of the customer; empty if there is none.
        self.customer = customer.name if customer is not None else ""
        self.priority = effective_priority(route, customer)  # 0: most urgent
        self.home_regions = combined_home_regions(route, customer)  # empty: any
        self.service = service
        self.object_key = object_key
        self.object_fingerprint = fingerprint(object_key)
        self.tried: set[str] = set()  # ids of upstreams already attempted
        # Decision of admission; None: it is not in use.
        self.admitted: Admitted | None = None


class Placed:
    """Decision to send the request to an upstream."""

    __slots__ = (
        "cost_s",
        "queue_wait_s",
        "queued",
        "rank",
        "route_name",
        "upstream",
    )

    def __init__(
        self, upstream: Upstream, rank: int, queue_wait_s: float, cost_s: float = 0.0
    ) -> None:
        self.upstream = upstream
        self.rank = rank  # index among the object's eligible upstreams
        # Expected time in the upstream's queue.
        self.queue_wait_s = queue_wait_s
        # Expected time to a successful response, retries included.
        self.cost_s = cost_s
        self.queued = queue_wait_s > 0
        self.route_name = ""  # set if admission is in use


class Refused:
    """Decision not to send the request to any upstream."""

    __slots__ = ("kind", "reason", "retry_after_s")

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        kind: ErrorKind = ErrorKind.CAP_REACHED,
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.kind = kind


class Candidates:
    """Upstreams among which a request may be placed."""

    __slots__ = ("eligible", "first")

    def __init__(self) -> None:
        # Highest-ranked upstream of any health; cold only if no other is left.
        self.first: Upstream | None = None
        # Usable upstreams by rank, cold ones last.
        self.eligible: list[Upstream] = []


class Placement:
    """Assigns requests to high-ranked usable upstreams of their object."""

    __slots__ = (
        "_cold_limit",
        "_members",
        "_policies",
        "_rankings",
        "_rate_limits",
        "_registry",
        "_reserve",
        "_rng",
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        members: Members,
        cold_limit: ColdLimit,
        rate_limits: RateLimits,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._cold_limit = cold_limit
        self._rate_limits = rate_limits
        self._rng = rng
        self._policies: dict[str, ServicePolicy] = {}
        self._members = members  # hosts that share limits with this one
        self._rankings = Rankings(members.own.region, registry)
        self._reserve = Reserve(registry)

    def set_policies(self, policies: dict[str, ServicePolicy]) -> None:
        """Replace the service policies, keyed by service name."""
        self._policies = policies

    def ranked(self, request: PlacementRequest) -> list[Upstream]:
        """Return the usable upstreams in the order of the request's object."""
        return self._rankings.ranked(
            request.service,
            request.object_key,
            request.home_regions,
            near_first=request.route.kind is RequestKind.UPLOAD,
        )

    def _allowed(self, request: PlacementRequest) -> list[Upstream]:
        """Return the ranked upstreams without those set aside for others."""
        ranked, admitted = self.ranked(request), request.admitted
        if admitted is None or admitted.reserve is None:
            return ranked
        return self._reserve.apply(ranked, request.service, admitted.reserve)

    def passed_over(
        self, request: PlacementRequest, upstream: Upstream, now: float
    ) -> str:
        """Return why an upstream is no candidate, or an empty string."""
        if upstream.name in request.tried:
            return "tried"
        if upstream.in_flight >= self._connection_share(request.service):
            return "connections"
        if upstream.is_cold(now):
            return "cold"
        if not self._rate_limits.allows(upstream.fingerprint, now):
            return "rate limit"
        baseline = self._registry.baseline(request.service, now)
        health = upstream.health(baseline, now)
        return "" if health is Health.GOOD else health.value

    def choose(
        self, request: PlacementRequest, now: float, dry_run: bool = False
    ) -> Placed | Refused:
        """Choose an upstream for the request or refuse it.

        A dry run records nothing.
        """
        if not dry_run:
            self._registry.record_request(request.service, now)
        baseline = self._registry.baseline(request.service, now)
        admitted = request.admitted
        ranked = self._allowed(request)
        candidates = self._candidates(ranked, request, baseline, now)
        if candidates.first is None:
            kind = ErrorKind.NO_UPSTREAM
            return self._refuse("no-upstream", MIN_RETRY_AFTER_S, kind)
        trial = self._trial(candidates.first, request, baseline, now, dry_run)
        if trial is not None:
            return trial
        eligible = candidates.eligible
        options = _estimate_options(
            eligible[:UPSTREAMS_PER_OBJECT], request, baseline, now
        )
        if admitted is not None and admitted.max_wait_s is not None:
            max_wait_s = admitted.max_wait_s
        else:
            max_wait_s = max_queue_wait_s(request.route, baseline.warm_latency_s)
        in_time = [option for option in options if option.queue_wait_s <= max_wait_s]
        for option in sorted(in_time, key=lambda option: option.cost_s):
            if self._admit(option.upstream, now, dry_run):
                return option
        overflow = self._overflow_placement(eligible, now, dry_run)
        if overflow is not None:
            return overflow
        if in_time:
            min_wait_s = min(self._limit_wait_s(option, now) for option in in_time)
            return self._refuse("upstream-limit", min_wait_s)
        min_wait_s = min(option.queue_wait_s for option in options)
        return self._refuse(FULL, min_wait_s)

    def choose_hedge(self, request: PlacementRequest, now: float) -> Placed | None:
        """Choose an upstream for a second attempt alongside the first one.

        Only the other one of the upstreams assigned to the object comes into
        question, and only with a free slot and the object known there: the
        attempt must end soon and must delay no other request.
        """
        baseline = self._registry.baseline(request.service, now)
        max_in_flight = self._connection_share(request.service)
        assigned = 0
        for upstream in self._allowed(request):
            tried = upstream.name in request.tried
            usable = not upstream.is_cold(now) and (
                upstream.health(baseline, now) is Health.GOOD
            )
            if not tried and not usable:
                continue
            if (
                not tried
                and upstream.is_warm_for(request.object_fingerprint)
                and upstream.load(now) < upstream.slots
                and upstream.in_flight < max_in_flight
                # Asked again every 0.1 s: a prevented hedge is no demand.
                and self._rate_limits.allows(upstream.fingerprint, now)
                and self._admit(upstream, now, dry_run=False)
            ):
                objective_s = request.route.objective_s
                cost_s = upstream.service_time_s(True, baseline, objective_s)
                placed = Placed(upstream, assigned, 0.0, cost_s)
                placed.route_name = request.route.name
                return placed
            assigned += 1
            if assigned == UPSTREAMS_PER_OBJECT:
                break
        return None

    def expected_s(
        self, placed: Placed, request: PlacementRequest, now: float
    ) -> float:
        """Return the expected time to the response of one attempt, in seconds."""
        upstream, objective_s = placed.upstream, request.route.objective_s
        baseline = self._registry.baseline(request.service, now)
        warm = upstream.is_warm_for(request.object_fingerprint)
        queue_wait_s = upstream.queue_wait_s(baseline, objective_s, now)
        starts_at = now + queue_wait_s
        return queue_wait_s + upstream.service_time_s(
            warm, baseline, objective_s, starts_at
        )

    def _admit(self, upstream: Upstream, now: float, dry_run: bool) -> bool:
        """Take a request from the upstream's rate limit, if there is one."""
        limits = self._rate_limits
        if dry_run:
            return limits.allows(upstream.fingerprint, now)
        limits.record_demand(upstream.fingerprint, now)
        if not limits.allows(upstream.fingerprint, now):
            return False
        limits.take(upstream.fingerprint, now)
        return True

    def _limit_wait_s(self, option: Placed, now: float) -> float:
        return self._rate_limits.wait_s(option.upstream.fingerprint, now)

    def _overflow_placement(
        self, eligible: list[Upstream], now: float, dry_run: bool
    ) -> Placed | None:
        """Return a placement on a further upstream with spare slots."""
        for rank in range(UPSTREAMS_PER_OBJECT, len(eligible)):
            upstream = eligible[rank]
            spare = _has_spare_slots(upstream, now)
            if spare and self._admit(upstream, now, dry_run):
                return Placed(upstream, rank, 0.0)
        return None

    def _candidates(
        self,
        ranked: list[Upstream],
        request: PlacementRequest,
        baseline: ServiceBaseline,
        now: float,
    ) -> Candidates:
        """Return the highest-ranked usable upstreams of an object.

        Cold upstreams are slow and take few requests, so they are used only
        when too few others are healthy. The scan stops as soon as enough are
        found, because a service may have thousands of upstreams. Those at their
        rate limit keep their rank but do not count as found.
        """
        candidates = Candidates()
        limits = self._rate_limits
        found = 0
        max_in_flight = self._connection_share(request.service)
        doubtful: list[Upstream] = []
        cold: list[Upstream] = []
        for upstream in ranked:
            if upstream.name in request.tried or upstream.in_flight >= max_in_flight:
                continue
            if upstream.is_cold(now):
                cold.append(upstream)
                continue
            candidates.first = candidates.first or upstream
            if upstream.health(baseline, now) is Health.GOOD:
                candidates.eligible.append(upstream)
                found += limits.allows(upstream.fingerprint, now)
                if found > UPSTREAMS_PER_OBJECT:
                    return candidates
            elif len(doubtful) <= UPSTREAMS_PER_OBJECT:
                doubtful.append(upstream)
        if len(candidates.eligible) < UPSTREAMS_PER_OBJECT:
            self._add_cold(candidates, cold, baseline, now)
        candidates.eligible = (
            candidates.eligible or doubtful or self._admissible_cold(cold, now)
        )
        candidates.first = candidates.first or next(iter(candidates.eligible), None)
        return candidates

    def _add_cold(
        self,
        candidates: Candidates,
        cold: list[Upstream],
        baseline: ServiceBaseline,
        now: float,
    ) -> None:
        for upstream in cold:
            is_good = upstream.health(baseline, now) is Health.GOOD
            if is_good and self._within_cold_limit(upstream, now):
                candidates.eligible.append(upstream)
                if len(candidates.eligible) > UPSTREAMS_PER_OBJECT:
                    return

    def _connection_share(self, service: str) -> float:
        """Return how many connections this host may open to one upstream.

        Upstreams reset connections above a limit that all hosts share. Every
        host may open at least one, so the limit holds as long as there are no
        more hosts than allowed connections.
        """
        policy = self._policies.get(service)
        if policy is None or not policy.max_connections:
            return math.inf
        return max(1, policy.max_connections // self._members.count())

    def _admissible_cold(self, cold: list[Upstream], now: float) -> list[Upstream]:
        return [upstream for upstream in cold if self._within_cold_limit(upstream, now)]

    def _within_cold_limit(self, upstream: Upstream, now: float) -> bool:
        if not upstream.is_cold(now):
            return True
        policy = self._policies.get(upstream.entry.service)
        if policy is None or not policy.cold_per_s:
            return True
        position = self._members.share_position(upstream.name)
        return self._cold_limit.allows(
            upstream.name, policy.cold_per_s, self._members.count(), position, now
        )

    def _trial(
        self,
        first: Upstream,
        request: PlacementRequest,
        baseline: ServiceBaseline,
        now: float,
        dry_run: bool,
    ) -> Placed | None:
        """Return a trial placement if a doubtful first choice is due for one.

        When other hosts doubt the upstream too, a host's interval grows with
        the square of its position in the upstream's host order. All hosts
        together then make fewer than two trials per shortest interval, and a
        host that cannot reach the upstream does not block trials by others.
        """
        if request.tried or first.health(baseline, now) is not Health.DOUBTFUL:
            return None
        if not self._rate_limits.allows(first.fingerprint, now):
            return None
        interval_s = TRIAL_INTERVAL_S
        if not request.route.idempotent and not first.connect_failures:
            interval_s = NON_IDEMPOTENT_TRIAL_INTERVAL_S
        position = 0
        if first.fails_at_peers(baseline):
            position = self._members.position(first.name)
        interval_s *= (position + 1) ** 2
        if not first.is_trial_due(interval_s, now):
            return None
        if not dry_run:
            first.begin_trial(interval_s, now)
            self._admit(first, now, dry_run)
        return Placed(first, 0, 0.0)

    def _refuse(
        self,
        reason: str,
        retry_after_s: float,
        kind: ErrorKind = ErrorKind.CAP_REACHED,
    ) -> Refused:
        """Refuse with a jittered retry delay, to spread the retries."""
        retry_after_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, retry_after_s))
        return Refused(reason, retry_after_s * self._rng.uniform(0.8, 1.6), kind)


def _estimate_options(
    assigned: list[Upstream],
    request: PlacementRequest,
    baseline: ServiceBaseline,
    now: float,
) -> list[Placed]:
    """Estimate queueing and cost of a request at each upstream of its object.

    Once a service has warmed up, the first upstream is assumed warm for the
    object because all hosts send it there. Any other that is not warm is
    skipped unless it has spare slots: the request would take several times as
    long there, which an overloaded service cannot afford.
    """
    objective_s = request.route.objective_s
    options = []
    for rank, upstream in enumerate(assigned):
        warm = upstream.is_warm_for(request.object_fingerprint) or (
            rank == 0 and baseline.warmed_up
        )
        if rank > 0 and not warm and not _has_spare_slots(upstream, now):
            continue
        queue_wait_s = upstream.queue_wait_s(baseline, objective_s, now)
        starts_at = now + queue_wait_s
        cost_s = queue_wait_s + upstream.service_time_s(
            warm, baseline, objective_s, starts_at
        )
        # Scale the cost by the expected number of attempts.
        excess = min(
            MAX_EXCESS_FAILURE_RATE, upstream.excess_failure_rate(baseline, now)
        )
        options.append(Placed(upstream, rank, queue_wait_s, cost_s / (1.0 - excess)))
    return options


def _has_spare_slots(upstream: Upstream, now: float) -> bool:
    """Return whether an upstream has capacity for an object new to it."""
    return upstream.load(now) <= SPARE_UTILIZATION * upstream.slots


def max_queue_wait_s(route: Route, latency_s: float) -> float:
    """Return the longest queue wait with which a new request is still on time.

    A request retried after a refusal is late already but gets the same limit:
    a longer queue would make the requests behind it late too.
    """
    slack_s = route.objective_s - latency_s - CALLER_ROUND_TRIP_S
    return max(slack_s, route.objective_s * MIN_QUEUE_WAIT_FRACTION)
