"""Choice of the peer to which a request is relayed.

`places` asks through `router` for each request of its own callers. If no host is
named, the request stays and `routing` chooses an upstream. Figures told by peers
lose their weight within the time that a request holds a slot.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Final

from .relayhistory import RelayCandidate, RelayHistory

# Bodies above this stay in the region while it has a free slot.
SMALL_BODY_BYTES: Final = 64 * 1024
# Share of small idempotent requests that leave the region per unit by which
# another region's free share is higher.
CROSS_REGION_GAIN: Final = {"headroom": 5.0, "latency": 3.0}
MAX_CROSS_REGION_SHARE: Final = 0.9
# Share of a peer's slots that must be free for a request that could stay. The last
# slots of a peer in another region are in use by the time that the relay arrives.
MIN_FREE_SHARE: Final = 0.25
# A host whose free share lies below its average by more than this keeps its
# requests: load that rises quickly may rise in all regions, whose slots would be
# in use when the relays arrive. Less is noise of a host with 20 slots, and of one
# service with 5.
HOST_LOAD_RISE_MARGIN: Final = 0.25
SERVICE_LOAD_RISE_MARGIN: Final = 0.5
# By how much the free share of a peer in the region must exceed the own one
# before a request that could stay is relayed to it.
SAME_REGION_MARGIN: Final = {"headroom": 0.1, "latency": 0.2}
# A relay that is refused over a link of a longer delay than this takes longer
# than the 50 ms that a refusal may take.
NEAR_DELAY_S: Final = 0.01
# No more relays for the sake of headroom when the link has this backlog.
MAX_BACKLOG_S: Final = 0.02
# A load that rises in all regions at once fills them within this time of each
# other. What peers of other regions told before it had passed since the own
# region became full is too old to relay on.
SETTLING_TIME_S: Final = 0.3
# Below this a refusal at the peer is all but certain.
MIN_EXPECTED_FREE: Final = 0.3
# After the first, averages of what peers told fade to static shares with the
# second: uneven demand outlasts the figures that showed it.
STALE_S: Final = 5.0
STALE_DECAY_S: Final = 20.0
# What a refused relay costs the caller: a pause and another try.
REFUSAL_COST_S: Final = 0.25


class RelayRequest:
    """What `choose_peer` needs to know of a request and of its host."""

    __slots__ = (
        "holding_time_s",
        "host_free",
        "host_total",
        "idempotent",
        "own_free",
        "own_total",
        "region",
        "service",
        "size",
    )

    def __init__(
        self,
        service: str,
        size: int,
        idempotent: bool,
        region: str,
        own_free: int,
        own_total: int,
        host_free: int,
        host_total: int,
        holding_time_s: float,
    ) -> None:
        self.service = service
        self.holding_time_s = (
            holding_time_s  # time that requests of the service hold a slot
        )
        self.size = size  # bytes of the body, or the most that may follow
        self.idempotent = idempotent
        self.region = region  # of this host
        self.own_free = own_free  # slots that `choose_upstream` may use
        self.own_total = own_total
        self.host_free = host_free  # of all services, at this host
        self.host_total = host_total


def expected_free(
    option: RelayCandidate, request: RelayRequest, log: RelayHistory, now: float
) -> float:
    """Return the free slots to expect at the peer.

    What a heartbeat told loses its worth within the time that a request holds
    a slot; older figures fade to the average of what the peer tells, and after
    5 s to half of its slots. Over a long link the lower of both counts.
    Own relays that the heartbeat cannot have counted are subtracted while they
    last: a relay sent within one round trip before the heartbeat was heard had
    not reached the peer when it left. A refusal since the heartbeat says that
    there was no slot at all.
    """
    hold_s = max(0.01, request.holding_time_s)
    heard_at, heard_free = log.latest_free(option, request.service)
    age_s = max(0.0, now - heard_at)
    average = log.average_free(option, request.service)
    average += (option.total / 2 - average) * _staleness(option, now)
    since = max(heard_at - 2 * option.delay_s, now - hold_s)
    taken = log.sent_since(option.host, request.service, since)
    told, told_age_s = float(heard_free), age_s + option.delay_s
    refused_at = log.refused_at(option.host, request.service)
    if refused_at >= heard_at:
        told, told_age_s = 0.0, now - refused_at
    fresh = math.exp(-told_age_s / hold_s)
    if option.delay_s > NEAR_DELAY_S:
        # A relay that is refused there takes longer than a refusal may.
        return min(told, average) - taken
    return average + (told - average) * fresh - taken


def _staleness(option: RelayCandidate, now: float) -> float:
    """Return the weight, from 0 to 1, of the static share: half of the slots."""
    late_s = now - option.heard_at - STALE_S
    return 0.0 if late_s <= 0.0 else 1.0 - math.exp(-late_s / STALE_DECAY_S)


def choose_peer(
    request: RelayRequest,
    options: Iterable[RelayCandidate],
    log: RelayHistory,
    measure: str,
    now: float,
    rng: Random,
) -> str | None:
    """Return the host to relay to, None to keep or refuse the request.

    With an own free slot, a peer of the region is taken if it is emptier by a
    margin, and small idempotent requests go to an emptier region; the user's
    measure sets how readily. Without one, the peer with the least expected
    cost in seconds is taken: the way there and back, and a refusal as likely
    as its slots are few. A large body stays in the region while a peer there
    is likely to have a slot. Another region is asked only on figures that were
    told after a load that rises everywhere would have filled it too.
    """
    every = list(options)
    usable = []
    for option in every:
        free = expected_free(option, request, log, now)
        if free >= MIN_EXPECTED_FREE and not math.isinf(
            option.delay_s + option.backlog_s
        ):
            usable.append((option, free))
    local = [item for item in usable if item[0].region == request.region]
    if request.own_free > 0:
        host = _emptier_neighbour(request, local, SAME_REGION_MARGIN[measure])
        if host is not None:
            return host
        if not (request.idempotent and request.size <= SMALL_BODY_BYTES):
            return None
        gain = CROSS_REGION_GAIN[measure]
        return _emptier_region(request, every, usable, log, gain, now, rng)
    likely = [item for item in local if item[1] >= 1.0]
    if likely and request.size > SMALL_BODY_BYTES:
        return _draw(likely, rng)
    costs = {option.host: _relay_cost_s(option, free) for option, free in usable}
    ranked = sorted(
        (option for option, _ in usable),
        key=lambda option: (costs[option.host], option.host),
    )
    if ranked and ranked[0].region == request.region:
        return ranked[0].host
    settled_at = log.note_overflow(request.service, now) + SETTLING_TIME_S
    for option in ranked:
        told_at = option.heard_at - option.delay_s
        if option.region == request.region or told_at >= settled_at:
            return option.host
    return None


def _relay_cost_s(option: RelayCandidate, free: float) -> float:
    travel_s = 2 * option.delay_s + option.backlog_s
    return travel_s + REFUSAL_COST_S * math.exp(-free)


def _emptier_neighbour(
    request: RelayRequest, local: list[tuple[RelayCandidate, float]], margin: float
) -> str | None:
    """Return the peer of the region with the highest free share of the service.

    None unless it is higher than the own one by a margin.
    """
    best = None
    best_share = request.own_free / max(1, request.own_total) + margin
    for option, free in local:
        share = free / max(1, option.total)
        if share > best_share:
            best, best_share = option.host, share
    return best


def _emptier_region(
    request: RelayRequest,
    options: Iterable[RelayCandidate],
    usable: list[tuple[RelayCandidate, float]],
    log: RelayHistory,
    gain: float,
    now: float,
    rng: Random,
) -> str | None:
    """Return a peer in an emptier region, as likely as that region is emptier.

    All services count, since a site's heat and a region's cap do not
    distinguish them. The share moved is proportional to the difference: moving
    all or nothing on figures that lag would swing between the regions. Nothing
    moves while the own load rises quickly.
    """
    own_average = log.own_free(request.host_free, now)
    if _is_rising(request, own_average):
        return None
    free = {request.region: own_average}
    total = {request.region: float(request.host_total)}
    for option in options:
        told = log.host_free(option)
        told += (option.host_total / 2 - told) * _staleness(option, now)
        free[option.region] = free.get(option.region, 0.0) + told
        total[option.region] = total.get(option.region, 0.0) + option.host_total
    share = {name: free[name] / max(1.0, total[name]) for name in free}
    targets = [
        item
        for item in usable
        if item[0].region != request.region
        and item[1] >= max(1.0, MIN_FREE_SHARE * item[0].total)
        and item[0].backlog_s <= MAX_BACKLOG_S
        and share[item[0].region] > share[request.region]
    ]
    if not targets:
        return None
    best = max(share[option.region] for option, _ in targets)
    if rng.random() >= min(
        MAX_CROSS_REGION_SHARE, gain * (best - share[request.region])
    ):
        return None
    weights = [
        count * (share[option.region] - share[request.region])
        for option, count in targets
    ]
    chosen = rng.choices([option for option, _ in targets], weights)[0]
    return chosen.host


def _is_rising(request: RelayRequest, own_average: float) -> bool:
    """Tell whether a host has much fewer free slots than on average."""
    average_share = own_average / max(1, request.host_total)
    host_share = request.host_free / max(1, request.host_total)
    service_share = request.own_free / max(1, request.own_total)
    return (
        host_share < average_share - HOST_LOAD_RISE_MARGIN
        or service_share < average_share - SERVICE_LOAD_RISE_MARGIN
    )


def _draw(items: list[tuple[RelayCandidate, float]], rng: Random) -> str:
    """Draw a peer weighted by its free slots.

    Hosts that heard the same heartbeat would all take its emptiest sender.
    """
    weights = [free for _, free in items]
    return rng.choices([option.host for option, _ in items], weights)[0]
