"""Decides which requests may use the capacity of a service that is short.

`admissiongate` asks it before placement. Hosts keep no queue, so requests are
preferred in two ways. While urgent requests of a service are refused, some of
its upstreams are set aside for them. And requests that are late or beyond the
fair share of their customer or failure domain may find a shorter wait than
others. Both are adjusted by how often each rank of requests is served.
"""

from __future__ import annotations

import random
from collections import Counter
from enum import Enum, unique
from typing import Final

from .admissionuse import CUSTOMER, RANK, ZONE, ServiceUse, UseTable, user_key
from .observations import fingerprint
from .reserve import ReserveRange

# Served fraction of more urgent requests above which others do not yield.
TARGET_SERVED: Final = 0.97
# Upstreams beyond the estimated need are set aside until urgent requests are
# served more often than less urgent ones by this much. More would leave slots
# idle.
PREFERENCE: Final = 0.10
# Requests that are late or beyond a fair share are restricted until others are
# served more often by this much.
EXCESS_PREFERENCE: Final = 0.3
# Change of the restriction per second, at most 1, for each unit of missing
# preference.
GAIN_PER_S: Final = 5.0
MAX_STEP_S: Final = 0.25
MIN_STEP_S: Final = 0.05
# Every rank is served at least this often, relative to all requests. The
# requirement is a quarter; the rest is a margin for noise.
MIN_SERVED_RATIO: Final = 0.35
# Time for which a priority counts as present after its last request.
PRESENT_S: Final = 5.0
# Age from which load reports say nothing; then all requests are admitted.
MAX_REPORT_AGE_S: Final = 5.0
# Utilization of a service below which no request is restricted.
ROOM_UTILIZATION: Final = 0.6
# Rates at which upstreams are set aside and given back, of what is needed per
# second.
ENGAGE_PER_S: Final = 2.0
RELEASE_PER_S: Final = 0.5
# Utilization of a service below which upstreams are given back.
RELEASE_UTILIZATION: Final = 0.7
# Utilization of the upstreams set aside at which urgent requests wait little.
RESERVE_UTILIZATION: Final = 0.8
# Multiple of the estimated need that may be set aside.
MAX_ENGAGED: Final = 2.0
# Fraction of the upstreams that may be set aside.
MAX_RESERVED: Final = 0.75
MAX_PRIORITY: Final = 100
# First rank of late requests, after those of all priorities.
LATE_RANK: Final = 2 * MAX_PRIORITY + 2
# With this restriction the wait is MIN_PLACES of a queue.
MAX_RESTRICTION: Final = 1.0
MIN_PLACES: Final = 2.0
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 4.0
# Range of the random factor on it, so that callers return one after another.
MIN_SPREAD: Final = 0.7
MAX_SPREAD: Final = 1.7


@unique
class Rule(Enum):
    """Why a request was restricted or refused."""

    ADMITTED = "admitted"  # not restricted
    GUARANTEED = "guaranteed"  # part of the least share of its rank
    PRIORITY = "priority"  # not excessive; yields to more urgent ones only
    FAIR_SHARE = "fair-share"  # its customer or failure domain exceeds its share
    LATE = "late"  # already late
    DEADLINE = "deadline"  # cannot meet its deadline


class AdmissionRequest:
    """The properties of a request that decide its admission."""

    __slots__ = (
        "customer",
        "is_late",
        "max_wait_s",
        "priority",
        "service",
        "service_time_s",
        "time_left_s",
        "zone",
    )

    def __init__(
        self,
        service: str,
        priority: int,
        customer: str,
        zone: str,
        time_left_s: float,
        is_late: bool,
        max_wait_s: float,
        service_time_s: float,
    ) -> None:
        self.service = service
        self.priority = max(0, min(MAX_PRIORITY, priority))  # 0: most urgent
        self.customer = customer  # empty if there is none
        self.zone = zone  # failure domain of the host
        self.time_left_s = time_left_s  # until the deadline
        self.is_late = is_late  # the objective can no longer be met
        self.max_wait_s = max_wait_s  # longest wait with which it is on time
        self.service_time_s = service_time_s  # without waiting


class ServiceLoad:
    """Estimated load of the upstreams of a service."""

    __slots__ = ("load", "place_s", "report_age_s", "slots", "wait_s")

    def __init__(
        self,
        slots: int,
        load: float,
        wait_s: float,
        place_s: float,
        report_age_s: float,
    ) -> None:
        self.slots = slots
        self.load = load  # requests running or queued
        self.wait_s = wait_s  # mean expected wait in the queues
        self.place_s = place_s  # time in which a queue moves up by one
        self.report_age_s = report_age_s  # age of the newest load report

    @property
    def has_room(self) -> bool:
        """Return whether the load is low, or not known."""
        return (
            self.report_age_s > MAX_REPORT_AGE_S
            or self.load < ROOM_UTILIZATION * self.slots
        )


class Admitted:
    """Decision to place the request."""

    __slots__ = ("max_wait_s", "rank", "reserve", "rule")

    def __init__(self, rule: Rule, rank: int, max_wait_s: float | None = None) -> None:
        # Upstreams set aside; None: there are none.
        self.reserve: ReserveRange | None = None
        self.rule = rule
        self.rank = rank
        # Longest expected wait; None: placement's own limit.
        self.max_wait_s = max_wait_s


class Refused:
    """Decision to refuse the request."""

    __slots__ = ("retry_after_s", "rule")

    def __init__(self, rule: Rule, retry_after_s: float) -> None:
        self.rule = rule
        self.retry_after_s = retry_after_s


class _ServiceState:
    """Restrictions in force for one service."""

    __slots__ = (
        "engaged",
        "present",
        "reserved",
        "restrictions",
        "short_since",
        "updated_at",
    )

    def __init__(self) -> None:
        self.restrictions: dict[int, float] = {}  # keyed by rank
        self.updated_at = 0.0
        # Start of the present shortage.
        self.short_since: float | None = None
        # Newest request and its time, keyed by priority.
        self.present: dict[int, tuple[AdmissionRequest, float]] = {}
        # How far upstreams are set aside for a priority, 0 to 1, and the
        # fraction of all upstreams set aside for it and more urgent ones.
        self.engaged: dict[int, float] = {}
        self.reserved: dict[int, float] = {}


class Admission:
    """Restricts less urgent and excessive requests while a service is short.

    A rank is twice the priority, plus one for requests beyond the fair share
    of their customer or failure domain. Late requests rank after all others.
    """

    __slots__ = ("_rng", "_states", "counts", "use")

    def __init__(self, rng: random.Random, use: UseTable) -> None:
        self._rng = rng
        self.use = use
        self._states: dict[str, _ServiceState] = {}  # keyed by service
        # Decisions since startup, keyed by priority, result ("admitted",
        # "refused", or "full" for an admitted one without room) and rule.
        self.counts: Counter[tuple[int, str, str]] = Counter()

    def decide(
        self, request: AdmissionRequest, load: ServiceLoad, now: float
    ) -> Admitted | Refused:
        """Decide whether, and with which wait, a request may be placed."""
        key = fingerprint(request.service)
        state = self._states.setdefault(request.service, _ServiceState())
        state.present[request.priority] = (request, now)
        use = self.use.service(key)
        rule = self._excess(request, key, use, now)
        rank = _rank(request.priority, rule)
        self.use.count((key, RANK, rank), 1, 0, now)
        self._update(state, use, load, now)
        decision = self._decide(request, load, state, use, rank, rule, now)
        if isinstance(decision, Refused):
            self.use.count((key, RANK, rank), 0, 1, now)
        elif not load.has_room:
            decision.reserve = _reserve_range(state, request.priority)
        verdict = "refused" if isinstance(decision, Refused) else "admitted"
        self.counts[request.priority, verdict, decision.rule.value] += 1
        return decision

    def record_full(
        self, request: AdmissionRequest, admitted: Admitted, now: float
    ) -> None:
        """Record that an admitted request found no room."""
        self.use.count((fingerprint(request.service), RANK, admitted.rank), 0, 1, now)
        self.counts[request.priority, "full", admitted.rule.value] += 1

    def retry_after_s(
        self, request: AdmissionRequest, load: ServiceLoad, now: float
    ) -> float:
        """Return when a refused caller may expect room, spread at random.

        A shortage is expected to last about as long again as it has lasted.
        Callers whose deadline ends before that return early enough for it.
        """
        state = self._states.get(request.service)
        since = state.short_since if state is not None else None
        lasted_s = now - since if since is not None else 0.0
        served = self._served_fraction(request.service, now)
        expected_s = load.wait_s + (1.0 - served) * lasted_s
        latest_s = (request.time_left_s - 2.0 * request.service_time_s) / MAX_SPREAD
        expected_s = min(expected_s, MAX_RETRY_AFTER_S, latest_s)
        return max(MIN_RETRY_AFTER_S, expected_s) * self._rng.uniform(
            MIN_SPREAD, MAX_SPREAD
        )

    def restrictions(self, service: str) -> dict[int, float]:
        """Return the restrictions in force, rounded and keyed by rank."""
        state = self._states.get(service)
        in_force = state.restrictions if state is not None else {}
        return {rank: round(value, 2) for rank, value in in_force.items() if value}

    def reserved(self, service: str) -> dict[int, float]:
        """Return the fractions of upstreams set aside, keyed by priority."""
        state = self._states.get(service)
        in_force = state.reserved if state is not None else {}
        return {priority: round(value, 2) for priority, value in in_force.items()}

    def _served_fraction(self, service: str, now: float) -> float:
        use = self.use.service(fingerprint(service))
        return use.served_fraction(use.ranks, now)

    def _excess(
        self, request: AdmissionRequest, key: int, use: ServiceUse, now: float
    ) -> Rule:
        """Count the request's users; return why it is excessive, if it is.

        Requests beyond their customer's share do not count as use by the
        failure domain, so that other customers there are not turned away.
        """
        fair = True
        if request.customer:
            customer = user_key(request.customer)
            fraction = use.customers.fair_fraction(customer, now)
            fair = self._rng.random() < fraction
            self.use.count((key, CUSTOMER, customer), 1, fair, now)
        if fair:
            zone = user_key(request.zone)
            fair = self._rng.random() < use.zones.fair_fraction(zone, now)
            self.use.count((key, ZONE, zone), 1, fair, now)
        if request.is_late:
            return Rule.LATE
        return Rule.PRIORITY if fair else Rule.FAIR_SHARE

    def _decide(
        self,
        request: AdmissionRequest,
        load: ServiceLoad,
        state: _ServiceState,
        use: ServiceUse,
        rank: int,
        rule: Rule,
        now: float,
    ) -> Admitted | Refused:
        if load.has_room or state.short_since is None:
            return Admitted(Rule.ADMITTED, rank)
        if request.time_left_s < request.service_time_s:
            return Refused(Rule.DEADLINE, self.retry_after_s(request, load, now))
        latest_wait_s = request.time_left_s - request.service_time_s
        restriction = state.restrictions.get(rank, 0.0)
        if restriction <= 0.0:
            wait_s = min(request.max_wait_s, latest_wait_s)
            return Admitted(Rule.ADMITTED, rank, wait_s)
        if self._rng.random() < self._guaranteed_fraction(use, rank, now):
            # With the wait of the most urgent, it is served as often as they.
            wait_s = _least_wait_limit_s(state, request, now)
            return Admitted(Rule.GUARANTEED, rank, min(wait_s, latest_wait_s))
        # Below some places, hosts could not tell a free slot from a queue.
        shortest_s = min(request.max_wait_s, MIN_PLACES * load.place_s)
        wait_s = max(request.max_wait_s * (1.0 - restriction) ** 2, shortest_s)
        return Admitted(rule, rank, min(wait_s, latest_wait_s))

    def _guaranteed_fraction(self, use: ServiceUse, rank: int, now: float) -> float:
        """Return the fraction of a rank's requests placed as the most urgent."""
        if rank >= LATE_RANK:
            return 0.0
        served = use.served_fraction(use.ranks, now)
        urgent = [other for other in use.ranks if other < rank]
        urgent_served = use.served_fraction(urgent, now)
        return MIN_SERVED_RATIO * min(1.0, served / max(0.1, urgent_served))

    def _update(
        self, state: _ServiceState, use: ServiceUse, load: ServiceLoad, now: float
    ) -> None:
        """Adjust the restrictions by how often each rank is served."""
        elapsed_s = min(MAX_STEP_S, now - state.updated_at)
        if elapsed_s < MIN_STEP_S:
            return
        state.updated_at = now
        _update_reserve(state, use, load, elapsed_s, now)
        urgent_served = TARGET_SERVED  # least of the more urgent ranks
        for rank in sorted(use.ranks):
            served = use.ranks[rank].served_fraction(now)
            missing = min(TARGET_SERVED, served + EXCESS_PREFERENCE) - urgent_served
            change = max(-1.0, min(1.0, GAIN_PER_S * missing))
            if not _is_restricted(rank) or urgent_served >= TARGET_SERVED:
                change = -1.0
            restriction = state.restrictions.get(rank, 0.0) + change * elapsed_s
            state.restrictions[rank] = max(0.0, min(MAX_RESTRICTION, restriction))
            urgent_served = min(urgent_served, served)
        if urgent_served >= TARGET_SERVED and not any(state.restrictions.values()):
            state.short_since = None
        elif state.short_since is None:
            state.short_since = now


def _is_restricted(rank: int) -> bool:
    """Return whether a rank yields by its wait, not by upstreams set aside."""
    return rank >= LATE_RANK or rank % 2 == 1


def _rank(priority: int, rule: Rule) -> int:
    if rule is Rule.LATE:
        return LATE_RANK + priority
    return 2 * priority + (rule is Rule.FAIR_SHARE)


def _update_reserve(
    state: _ServiceState,
    use: ServiceUse,
    load: ServiceLoad,
    elapsed_s: float,
    now: float,
) -> None:
    """Set aside upstreams for urgent requests while those are refused.

    Hosts see an upstream too seldom to tell when one of its slots is free.
    Where less urgent requests may wait long, their queue is thus longer than
    what urgent ones may wait, and only upstreams without them help. Less
    urgent requests get them back when there is room for all.
    """
    priorities = sorted(
        priority for priority, (_, at) in state.present.items() if now - at < PRESENT_S
    )
    state.reserved.clear()
    needed = 0.0
    for priority in priorities[:-1]:
        ranks = [2 * priority, 2 * priority + 1]
        served = use.served_fraction(ranks, now)
        engaged = state.engaged.get(priority, 0.0)
        less_urgent = [rank for rank in use.ranks if ranks[1] < rank < LATE_RANK]
        wanted = TARGET_SERVED
        if engaged >= 1.0:
            less_served = use.served_fraction(less_urgent, now)
            wanted = min(wanted, less_served + PREFERENCE)
        if served < wanted and not load.has_room:
            engaged += ENGAGE_PER_S * elapsed_s
        elif engaged > 1.0 or load.load < RELEASE_UTILIZATION * load.slots:
            engaged -= RELEASE_PER_S * elapsed_s
        state.engaged[priority] = max(0.0, min(MAX_ENGAGED, engaged))
        rate = sum(
            use.ranks[rank].needed_per_s(now) for rank in ranks if rank in use.ranks
        )
        request, _ = state.present[priority]
        slots = rate * request.service_time_s / RESERVE_UTILIZATION
        needed += state.engaged[priority] * slots / max(1, load.slots)
        if needed > 0.0:
            state.reserved[priority] = min(MAX_RESERVED, needed)


def _reserve_range(state: _ServiceState, priority: int) -> ReserveRange | None:
    begin = end = 0.0
    for other, fraction in state.reserved.items():
        if other < priority:
            begin = max(begin, fraction)
        if other <= priority:
            end = max(end, fraction)
    return ReserveRange(begin, end) if end > 0.0 else None


def _least_wait_limit_s(
    state: _ServiceState, request: AdmissionRequest, now: float
) -> float:
    """Return the least wait limit of requests present that are as urgent."""
    return min(
        other.max_wait_s
        for priority, (other, at) in state.present.items()
        if priority <= request.priority and now - at < PRESENT_S
    )
