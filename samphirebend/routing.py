"""Selection of upstreams for requests, and of hosts for look-up answers.

`router` calls `choose_upstream` for a request that `peerchoice` keeps on this
host, and `rank_hosts` for a look-up. The manifest's measure, "latency" or
"headroom", sets what to optimise for. The outcomes of this host's own requests
weigh more than what an upstream's health reports say.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Final, Protocol

from .slotusage import SlotUsage

HEADROOM: Final = "headroom"
# Time constant with which a measured latency decays towards the mean of the
# service. Without the decay, an upstream that was slow once would not be used,
# and therefore not measured, again.
LATENCY_DECAY_S: Final = 15.0
# Seconds added to the expected time per unit of failure share. A request that
# is certain to fail costs about one more attempt.
FAILURE_COST_S: Final = 1.0
# Seconds added to the expected time of an upstream whose health reports have
# the status "fail".
REPORTED_FAILING_COST_S: Final = 0.2
# Relative increase of the expected latency when all slots are in use.
UTILISATION_COST: Final = 0.5
# Weight of a host's total slots against its free slots. A caller caches an
# answer for longer than a count of free slots stays accurate.
LOOKUP_CAPACITY_WEIGHT: Final = 0.5


class UpstreamInfo(Protocol):
    """The part of `UpstreamStates` that `choose_upstream` uses."""

    def accepts(self, upstream: str, now: float) -> bool: ...
    def limit(self, upstream: str, slots: int, now: float) -> int: ...
    def latency_s(self, upstream: str) -> float | None: ...
    def latency_age_s(self, upstream: str, now: float) -> float: ...
    def failure_share(self, upstream: str, now: float) -> float: ...
    def reported_failing(self, upstream: str, now: float) -> bool: ...


def choose_upstream(
    slot_usages: Iterable[SlotUsage],
    states: UpstreamInfo,
    measure: str,
    now: float,
    rng: Random,
) -> str | None:
    """Return the upstream that should run a request, None without free slots.

    The measure "latency" minimises the expected time of the request. The
    measure "headroom" minimises the sum of the utilisation and twice the
    failure share. Ties are broken at random.
    """
    open_usages = []
    for usage in slot_usages:
        limit = states.limit(usage.upstream, usage.limit, now)
        if usage.in_flight < limit:
            open_usages.append(SlotUsage(usage.upstream, usage.in_flight, limit))
    if len(open_usages) < 2:
        return open_usages[0].upstream if open_usages else None
    samples = [_fresh_latency(usage.upstream, states, now) for usage in open_usages]
    # Samples are weighted by freshness. Otherwise a single slow sample that no
    # newer one replaces would exclude its upstream permanently.
    weight = sum(pair[1] for pair in samples)
    mean_s = sum(pair[0] * pair[1] for pair in samples) / weight if weight else 0.0
    best: tuple[float, float, float] | None = None
    chosen = ""
    for usage, (latency_s, freshness) in zip(open_usages, samples, strict=True):
        expected_s = mean_s + (latency_s - mean_s) * freshness
        expected_s += _failure_cost_s(usage, states, now)
        utilisation = (usage.in_flight + 1) / usage.limit
        if measure == HEADROOM:
            # Failures outweigh utilisation, because an upstream that fails
            # fast always has free slots.
            failing = states.failure_share(usage.upstream, now)
            cost = (round(utilisation + 2.0 * failing, 3), expected_s, rng.random())
        else:
            cost = (
                expected_s * (1.0 + UTILISATION_COST * utilisation),
                utilisation,
                rng.random(),
            )
        if best is None or cost < best:
            best, chosen = cost, usage.upstream
    return chosen


def _fresh_latency(
    upstream: str, states: UpstreamInfo, now: float
) -> tuple[float, float]:
    """Return the measured latency and its freshness, from 0 (old) to 1."""
    latency_s = states.latency_s(upstream)
    if latency_s is None:
        return 0.0, 0.0
    return latency_s, math.exp(-states.latency_age_s(upstream, now) / LATENCY_DECAY_S)


def _failure_cost_s(usage: SlotUsage, states: UpstreamInfo, now: float) -> float:
    cost_s = FAILURE_COST_S * states.failure_share(usage.upstream, now)
    if states.reported_failing(usage.upstream, now):
        cost_s += REPORTED_FAILING_COST_S
    return cost_s


class HostOption:
    """A host that a look-up may name."""

    __slots__ = ("delay_s", "free", "host", "in_region", "stopping", "total")

    def __init__(
        self,
        host: str,
        in_region: bool,
        delay_s: float,
        free: int,
        total: int,
        stopping: bool,
    ) -> None:
        self.host = host
        self.in_region = in_region  # whether it is in the caller's region
        self.delay_s = delay_s  # one-way delay from the caller's region
        self.free = free  # free slots of the service
        self.total = total  # all slots of the service
        self.stopping = stopping  # whether the host is shutting down


def rank_hosts(options: Iterable[HostOption], rng: Random) -> list[str]:
    """Return the hosts that are not stopping, best first.

    Hosts in the caller's region come first, then the others by delay. Hosts
    with equal delay are ordered by a weighted random draw. The weight is
    mostly the number of free slots; a host without free slots keeps a small
    weight, because its count may be outdated.
    """
    keyed = []
    for option in options:
        if option.stopping:
            continue
        weight = max(option.free, 0) + LOOKUP_CAPACITY_WEIGHT * option.total + 0.01
        distance_s = 0.0 if option.in_region else option.delay_s
        # Sorting by exponential variates divided by the weights is a weighted
        # draw without replacement (Efraimidis and Spirakis, 2006).
        draw = rng.expovariate(1.0) / weight
        keyed.append((not option.in_region, distance_s, draw, option.host))
    return [key[3] for key in sorted(keyed)]
