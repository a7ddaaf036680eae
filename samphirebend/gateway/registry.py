"""Registry of known upstreams, with a baseline for each service.

`routingstate` adds and removes upstreams, and `placement` looks them up.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .config import UpstreamEntry
from .leaving import LeavingReport, LeavingUpstreams
from .machinespeed import SLOW_MACHINE
from .upstreams import ServiceBaseline, Upstream

# Time for which a computed baseline is reused.
BASELINE_INTERVAL_S: Final = 0.1
# Upstreams from which a baseline is computed, which bounds its cost.
BASELINE_SAMPLE_SIZE: Final = 100
# Time after a service's first request by which most objects have been handled
# by their first-ranked upstream.
WARM_UP_S: Final = 4.0


def _median(values: list[float]) -> float:
    """Return the lower median, or 0 if there are no values."""
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


class UpstreamRegistry:
    """Indexes known upstreams by id, fingerprint and service."""

    __slots__ = (
        "_all",
        "_baselines",
        "_by_fingerprint",
        "_by_service",
        "_first_request_at",
        "_regions",
        "evacuated",
        "generation",
        "leaving",
    )

    def __init__(self, regions: dict[str, str]) -> None:
        self._regions = regions  # names, keyed by failure domain
        self._all: dict[str, Upstream] = {}  # keyed by upstream id
        self._by_fingerprint: dict[int, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._baselines: dict[str, ServiceBaseline] = {}
        self._first_request_at: dict[str, float] = {}  # keyed by service name
        # Failure domains whose upstreams get no requests.
        self.evacuated: set[str] = set()
        self.leaving = LeavingUpstreams()
        # Increases when the set of usable upstreams may have changed.
        self.generation = 0

    def add_regions(self, regions: dict[str, str]) -> None:
        """Add regions, keyed by failure domain."""
        self._regions = {**self._regions, **regions}

    def get(self, name: str) -> Upstream | None:
        """Return an upstream by its id, or None."""
        return self._all.get(name)

    def get_by_fingerprint(self, upstream_fingerprint: int) -> Upstream | None:
        """Return an upstream by the fingerprint of its id, or None."""
        return self._by_fingerprint.get(upstream_fingerprint)

    def all(self) -> Iterable[Upstream]:
        """Return all upstreams, including removed and draining ones."""
        return self._all.values()

    def put(self, entry: UpstreamEntry, cold_s: float, now: float) -> None:
        """Add or update an upstream.

        `cold_s` is the minimum time for which a starting upstream of the
        service counts as cold.
        """
        self.generation += 1
        upstream = self._all.get(entry.upstream_id)
        if upstream is not None and upstream.entry.born_ms == entry.born_ms:
            upstream.entry = entry
            upstream.removed_at = None
            if entry.cold_left_s > 0:
                upstream.cold_until = now + max(entry.cold_left_s, cold_s)
        else:
            upstream = Upstream(entry, self._regions.get(entry.zone, ""))
            if entry.cold_left_s > 0:
                upstream.cold_until = now + max(entry.cold_left_s, cold_s)
            self._all[entry.upstream_id] = upstream
            self._by_fingerprint[upstream.fingerprint] = upstream
        self._rebuild_index()

    def remove(self, name: str, now: float) -> None:
        """Mark an upstream as removed; requests in flight go on."""
        upstream = self._all.get(name)
        if upstream is not None and upstream.removed_at is None:
            upstream.removed_at = now
            self.generation += 1
            self._rebuild_index()

    def record_leaving(self, report: LeavingReport, now: float) -> bool:
        """Record that a start of an upstream leaves; return whether it was new.

        It gets no new requests, whatever entries or peers say of it, until it
        has started again.
        """
        if not self.leaving.record(report, now):
            return False
        if report.upstream in self._by_fingerprint:
            self.generation += 1
            self._rebuild_index()
        return True

    def evacuate(self, zone: str, active: bool, cold_s: float, now: float) -> None:
        """Evacuate a failure domain, or end its evacuation.

        Upstreams of a domain that returns count as cold for `cold_s` and have
        no warm objects, also if this host has not heard of the evacuation.
        """
        self.generation += 1
        if active:
            self.evacuated.add(zone)
        else:
            self.evacuated.discard(zone)
            for upstream in self._all.values():
                if upstream.entry.zone == zone:
                    upstream.cold_until = max(upstream.cold_until, now + cold_s)
                    upstream.clear_warm_objects()
        self._rebuild_index()

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may be given new requests."""
        return self._by_service.get(service, [])

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be given new requests."""
        entry = upstream.entry
        return (
            self._all.get(entry.upstream_id) is upstream
            and upstream.removed_at is None
            and not entry.draining
            and not self.leaving.covers(upstream.fingerprint, entry.born_ms)
            and entry.zone not in self.evacuated
        )

    def slow_machine_count(self) -> int:
        """Return the number of upstreams whose machine is slow on average."""
        return sum(upstream.speed.mean >= SLOW_MACHINE for upstream in self.all())

    def drop_removed(self, before: float) -> list[str]:
        """Delete idle upstreams removed before a time; return their ids."""
        expired = [
            name
            for name, upstream in self._all.items()
            if upstream.removed_at is not None
            and upstream.removed_at < before
            and not upstream.in_flight
        ]
        for name in expired:
            self._by_fingerprint.pop(self._all.pop(name).fingerprint, None)
        return expired

    def record_request(self, service: str, now: float) -> None:
        """Record the time of the first request to a service."""
        self._first_request_at.setdefault(service, now)

    def baseline(self, service: str, now: float) -> ServiceBaseline:
        """Return the medians over a service, recomputed if stale."""
        baseline = self._baselines.get(service)
        if baseline is None or now - baseline.computed_at > BASELINE_INTERVAL_S:
            usable = self.usable(service)
            usable = usable[:: len(usable) // BASELINE_SAMPLE_SIZE + 1]
            baseline = ServiceBaseline(
                _median(
                    [
                        upstream.warm_latency_s
                        for upstream in usable
                        if upstream.warm_latency_s
                    ]
                ),
                _median(
                    [
                        upstream.mean_latency_s
                        for upstream in usable
                        if upstream.mean_latency_s
                    ]
                ),
                _median([upstream.failure_rate for upstream in usable]),
                _median([upstream.peer_failure_rate for upstream in usable]),
                now,
            )
            baseline.warmed_up = (
                now - self._first_request_at.get(service, now) >= WARM_UP_S
            )
            self._baselines[service] = baseline
        return baseline

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for upstream in self._all.values():
            if self.accepts(upstream):
                service = upstream.entry.service
                self._by_service.setdefault(service, []).append(upstream)
