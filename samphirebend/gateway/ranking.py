"""Order of the upstreams of each object: its home region's first.

Rendezvous hashing gives every host the same order without agreement, and a change
of the set of upstreams moves few objects.
"""

from __future__ import annotations

import math
from typing import Final

import xxhash

from .split import spare_weights
from .upstreams import Upstream, UpstreamBook

MAX_CACHED: Final = 5000
MIN_UNIT: Final = 1e-12

RankingKey = tuple[str, str, frozenset[str], float]


class Rankings:
    """Orders of the upstreams, kept until the set of upstreams changes."""

    __slots__ = ("_book", "_cached", "_generation", "_region")

    def __init__(self, region: str, book: UpstreamBook) -> None:
        self._region = region  # of this host and its callers
        self._book = book
        self._cached: dict[RankingKey, list[Upstream]] = {}
        self._generation = -1

    def ranked(
        self, service: str, object_key: str, homes: frozenset[str], share: float
    ) -> list[Upstream]:
        """Return the usable upstreams of a service in the order of an object."""
        if self._generation != self._book.generation or len(self._cached) > MAX_CACHED:
            self._generation = self._book.generation
            self._cached.clear()
        key = (service, object_key, homes, share)
        ranking = self._cached.get(key)
        if ranking is None:
            usable = self._book.usable(service)
            allowed = [item for item in usable if not homes or item.region in homes]
            ranking = rank_by_region(object_key, allowed, self._region, share)
            self._cached[key] = ranking
        return ranking


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
