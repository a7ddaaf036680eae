"""Decides when a slow idempotent request may get a second attempt alongside.

A hedge adds work to a service, so it is begun late, and only while the service
has room. The delay is the quantile of recent latencies that the allowed
fraction leaves above it: with a fraction of 0.05, the slowest twentieth of the
requests asks for a hedge. A fixed quantile would either leave the allowance
unused or spend it on requests that are hardly slow.
"""

from __future__ import annotations

from collections import Counter, deque
from enum import Enum, unique
from typing import Final

# Fractions above this are refused by the command line: more would be load that
# an upstream failing under it cannot bear.
MAX_FRACTION: Final = 0.2
# Shortest delay of a hedge. Below it, the event loop's own lateness decides
# which request counts as slow.
MIN_DELAY_S: Final = 0.03
WINDOW_S: Final = 10.0  # sliding window of the allowed fraction
MAX_SAMPLES: Final = 300  # latencies kept for each service
# With fewer samples there is no estimate of a high quantile.
MIN_SAMPLES: Final = 40
# Number of new samples after which the quantiles are computed again.
SAMPLES_PER_UPDATE: Final = 10
# Time without hedges after a request was refused for lack of room.
NO_ROOM_PAUSE_S: Final = 1.0
# Share of recent placements that expected to queue, or had to overflow, above
# which a service counts as busy. In the model of test_hedging_load.py the share
# is 0.03 at a utilization of 0.3, 0.3 at 0.6 and 0.65 at 0.9. Without this
# limit, hedges at 0.9 raise the median latency by 4 to 9%.
MAX_BUSY_SHARE: Final = 0.45
BUSY_WEIGHT: Final = 0.02  # weight of one placement in that share
# Interval of further checks while a limit that may pass prevents a hedge.
RECHECK_INTERVAL_S: Final = 0.1


@unique
class HedgeLimit(Enum):
    """What prevented a hedge."""

    STOPPING = "stopping"  # the host is stopping
    ATTEMPTS = "attempts"  # the route allows no further attempt
    DEADLINE = "deadline"  # too little time is left for another attempt
    NO_ROOM = "no-room"  # the service has too little room
    FRACTION = "fraction"  # the operator's limit on hedges
    RETRY_BUDGET = "retry-budget"  # the limit on all retries
    UPSTREAM = "upstream"  # the object's other upstream may not be used

    @property
    def may_pass(self) -> bool:
        """Return whether the limit may allow the same request's hedge later."""
        return self not in _LASTING_LIMITS


_LASTING_LIMITS: Final = frozenset(
    {HedgeLimit.STOPPING, HedgeLimit.ATTEMPTS, HedgeLimit.DEADLINE}
)


@unique
class HedgeResult(Enum):
    """Counted events of hedges; each one begun is won or lost in the end."""

    BEGUN = "begun"
    WON = "won"  # its response reached the caller
    LOST = "lost"


class HedgeRequest:
    """What is known of a request that waits for its first attempt."""

    __slots__ = (
        "attempts_left",
        "retry_allowed",
        "service",
        "stopping",
        "time_left_s",
    )

    def __init__(
        self,
        service: str,
        time_left_s: float,
        attempts_left: int = 1,
        retry_allowed: bool = True,
        stopping: bool = False,
    ) -> None:
        self.service = service
        self.time_left_s = time_left_s  # until the request's deadline
        self.attempts_left = attempts_left  # that the route allows
        self.retry_allowed = retry_allowed  # by the shared retry budget
        self.stopping = stopping  # whether this host is stopping


class LatencyQuantiles:
    """Median and one high quantile of the recent latencies of a service."""

    __slots__ = ("_new_samples", "_samples", "high_s", "median_s")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self.median_s: float | None = None
        self.high_s: float | None = None

    def add(self, latency_s: float, quantile: float) -> None:
        """Add a sample; `quantile` is the high one, from 0 to 1."""
        self._samples.append(latency_s)
        self._new_samples += 1
        count = len(self._samples)
        if count < MIN_SAMPLES:
            return
        if self.high_s is None or self._new_samples >= SAMPLES_PER_UPDATE:
            self._new_samples = 0
            ordered = sorted(self._samples)
            self.median_s = ordered[count // 2]
            self.high_s = ordered[min(count - 1, int(quantile * count))]


class _ServiceState:
    """Recent requests, hedges and latencies of one service."""

    __slots__ = ("busy_share", "hedges", "latencies", "refused_at", "requests")

    def __init__(self) -> None:
        # Times of requests and hedges in the window.
        self.requests: deque[float] = deque()
        self.hedges: deque[float] = deque()
        self.latencies = LatencyQuantiles()
        self.busy_share = 0.0  # moving average
        self.refused_at: float | None = None  # last refusal for lack of room


class HedgePolicy:
    """Delays, limits and counters of the hedges of this host."""

    __slots__ = ("_services", "fraction", "refused", "results")

    def __init__(self, fraction: float = 0.0) -> None:
        self.fraction = fraction  # hedges allowed per request; 0: no hedges
        self._services: dict[str, _ServiceState] = {}
        # Counts keyed by service and by the value of the result or limit.
        self.results: Counter[tuple[str, str]] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()

    # Events of all requests.

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service."""
        if self.fraction:
            state = self._state(service)
            _trim(state.requests, now)
            state.requests.append(now)

    def record_placement(self, service: str, busy: bool) -> None:
        """Record whether a request found its upstreams busy."""
        if self.fraction:
            state = self._state(service)
            state.busy_share += BUSY_WEIGHT * (busy - state.busy_share)

    def record_no_room(self, service: str, now: float) -> None:
        """Record that a request was refused for lack of room."""
        if self.fraction:
            self._state(service).refused_at = now

    def record_latency(self, service: str, latency_s: float) -> None:
        """Record how long a first attempt took that found its object known.

        The time until a first attempt was cancelled counts as well: it is
        longer than the delay, so that it belongs above the quantile. Without
        these, hedges would shorten the delay and so bring about more hedges.
        """
        if self.fraction:
            self._state(service).latencies.add(latency_s, 1.0 - self.fraction)

    # Decisions about one request.

    def delay_s(self, service: str, queue_wait_s: float) -> float | None:
        """Return the delay of a hedge after the first attempt, or None.

        `queue_wait_s` is the expected time of the first attempt in a queue,
        during which it does not count as slow.
        """
        if not self.fraction:
            return None
        high_s = self._state(service).latencies.high_s
        if high_s is None:
            return None
        return max(MIN_DELAY_S, high_s) + queue_wait_s

    def find_limit(self, request: HedgeRequest, now: float) -> HedgeLimit | None:
        """Return what prevents a hedge of a request now, if anything."""
        if request.stopping:
            return HedgeLimit.STOPPING
        if request.attempts_left <= 0:
            return HedgeLimit.ATTEMPTS
        state = self._state(request.service)
        if request.time_left_s < (state.latencies.median_s or 0.0):
            return HedgeLimit.DEADLINE
        if not _has_room(state, now):
            return HedgeLimit.NO_ROOM
        _trim(state.requests, now)
        _trim(state.hedges, now)
        if len(state.hedges) + 1 > self.fraction * len(state.requests):
            return HedgeLimit.FRACTION
        if not request.retry_allowed:
            return HedgeLimit.RETRY_BUDGET
        return None

    def record_limit(self, service: str, limit: HedgeLimit) -> None:
        """Count a request whose hedge a limit prevented."""
        self.refused[service, limit.value] += 1

    def record_begin(self, service: str, now: float) -> None:
        """Count a hedge that begins."""
        self._state(service).hedges.append(now)
        self.results[service, HedgeResult.BEGUN.value] += 1

    def record_end(self, service: str, won: bool) -> None:
        """Count the end of a hedge."""
        result = HedgeResult.WON if won else HedgeResult.LOST
        self.results[service, result.value] += 1

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state


def _has_room(state: _ServiceState, now: float) -> bool:
    refused_at = state.refused_at
    if refused_at is not None and now < refused_at + NO_ROOM_PAUSE_S:
        return False
    return state.busy_share <= MAX_BUSY_SHARE


def _trim(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
