"""Parts of a division of a rate among hosts by their demand.

`ratelimits` divides the limits that upstreams name, and `quotas` the quotas of
customers. Both know their own demand exactly and that of other hosts from
heartbeats.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from .rendezvous import score


class DemandAverage:
    """Average of a request rate that decays exponentially."""

    __slots__ = ("_at", "_sum", "_time_constant_s")

    def __init__(self, time_constant_s: float, now: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0  # decaying count of requests, as of `_at`
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the average rate."""
        decay = math.exp((self._at - now) / self._time_constant_s)
        return self._sum * decay / self._time_constant_s

    def record(self, now: float) -> None:
        """Count one request."""
        decay = math.exp((self._at - now) / self._time_constant_s)
        self._sum = self._sum * decay + 1.0
        self._at = now


class PeerRates:
    """Rates that other hosts have reported, and the times of the reports."""

    __slots__ = ("_lifetime_s", "_rates")

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s  # age at which a report no longer counts
        self._rates: dict[str, tuple[float, float]] = {}  # keyed by host

    def record(self, host: str, per_s: float, now: float) -> None:
        """Replace the rate that a host has reported."""
        self._rates[host] = (per_s, now)

    def forget(self, host: str) -> None:
        """Delete the report of a host."""
        self._rates.pop(host, None)

    def fresh(self, now: float) -> dict[str, float]:
        """Return the rates above zero that were reported lately."""
        self._rates = {
            host: (per_s, at)
            for host, (per_s, at) in self._rates.items()
            if now - at < self._lifetime_s
        }
        return {host: per_s for host, (per_s, _) in self._rates.items() if per_s > 0.0}


def divide_by_weight(
    total: int, weights: Mapping[str, float], key: str
) -> dict[str, int]:
    """Divide whole units among hosts by their weights.

    Each host gets one unit before any gets two: the first one saves a host with
    few requests from refusing each of them. Hosts that would get equal parts of
    a unit take turns in the key's order. The result is the same on all hosts
    with the same weights.

    >>> divide_by_weight(9, {"a": 4.0, "b": 1.0, "c": 1.0}, "k")
    {'a': 5, 'b': 2, 'c': 2}
    >>> sum(divide_by_weight(2, {"a": 4.0, "b": 1.0, "c": 1.0}, "k").values())
    2
    """
    if total <= len(weights):
        first = first_hosts(weights, key, total)
        return {host: int(host in first) for host in weights}
    spare = total - len(weights)
    weight_sum = sum(weights.values())
    parts = {host: spare * weight / weight_sum for host, weight in weights.items()}
    shares = {host: 1 + int(part) for host, part in parts.items()}
    order = first_hosts(weights, key, len(weights))
    order.sort(key=lambda host: parts[host] - int(parts[host]), reverse=True)
    for host in order[: total - sum(shares.values())]:
        shares[host] += 1
    return shares


def first_hosts(hosts: Iterable[str], key: str | int, most: int) -> list[str]:
    """Return the first hosts in a key's order, which is the same on all hosts.

    >>> first_hosts(["a", "b", "c"], 7, 5) == first_hosts(["c", "a", "b"], 7, 3)
    True
    """
    return sorted(hosts, key=lambda host: score(host, key))[:most]
