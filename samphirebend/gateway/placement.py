"""Chooses the upstream of a request, or refuses it.

Load this answers: demand close to or above what the upstreams can serve, where
an upstream is several times faster on objects that it has handled. A request
that is placed on an upstream which does not know its object takes several times
the slot time, so spreading an object over many upstreams when they are full
raises the demand further. Each object therefore has few upstreams, the same at
every host, by rendezvous hashing; what fits none of them is refused at once.
"""

from __future__ import annotations

import random
from typing import Final

import xxhash

from .budgets import ColdLimit
from .config import Route, ServicePolicy
from .upstreams import Health, Upstream, UpstreamBook

SPREAD: Final = 2  # upstreams of one object
# Part of the objective for which a request may always wait in a queue.
MIN_WAIT_SHARE: Final = 0.125
NETWORK_S: Final = 0.05  # time between hosts and upstreams, both ways
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 1.5
MAX_CACHED_RANKINGS: Final = 5000


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

    __slots__ = ("queued", "rank", "upstream", "wait_s")

    def __init__(self, upstream: Upstream, rank: int, wait_s: float) -> None:
        self.upstream = upstream
        self.rank = rank  # place of the upstream in the object's order
        self.wait_s = wait_s  # expected time in its queue
        self.queued = wait_s > 0


class Refused:
    """No upstream can serve the request in time."""

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class Placement:
    """Ranks the upstreams of each object and chooses among the first."""

    __slots__ = ("_book", "_cold", "_generation", "_policies", "_rankings", "_rng")

    def __init__(self, book: UpstreamBook, cold: ColdLimit, rng: random.Random) -> None:
        self._book = book
        self._cold = cold
        self._rng = rng
        self._policies: dict[str, ServicePolicy] = {}
        self._rankings: dict[tuple[str, str, frozenset[str]], list[Upstream]] = {}
        self._generation = -1

    def apply(self, policies: dict[str, ServicePolicy]) -> None:
        """Take the services of a configuration."""
        self._policies = policies

    def choose(self, request: Request, hosts: int, now: float) -> Placed | Refused:
        """Return where the request goes; `hosts` share the cold upstreams."""
        usual_s = self._book.usual_s(request.service)
        ranked = [
            item
            for item in self._ranking(request)
            if item.name not in request.tried and self._warm_enough(item, hosts, now)
        ]
        if not ranked:
            return self._refuse("no-upstream", MIN_RETRY_AFTER_S, request, now)
        trial = self._trial(ranked, request, usual_s, now)
        if trial is not None:
            return trial
        good = [item for item in ranked if item.health(usual_s, now) is Health.GOOD]
        few = (good or ranked)[:SPREAD]
        for rank, upstream in enumerate(few):
            if upstream.load(now) < upstream.slots:
                return Placed(upstream, rank, 0.0)
        waits = [item.wait_s(usual_s, now) for item in few]
        shortest = min(waits)
        best = few[waits.index(shortest)]
        if shortest <= self._longest_wait(request, best.expected_s(usual_s), now):
            return Placed(best, waits.index(shortest), shortest)
        return self._refuse("upstreams-full", shortest, request, now)

    def _warm_enough(self, upstream: Upstream, hosts: int, now: float) -> bool:
        if not upstream.is_cold(now):
            return True
        policy = self._policies.get(upstream.entry.service)
        if policy is None or not policy.cold_per_s:
            return True
        return self._cold.allows(upstream.name, policy.cold_per_s, hosts, now)

    def _trial(
        self, ranked: list[Upstream], request: Request, usual_s: float, now: float
    ) -> Placed | None:
        """Send a request that may be repeated to a doubtful upstream now and then."""
        first = ranked[0]
        if not request.route.idempotent or request.tried:
            return None
        if first.health(usual_s, now) is not Health.DOUBTFUL:
            return None
        return Placed(first, 0, 0.0) if first.takes_trial(now) else None

    def _longest_wait(self, request: Request, service_s: float, now: float) -> float:
        on_time_s = request.objective_at - now - service_s - NETWORK_S
        return max(on_time_s, request.route.objective_s * MIN_WAIT_SHARE)

    def _refuse(
        self, reason: str, wait_s: float, request: Request, now: float
    ) -> Refused:
        """Refuse; the time to come back is spread, so that not all return at once."""
        wait_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
        return Refused(reason, wait_s * self._rng.uniform(0.8, 1.6))

    def _ranking(self, request: Request) -> list[Upstream]:
        if self._generation != self._book.generation:
            self._generation = self._book.generation
            self._rankings.clear()
        homes = request.route.home_regions
        key = (request.service, request.object_key, homes)
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            usable = self._book.usable(request.service)
            allowed = [item for item in usable if not homes or item.region in homes]
            ranking = rank(request.object_key, allowed)
            self._rankings[key] = ranking
        return ranking


def rank(object_key: str, upstreams: list[Upstream]) -> list[Upstream]:
    """Return upstreams in the order of an object (rendezvous hashing)."""

    def score(upstream: Upstream) -> int:
        text = f"{upstream.name}/{object_key}"
        return int(xxhash.xxh3_64_intdigest(text.encode()))

    return sorted(upstreams, key=score, reverse=True)
