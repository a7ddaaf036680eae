"""Life cycle and measurements of the upstreams in this host's region.

`health` and `dispatch` report observations, and `routing` uses the result.
Observations may arrive late and out of order. These rules decide which of them
change the state:

- An upstream is leaving from the first observation that says so, whatever its
  source.
- The leaving state ends when the upstream itself reports a new instance. It
  also ends when the platform's list shows the upstream as serving after the
  list has shown it as leaving or absent. If only peers have reported the
  upstream as leaving, the state also ends when they all withdraw the report.
  An unchanged list entry or peer report has no effect.
- Outcomes of this host's requests take precedence over health reports: reports
  never make an upstream more attractive than the outcomes do.

The upstreams of the first manifest after the start of the daemon count as
warm. They may have served other hosts or an earlier process, and limiting all
of them at once would refuse requests after each restart. An upstream that a
later manifest adds, or that reports a new instance, starts cold. An upstream
that broke a connection or could not be reached may have restarted since its
last report. It is limited like a cold one until a report shows the same
instance.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from .manifest import Manifest
from .upstreamrecord import (
    DispatchOutcome,
    LifecycleState,
    ListedState,
    Report,
    UpstreamRecord,
)

# Time in which the limit of a cold upstream rises from one slot to all slots.
COLD_RAMP_S: Final = 10.0
REPORT_MAX_AGE_S: Final = 5.0  # older health reports are not used
# Upstreams usually have three slots, so that the crash of a fully used one
# causes three failures at once. A fourth shows that the upstream still fails
# afterwards.
EJECT_CONSECUTIVE_FAILURES: Final = 4
EJECT_FAILURE_SHARE: Final = 0.5
# Decayed count of outcomes below which the failure share says little.
EJECT_MIN_OUTCOMES: Final = 8.0
# At most a third of a service's upstreams may be ejected, but always one of
# several.
EJECT_MAX_SHARE_DIVISOR: Final = 3
# Time from an ejection to the first trial. It doubles with each failed trial
# and each further ejection, up to the maximum. It starts again from the
# minimum after the upstream was up for the reset time.
MIN_EJECTION_S: Final = 2.0
MAX_EJECTION_S: Final = 60.0
EJECTION_RESET_S: Final = 120.0
# Weight of the newest sample in the moving average of latencies.
LATENCY_WEIGHT: Final = 0.1
# Number of past instances whose late reports are recognised and ignored.
MAX_PAST_INSTANCES: Final = 8


class UpstreamStates:
    """States and measurements of the upstreams of one region."""

    __slots__ = ("_owned", "_peer_reports", "_records", "_region", "_started")

    def __init__(self, region: str) -> None:
        self._region = region
        self._records: dict[str, UpstreamRecord] = {}  # keyed by upstream
        # Upstreams that this host uses, keyed by service.
        self._owned: dict[str, list[str]] = {}
        # Incarnation of each peer and the upstreams it reports as leaving.
        self._peer_reports: dict[str, tuple[int, frozenset[str]]] = {}
        self._started = False  # whether a manifest was applied

    def apply(self, manifest: Manifest, now: float) -> None:
        """Use the manifest in force.

        Upstreams added by a later manifest start cold.
        """
        records: dict[str, UpstreamRecord] = {}
        for upstream in manifest.upstreams.values():
            if upstream.region != self._region:
                continue
            record = self._records.get(upstream.name)
            address = str(upstream.address)
            if record is None or record.address != address:
                record = UpstreamRecord(upstream.service, address, upstream.slots)
                if self._started:
                    record.reset(now)
            record.service = upstream.service
            record.slots = upstream.slots
            records[upstream.name] = record
        self._records = records
        self._started = True

    def set_owned(self, upstreams: Iterable[str]) -> None:
        """Set the upstreams that this host uses.

        The limit on ejected upstreams of a service counts only these.
        """
        self._owned = {}
        for name in sorted(upstreams):
            if name in self._records:
                service = self._records[name].service
                self._owned.setdefault(service, []).append(name)

    def state(self, upstream: str, now: float) -> LifecycleState:
        """Return the state of an upstream, `GONE` if it is unknown."""
        record = self._records.get(upstream)
        if record is None:
            return LifecycleState.GONE
        if (
            record.state is LifecycleState.COLD
            and now - record.cold_since >= COLD_RAMP_S
        ):
            record.send("warmed")
        return record.state

    def accepts(self, upstream: str, now: float) -> bool:
        """Return whether the upstream may get new requests."""
        state = self.state(upstream, now)
        if state is LifecycleState.EJECTED:
            record = self._records[upstream]
            return (
                record.trial_sent_at is None
                and now >= record.ejected_at + record.ejection_s
            )
        return state in (LifecycleState.COLD, LifecycleState.UP)

    def limit(self, upstream: str, slots: int, now: float) -> int:
        """Return how many of the slots may be in use now."""
        if not self.accepts(upstream, now):
            return 0
        record = self._records[upstream]
        if record.state is LifecycleState.EJECTED:
            return min(1, slots)  # only the trial request
        ramp_started_at = record.ramp_started_at()
        if ramp_started_at is None:
            return slots
        share = max(0.0, now - ramp_started_at) / COLD_RAMP_S
        return min(slots, 1 + int((slots - 1) * share))

    def record_dispatch(self, upstream: str, now: float) -> None:
        """Record a dispatch. At an ejected upstream, it is the trial."""
        record = self._records.get(upstream)
        if record is not None and record.state is LifecycleState.EJECTED:
            record.trial_sent_at = now

    def record_connection_failure(
        self, upstream: str, sent_at: float, now: float
    ) -> None:
        """Record a broken or failed connection.

        The upstream may have restarted.
        """
        record = self._records.get(upstream)
        if record is None or sent_at < record.reset_at:
            return
        record.unconfirmed_since = now

    def record_outcome(
        self,
        upstream: str,
        outcome: DispatchOutcome,
        sent_at: float,
        now: float,
    ) -> None:
        """Record how a dispatch ended.

        `sent_at` must be the time that was passed to `record_dispatch`.
        """
        record = self._records.get(upstream)
        if record is None or sent_at < record.reset_at:
            return  # the outcome is of an earlier instance
        if outcome is DispatchOutcome.CANCELLED:
            if record.trial_sent_at == sent_at:
                record.trial_sent_at = None
            return
        record.decay(now)
        if outcome is DispatchOutcome.ANSWERED:
            self._record_success(record, sent_at, now)
        else:
            record.failures += 1.0
            record.consecutive_failures += 1
        if record.state is LifecycleState.EJECTED:
            self._record_trial_outcome(record, outcome, sent_at, now)
        elif outcome is not DispatchOutcome.ANSWERED:
            self._maybe_eject(record, now)

    def _record_success(
        self, record: UpstreamRecord, sent_at: float, now: float
    ) -> None:
        record.successes += 1.0
        record.consecutive_failures = 0
        sample_s = max(0.0, now - sent_at)
        if math.isinf(record.latency_at):
            record.latency_s = sample_s
        else:
            record.latency_s += LATENCY_WEIGHT * (sample_s - record.latency_s)
        record.latency_at = now

    def _record_trial_outcome(
        self,
        record: UpstreamRecord,
        outcome: DispatchOutcome,
        sent_at: float,
        now: float,
    ) -> None:
        if record.trial_sent_at is None or sent_at < record.trial_sent_at:
            return  # the request was sent before the ejection
        record.trial_sent_at = None
        if outcome is DispatchOutcome.ANSWERED:
            record.send("recovered")
            record.recovered_at = now
            record.successes, record.failures = 1.0, 0.0
        else:
            self._start_ejection(record, now)

    def _maybe_eject(self, record: UpstreamRecord, now: float) -> None:
        if record.state not in (LifecycleState.UP, LifecycleState.COLD):
            return
        total = record.successes + record.failures
        failing = record.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES or (
            total >= EJECT_MIN_OUTCOMES
            and record.failures >= EJECT_FAILURE_SHARE * total
        )
        if failing and self._may_eject(record.service):
            record.send("ejected")
            record.trial_sent_at = None
            if now - record.recovered_at > EJECTION_RESET_S:
                record.ejection_s = 0.0
            self._start_ejection(record, now)

    def _may_eject(self, service: str) -> bool:
        names = self._owned.get(service, [])
        if len(names) < 2:
            return False
        ejected = sum(
            self._records[name].state is LifecycleState.EJECTED
            for name in names
            if name in self._records
        )
        return ejected < max(1, len(names) // EJECT_MAX_SHARE_DIVISOR)

    @staticmethod
    def _start_ejection(record: UpstreamRecord, now: float) -> None:
        record.ejected_at = now
        record.ejection_s = min(
            MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * record.ejection_s)
        )

    def record_draining(self, upstream: str, sent_at: float, now: float) -> None:
        """Record that an upstream's response contained a drain signal.

        `sent_at` is the time at which the request was sent. The response to a
        request sent before the current instance was known is ignored, because
        it may be of an earlier instance.
        """
        record = self._records.get(upstream)
        if record is not None and sent_at >= record.reset_at:
            self._mark_leaving(record)

    @staticmethod
    def _mark_leaving(record: UpstreamRecord) -> None:
        record.locally_observed = True
        record.send("left")

    def record_listed_state(
        self, upstream: str, listed: ListedState, now: float
    ) -> None:
        """Record the state of an upstream in the platform's list."""
        record = self._records.get(upstream)
        if record is None or record.listed is listed:
            return
        if listed is ListedState.ABSENT and record.listed is None:
            # The list may lag behind a new upstream, so that an upstream that
            # it has never shown is unknown rather than gone.
            return
        record.listed = listed
        if listed is ListedState.SERVING:
            # If the list has not shown the current instance as leaving or
            # absent, this entry is about the return of an earlier instance.
            unavailable = record.state in (LifecycleState.LEAVING, LifecycleState.GONE)
            if unavailable and record.listed_unavailable_at >= record.reset_at:
                record.reset(now)
            return
        record.listed_unavailable_at = now
        if listed is ListedState.LEAVING:
            self._mark_leaving(record)
        else:
            record.locally_observed = True
            record.send("vanished")

    def record_report(
        self, upstream: str, report: Report, sent_at: float, now: float
    ) -> None:
        """Record a health report that answers a poll sent at `sent_at`."""
        record = self._records.get(upstream)
        if record is None or sent_at <= record.report_sent_at:
            return
        if report.instance in record.past_instances:
            return
        record.report_sent_at = sent_at
        record.report = report
        if report.instance and report.instance != record.instance:
            if record.instance:
                record.past_instances.append(record.instance)
                del record.past_instances[:-MAX_PAST_INSTANCES]
                record.reset(now)
            record.instance = report.instance
        since = record.unconfirmed_since
        if since is not None and sent_at >= since:
            record.unconfirmed_since = None
        if report.draining:
            self._mark_leaving(record)

    def record_peer_leaving(
        self, peer: str, incarnation: int, upstreams: Iterable[str], now: float
    ) -> None:
        """Record the upstreams that a peer's heartbeat reports as leaving.

        An upstream that the peer reported before is ignored, because the peer
        may not know of a new instance that this host knows of. An upstream
        that the same incarnation of the peer no longer reports has returned,
        according to the peer. A restarted peer has only forgotten it.
        """
        reported = frozenset(upstreams)
        known = self._peer_reports.get(peer)
        before = known[1] if known else frozenset()
        for name in sorted(reported - before):
            record = self._records.get(name)
            if record is not None:
                record.reported_by.add(peer)
                record.send("left")
        if known and known[0] == incarnation:
            for name in sorted(before - reported):
                self._withdraw(name, peer, now)
        self._peer_reports[peer] = (incarnation, reported)

    def _withdraw(self, name: str, peer: str, now: float) -> None:
        record = self._records.get(name)
        if record is None or peer not in record.reported_by:
            return
        record.reported_by.discard(peer)
        if (
            not record.reported_by
            and not record.locally_observed
            and record.state is LifecycleState.LEAVING
        ):
            record.reset(now)

    def leaving(self) -> list[str]:
        """Return the leaving upstreams to report to peers.

        Only upstreams that this host itself has observed leaving are reported.
        Otherwise two hosts would keep confirming each other's outdated reports
        after the upstream has returned.
        """
        return sorted(
            name
            for name, record in self._records.items()
            if record.locally_observed
            and record.state in (LifecycleState.LEAVING, LifecycleState.GONE)
        )

    def latency_s(self, upstream: str) -> float | None:
        """Return the moving average of the latency, None without samples."""
        record = self._records.get(upstream)
        if record is None or math.isinf(record.latency_at):
            return None
        return record.latency_s

    def service_latency_s(self, service: str) -> float | None:
        """Return the mean of the upstreams' average latencies, or None."""
        samples = [
            record.latency_s
            for record in self._records.values()
            if record.service == service and not math.isinf(record.latency_at)
        ]
        return sum(samples) / len(samples) if samples else None

    def latency_age_s(self, upstream: str, now: float) -> float:
        """Return the age of the last latency sample, infinity without one."""
        record = self._records.get(upstream)
        return math.inf if record is None else now - record.latency_at

    def failure_share(self, upstream: str, now: float) -> float:
        """Return the share, from 0 to 1, of recent failures and refusals.

        One additional success is assumed, so that the share after a single
        failure is not 1.
        """
        record = self._records.get(upstream)
        if record is None:
            return 0.0
        record.decay(now)
        return record.failures / (record.successes + record.failures + 1.0)

    def reported_in_use(self, upstream: str, now: float) -> int | None:
        """Return the reported number of slots in use, None if unknown.

        A report older than `REPORT_MAX_AGE_S` is not used.
        """
        record = self._records.get(upstream)
        if record is None or record.report is None:
            return None
        if now - record.report_sent_at > REPORT_MAX_AGE_S:
            return None
        return record.report.in_use

    def report_ages(self, now: float) -> dict[str, float]:
        """Return the age in seconds of the last report of each upstream."""
        return {
            name: now - record.report_sent_at
            for name, record in self._records.items()
            if record.report is not None
        }

    def reported_failing(self, upstream: str, now: float) -> bool:
        """Return whether the last report has the status "fail".

        A report older than `REPORT_MAX_AGE_S` is not used.
        """
        record = self._records.get(upstream)
        return (
            record is not None
            and record.report is not None
            and record.report.failing
            and now - record.report_sent_at <= REPORT_MAX_AGE_S
        )
