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

import xxhash

from .budgets import ColdLimit
from .config import Route, ServicePolicy
from .split import RegionSplit, spare_weights
from .upstreams import COLD_FACTOR, Health, ServiceNorm, Upstream, UpstreamBook

SPREAD: Final = 2  # upstreams of one object
# Part of the objective for which a request may always wait in a queue.
MIN_WAIT_SHARE: Final = 0.3
CALLER_NETWORK_S: Final = 0.015  # time between callers and hosts, both ways
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 1.5
MAX_CACHED_RANKINGS: Final = 5000
MIN_UNIT: Final = 1e-12


class Request:
    """What the placement knows of a request."""

    __slots__ = (
        "deadline",
        "object_key",
        "objective_at",
        "route",
        "service",
        "tried",
    )

    def __init__(
        self,
        route: Route,
        service: str,
        object_key: str,
        objective_at: float,
        deadline: float,
    ) -> None:
        self.route = route
        self.service = service
        self.object_key = object_key  # empty: the request concerns no object
        self.objective_at = objective_at  # time until which an answer is on time
        self.deadline = deadline
        self.tried: set[str] = set()  # upstreams that it was sent to


class Placed:
    """The request goes to an upstream."""

    __slots__ = ("queued", "rank", "upstream", "wait_s", "work_s")

    def __init__(
        self, upstream: Upstream, rank: int, wait_s: float, work_s: float = 0.0
    ) -> None:
        self.upstream = upstream
        self.rank = rank  # place of the upstream in the object's order
        self.wait_s = wait_s  # expected time in its queue
        self.work_s = work_s  # expected time of its work
        self.queued = wait_s > 0


class Refused:
    """No upstream can serve the request in time."""

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class Placement:
    """Ranks the upstreams of each object and chooses among the first."""

    __slots__ = (
        "_book",
        "_cold",
        "_generation",
        "_policies",
        "_rankings",
        "_region",
        "_rng",
        "split",
    )

    def __init__(
        self, region: str, book: UpstreamBook, cold: ColdLimit, rng: random.Random
    ) -> None:
        self._region = region  # of this host and its callers
        self._book = book
        self._cold = cold
        self._rng = rng
        self.split = RegionSplit()
        self._policies: dict[str, ServicePolicy] = {}
        self._rankings: dict[
            tuple[str, str, frozenset[str], float | None], list[Upstream]
        ] = {}
        self._generation = -1

    def apply(self, policies: dict[str, ServicePolicy]) -> None:
        """Take the services of a configuration."""
        self._policies = policies

    def update_split(self, demand: dict[str, float], now: float) -> None:
        """Take the region's requests a second to each service."""
        for service in self._policies:
            slots: dict[str, int] = {}
            for item in self._book.usable(service):
                slots[item.region] = slots.get(item.region, 0) + item.slots
            usual_s = self._book.norm(service, now).service_s
            filled = demand[service] * usual_s if service in demand else None
            self.split.update(service, slots, self._region, filled, now)

    def choose(self, request: Request, hosts: int, now: float) -> Placed | Refused:
        """Return where the request goes; `hosts` share the cold upstreams."""
        norm = self._book.norm(request.service, now)
        ranked = [
            item
            for item in self._ranking(request)
            if item.name not in request.tried and self._warm_enough(item, hosts, now)
        ]
        if not ranked:
            return self._refuse("no-upstream", MIN_RETRY_AFTER_S, request, now)
        trial = self._trial(ranked, request, norm, now)
        if trial is not None:
            return trial
        few = _first_choices(ranked, norm, now)
        options = [
            _option(item, rank, request.object_key, norm.service_s, now)
            for rank, item in enumerate(few)
        ]
        best = min(options, key=lambda option: option.wait_s + option.work_s)
        if best.wait_s <= _longest_wait(
            request.route, few[0].expected_s(norm.service_s)
        ):
            return best
        return self._refuse("upstreams-full", best.wait_s, request, now)

    def _warm_enough(self, upstream: Upstream, hosts: int, now: float) -> bool:
        if not upstream.is_cold(now):
            return True
        policy = self._policies.get(upstream.entry.service)
        if policy is None or not policy.cold_per_s:
            return True
        return self._cold.allows(upstream.name, policy.cold_per_s, hosts, now)

    def _trial(
        self, ranked: list[Upstream], request: Request, norm: ServiceNorm, now: float
    ) -> Placed | None:
        """Send a request that may be repeated to a doubtful upstream now and then."""
        first = ranked[0]
        if not request.route.idempotent or request.tried:
            return None
        if first.health(norm, now) is not Health.DOUBTFUL:
            return None
        return Placed(first, 0, 0.0) if first.takes_trial(now) else None

    def _refuse(
        self, reason: str, wait_s: float, request: Request, now: float
    ) -> Refused:
        """Refuse; the time to come back is spread, so that not all return at once."""
        wait_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
        return Refused(reason, wait_s * self._rng.uniform(0.8, 1.6))

    def _ranking(self, request: Request) -> list[Upstream]:
        share = self.split.share(request.service)
        if self._generation != self._book.generation:
            self._generation = self._book.generation
            self._rankings.clear()
        homes = request.route.home_regions
        key = (request.service, request.object_key, homes, share)
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            usable = self._book.usable(request.service)
            allowed = [item for item in usable if not homes or item.region in homes]
            own_share = 1.0 if share is None else share
            ranking = rank_by_region(
                request.object_key, allowed, self._region, own_share
            )
            self._rankings[key] = ranking
        return ranking


def _first_choices(
    ranked: list[Upstream], norm: ServiceNorm, now: float
) -> list[Upstream]:
    """Return the few upstreams that a request may go to, best trusted ones first.

    One that has just started is slow and bears few requests, so objects move to
    it only afterwards, unless the others are too few.
    """
    good = [item for item in ranked if item.health(norm, now) is Health.GOOD]
    settled = [item for item in good if not item.is_cold(now)]
    if len(settled) < SPREAD:
        settled += [item for item in good if item.is_cold(now)]
    return (settled or ranked)[:SPREAD]


def _longest_wait(route: Route, work_s: float) -> float:
    """Return how long a queue may be, in seconds, for a new request to be on time.

    One that came back after a refusal is late already, and may wait as long: a
    longer queue would make those behind it late too.
    """
    on_time_s = route.objective_s - work_s - CALLER_NETWORK_S
    return max(on_time_s, route.objective_s * MIN_WAIT_SHARE)


def _option(
    upstream: Upstream, place: int, object_key: str, usual_s: float, now: float
) -> Placed:
    """Return what to expect of a request at one upstream of its object.

    The first upstream of an object has handled it already, if any has.
    """
    work_s = upstream.expected_s(usual_s)
    if place > 0 and object_key not in upstream.warm:
        work_s *= COLD_FACTOR
    return Placed(upstream, place, upstream.wait_s(usual_s, now), work_s)


def rank_by_region(
    object_key: str, upstreams: list[Upstream], region: str, share: float
) -> list[Upstream]:
    """Return upstreams in the order of an object, its home region's first.

    `share` is the part of the objects that has its home in the own region.
    """
    by_region: dict[str, list[Upstream]] = {}
    for item in upstreams:
        by_region.setdefault(item.region, []).append(item)
    if len(by_region) < 2:
        return rank(object_key, upstreams)
    slots = {
        name: sum(item.slots for item in items) for name, items in by_region.items()
    }
    weights = spare_weights(slots, region)
    others = sorted(
        (name for name in by_region if name != region),
        key=lambda name: _weighted_score(name, object_key, weights.get(name, 0.0)),
        reverse=True,
    )
    order = others
    if region in by_region:
        is_home = _unit_hash(f"home/{object_key}") < share
        order = [region, *others] if is_home else [others[0], region, *others[1:]]
    return [item for name in order for item in rank(object_key, by_region[name])]


def _unit_hash(text: str) -> float:
    """Return a hash of a text as a number from 0 up to 1."""
    return int(xxhash.xxh3_64_intdigest(text.encode())) / 2.0**64


def _weighted_score(name: str, object_key: str, weight: float) -> float:
    """Return a score that is the highest as often as the weight says."""
    unit = max(_unit_hash(f"{name}//{object_key}"), MIN_UNIT)
    return -weight / math.log(unit) if weight > 0 else -1.0 + unit


def rank(object_key: str, upstreams: list[Upstream]) -> list[Upstream]:
    """Return upstreams in the order of an object (rendezvous hashing)."""

    def score(upstream: Upstream) -> int:
        text = f"{upstream.name}/{object_key}"
        return int(xxhash.xxh3_64_intdigest(text.encode()))

    return sorted(upstreams, key=score, reverse=True)
