"""Order of the upstreams of each object.

Rendezvous hashing gives every host the same order without agreement, and a change
of the set of upstreams moves few objects. The order does not depend on the region
of the host: callers move between regions and the peaks of the regions differ, so
an order for each region makes objects unknown where their callers go, and fills
the upstreams of one region while those of another are free. Only large bodies are
kept in the region, because the links between regions are thin.
"""

from __future__ import annotations

from typing import Final

import xxhash

from .registry import UpstreamRegistry
from .upstreams import Upstream

MAX_CACHED: Final = 5000

RankingKey = tuple[str, str, frozenset[str], bool]


class Rankings:
    """Orders of the upstreams, kept until the set of upstreams changes."""

    __slots__ = ("_cached", "_generation", "_region", "_registry")

    def __init__(self, region: str, registry: UpstreamRegistry) -> None:
        self._region = region  # of this host and its callers
        self._registry = registry
        self._cached: dict[RankingKey, list[Upstream]] = {}
        self._generation = -1

    def ranked(
        self,
        service: str,
        object_key: str,
        home_regions: frozenset[str],
        near_first: bool,
    ) -> list[Upstream]:
        """Return the usable upstreams of a service in the order of an object.

        `homes` are the regions that may serve it, empty: any; `near_first` puts
        those of this host's region before the others.
        """
        if (
            self._generation != self._registry.generation
            or len(self._cached) > MAX_CACHED
        ):
            self._generation = self._registry.generation
            self._cached.clear()
        key = (service, object_key, home_regions, near_first)
        ranking = self._cached.get(key)
        if ranking is None:
            usable = self._registry.usable(service)
            allowed = [
                item
                for item in usable
                if not home_regions or item.region in home_regions
            ]
            if near_first:
                ranking = rank_near_first(object_key, allowed, self._region)
            else:
                ranking = rank(object_key, allowed)
            self._cached[key] = ranking
        return ranking


def rank_near_first(
    object_key: str, upstreams: list[Upstream], region: str
) -> list[Upstream]:
    """Return upstreams in the order of an object, those of a region first."""
    near = [item for item in upstreams if item.region == region]
    far = [item for item in upstreams if item.region != region]
    return rank(object_key, near) + rank(object_key, far)


def rank(object_key: str, upstreams: list[Upstream]) -> list[Upstream]:
    """Return upstreams in the order of an object (rendezvous hashing)."""

    def score(upstream: Upstream) -> int:
        text = f"{upstream.name}/{object_key}"
        return int(xxhash.xxh3_64_intdigest(text.encode()))

    return sorted(upstreams, key=score, reverse=True)
