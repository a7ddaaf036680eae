"""Choice of the upstream, and of hosts for look-ups.

`places` calls `choose_upstream` for the upstreams of its own shards, once
`peerchoice` has named no host. `lookup` calls `rank_hosts`. The measure of the user
is "latency" or "headroom". Own outcomes go before reports.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Final, Protocol

from .slotusage import SlotUsage

HEADROOM: Final = "headroom"
# Seconds in which an own latency fades towards the mean of the service, so
# that an upstream that was slow once is tried again.
LATENCY_DECAY_S: Final = 15.0
# Added to the expected seconds for a certain failure: about one more attempt.
FAILURE_COST_S: Final = 1.0
REPORTED_FAILING_COST_S: Final = 0.2
# Share by which the expected latency grows when all slots are in use.
UTILISATION_COST: Final = 0.5
# Weight of a host's slots beside its free ones: a caller keeps an answer for
# longer than a figure of free slots is worth.
LOOKUP_CAPACITY_WEIGHT: Final = 0.5


class UpstreamInfo(Protocol):
    """What `choose_upstream` asks of `upstreamstate.UpstreamStates`."""

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
    """Return the upstream that should run a request, None if none has a slot.

    "latency" takes the least expected time, "headroom" the highest free share
    that remains; equal choices are drawn.
    """
    open_rooms = []
    for room in slot_usages:
        limit = states.limit(room.upstream, room.limit, now)
        if room.in_flight < limit:
            open_rooms.append(SlotUsage(room.upstream, room.in_flight, limit))
    if len(open_rooms) < 2:
        return open_rooms[0].upstream if open_rooms else None
    known = [_fresh_latency(room.upstream, states, now) for room in open_rooms]
    # Stale samples count little in the mean, or a single slow one that is no
    # longer repeated would keep its upstream out for good.
    weight = sum(item[1] for item in known)
    mean_s = sum(item[0] * item[1] for item in known) / weight if weight else 0.0
    best: tuple[float, float, float] | None = None
    chosen = ""
    for room, (latency_s, freshness) in zip(open_rooms, known, strict=True):
        expected_s = mean_s + (latency_s - mean_s) * freshness
        expected_s += _failure_cost_s(room, states, now)
        taken = (room.in_flight + 1) / room.limit
        if measure == HEADROOM:
            # Failures still come first: a failing upstream is always empty.
            failing = states.failure_share(room.upstream, now)
            cost = (round(taken + 2.0 * failing, 3), expected_s, rng.random())
        else:
            cost = (expected_s * (1.0 + UTILISATION_COST * taken), taken, rng.random())
        if best is None or cost < best:
            best, chosen = cost, room.upstream
    return chosen


def _fresh_latency(
    upstream: str, states: UpstreamInfo, now: float
) -> tuple[float, float]:
    """Return the own latency in seconds and its freshness from 0 to 1."""
    latency_s = states.latency_s(upstream)
    if latency_s is None:
        return 0.0, 0.0
    return latency_s, math.exp(-states.latency_age_s(upstream, now) / LATENCY_DECAY_S)


def _failure_cost_s(room: SlotUsage, states: UpstreamInfo, now: float) -> float:
    cost_s = FAILURE_COST_S * states.failure_share(room.upstream, now)
    if states.reported_failing(room.upstream, now):
        cost_s += REPORTED_FAILING_COST_S
    return cost_s


class HostOption:
    """A host as an answer of a look-up."""

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
        self.in_region = in_region  # of the caller
        self.delay_s = delay_s  # between the caller's region and the host's
        self.free = free  # slots of the service
        self.total = total
        self.stopping = stopping


def rank_hosts(options: Iterable[HostOption], rng: Random) -> list[str]:
    """Return live hosts for a caller, the best first.

    Hosts of the caller's region come first, then others by delay. Hosts at
    the same delay are drawn without replacement, weighted by free slots; a
    host without a free slot keeps a small weight, since its figure may be old.
    """
    keyed = []
    for option in options:
        if option.stopping:
            continue
        weight = max(option.free, 0) + LOOKUP_CAPACITY_WEIGHT * option.total + 0.01
        distance_s = 0.0 if option.in_region else option.delay_s
        # Exponential draws divided by weights order as a weighted draw
        # without replacement (Efraimidis and Spirakis, 2006).
        draw = rng.expovariate(1.0) / weight
        keyed.append((not option.in_region, distance_s, draw, option.host))
    return [key[3] for key in sorted(keyed)]
