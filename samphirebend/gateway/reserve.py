"""Upstreams of a service that are set aside for its more urgent requests.

The order in which upstreams are set aside follows from their names, in each
region by itself, so that hosts that set aside different fractions differ only
in the last few upstreams.
"""

from __future__ import annotations

from typing import Final

from .registry import UpstreamRegistry
from .rendezvous import score
from .upstreams import Upstream

ORDER_KEY: Final = "reserve"


class ReserveRange:
    """Part of the order of upstreams that a request prefers.

    Those before `begin` are for more urgent requests; both are fractions of
    all upstreams.
    """

    __slots__ = ("begin", "end")

    def __init__(self, begin: float, end: float) -> None:
        self.begin = begin
        self.end = end


class Reserve:
    """Ranks upstreams with regard to those set aside."""

    __slots__ = ("_generation", "_positions", "_registry")

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._registry = registry
        self._generation = -1
        # Position of each upstream in its region's order, as a fraction of
        # the region's upstreams, by service.
        self._positions: dict[str, dict[str, float]] = {}

    def apply(
        self, ranked: list[Upstream], service: str, reserve: ReserveRange
    ) -> list[Upstream]:
        """Return the upstreams that a request may use, preferred ones first.

        All are returned if every one of them is for more urgent requests.
        """
        positions = self._of_service(service)
        preferred, others = [], []
        for upstream in ranked:
            position = positions.get(upstream.name, 1.0)
            if reserve.begin <= position < reserve.end:
                preferred.append(upstream)
            elif position >= reserve.end:
                others.append(upstream)
        return preferred + others or ranked

    def _of_service(self, service: str) -> dict[str, float]:
        if self._generation != self._registry.generation:
            self._generation = self._registry.generation
            self._positions.clear()
        positions = self._positions.get(service)
        if positions is None:
            positions = _positions(self._registry.usable(service))
            self._positions[service] = positions
        return positions


def _positions(upstreams: list[Upstream]) -> dict[str, float]:
    by_region: dict[str, list[str]] = {}
    for upstream in upstreams:
        by_region.setdefault(upstream.region, []).append(upstream.name)
    positions = {}
    for names in by_region.values():
        names.sort(key=lambda name: score(name, ORDER_KEY), reverse=True)
        for index, name in enumerate(names):
            positions[name] = (index + 0.5) / len(names)
    return positions
