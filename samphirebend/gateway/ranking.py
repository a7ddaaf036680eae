"""Ranks upstreams for each object by rendezvous hashing.

Every host computes the same order without coordination, and a change to the
set of upstreams moves few objects. The order ignores the region of the host:
callers move between regions and the regions peak at different times. With an
order per region, callers that move would reach upstreams that are not warm
for their objects, and one region's upstreams would be full while another's
are idle. Only large uploads stay in the region, because the links between
regions are thin.
"""

from __future__ import annotations

from typing import Final

from .registry import UpstreamRegistry
from .rendezvous import score
from .upstreams import Upstream

MAX_CACHED_RANKINGS: Final = 5000

RankingKey = tuple[str, str, frozenset[str], bool]


class Rankings:
    """Caches rankings until the set of usable upstreams changes."""

    __slots__ = ("_cached", "_generation", "_region", "_registry")

    def __init__(self, region: str, registry: UpstreamRegistry) -> None:
        self._region = region  # region of this host
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
        """Return the usable upstreams of a service, ranked for an object.

        `home_regions` restricts the ranking to these regions; empty means any.
        `near_first` ranks upstreams in this host's region before all others.
        """
        if (
            self._generation != self._registry.generation
            or len(self._cached) > MAX_CACHED_RANKINGS
        ):
            self._generation = self._registry.generation
            self._cached.clear()
        key = (service, object_key, home_regions, near_first)
        ranking = self._cached.get(key)
        if ranking is None:
            usable = self._registry.usable(service)
            allowed = [
                upstream
                for upstream in usable
                if not home_regions or upstream.region in home_regions
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
    """Rank upstreams for an object, those in `region` before the others."""
    near = [upstream for upstream in upstreams if upstream.region == region]
    far = [upstream for upstream in upstreams if upstream.region != region]
    return rank(object_key, near) + rank(object_key, far)


def rank(object_key: str, upstreams: list[Upstream]) -> list[Upstream]:
    """Rank upstreams for an object by rendezvous hashing."""

    def upstream_score(upstream: Upstream) -> int:
        return score(upstream.name, object_key)

    return sorted(upstreams, key=upstream_score, reverse=True)
