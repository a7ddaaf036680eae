"""Choice of the upstream, of the peer for a relay, and of hosts for look-ups.

`entry` calls `choose_upstream` for the upstreams of its own shards and, if
none has a free slot or another region is much emptier, `choose_peer`. `lookup`
calls `rank_hosts`. All three weigh the measure of the user: "latency" or
"headroom". Own outcomes go before reports; what peers and upstreams report only
decides between choices that own outcomes do not tell apart.
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
# The own region must have this much less free share before a small idempotent
# request leaves it for the sake of headroom.
REGION_MARGIN: Final = 0.25
# Over a link of a longer delay than this, a relay that is refused takes longer
# than the 50 ms that a refusal may take, so a refusal pauses them, and this part of
# the region's slots must be free: a last slot is taken when the relay arrives.
NEAR_DELAY_S: Final = 0.01
FAR_FREE_SHARE: Final = 0.25
FIRST_PAUSE_S: Final = 1.0
LONGEST_PAUSE_S: Final = 8.0
# No more relays for the sake of headroom when the link has this backlog.
MAX_BACKLOG_S: Final = 0.02
RELAY_LOG_S: Final = 3.0
# A shift starts at this rate for each region and may grow by this factor per
# second; from 20 to 1,000 requests per second takes about 8 s.
SHIFT_FLOOR_PER_S: Final = 20.0
SHIFT_GROWTH_PER_S: Final = 1.6


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
    """Relays that this host sent lately, to correct what peers last told."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], deque[float]] = {}

    def note_relay(self, host: str, service: str, now: float) -> None:
        """Record that a request of the service is relayed to the host."""
        sent = self._sent.setdefault((host, service), deque())
        sent.append(now)
        while sent and sent[0] < now - RELAY_LOG_S:
            sent.popleft()

    def sent_since(self, host: str, service: str, since: float) -> int:
        """Return how many relays of the service went to the host since then."""
        sent = self._sent.get((host, service), ())
        count = 0
        for sent_at in reversed(sent):
            if sent_at < since:
                break
            count += 1
        return count


class PeerOption:
    """A live peer as a target of a relay of one service."""

    __slots__ = ("backlog_s", "delay_s", "free", "heard_at", "host", "region", "total")

    def __init__(
        self,
        host: str,
        region: str,
        free: int,
        total: int,
        heard_at: float,
        delay_s: float,
        backlog_s: float,
    ) -> None:
        self.host = host
        self.region = region
        self.free = free  # slots of the service, from the last heartbeat
        self.total = total
        self.heard_at = heard_at  # time of that heartbeat
        self.delay_s = delay_s  # one way
        self.backlog_s = backlog_s  # of the link to its region


class RelayRequest:
    """What `choose_peer` needs to know of a request and of its host."""

    __slots__ = ("idempotent", "own_free", "own_total", "region", "service", "size")

    def __init__(
        self,
        service: str,
        size: int,
        idempotent: bool,
        region: str,
        own_free: int,
        own_total: int,
    ) -> None:
        self.service = service
        self.size = size  # bytes of the body, or the most that may follow
        self.idempotent = idempotent
        self.region = region  # of this host
        self.own_free = own_free  # slots that `choose_upstream` may use
        self.own_total = own_total


def free_now(option: PeerOption, service: str, log: RelayLog) -> int:
    """Return the peer's free slots less the relays that it cannot have counted.

    A relay sent within one round trip before the heartbeat was heard had not
    reached the peer when the heartbeat left it.
    """
    since = option.heard_at - 2 * option.delay_s
    return option.free - log.sent_since(option.host, service, since)


def choose_peer(
    request: RelayRequest,
    options: Iterable[PeerOption],
    log: RelayLog,
    shift: ShiftLimiter,
    measure: str,
    now: float,
    rng: Random,
) -> str | None:
    """Return the host to relay to, None to keep or refuse the request.

    With an own free slot, only the measure "headroom" relays: a small
    idempotent request, to a region whose free share is higher by a margin.
    Without one, a peer of the own region comes first, then the nearest region.
    """
    known = [(each, max(0, free_now(each, request.service, log))) for each in options]
    usable = [item for item in known if item[1]]
    local = [item for item in usable if item[0].region == request.region]
    remote = [item for item in usable if item[0].region != request.region]
    if request.own_free > 0:
        if measure != HEADROOM or not _may_roam(request):
            return None
        return _emptier_region(request, local, remote, shift, now, rng)
    if local:
        return _draw(local, rng)
    remote = [item for item in remote if _has_room(item[0], known)]
    if not remote:
        return None
    nearest_s = min(option.delay_s + option.backlog_s for option, _ in remote)
    if math.isinf(nearest_s):
        return None
    # Regions within 5 ms of the nearest are as good as the nearest.
    near = [
        item
        for item in remote
        if item[0].delay_s + item[0].backlog_s <= nearest_s + 0.005
    ]
    chosen = _draw(near, rng)
    region = next(option.region for option, _ in near if option.host == chosen)
    return chosen if shift.take(region, now) else None


def _has_room(option: PeerOption, known: list[tuple[PeerOption, int]]) -> bool:
    """Tell whether a region is near or has more than the odd slot free."""
    if option.delay_s <= NEAR_DELAY_S:
        return True
    items = [item for item in known if item[0].region == option.region]
    free = sum(count for _, count in items)
    return free >= FAR_FREE_SHARE * sum(other.total for other, _ in items)


def _may_roam(request: RelayRequest) -> bool:
    return request.idempotent and request.size <= SMALL_BYTES


def _emptier_region(
    request: RelayRequest,
    local: list[tuple[PeerOption, int]],
    remote: list[tuple[PeerOption, int]],
    shift: ShiftLimiter,
    now: float,
    rng: Random,
) -> str | None:
    free = request.own_free + sum(item[1] for item in local)
    total = request.own_total + sum(item[0].total for item in local)
    own_share = free / total if total else 0.0
    regions: dict[str, list[tuple[PeerOption, int]]] = {}
    for item in remote:
        if item[0].backlog_s <= MAX_BACKLOG_S:
            regions.setdefault(item[0].region, []).append(item)
    best = None
    best_share = own_share + REGION_MARGIN
    for region, items in sorted(regions.items()):
        region_total = sum(option.total for option, _ in items)
        share = sum(count for _, count in items) / max(1, region_total)
        if share > best_share:
            best, best_share = region, share
    if best is None or not shift.take(best, now):
        return None
    return _draw(regions[best], rng)


def _draw(items: list[tuple[PeerOption, int]], rng: Random) -> str:
    """Draw a peer weighted by its free slots.

    Hosts that heard the same heartbeat would all take its emptiest sender.
    """
    weights = [free for _, free in items]
    return rng.choices([option.host for option, _ in items], weights)[0]


class ShiftLimiter:
    """Ramps the requests that this host moves to each other region.

    The rate that is allowed follows the rate in use: it may grow by a fixed
    factor per second and falls back when less is used.
    """

    __slots__ = ("_regions",)

    def __init__(self) -> None:
        self._regions: dict[str, _Ramp] = {}

    def take(self, region: str, now: float) -> bool:
        """Return whether one more request may move to the region, and count it."""
        ramp = self._regions.get(region)
        if ramp is None:
            ramp = self._regions[region] = _Ramp(now)
        return ramp.take(now)

    def note_result(self, region: str, accepted: bool, now: float) -> None:
        """Pause the shift to a region whose host refused for want of a slot."""
        ramp = self._regions.get(region)
        if ramp is not None:
            ramp.note_result(accepted, now)


class _Ramp:
    """Token bucket of a quarter of a second whose rate follows its use."""

    __slots__ = ("_at", "_pause_s", "_paused_until", "_rate", "_tokens", "_used")

    def __init__(self, now: float) -> None:
        self._pause_s = 0.0
        self._paused_until = now
        self._at = now
        self._rate = SHIFT_FLOOR_PER_S  # requests per second
        self._tokens = SHIFT_FLOOR_PER_S / 4
        self._used = 0.0  # moving average of requests per second

    def note_result(self, accepted: bool, now: float) -> None:
        if accepted:
            self._pause_s /= 2
        elif now >= self._paused_until:  # not sent before the last refusal
            self._pause_s = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self._pause_s))
            self._paused_until = now + self._pause_s
            self._rate = SHIFT_FLOOR_PER_S
            self._used = 0.0

    def take(self, now: float) -> bool:
        if now < self._paused_until:
            # One request at first shows whether there is room again.
            self._tokens, self._at = 1.0, self._paused_until
            return False
        age_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self._used *= math.exp(-age_s)
        grown = self._rate * SHIFT_GROWTH_PER_S ** min(age_s, 1.0)
        wanted = max(SHIFT_FLOOR_PER_S, SHIFT_GROWTH_PER_S * self._used)
        self._rate = min(grown, wanted)
        self._tokens = min(self._rate / 4, self._tokens + age_s * self._rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._used += 1.0
        return True


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
        weight = max(option.free, 0) + 0.05 * option.total + 0.01
        distance_s = 0.0 if option.in_region else option.delay_s
        # Exponential draws divided by weights order as a weighted draw
        # without replacement (Efraimidis and Spirakis, 2006).
        draw = rng.expovariate(1.0) / weight
        keyed.append((not option.in_region, distance_s, draw, option.host))
    return [key[3] for key in sorted(keyed)]
