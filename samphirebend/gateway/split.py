"""Divides a region's objects between its own upstreams and those of other regions.

Load this answers: regions with equal demand and very different numbers of
upstreams. Objects belong to the callers of one region, so each is best served
there; where the region's upstreams cannot bear all, a stable part of the objects
goes to regions with spare upstreams. Which ones follows from the hash of the
object, so a small change of the share moves few objects.
"""

from __future__ import annotations

from typing import Final

# Share of a region's slots that its own callers' demand may fill.
FILL: Final = 0.4
# Change of the share a second; callers must not change regions all at once.
FALL_PER_S: Final = 0.04
RISE_PER_S: Final = 0.005
STEP: Final = 0.02  # the share is rounded, so that rankings stay cached
DEMAND_DECAY_S: Final = 6.0
# Until the demand has been observed for this long, it is taken as equal everywhere.
OBSERVE_S: Final = 5.0


class Demand:
    """Requests a second to each service, as a moving average."""

    __slots__ = ("_at", "_rates", "_started")

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._at: dict[str, float] = {}
        self._started: dict[str, float] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count one request."""
        self._started.setdefault(service, now)
        self._rates[service] = self.rate(service, now) + 1.0 / DEMAND_DECAY_S
        self._at[service] = now

    def rate(self, service: str, now: float) -> float:
        """Return the requests a second."""
        age_s = now - self._at.get(service, now)
        left: float = max(0.0, 1.0 - age_s / DEMAND_DECAY_S)
        return self._rates.get(service, 0.0) * left

    def rates(self, now: float) -> dict[str, float]:
        """Return the requests a second to services observed for long enough."""
        return {
            service: round(self.rate(service, now), 2)
            for service, started in self._started.items()
            if now - started >= OBSERVE_S
        }


class RegionSplit:
    """Share of the own region's objects that are served in the region."""

    __slots__ = ("_shares", "_updated")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}  # by service
        self._updated: dict[str, float] = {}

    def share(self, service: str) -> float | None:
        """Return the share in force, 0 to 1; None: not known yet."""
        share = self._shares.get(service)
        return None if share is None else round(share / STEP) * STEP

    def update(
        self,
        service: str,
        slots: dict[str, int],
        region: str,
        demand_slots: float | None,
        now: float,
    ) -> None:
        """Move the share towards its target.

        `slots` are those of each region, `demand_slots` is what the callers of
        the own region fill on average; None: not observed yet.
        """
        if not slots:
            return
        target = _target(slots, region, demand_slots)
        share = self._shares.get(service)
        if share is None:
            share = target
        elapsed_s = now - self._updated.get(service, now)
        low = share - FALL_PER_S * elapsed_s
        high = share + RISE_PER_S * elapsed_s
        self._shares[service] = min(high, max(low, target))
        self._updated[service] = now


def _target(slots: dict[str, int], region: str, demand_slots: float | None) -> float:
    own = slots.get(region, 0)
    if demand_slots is None:
        return min(1.0, own * len(slots) / max(1, sum(slots.values())))
    if demand_slots <= 0:
        return 1.0 if own else 0.0
    return min(1.0, FILL * own / demand_slots)


def spare_weights(slots: dict[str, int], region: str) -> dict[str, float]:
    """Return the weights of other regions for objects that leave their own.

    >>> spare_weights({"a": 24, "b": 8, "c": 24}, "b")
    {'a': 5.33, 'c': 5.33}
    """
    even = sum(slots.values()) / max(1, len(slots))
    others = {name: count for name, count in slots.items() if name != region}
    spare = {name: count - even for name, count in others.items() if count > even}
    return {name: round(weight, 2) for name, weight in (spare or others).items()}
