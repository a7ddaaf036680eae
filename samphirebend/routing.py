"""Choice of the upstream, of the peer for a relay, and of hosts for look-ups.

`entry` calls `choose_peer` for each request of its own callers. If that names
no host, and for requests that were relayed to it, it calls `choose_upstream`
for the upstreams of its own shards. `lookup` calls `rank_hosts`. The measure of
the user is "latency" or "headroom". Own outcomes go before reports; figures
told by peers lose their weight within the time that a request holds a slot.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from random import Random
from typing import Final, Protocol

from .room import Room

HEADROOM: Final = "headroom"
# Seconds in which an own latency fades towards the mean of the service, so
# that an upstream that was slow once is tried again.
LATENCY_FADE_S: Final = 15.0
# Added to the expected seconds for a certain failure: about one more attempt.
FAILURE_COST_S: Final = 1.0
REPORTED_FAILING_COST_S: Final = 0.2
# Share by which the expected latency grows when all slots are in use.
CROWDING_COST: Final = 0.5
# Bodies above this stay in the region while it has a free slot.
SMALL_BYTES: Final = 64 * 1024
# Share of small idempotent requests that leave the region per unit by which
# another region's free share is higher.
ROAMING_GAIN: Final = {"headroom": 5.0, "latency": 3.0}
MAX_ROAMING: Final = 0.9
# Share of a peer's slots that must be free for a request that could stay. The last
# slots of a peer in another region are in use by the time that the relay arrives.
SPARE_SHARE: Final = 0.25
# A host whose free share lies below its average by more than this keeps its
# requests: load that rises quickly may rise in all regions, whose slots would be
# in use when the relays arrive. Less is noise of a host with 20 slots, and of one
# service with 5.
RISING_MARGIN: Final = 0.25
SERVICE_RISING_MARGIN: Final = 0.5
# By how much the free share of a peer in the region must exceed the own one
# before a request that could stay is relayed to it.
NEIGHBOUR_MARGIN: Final = {"headroom": 0.1, "latency": 0.2}
# A relay that is refused over a link of a longer delay than this takes longer
# than the 50 ms that a refusal may take.
NEAR_DELAY_S: Final = 0.01
# No more relays for the sake of headroom when the link has this backlog.
MAX_BACKLOG_S: Final = 0.02
# A load that rises in all regions at once fills them within this time of each
# other. What peers of other regions told before it had passed since the own
# region became full is too old to relay on. Requests that find the region full at
# most the second apart belong to one overflow.
SETTLE_S: Final = 0.3
OVERFLOW_GAP_S: Final = 1.0
RELAY_LOG_S: Final = 3.0
TOLD_WEIGHT: Final = 0.2  # of the newest heartbeat in the average of free slots
# Below this a refusal at the peer is all but certain.
MIN_EXPECTED_FREE: Final = 0.3
OWN_SAMPLE_S: Final = 0.5  # the interval of heartbeats
# After the first, averages of what peers told fade to static shares with the
# second: uneven demand outlasts the figures that showed it.
STALE_S: Final = 5.0
STALE_FADE_S: Final = 20.0
# What a refused relay costs the caller: a pause and another try.
REFUSAL_COST_S: Final = 0.25
# Weight of a host's slots beside its free ones: a caller keeps an answer for
# longer than a figure of free slots is worth.
LOOKUP_STATIC_SHARE: Final = 0.5


class States(Protocol):
    """What `choose_upstream` asks of `upstreamstate.UpstreamStates`."""

    def accepts(self, upstream: str, now: float) -> bool: ...
    def limit(self, upstream: str, slots: int, now: float) -> int: ...
    def latency_s(self, upstream: str) -> float | None: ...
    def latency_age_s(self, upstream: str, now: float) -> float: ...
    def failure_share(self, upstream: str, now: float) -> float: ...
    def reported_failing(self, upstream: str, now: float) -> bool: ...


def choose_upstream(
    rooms: Iterable[Room], states: States, measure: str, now: float, rng: Random
) -> str | None:
    """Return the upstream that should run a request, None if none has a slot.

    "latency" takes the least expected time, "headroom" the highest free share
    that remains; equal choices are drawn.
    """
    open_rooms = []
    for room in rooms:
        limit = states.limit(room.upstream, room.limit, now)
        if room.in_flight < limit:
            open_rooms.append(Room(room.upstream, room.in_flight, limit))
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
            cost = (expected_s * (1.0 + CROWDING_COST * taken), taken, rng.random())
        if best is None or cost < best:
            best, chosen = cost, room.upstream
    return chosen


def _fresh_latency(upstream: str, states: States, now: float) -> tuple[float, float]:
    """Return the own latency in seconds and its freshness from 0 to 1."""
    latency_s = states.latency_s(upstream)
    if latency_s is None:
        return 0.0, 0.0
    return latency_s, math.exp(-states.latency_age_s(upstream, now) / LATENCY_FADE_S)


def _failure_cost_s(room: Room, states: States, now: float) -> float:
    cost_s = FAILURE_COST_S * states.failure_share(room.upstream, now)
    if states.reported_failing(room.upstream, now):
        cost_s += REPORTED_FAILING_COST_S
    return cost_s


class RelayLog:
    """What this host knows of its peers' slots beside the last heartbeat.

    Keeps the relays sent lately, the refusals met, and a moving average of the
    free share that each peer tells.
    """

    __slots__ = ("_answered", "_overflow", "_refused", "_sent", "_told")

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], deque[float]] = {}
        self._refused: dict[tuple[str, str], float] = {}
        # First and last request of a service that found the region full.
        self._overflow: dict[str, tuple[float, float]] = {}
        self._answered: dict[tuple[str, str], tuple[float, int]] = {}
        # Time of the newest heartbeat and the average of the told free slots.
        self._told: dict[tuple[str, str], tuple[float, float]] = {}

    def note_relay(self, host: str, service: str, now: float) -> None:
        """Record that a request of the service is relayed to the host."""
        sent = self._sent.setdefault((host, service), deque())
        sent.append(now)
        while sent and sent[0] < now - RELAY_LOG_S:
            sent.popleft()

    def note_refused(self, host: str, service: str, now: float) -> None:
        """Record that the host refused a relay for lack of a slot."""
        self._refused[(host, service)] = now

    def note_told(self, host: str, service: str, free: int, now: float) -> None:
        """Record the free slots that came with the answer to a relay."""
        self._answered[(host, service)] = (now, free)

    def newest_free(self, option: PeerOption, service: str) -> tuple[float, int]:
        """Return when the host's free slots were last heard, and how many."""
        answered = self._answered.get((option.host, service), (-math.inf, 0))
        return max(answered, (option.heard_at, option.free))

    def note_overflow(self, service: str, now: float) -> float:
        """Record that the region is full; return since when it has been."""
        since, last = self._overflow.get(service, (now, now))
        if now - last > OVERFLOW_GAP_S:
            since = now
        self._overflow[service] = (since, now)
        return since

    def sent_since(self, host: str, service: str, since: float) -> int:
        """Return how many relays of the service went to the host since then."""
        sent = self._sent.get((host, service), ())
        count = 0
        for sent_at in reversed(sent):
            if sent_at < since:
                break
            count += 1
        return count

    def refused_at(self, host: str, service: str) -> float:
        """Return when the host last refused a relay of the service."""
        return self._refused.get((host, service), -math.inf)

    def average_free(self, option: PeerOption, service: str) -> float:
        """Return the moving average of the free slots that the peer tells."""
        key = (option.host, service)
        average = self._average(key, option.free, option.heard_at)
        return min(average, float(option.total))

    def host_free(self, option: PeerOption) -> float:
        """Return the moving average of the peer's free slots of all services."""
        return self._average((option.host, ""), option.host_free, option.heard_at)

    def own_free(self, free: int, now: float) -> float:
        """Return the same average of this host's own slots."""
        heard_at, average = self._told.get(("", ""), (-math.inf, float(free)))
        if now - heard_at < OWN_SAMPLE_S:
            return average
        return self._average(("", ""), free, now)

    def _average(self, key: tuple[str, str], free: int, heard_at: float) -> float:
        last_at, average = self._told.get(key, (-math.inf, float(free)))
        if heard_at > last_at:
            average += TOLD_WEIGHT * (free - average)
            self._told[key] = (heard_at, average)
        return average


class PeerOption:
    """A live peer as a target of a relay of one service."""

    __slots__ = (
        "backlog_s",
        "delay_s",
        "free",
        "heard_at",
        "host",
        "host_free",
        "host_total",
        "region",
        "total",
    )

    def __init__(
        self,
        host: str,
        region: str,
        free: int,
        total: int,
        host_free: int,
        host_total: int,
        heard_at: float,
        delay_s: float,
        backlog_s: float,
    ) -> None:
        self.host = host
        self.region = region
        self.free = free  # slots of the service, from the last heartbeat
        self.total = total
        self.host_free = host_free  # slots of all services
        self.host_total = host_total
        self.heard_at = heard_at  # time of that heartbeat
        self.delay_s = delay_s  # one way
        self.backlog_s = backlog_s  # of the link to its region


class RelayRequest:
    """What `choose_peer` needs to know of a request and of its host."""

    __slots__ = (
        "expected_s",
        "host_free",
        "host_total",
        "idempotent",
        "own_free",
        "own_total",
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
        expected_s: float,
    ) -> None:
        self.service = service
        self.expected_s = expected_s  # time that requests of the service hold a slot
        self.size = size  # bytes of the body, or the most that may follow
        self.idempotent = idempotent
        self.region = region  # of this host
        self.own_free = own_free  # slots that `choose_upstream` may use
        self.own_total = own_total
        self.host_free = host_free  # of all services, at this host
        self.host_total = host_total


def expected_free(
    option: PeerOption, request: RelayRequest, log: RelayLog, now: float
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
    hold_s = max(0.01, request.expected_s)
    heard_at, heard_free = log.newest_free(option, request.service)
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


def _staleness(option: PeerOption, now: float) -> float:
    """Return the weight, from 0 to 1, of the static share: half of the slots."""
    late_s = now - option.heard_at - STALE_S
    return 0.0 if late_s <= 0.0 else 1.0 - math.exp(-late_s / STALE_FADE_S)


def choose_peer(
    request: RelayRequest,
    options: Iterable[PeerOption],
    log: RelayLog,
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
        host = _emptier_neighbour(request, local, NEIGHBOUR_MARGIN[measure])
        if host is not None:
            return host
        if not (request.idempotent and request.size <= SMALL_BYTES):
            return None
        gain = ROAMING_GAIN[measure]
        return _emptier_region(request, every, usable, log, gain, now, rng)
    likely = [item for item in local if item[1] >= 1.0]
    if likely and request.size > SMALL_BYTES:
        return _draw(likely, rng)
    costs = {option.host: _relay_cost_s(option, free) for option, free in usable}
    ranked = sorted(
        (option for option, _ in usable),
        key=lambda option: (costs[option.host], option.host),
    )
    if ranked and ranked[0].region == request.region:
        return ranked[0].host
    settled_at = log.note_overflow(request.service, now) + SETTLE_S
    for option in ranked:
        told_at = option.heard_at - option.delay_s
        if option.region == request.region or told_at >= settled_at:
            return option.host
    return None


def _relay_cost_s(option: PeerOption, free: float) -> float:
    travel_s = 2 * option.delay_s + option.backlog_s
    return travel_s + REFUSAL_COST_S * math.exp(-free)


def _emptier_neighbour(
    request: RelayRequest, local: list[tuple[PeerOption, float]], margin: float
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
    options: Iterable[PeerOption],
    usable: list[tuple[PeerOption, float]],
    log: RelayLog,
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
        and item[1] >= max(1.0, SPARE_SHARE * item[0].total)
        and item[0].backlog_s <= MAX_BACKLOG_S
        and share[item[0].region] > share[request.region]
    ]
    if not targets:
        return None
    best = max(share[option.region] for option, _ in targets)
    if rng.random() >= min(MAX_ROAMING, gain * (best - share[request.region])):
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
        host_share < average_share - RISING_MARGIN
        or service_share < average_share - SERVICE_RISING_MARGIN
    )


def _draw(items: list[tuple[PeerOption, float]], rng: Random) -> str:
    """Draw a peer weighted by its free slots.

    Hosts that heard the same heartbeat would all take its emptiest sender.
    """
    weights = [free for _, free in items]
    return rng.choices([option.host for option, _ in items], weights)[0]


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
        weight = max(option.free, 0) + LOOKUP_STATIC_SHARE * option.total + 0.01
        distance_s = 0.0 if option.in_region else option.delay_s
        # Exponential draws divided by weights order as a weighted draw
        # without replacement (Efraimidis and Spirakis, 2006).
        draw = rng.expovariate(1.0) / weight
        keyed.append((not option.in_region, distance_s, draw, option.host))
    return [key[3] for key in sorted(keyed)]
