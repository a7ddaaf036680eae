"""Selection of the peer to which a request is relayed.

`targets` asks through `router` for each request that a caller sent to this
host. If no peer is returned, the request stays here and `routing` chooses an
upstream.

Peers report their free slots in heartbeats. A report is outdated once later
requests hold the slots. Its weight therefore decays with the time for which a
request holds a slot as the time constant.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Final

from .relayhistory import RelayCandidate, RelayHistory

# Requests with larger bodies stay in the region while it has a free slot.
SMALL_BODY_BYTES: Final = 64 * 1024
# Share of small idempotent requests that move to another region, per unit of
# the difference between the free shares of the two regions. Indexed by
# measure.
CROSS_REGION_GAIN: Final = {"headroom": 5.0, "latency": 3.0}
MAX_CROSS_REGION_SHARE: Final = 0.9
# Share of the slots of a peer in another region that must be free before it
# gets a request that could stay. The last free slots would be in use by the
# time the relay arrives.
MIN_FREE_SHARE: Final = 0.25
# A host whose free share is below its moving average by more than this keeps
# its requests. Load that rises quickly may rise in all regions, and their
# slots would be in use when the relays arrive. Smaller differences are noise
# at a host with 20 slots (first margin) or for a service with 5 (second).
HOST_LOAD_RISE_MARGIN: Final = 0.25
SERVICE_LOAD_RISE_MARGIN: Final = 0.5
# Difference by which the free share of a peer in the same region must exceed
# that of this host before it gets a request that could stay. Indexed by
# measure.
SAME_REGION_MARGIN: Final = {"headroom": 0.1, "latency": 0.2}
# Maximum one-way delay of a near link. A relay that is refused over a longer
# link exceeds the 50 ms that a refusal may take.
NEAR_DELAY_S: Final = 0.01
# Backlog of a link above which requests that could stay are not relayed over
# it.
MAX_BACKLOG_S: Final = 0.02
# A load that rises in all regions at once fills them within this time of each
# other. While this region is full, a report of a peer in another region is
# used only if it was sent at least this long after the region became full.
SETTLING_TIME_S: Final = 0.3
# Expected number of free slots below which a peer would almost certainly
# refuse.
MIN_EXPECTED_FREE: Final = 0.3
# Age above which the average of a peer's reports decays to half of its slots,
# and the time constant of that decay. It is slow because uneven demand lasts
# longer than the reports that showed it.
STALE_S: Final = 5.0
STALE_DECAY_S: Final = 20.0
# Seconds that a refused relay costs the caller: a pause and another attempt.
REFUSAL_COST_S: Final = 0.25


class RelayRequest:
    """The properties of a request and of this host that `choose_peer` uses."""

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
        # Mean time for which requests of the service hold a slot.
        self.holding_time_s = holding_time_s
        self.size = size  # bytes of the body, or its maximum if unknown
        self.idempotent = idempotent
        self.region = region  # region of this host
        self.own_free = own_free  # free slots of the service at this host
        self.own_total = own_total  # all slots of the service at this host
        self.host_free = host_free  # free slots of all services at this host
        self.host_total = host_total  # all slots of all services at this host


def expected_free(
    candidate: RelayCandidate, request: RelayRequest, history: RelayHistory, now: float
) -> float:
    """Return the number of free slots to expect at the peer.

    The newest report decays to the average of the peer's reports, with the
    time for which a request holds a slot as the time constant. After `STALE_S`
    without a report, the average decays to half of the peer's slots. Over a
    long link, the lower of report and average is used. A refusal after the
    newest report counts as a report of zero free slots.

    Relays of this host that the report cannot include are subtracted for as
    long as they hold their slots. These include relays sent up to one round
    trip before the report arrived, which had not reached the peer when it was
    sent.
    """
    hold_s = max(0.01, request.holding_time_s)
    heard_at, heard_free = history.latest_free(candidate, request.service)
    age_s = max(0.0, now - heard_at)
    average = history.average_free(candidate, request.service)
    average += (candidate.total / 2 - average) * _staleness(candidate, now)
    since = max(heard_at - 2 * candidate.delay_s, now - hold_s)
    relayed = history.sent_since(candidate.host, request.service, since)
    reported, reported_age_s = float(heard_free), age_s + candidate.delay_s
    refused_at = history.refused_at(candidate.host, request.service)
    if refused_at >= heard_at:
        reported, reported_age_s = 0.0, now - refused_at
    fresh = math.exp(-reported_age_s / hold_s)
    if candidate.delay_s > NEAR_DELAY_S:
        # Conservative, because a refusal over a long link exceeds the time
        # limit.
        return min(reported, average) - relayed
    return average + (reported - average) * fresh - relayed


def _staleness(candidate: RelayCandidate, now: float) -> float:
    """Return how far a silent peer's average has decayed, from 0 to 1."""
    late_s = now - candidate.heard_at - STALE_S
    return 0.0 if late_s <= 0.0 else 1.0 - math.exp(-late_s / STALE_DECAY_S)


def choose_peer(
    request: RelayRequest,
    candidates: Iterable[RelayCandidate],
    history: RelayHistory,
    measure: str,
    now: float,
    rng: Random,
) -> str | None:
    """Return the host to relay to, or None to run or refuse the request here.

    If this host has a free slot, the request goes to a peer in the same region
    only if the peer is less loaded by a margin. If no peer is, a share of the
    small idempotent requests goes to a less loaded region. The measure sets
    the margin and the share.

    Without a free slot here, the peer with the lowest expected cost in seconds
    is chosen: the round trip and the backlog of the link, plus the cost of a
    refusal times its probability. A large body stays in the region while a
    peer there probably has a slot. A peer in another region is chosen only if
    its report is recent enough to show a load that rises in all regions.
    """
    peers = list(candidates)
    usable = []
    for candidate in peers:
        free = expected_free(candidate, request, history, now)
        if free >= MIN_EXPECTED_FREE and not math.isinf(
            candidate.delay_s + candidate.backlog_s
        ):
            usable.append((candidate, free))
    local = [pair for pair in usable if pair[0].region == request.region]
    if request.own_free > 0:
        host = _less_loaded_peer(request, local, SAME_REGION_MARGIN[measure])
        if host is not None:
            return host
        if not (request.idempotent and request.size <= SMALL_BODY_BYTES):
            return None
        gain = CROSS_REGION_GAIN[measure]
        return _peer_in_less_loaded_region(
            request, peers, usable, history, gain, now, rng
        )
    likely = [pair for pair in local if pair[1] >= 1.0]
    if likely and request.size > SMALL_BODY_BYTES:
        return _weighted_choice(likely, rng)
    costs = {
        candidate.host: _relay_cost_s(candidate, free) for candidate, free in usable
    }
    ranked = sorted(
        (candidate for candidate, _ in usable),
        key=lambda candidate: (costs[candidate.host], candidate.host),
    )
    if ranked and ranked[0].region == request.region:
        return ranked[0].host
    settled_at = history.record_overflow(request.service, now) + SETTLING_TIME_S
    for candidate in ranked:
        reported_at = candidate.heard_at - candidate.delay_s
        if candidate.region == request.region or reported_at >= settled_at:
            return candidate.host
    return None


def _relay_cost_s(candidate: RelayCandidate, free: float) -> float:
    travel_s = 2 * candidate.delay_s + candidate.backlog_s
    return travel_s + REFUSAL_COST_S * math.exp(-free)


def _less_loaded_peer(
    request: RelayRequest, local: list[tuple[RelayCandidate, float]], margin: float
) -> str | None:
    """Return the peer in this region with the highest free share.

    Return None if no share exceeds that of this host by the margin.
    """
    best = None
    best_share = request.own_free / max(1, request.own_total) + margin
    for candidate, free in local:
        share = free / max(1, candidate.total)
        if share > best_share:
            best, best_share = candidate.host, share
    return best


def _peer_in_less_loaded_region(
    request: RelayRequest,
    candidates: Iterable[RelayCandidate],
    usable: list[tuple[RelayCandidate, float]],
    history: RelayHistory,
    gain: float,
    now: float,
    rng: Random,
) -> str | None:
    """Return a peer in a less loaded region, or None to keep the request.

    The load of a region is counted over all services, because the heat output
    of a site and the cap of a region do not distinguish services. The
    probability of a move is proportional to the difference in load: if delayed
    reports moved all requests or none, the load would oscillate between the
    regions. Nothing moves while the load of this host rises quickly.
    """
    own_average = history.average_own_free(request.host_free, now)
    if _is_rising(request, own_average):
        return None
    free = {request.region: own_average}
    total = {request.region: float(request.host_total)}
    for candidate in candidates:
        reported = history.average_host_free(candidate)
        reported += (candidate.host_total / 2 - reported) * _staleness(candidate, now)
        free[candidate.region] = free.get(candidate.region, 0.0) + reported
        total[candidate.region] = (
            total.get(candidate.region, 0.0) + candidate.host_total
        )
    share = {name: free[name] / max(1.0, total[name]) for name in free}
    targets = [
        pair
        for pair in usable
        if pair[0].region != request.region
        and pair[1] >= max(1.0, MIN_FREE_SHARE * pair[0].total)
        and pair[0].backlog_s <= MAX_BACKLOG_S
        and share[pair[0].region] > share[request.region]
    ]
    if not targets:
        return None
    best = max(share[candidate.region] for candidate, _ in targets)
    if rng.random() >= min(
        MAX_CROSS_REGION_SHARE, gain * (best - share[request.region])
    ):
        return None
    weights = [
        count * (share[candidate.region] - share[request.region])
        for candidate, count in targets
    ]
    chosen = rng.choices([candidate for candidate, _ in targets], weights)[0]
    return chosen.host


def _is_rising(request: RelayRequest, own_average: float) -> bool:
    """Return whether this host has far fewer free slots than on average."""
    average_share = own_average / max(1, request.host_total)
    host_share = request.host_free / max(1, request.host_total)
    service_share = request.own_free / max(1, request.own_total)
    return (
        host_share < average_share - HOST_LOAD_RISE_MARGIN
        or service_share < average_share - SERVICE_LOAD_RISE_MARGIN
    )


def _weighted_choice(peers: list[tuple[RelayCandidate, float]], rng: Random) -> str:
    """Return a peer drawn at random, weighted by the expected free slots.

    If all hosts chose the least loaded peer, those that received the same
    heartbeats would overload it.
    """
    weights = [free for _, free in peers]
    return rng.choices([candidate.host for candidate, _ in peers], weights)[0]
