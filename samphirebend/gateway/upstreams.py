"""State that a host keeps for each upstream: its entry, load and health.

`registry` indexes the upstreams, `forward` and `feedback` record results in
them, and `placement` compares them.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, unique
from typing import Final

from .config import UpstreamEntry
from .machinespeed import MachineSpeed
from .observations import fingerprint

# A load report loses its weight linearly over the mean latency, but over no
# less than this time.
MIN_REPORT_LIFETIME_S: Final = 0.1
# Expected service time on an object that the upstream has not handled, as a
# multiple of the time on a warm object.
UNSEEN_OBJECT_FACTOR: Final = 3.0
EWMA_WEIGHT: Final = 0.2  # weight of a new sample in a moving average
# Warm latency assumed before any response, as a fraction of the objective.
INITIAL_WARM_FRACTION: Final = 0.45
CONNECT_BACKOFF_S: Final = 0.5  # doubles with each connection failure in a row
MAX_BACKOFF_S: Final = 4.0
# Failure rate in excess of the baseline above which an upstream is doubtful.
MAX_FAILURE_RATE: Final = 0.6
# An upstream is doubtful when its warm latency exceeds this multiple of the
# baseline.
SLOW_FACTOR: Final = 3.0
# An upstream is doubtful when requests in flight get no response for this
# multiple of its mean latency, but not before MIN_SILENCE_S.
SILENT_FACTOR: Final = 5.0
MIN_SILENCE_S: Final = 1.0
# Age up to which a success at this host overrides failures reported by peers.
OWN_SUCCESS_FRESH_S: Final = 1.0
# Warm objects remembered for one upstream.
MAX_WARM_OBJECTS: Final = 64


@unique
class Health(Enum):
    """Whether an upstream may be given new requests."""

    GOOD = "good"
    DOUBTFUL = "doubtful"  # gets single trial requests to detect recovery
    DOWN = "down"


class ServiceBaseline:
    """Medians over the upstreams of a service, to compare each one against."""

    __slots__ = (
        "computed_at",
        "failure_rate",
        "mean_latency_s",
        "peer_failure_rate",
        "warm_latency_s",
        "warmed_up",
    )

    def __init__(
        self,
        warm_latency_s: float,
        mean_latency_s: float,
        failure_rate: float,
        peer_failure_rate: float,
        computed_at: float,
    ) -> None:
        # Medians of the latencies without queueing; 0: no response seen.
        self.warm_latency_s = warm_latency_s  # median for warm objects
        self.mean_latency_s = mean_latency_s  # median for all objects
        # Medians of the failure rates seen by this host and by other hosts.
        self.failure_rate = failure_rate
        self.peer_failure_rate = peer_failure_rate
        # Whether most objects have been handled by their first-ranked
        # upstream.
        self.warmed_up = False
        self.computed_at = computed_at


class Upstream:
    """One instance of an upstream, as seen by this host.

    A restart makes a new instance, which has no warm objects.
    """

    __slots__ = (
        "_doubted_at",
        "_down_until",
        "_last_success_at",
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
        "mean_latency_s",
        "peer_failure_rate",
        "region",
        "removed_at",
        "speed",
        "warm_latency_s",
    )

    def __init__(self, entry: UpstreamEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.in_flight = 0  # requests sent by this host and not yet ended
        self.cold_until = 0.0
        self.removed_at: float | None = None  # time when the entry was removed
        self.connect_failures = 0  # consecutive failures
        self.logged_health = Health.GOOD  # last health that was logged
        # Moving averages: 1 for a failed request, 0 for a successful one.
        self.failure_rate = 0.0  # rate seen by this host
        self.peer_failure_rate = 0.0  # rate reported by other hosts
        # Moving averages of the latency without queueing, at the usual speed
        # of the machine; 0: no sample yet.
        self.warm_latency_s = 0.0  # average for warm objects
        self.mean_latency_s = 0.0  # average for all objects
        self.speed = MachineSpeed()
        self.fingerprint = fingerprint(entry.upstream_id)
        # Fingerprints of recently handled objects, least recent first.
        self._warm_objects: OrderedDict[int, None] = OrderedDict()
        # Requests of other hosts at the last load report, and their average.
        self._peer_load = 0.0
        self._mean_peer_load = 0.0
        self._reported_at = 0.0
        self._down_until = 0.0
        # Last failure or trial; the trial interval is measured from here.
        self._doubted_at: float | None = None
        self._last_success_at = 0.0
        # Send times of attempts in flight, keyed by attempt number.
        self._sent_at: dict[int, float] = {}

    @property
    def name(self) -> str:
        """Return the id of the upstream instance."""
        return self.entry.upstream_id

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs concurrently."""
        return self.entry.slots

    @property
    def reported_at(self) -> float:
        """Return when it last reported its load to this host; 0: never."""
        return self._reported_at

    def load(self, now: float) -> float:
        """Return the estimated number of requests running or queued there.

        The last reported load of other hosts fades into its moving average
        while the report ages.
        """
        age_s = now - self._reported_at
        lifetime_s = max(MIN_REPORT_LIFETIME_S, self.mean_latency_s)
        weight = max(0.0, 1.0 - age_s / lifetime_s)
        peer_load = weight * self._peer_load + (1.0 - weight) * self._mean_peer_load
        return self.in_flight + peer_load

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is limited to its cold-start rate."""
        return now < self.cold_until

    def service_time_s(
        self,
        warm: bool,
        baseline: ServiceBaseline,
        objective_s: float,
        starts_at: float | None = None,
    ) -> float:
        """Return the expected latency without queueing, in seconds.

        `warm` tells whether the upstream has handled the object recently, and
        `starts_at` when the request starts to run; by default at any time.
        """
        warm_latency_s = (
            self.warm_latency_s
            or baseline.warm_latency_s
            or objective_s * INITIAL_WARM_FRACTION
        )
        usual_s = warm_latency_s if warm else warm_latency_s * UNSEEN_OBJECT_FACTOR
        return usual_s * self.speed.expected(usual_s, starts_at)

    def queue_wait_s(
        self, baseline: ServiceBaseline, objective_s: float, now: float
    ) -> float:
        """Return the expected queueing time of a new request, in seconds."""
        ahead = self.load(now) - self.slots + 1
        if ahead <= 0:
            return 0.0
        latency_s = self.mean_latency_s or baseline.mean_latency_s or objective_s
        usual_s = ahead * latency_s / max(1, self.slots)
        return usual_s * self.speed.expected(usual_s, now)

    # Request events.

    def record_sent(self, number: int, now: float) -> None:
        """Record a request in flight."""
        self.in_flight += 1
        self._sent_at[number] = now

    def record_end(self, number: int) -> float | None:
        """Record the end of a request; return when it was sent, if known."""
        sent_at = self._sent_at.pop(number, None)
        if sent_at is not None:
            self.in_flight -= 1
        return sent_at

    def record_success(
        self, elapsed_s: float, object_fingerprint: int, queued: bool, now: float
    ) -> None:
        """Record a successful request for an object and its latency.

        Queued requests do not count for the latency averages.
        """
        self._last_success_at = now
        self.connect_failures = 0
        self._down_until = 0.0
        self._doubted_at = None
        self.failure_rate *= 1.0 - EWMA_WEIGHT
        if not queued:
            elapsed_s /= self.speed.during(elapsed_s, now)
            self.mean_latency_s = _ewma(self.mean_latency_s, elapsed_s)
            if object_fingerprint in self._warm_objects:
                self.warm_latency_s = _ewma(self.warm_latency_s, elapsed_s)
        self._mark_warm(object_fingerprint)

    def record_peer_success(self, object_fingerprint: int, load: int | None) -> None:
        """Record a success at a peer, reported up to a heartbeat later."""
        self._mark_warm(object_fingerprint)
        self.peer_failure_rate *= 1.0 - EWMA_WEIGHT
        if load is not None:
            self._update_peer_load(load)

    def record_peer_failure(self, now: float) -> None:
        """Record a failure at a peer, reported up to a heartbeat later."""
        if self.peer_failure_rate <= MAX_FAILURE_RATE:
            # The trial intervals of all hosts start when they begin to doubt
            # the upstream, at about the same time.
            self._doubted_at = now
        self.peer_failure_rate += EWMA_WEIGHT * (1.0 - self.peer_failure_rate)

    def is_warm_for(self, object_fingerprint: int) -> bool:
        """Return whether the upstream has handled an object recently."""
        return object_fingerprint in self._warm_objects

    def clear_warm_objects(self) -> None:
        """Forget all warm objects."""
        self._warm_objects.clear()

    def record_failure(self, now: float) -> None:
        """Record a failed or missing response."""
        self.failure_rate = self.failure_rate * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT
        self._doubted_at = now

    def record_unreachable(self, now: float) -> None:
        """Record that the upstream accepts no connections."""
        self.connect_failures += 1
        backoff_s = CONNECT_BACKOFF_S * 2 ** min(3, self.connect_failures - 1)
        self._down_until = now + min(MAX_BACKOFF_S, backoff_s)
        self._doubted_at = now

    def record_load_report(self, total: float, now: float) -> None:
        """Record the load that the upstream reported with a response.

        `total` counts requests running or queued there. It includes the
        request of this response, which is no longer in flight here.
        """
        self._peer_load = self._update_peer_load(total)
        self._reported_at = now

    def _update_peer_load(self, total: float) -> float:
        """Update the mean load of peers; return their part of `total`."""
        peer_load = max(0.0, total - 1 - self.in_flight)
        self._mean_peer_load += EWMA_WEIGHT * (peer_load - self._mean_peer_load)
        return peer_load

    def _mark_warm(self, object_fingerprint: int) -> None:
        """Remember that the upstream has handled an object."""
        self._warm_objects[object_fingerprint] = None
        self._warm_objects.move_to_end(object_fingerprint)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)

    def health(self, baseline: ServiceBaseline, now: float) -> Health:
        """Return the upstream's health relative to its service.

        Where all upstreams of a service fail alike, moving requests away from
        one gains nothing and loses its warm objects.
        """
        if now < self._down_until:
            return Health.DOWN
        if (
            self.connect_failures
            or self.excess_failure_rate(baseline, now) > MAX_FAILURE_RATE
        ):
            return Health.DOUBTFUL
        if (
            baseline.warm_latency_s
            and self.warm_latency_s > SLOW_FACTOR * baseline.warm_latency_s
        ):
            return Health.DOUBTFUL
        return Health.DOUBTFUL if self.is_silent(baseline, now) else Health.GOOD

    def excess_failure_rate(self, baseline: ServiceBaseline, now: float) -> float:
        """Return how far the failure rate exceeds that of the service.

        Failures at other hosts count only if this host has had no success
        recently: the upstream may be failing for some hosts only.
        """
        own_excess = self.failure_rate - baseline.failure_rate
        if now - self._last_success_at < OWN_SUCCESS_FRESH_S:
            return max(0.0, own_excess)
        return max(0.0, own_excess, self.peer_failure_rate - baseline.peer_failure_rate)

    def silence_limit_s(
        self, baseline: ServiceBaseline, objective_s: float = 0.0
    ) -> float:
        """Return the time without any response after which it counts as silent.

        Before any response of the service, `objective_s` is the mean latency.
        """
        latency_s = self.mean_latency_s or baseline.mean_latency_s or objective_s
        slowdown = max(1.0, self.speed.mean)
        return max(MIN_SILENCE_S, SILENT_FACTOR * latency_s * slowdown)

    def is_silent(
        self, baseline: ServiceBaseline, now: float, objective_s: float = 0.0
    ) -> bool:
        """Return whether requests in flight have got no response for too long."""
        if not self._sent_at:
            return False
        oldest_sent_at = next(iter(self._sent_at.values()))
        silent_s = now - max(oldest_sent_at, self._last_success_at)
        return silent_s > self.silence_limit_s(baseline, objective_s)

    def fails_at_peers(self, baseline: ServiceBaseline) -> bool:
        """Return whether other hosts see too many failures as well."""
        return self.peer_failure_rate - baseline.peer_failure_rate > MAX_FAILURE_RATE

    def begin_trial(self, interval_s: float, now: float) -> bool:
        """Start a trial if one is due; return whether it was started."""
        if not self.is_trial_due(interval_s, now):
            return False
        self._doubted_at = now
        return True

    def is_trial_due(self, interval_s: float, now: float) -> bool:
        """Return whether a trial may be started."""
        if self.in_flight:
            return False
        return self._doubted_at is None or now >= self._doubted_at + interval_s


def _ewma(old: float, sample: float) -> float:
    """Return the updated average; the first sample initializes it."""
    return sample if not old else old + EWMA_WEIGHT * (sample - old)
