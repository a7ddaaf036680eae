"""What a host knows of each upstream: its entry, its load and its health."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, unique
from typing import Final

from .config import UpstreamEntry
from .observations import fingerprint

# Shortest age at which a load report says little about the present.
MIN_REPORT_LIFETIME_S: Final = 0.1
# Times the usual work that an upstream needs for an object that it does not know.
UNSEEN_OBJECT_FACTOR: Final = 3.0
EWMA_WEIGHT: Final = 0.2  # of a new sample in a moving average
# Part of a route's objective that an answer is expected to take before any was seen.
INITIAL_WARM_FRACTION: Final = 0.45
CONNECT_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0
MAX_FAILURE_RATE: Final = 0.6  # of failed answers, above which an upstream is doubtful
SLOW_FACTOR: Final = 3.0  # times the usual time of its service
SILENT_FACTOR: Final = 5.0
MIN_SILENCE_S: Final = 1.0
# Age up to which a good answer to this host outweighs what failed at others.
OWN_ANSWER_FRESH_S: Final = 1.0
# Objects remembered as handled by one upstream.
MAX_WARM_OBJECTS: Final = 64


@unique
class Health(Enum):
    """How far an upstream may be trusted with new work."""

    GOOD = "good"
    DOUBTFUL = "doubtful"  # gets single requests, to see whether it recovered
    DOWN = "down"


class ServiceBaseline:
    """What is usual among the upstreams of a service, as medians."""

    __slots__ = (
        "computed_at",
        "failure_rate",
        "mean_answer_s",
        "peer_failure_rate",
        "warm_answer_s",
        "warmed_up",
    )

    def __init__(
        self,
        warm_answer_s: float,
        mean_answer_s: float,
        failure_rate: float,
        peer_failure_rate: float,
        computed_at: float,
    ) -> None:
        self.warm_answer_s = (
            warm_answer_s  # time of an answer on a known object; 0: none seen
        )
        self.mean_answer_s = mean_answer_s  # time of any answer; 0: none seen
        self.failure_rate = failure_rate  # share of failed answers
        self.peer_failure_rate = peer_failure_rate  # the same at other hosts
        self.warmed_up = False  # most objects are known to their first upstreams
        self.computed_at = computed_at


class Upstream:
    """One upstream and what this host has seen of it."""

    __slots__ = (
        "_doubted_at",
        "_down_until",
        "_last_answer_at",
        "_mean_peer_load",
        "_peer_load",
        "_reported_at",
        "_sent_at",
        "_warm_objects",
        "cold_until",
        "connect_failures",
        "entry",
        "failure_rate",
        "fingerprint",
        "in_flight",
        "logged_health",
        "mean_answer_s",
        "peer_failure_rate",
        "region",
        "removed_at",
        "warm_answer_s",
    )

    def __init__(self, entry: UpstreamEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.in_flight = 0  # requests of this host
        self.cold_until = 0.0
        self.removed_at: float | None = None  # when its entry was removed
        self.connect_failures = 0  # in a row
        self.logged_health = Health.GOOD
        self.failure_rate = (
            0.0  # moving average: 1 for a failed answer, 0 for a good one
        )
        self.peer_failure_rate = 0.0  # the same of what other hosts saw
        # Moving averages of the time of an answer; 0: none yet.
        self.warm_answer_s = 0.0  # on an object that it knew
        self.mean_answer_s = 0.0  # on any object
        self.fingerprint = fingerprint(entry.upstream)
        # Fingerprints of the objects that it has handled, oldest first.
        self._warm_objects: OrderedDict[int, None] = OrderedDict()
        self._peer_load = 0.0  # requests of other hosts, as of the last report
        self._mean_peer_load = 0.0
        self._reported_at = 0.0
        self._down_until = 0.0
        # Last failure or trial, from which the time to the next trial is counted.
        self._doubted_at: float | None = None
        self._last_answer_at = 0.0
        self._sent_at: dict[int, float] = {}  # requests in flight, by number

    @property
    def name(self) -> str:
        """Return the id of this start of the upstream."""
        return self.entry.upstream

    @property
    def slots(self) -> int:
        """Return how many requests it runs at a time."""
        return self.entry.slots

    def load(self, now: float) -> float:
        """Return the requests that run or wait there, as far as is known."""
        age_s = now - self._reported_at
        fades_s = max(MIN_REPORT_LIFETIME_S, self.mean_answer_s)
        fresh = max(0.0, 1.0 - age_s / fades_s)
        others = fresh * self._peer_load + (1.0 - fresh) * self._mean_peer_load
        return self.in_flight + others

    def is_cold(self, now: float) -> bool:
        """Tell whether it must not get many requests."""
        return now < self.cold_until

    def service_time_s(
        self, known: bool, baseline: ServiceBaseline, objective_s: float
    ) -> float:
        """Return the expected time of an answer without a queue, in seconds.

        `known` tells whether it has handled the object.
        """
        warm_answer_s = (
            self.warm_answer_s
            or baseline.warm_answer_s
            or objective_s * INITIAL_WARM_FRACTION
        )
        return warm_answer_s if known else warm_answer_s * UNSEEN_OBJECT_FACTOR

    def queue_wait_s(
        self, baseline: ServiceBaseline, objective_s: float, now: float
    ) -> float:
        """Return the expected time in its queue, in seconds."""
        ahead = self.load(now) - self.slots + 1
        if ahead <= 0:
            return 0.0
        each_s = self.mean_answer_s or baseline.mean_answer_s or objective_s
        return ahead * each_s / max(1, self.slots)

    # What happened to requests.

    def note_sent(self, number: int, now: float) -> None:
        """Record a request in flight."""
        self.in_flight += 1
        self._sent_at[number] = now

    def note_end(self, number: int) -> float | None:
        """Record that a request is no longer in flight; return when it was sent."""
        sent_at = self._sent_at.pop(number, None)
        if sent_at is not None:
            self.in_flight -= 1
        return sent_at

    def note_answer(
        self, elapsed_s: float, object_fingerprint: int, queued: bool, now: float
    ) -> None:
        """Record a good answer about an object and its time in seconds."""
        self._last_answer_at = now
        self.connect_failures = 0
        self._down_until = 0.0
        self._doubted_at = None
        self.failure_rate *= 1.0 - EWMA_WEIGHT
        if not queued:
            self.mean_answer_s = _ewma(self.mean_answer_s, elapsed_s)
            if object_fingerprint in self._warm_objects:
                self.warm_answer_s = _ewma(self.warm_answer_s, elapsed_s)
        self._mark_warm(object_fingerprint)

    def note_peer_answer(self, object_fingerprint: int, load: int | None) -> None:
        """Take what another host saw with an answer, up to a heartbeat ago."""
        self._mark_warm(object_fingerprint)
        self.peer_failure_rate *= 1.0 - EWMA_WEIGHT
        if load is not None:
            self._update_peer_load(load)

    def note_peer_failure(self, now: float) -> None:
        """Take what failed at another host, up to a heartbeat ago."""
        if self.peer_failure_rate <= MAX_FAILURE_RATE:
            # The hosts' trials are counted from when all of them begin to doubt it.
            self._doubted_at = now
        self.peer_failure_rate += EWMA_WEIGHT * (1.0 - self.peer_failure_rate)

    def is_warm_for(self, object_fingerprint: int) -> bool:
        """Tell whether it has handled an object lately."""
        return object_fingerprint in self._warm_objects

    def clear_warm_objects(self) -> None:
        """Note that it has lost what it knew."""
        self._warm_objects.clear()

    def note_failure(self, now: float) -> None:
        """Record a failed answer, or one that never came."""
        self.failure_rate = self.failure_rate * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT
        self._doubted_at = now

    def note_unreachable(self, now: float) -> None:
        """Record that no connection could be made, or that all were reset."""
        self.connect_failures += 1
        backoff_s = CONNECT_BACKOFF_S * 2 ** min(3, self.connect_failures - 1)
        self._down_until = now + min(MAX_BACKOFF_S, backoff_s)
        self._doubted_at = now

    def note_load_report(self, total: float, now: float) -> None:
        """Take the load that it reported with an answer: requests that run or wait.

        The answered request is among them, and no longer in flight here.
        """
        self._peer_load = self._update_peer_load(total)
        self._reported_at = now

    def _update_peer_load(self, total: float) -> float:
        """Add a report to the average of other hosts' requests; return theirs."""
        others = max(0.0, total - 1 - self.in_flight)
        self._mean_peer_load += EWMA_WEIGHT * (others - self._mean_peer_load)
        return others

    def _mark_warm(self, object_fingerprint: int) -> None:
        """Remember that it has handled an object."""
        self._warm_objects[object_fingerprint] = None
        self._warm_objects.move_to_end(object_fingerprint)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)

    def health(self, baseline: ServiceBaseline, now: float) -> Health:
        """Return how far it may be trusted now.

        Where all upstreams of a service fail alike, leaving one for another only
        costs the objects that it knows.
        """
        if now < self._down_until:
            return Health.DOWN
        if (
            self.connect_failures
            or self.excess_failure_rate(baseline, now) > MAX_FAILURE_RATE
        ):
            return Health.DOUBTFUL
        if (
            baseline.warm_answer_s
            and self.warm_answer_s > SLOW_FACTOR * baseline.warm_answer_s
        ):
            return Health.DOUBTFUL
        silent = self._is_silent(baseline, now)
        return Health.DOUBTFUL if silent else Health.GOOD

    def excess_failure_rate(self, baseline: ServiceBaseline, now: float) -> float:
        """Return by how much more of its answers fail than is usual.

        What other hosts saw counts where this one has had no answer lately: it may
        fail for some callers only.
        """
        own = self.failure_rate - baseline.failure_rate
        if now - self._last_answer_at < OWN_ANSWER_FRESH_S:
            return max(0.0, own)
        return max(0.0, own, self.peer_failure_rate - baseline.peer_failure_rate)

    def _is_silent(self, baseline: ServiceBaseline, now: float) -> bool:
        if not self._sent_at:
            return False
        limit_s = max(
            MIN_SILENCE_S,
            SILENT_FACTOR * (self.mean_answer_s or baseline.mean_answer_s),
        )
        oldest = next(iter(self._sent_at.values()))
        return now - max(oldest, self._last_answer_at) > limit_s

    def fails_at_peers(self, baseline: ServiceBaseline) -> bool:
        """Tell whether other hosts doubt it too."""
        return self.peer_failure_rate - baseline.peer_failure_rate > MAX_FAILURE_RATE

    def begin_trial(self, interval_s: float, now: float) -> bool:
        """Tell whether a doubtful upstream may get one request, and note it."""
        if self.in_flight:
            return False
        if self._doubted_at is not None and now < self._doubted_at + interval_s:
            return False
        self._doubted_at = now
        return True


def _ewma(old: float, sample: float) -> float:
    """Return a moving average that begins with its first sample."""
    return sample if not old else old + EWMA_WEIGHT * (sample - old)
