"""Chooses the upstream of a request, or refuses it.

Load this answers: demand close to or above what the upstreams can serve, where
an upstream is several times faster on objects that it has handled. A request
that is placed on an upstream which does not know its object takes several times
the slot time, so spreading an object over many upstreams when they are full
raises the demand further. Each object therefore has few upstreams, the same at
every host, by rendezvous hashing; what fits none of them is refused at once.
"""

from __future__ import annotations

import math
import random
from typing import Final

from .budgets import ColdLimit
from .config import RequestKind, Route, ServicePolicy
from .members import Members
from .observations import fingerprint
from .ranking import Rankings
from .registry import UpstreamRegistry
from .upstreams import Health, ServiceBaseline, Upstream

UPSTREAMS_PER_OBJECT: Final = 2  # upstreams of one object
# Part of the objective for which a request may always wait in a queue.
MIN_QUEUE_WAIT_FRACTION: Final = 0.3
CALLER_ROUND_TRIP_S: Final = 0.015  # time between callers and hosts, both ways
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 1.5
# Share of its slots up to which an upstream has room for one more object.
SPARE_UTILIZATION: Final = 0.5
MAX_EXCESS_FAILURE_RATE: Final = 0.9
TRIAL_INTERVAL_S: Final = 1.0
# The same for a request that may run once only, where a trial may cost its outcome.
NON_IDEMPOTENT_TRIAL_INTERVAL_S: Final = 5.0


class PlacementRequest:
    """What the placement knows of a request."""

    __slots__ = ("object_fingerprint", "object_key", "route", "service", "tried")

    def __init__(self, route: Route, service: str, object_key: str) -> None:
        self.route = route
        self.service = service
        self.object_key = object_key
        self.object_fingerprint = fingerprint(object_key)
        self.tried: set[str] = set()  # upstreams that it was sent to


class Placed:
    """The request goes to an upstream."""

    __slots__ = ("cost_s", "queue_wait_s", "queued", "rank", "upstream")

    def __init__(
        self, upstream: Upstream, rank: int, queue_wait_s: float, cost_s: float = 0.0
    ) -> None:
        self.upstream = upstream
        self.rank = rank  # place of the upstream in the object's order
        self.queue_wait_s = queue_wait_s  # expected time in its queue
        self.cost_s = cost_s  # expected time to its answer
        self.queued = queue_wait_s > 0


class Refused:
    """No upstream can serve the request in time."""

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class Candidates:
    """Upstreams of an object among which a request is placed."""

    __slots__ = ("eligible", "first")

    def __init__(self) -> None:
        self.first: Upstream | None = None  # in the object's order, however it fares
        self.eligible: list[Upstream] = []  # may be trusted, in the object's order


class Placement:
    """Ranks the upstreams of each object and chooses among the first."""

    __slots__ = (
        "_cold_limit",
        "_members",
        "_policies",
        "_rankings",
        "_registry",
        "_rng",
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        members: Members,
        cold_limit: ColdLimit,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._cold_limit = cold_limit
        self._rng = rng
        self._policies: dict[str, ServicePolicy] = {}
        self._members = members  # share the limit of cold upstreams
        self._rankings = Rankings(members.own.region, registry)

    def set_policies(self, policies: dict[str, ServicePolicy]) -> None:
        """Take the services of a configuration."""
        self._policies = policies

    def choose(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Return where the request goes."""
        self._registry.note_request(request.service, now)
        baseline = self._registry.baseline(request.service, now)
        ranked = self._rankings.ranked(
            request.service,
            request.object_key,
            request.route.home_regions,
            near_first=request.route.kind is RequestKind.UPLOAD,
        )
        candidates = self._candidates(ranked, request, baseline, now)
        if candidates.first is None:
            return self._refuse("no-upstream", MIN_RETRY_AFTER_S)
        trial = self._trial(candidates.first, request, baseline, now)
        if trial is not None:
            return trial
        eligible = candidates.eligible
        options = _estimate_options(
            eligible[:UPSTREAMS_PER_OBJECT], request, baseline, now
        )
        longest_s = _max_queue_wait_s(request.route, baseline)
        in_time = [option for option in options if option.queue_wait_s <= longest_s]
        if in_time:
            return min(in_time, key=lambda option: option.cost_s)
        overflow = _overflow_placement(eligible, now)
        if overflow is not None:
            return overflow
        shortest_s = min(option.queue_wait_s for option in options)
        return self._refuse("upstreams-full", shortest_s)

    def _candidates(
        self,
        ranked: list[Upstream],
        request: PlacementRequest,
        baseline: ServiceBaseline,
        now: float,
    ) -> Candidates:
        """Return the first upstreams of an object that may be trusted.

        One that has just started is slow and bears few requests, so objects move to
        it only afterwards, unless the others are too few. Looks no further than
        needed, since services have up to thousands of upstreams.
        """
        found = Candidates()
        most_in_flight = self._connection_share(request.service)
        doubtful: list[Upstream] = []
        cold: list[Upstream] = []
        for item in ranked:
            if item.name in request.tried or item.in_flight >= most_in_flight:
                continue
            if item.is_cold(now):
                cold.append(item)
                continue
            found.first = found.first or item
            if item.health(baseline, now) is Health.GOOD:
                found.eligible.append(item)
                if len(found.eligible) > UPSTREAMS_PER_OBJECT:
                    return found
            elif len(doubtful) <= UPSTREAMS_PER_OBJECT:
                doubtful.append(item)
        if len(found.eligible) < UPSTREAMS_PER_OBJECT:
            self._add_cold(found, cold, baseline, now)
        found.eligible = found.eligible or doubtful or self._admissible_cold(cold, now)
        found.first = found.first or next(iter(found.eligible), None)
        return found

    def _add_cold(
        self,
        found: Candidates,
        cold: list[Upstream],
        baseline: ServiceBaseline,
        now: float,
    ) -> None:
        for item in cold:
            is_good = item.health(baseline, now) is Health.GOOD
            if is_good and self._within_cold_limit(item, now):
                found.eligible.append(item)
                if len(found.eligible) > UPSTREAMS_PER_OBJECT:
                    return

    def _connection_share(self, service: str) -> float:
        """Return how many connections this host may use at one upstream.

        Upstreams reset those above a bound that all hosts share. Every host may use
        one, which keeps the bound while there are no more hosts than connections.
        """
        policy = self._policies.get(service)
        if policy is None or not policy.max_connections:
            return math.inf
        return max(1, policy.max_connections // self._members.count())

    def _admissible_cold(self, cold: list[Upstream], now: float) -> list[Upstream]:
        return [item for item in cold if self._within_cold_limit(item, now)]

    def _within_cold_limit(self, upstream: Upstream, now: float) -> bool:
        if not upstream.is_cold(now):
            return True
        policy = self._policies.get(upstream.entry.service)
        if policy is None or not policy.cold_per_s:
            return True
        position = self._members.position(upstream.name)
        return self._cold_limit.allows(
            upstream.name, policy.cold_per_s, self._members.count(), position, now
        )

    def _trial(
        self,
        first: Upstream,
        request: PlacementRequest,
        baseline: ServiceBaseline,
        now: float,
    ) -> Placed | None:
        """Send a request to a doubtful upstream now and then.

        The intervals of the hosts that doubt it grow with the square of their places
        in its order of hosts: all together make fewer than two trials in the shortest
        one, and one host that cannot reach it does not keep the others from it.
        """
        if request.tried or first.health(baseline, now) is not Health.DOUBTFUL:
            return None
        interval_s = TRIAL_INTERVAL_S
        if not request.route.idempotent and not first.connect_failures:
            interval_s = NON_IDEMPOTENT_TRIAL_INTERVAL_S
        place = 0
        if first.fails_at_peers(baseline):
            place = self._members.position(first.name)
        interval_s *= (place + 1) ** 2
        return Placed(first, 0, 0.0) if first.begin_trial(interval_s, now) else None

    def _refuse(self, reason: str, queue_wait_s: float) -> Refused:
        """Refuse; the time to come back is spread, so that not all return at once."""
        queue_wait_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, queue_wait_s))
        return Refused(reason, queue_wait_s * self._rng.uniform(0.8, 1.6))


def _estimate_options(
    few: list[Upstream],
    request: PlacementRequest,
    baseline: ServiceBaseline,
    now: float,
) -> list[Placed]:
    """Return what to expect of a request at the upstreams of its object.

    Once a service has run for a while, the first is taken to know the object,
    since all hosts send it there. Another that does not know it is left out unless
    it has spare slots: its work there takes several times as long, which a full
    service cannot bear.
    """
    objective_s = request.route.objective_s
    options = []
    for place, upstream in enumerate(few):
        known = upstream.is_warm_for(request.object_fingerprint) or (
            place == 0 and baseline.warmed_up
        )
        if place > 0 and not known and not _has_spare_slots(upstream, now):
            continue
        queue_wait_s = upstream.queue_wait_s(baseline, objective_s, now)
        cost_s = queue_wait_s + upstream.service_time_s(known, baseline, objective_s)
        # What fails has to be sent again.
        excess = min(
            MAX_EXCESS_FAILURE_RATE, upstream.excess_failure_rate(baseline, now)
        )
        options.append(Placed(upstream, place, queue_wait_s, cost_s / (1.0 - excess)))
    return options


def _overflow_placement(eligible: list[Upstream], now: float) -> Placed | None:
    """Return one more upstream of an object, if it has room for a further object."""
    if len(eligible) <= UPSTREAMS_PER_OBJECT or not _has_spare_slots(
        eligible[UPSTREAMS_PER_OBJECT], now
    ):
        return None
    return Placed(eligible[UPSTREAMS_PER_OBJECT], UPSTREAMS_PER_OBJECT, 0.0)


def _has_spare_slots(upstream: Upstream, now: float) -> bool:
    """Tell whether an upstream may get one more object."""
    return upstream.load(now) <= SPARE_UTILIZATION * upstream.slots


def _max_queue_wait_s(route: Route, baseline: ServiceBaseline) -> float:
    """Return how long a queue may be, in seconds, for a new request to be on time.

    One that came back after a refusal is late already, and may wait as long: a
    longer queue would make those behind it late too.
    """
    on_time_s = route.objective_s - baseline.warm_answer_s - CALLER_ROUND_TRIP_S
    return max(on_time_s, route.objective_s * MIN_QUEUE_WAIT_FRACTION)
