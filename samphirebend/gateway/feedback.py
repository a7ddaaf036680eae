"""Feedback on upstreams that a host collects and shares with its peers.

`forward` and `crashcheck` report the results of attempts. `peers` sends them
in heartbeats and merges those of other hosts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from loguru import logger

from ..suspects import Suspect
from .admissionuse import UseTable
from .crashes import CrashTracker
from .idle import IdleLimit
from .leaving import LeavingReport, decode_leaving
from .observations import Observation, ObservationBuffer, decode_observations
from .ratelimits import NO_LIMIT, RateLimits
from .registry import UpstreamRegistry
from .upstreams import Upstream


class Feedback:
    """Collects results of requests and merges those of other hosts."""

    __slots__ = (
        "_recent",
        "_registry",
        "crashes",
        "idle_limit",
        "leaving_counts",
        "on_leaving",
        "rate_limits",
        "use",
    )

    def __init__(self, registry: UpstreamRegistry, rate_limits: RateLimits) -> None:
        self._registry = registry
        self._recent = ObservationBuffer()
        self.crashes = CrashTracker()
        self.idle_limit = IdleLimit()
        self.rate_limits = rate_limits
        self.use = UseTable()  # empty unless admission is in use
        # Number of upstreams that leave, by who said so first: "response" or
        # "peer".
        self.leaving_counts: Counter[str] = Counter()
        # Called when a response has said first that an upstream leaves.
        self.on_leaving: Callable[[], None] = lambda: None

    def record_success(
        self, upstream: Upstream, object_fingerprint: int, load: int | None
    ) -> None:
        """Record a successful request for sharing."""
        self._recent.add(Observation(upstream.fingerprint, object_fingerprint, load))

    def record_failure(self, upstream: Upstream, now: float) -> None:
        """Record a failed request locally and for sharing."""
        upstream.record_failure(now)
        self._recent.add(Observation(upstream.fingerprint, 0, None, failed=True))

    def record_refusal(self, upstream: Upstream, now: float) -> None:
        """Record a refusal as a failure, but only if slots should be free."""
        if upstream.load(now) < upstream.slots:
            self.record_failure(upstream, now)

    def record_unreachable(self, upstream: Upstream, now: float) -> None:
        """Record a failed connection locally and for sharing."""
        upstream.record_unreachable(now)
        self._recent.add(Observation(upstream.fingerprint, 0, None, failed=True))

    def record_limit(self, upstream: Upstream, limit_per_s: float, now: float) -> None:
        """Record the rate limit that an upstream names, NO_LIMIT for none."""
        if self.rate_limits.record_response(upstream.fingerprint, limit_per_s, now):
            logger.info(
                "rate limit of an upstream begins or ends",
                event="upstream_limit",
                upstream=upstream.name,
                service=upstream.entry.service,
                limit_per_s=limit_per_s if limit_per_s != NO_LIMIT else None,
            )

    def record_leaving(self, upstream: Upstream, now: float) -> None:
        """Record that a response of an upstream says that it leaves."""
        report = LeavingReport(upstream.fingerprint, upstream.entry.born_ms)
        if not self._registry.record_leaving(report, now):
            return
        self.leaving_counts["response"] += 1
        _log_leaving(upstream, "response")
        self.on_leaving()

    def encode_leaving(self, now: float) -> bytes:
        """Return the encoded reports of upstreams that leave."""
        return self._registry.leaving.encode_recent(now)

    def merge_leaving(self, reports: bytes, now: float) -> None:
        """Merge another host's encoded reports of upstreams that leave."""
        for report in decode_leaving(reports):
            if not self._registry.record_leaving(report, now):
                continue
            self.leaving_counts["peer"] += 1
            upstream = self._registry.get_by_fingerprint(report.upstream)
            if upstream is not None:
                _log_leaving(upstream, "peer")

    def take_observations(self) -> bytes:
        """Return the encoded observations since the last call."""
        return self._recent.take_encoded()

    def merge(
        self,
        idle_limit_s: float,
        observations: bytes,
        suspects: Iterable[Suspect],
        now: float,
    ) -> None:
        """Merge the feedback of another host.

        `idle_limit_s` is its idle limit, `observations` are its encoded
        observations and `suspects` the requests that may crash upstreams.
        """
        self.idle_limit.merge(idle_limit_s, now)
        self.crashes.merge(suspects, now)
        for observation in decode_observations(observations):
            upstream = self._registry.get_by_fingerprint(
                observation.upstream_fingerprint
            )
            if upstream is None:
                continue
            if observation.failed:
                upstream.record_peer_failure(now)
            else:
                upstream.record_peer_success(
                    observation.object_fingerprint, observation.load
                )


def _log_leaving(upstream: Upstream, source: str) -> None:
    logger.info(
        "upstream says that it leaves",
        event="upstream_leaving",
        upstream=upstream.name,
        service=upstream.entry.service,
        zone=upstream.entry.zone,
        in_flight=upstream.in_flight,
        source=source,
    )
