"""Metrics of one process, kept in dictionaries and exported when rendered.

The request path calls typed methods that only update dictionaries; the
aioprometheus collectors are filled when `/metrics` is requested. aioprometheus
encodes the labels as JSON on each update, which is too expensive for the
request path.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Mapping
from typing import Final

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter
from aioprometheus.histogram import Histogram as BucketCounts

from .errorcodes import ErrorKind, Outcome

PREFIX: Final = "samphirebend_"

# Limits on the number of series of one metric, because labels name services
# and upstreams, of which there may be many, and rendering must take less than
# 50 ms. The limit is lower for histograms, whose series render up to 19 lines
# each.
MAX_SERIES: Final = 150
MAX_HISTOGRAM_SERIES: Final = 40
OVERFLOW_LABEL: Final = "other"  # label value of all series above the limit

_DURATION_BOUNDS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
_LAG_BOUNDS_S: Final = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0)
_DRAIN_BOUNDS_S: Final = (0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0)

LabelValues = tuple[str, ...]


def escape_label(text: str) -> str:
    r"""Escape a label value for the text format; aioprometheus does not.

    >>> print(escape_label('a"b'))
    a\"b
    """
    clean = text.encode("utf-8", "replace").decode()
    return clean.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


class _LabeledValues:
    """Values of one counter or gauge, keyed by label values."""

    __slots__ = ("_collector", "_labels", "values")

    def __init__(self, collector: Collector, labels: tuple[str, ...]) -> None:
        self._collector = collector
        self._labels = labels
        self.values: dict[LabelValues, float] = {}

    def add(self, key: LabelValues, amount: float = 1) -> None:
        """Add an amount to the series with the given label values."""
        values = self.values
        if key in values:
            values[key] += amount
        else:
            key = self._limit_series(key)
            values[key] = values.get(key, 0) + amount

    def set(self, key: LabelValues, value: float) -> None:
        """Set the series with the given label values."""
        if key not in self.values:
            key = self._limit_series(key)
        self.values[key] = value

    def _limit_series(self, key: LabelValues) -> LabelValues:
        return key if len(self.values) < MAX_SERIES else (OVERFLOW_LABEL,) * len(key)

    def export(self) -> None:
        """Replace the collector's values with the current ones."""
        self._collector.values.clear()
        for key, value in self.values.items():
            labels = {
                label: escape_label(text)
                for label, text in zip(self._labels, key, strict=True)
            }
            self._collector.set_value(labels, value)


class _HistogramSeries:
    """Bucket counts and sum of one histogram series."""

    __slots__ = ("counts", "total")

    def __init__(self, size: int) -> None:
        # Count of each bucket, not cumulative; the last bucket is +Inf.
        self.counts = [0] * size
        # Sum of the durations in seconds.
        self.total = 0.0


class _LabeledHistogram:
    """Histogram of durations in seconds, keyed by label values."""

    __slots__ = ("_bounds", "_collector", "_labels", "series")

    def __init__(
        self, collector: Collector, labels: tuple[str, ...], bounds: tuple[float, ...]
    ) -> None:
        self._collector = collector
        self._labels = labels
        self._bounds = bounds
        self.series: dict[LabelValues, _HistogramSeries] = {}

    def observe(self, key: LabelValues, seconds: float) -> None:
        """Add one duration to the series with the given label values."""
        series = self.series.get(key)
        if series is None:
            if len(self.series) >= MAX_HISTOGRAM_SERIES:
                key = (OVERFLOW_LABEL,) * len(key)
            series = self.series.setdefault(
                key, _HistogramSeries(len(self._bounds) + 1)
            )
        series.counts[bisect_left(self._bounds, seconds)] += 1
        series.total += seconds

    def export(self) -> None:
        """Replace the collector's values with cumulative bucket counts."""
        self._collector.values.clear()
        for key, series in self.series.items():
            exported = BucketCounts(*self._bounds)
            cumulative = 0
            for bound, count in zip(exported.buckets, series.counts, strict=True):
                cumulative += count
                exported.buckets[bound] = cumulative
            exported.observations = cumulative
            exported.sum = series.total
            labels = {
                label: escape_label(text)
                for label, text in zip(self._labels, key, strict=True)
            }
            self._collector.set_value(labels, exported)


class Metrics:
    """All metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._families: list[_LabeledValues | _LabeledHistogram] = []
        self._before_render: list[Callable[[], None]] = []
        self._lookups = self._counter(
            "lookups_total", "Look-ups answered, by service.", "service"
        )
        self._requests = self._counter(
            "requests_total",
            "Requests finished, by service and outcome.",
            "service",
            "outcome",
        )
        self._request_duration = self._histogram(
            "request_duration_seconds",
            "Time from the request's head to the end of its answer.",
            _DURATION_BOUNDS_S,
            "service",
        )
        self._retries = self._counter(
            "retries_total", "Dispatches after the first of a request.", "service"
        )
        self._refusals = self._counter(
            "refusals_total", "Error answers to callers, by error kind.", "kind"
        )
        self._callers_lost = self._counter(
            "callers_lost_total",
            "Callers whose connection ended while their request was in work.",
            "service",
        )
        self._region_free = self._gauge(
            "region_free_ratio", "Free share of the region's cap, 0 to 1.", "region"
        )
        self._link_free = self._gauge(
            "link_free_ratio",
            "Free share of this host's part of a link, 0 to 1.",
            "from_region",
            "to_region",
        )
        self._drain_duration = self._histogram(
            "drain_duration_seconds",
            "Time from the start of a drain to nothing in flight.",
            _DRAIN_BOUNDS_S,
            "subject",
        )
        self._lag = self._histogram(
            "event_loop_lag_seconds", "Lateness of a periodic timer.", _LAG_BOUNDS_S
        )
        self._lag_max = self._gauge(
            "event_loop_lag_max_seconds", "Greatest lateness of the last minute."
        )
        self._measurement_age = self._gauge(
            "measurement_age_seconds",
            "Age of the newest load report of an upstream.",
            "upstream",
        )
        self._manifest_version = self._gauge(
            "manifest_version", "Manifest version in force, 0 for none."
        )
        self._table_calls = self._counter(
            "table_calls_total",
            "Calls to the table service, by outcome.",
            "outcome",
        )
        self._leases_held = self._gauge(
            "shard_leases_held", "Shards that this host may dispatch to."
        )
        self._peers_live = self._gauge(
            "peers_live", "Other hosts heard from within 1.5 s."
        )

        # Metrics that only gateways update.
        self._dropped_lines = self._counter(
            "log_lines_dropped_total", "Log lines left out, by event.", "event"
        )
        self._attempts = self._counter(
            "tries_total",
            "Tries by service and place of the upstream in the object's order.",
            "service",
            "place",
        )
        self._queue_time = self._histogram(
            "upstream_queue_seconds",
            "Expected time in the queue of the chosen upstream.",
            _DURATION_BOUNDS_S,
            "service",
        )
        self._config_version = self._gauge(
            "config_version", "Version of the configuration in force, 0 for none."
        )
        self._store_era = self._gauge(
            "store_era", "Restores of the store from a backup, as far as known."
        )
        self._store_age = self._gauge(
            "store_answer_age_seconds", "Time since the store answered last."
        )
        self._table_age = self._gauge(
            "table_age_seconds",
            "Age of the store's data in the copy of a table.",
            "table",
        )
        self._limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that name a limit on their requests."
        )
        self._slow_machines = self._gauge(
            "slow_machines", "Upstreams whose machine is slow on average."
        )
        self._retry_budget_left = self._gauge(
            "retry_budget_left", "Repeats that this host may still make.", "service"
        )
        self._hedges = self._counter(
            "hedges_total",
            "Second attempts alongside slow ones, by result.",
            "service",
            "result",
        )
        self._hedges_refused = self._counter(
            "hedges_refused_total",
            "Slow requests without a second attempt, by what prevented it.",
            "service",
            "limit",
        )
        self._reset_connections = self._counter(
            "connections_reset_total", "Connections reset to free memory."
        )
        self._leaving_upstreams = self._counter(
            "leaving_upstreams_total",
            "Upstreams that said that they leave, by who reported it first.",
            "source",
        )
        self._quota_refusals = self._counter(
            "quota_refusals_total", "Requests refused over quota.", "customer"
        )
        self._quota_used = self._gauge(
            "quota_used_ratio",
            "Used part of this host's share of the quota, of customers at the limit.",
            "customer",
        )
        self._quota_tokens = self._counter(
            "quota_tokens_total",
            "Tokens of quotas that this host gave to others or received.",
            "direction",
        )
        self._invalid_rows = self._counter(
            "invalid_rows_total", "Rows ignored because they are invalid.", "table"
        )

        self._admission = self._counter(
            "admission_decisions_total",
            "Decisions of admission, by priority, result and rule.",
            "priority",
            "result",
            "rule",
        )

    def _counter(self, name: str, doc: str, *labels: str) -> _LabeledValues:
        collector = Counter(PREFIX + name, doc, registry=self._registry)
        return self._add_values(collector, labels)

    def _gauge(self, name: str, doc: str, *labels: str) -> _LabeledValues:
        collector = Gauge(PREFIX + name, doc, registry=self._registry)
        return self._add_values(collector, labels)

    def _add_values(
        self, collector: Collector, labels: tuple[str, ...]
    ) -> _LabeledValues:
        family = _LabeledValues(collector, labels)
        if not labels:
            family.set((), 0)
        self._families.append(family)
        return family

    def _histogram(
        self, name: str, doc: str, bounds: tuple[float, ...], *labels: str
    ) -> _LabeledHistogram:
        collector = Histogram(
            PREFIX + name, doc, registry=self._registry, buckets=bounds
        )
        family = _LabeledHistogram(collector, labels, bounds)
        self._families.append(family)
        return family

    def names(self) -> list[str]:
        """Return the names of all metrics, sorted."""
        return sorted(self._registry.collectors)

    def before_render(self, update: Callable[[], None]) -> None:
        """Register a function that updates gauges before each rendering."""
        self._before_render.append(update)

    def count_lookup(self, service: str) -> None:
        """Count one answered look-up."""
        self._lookups.add((service,))

    def count_request(self, service: str, outcome: Outcome, seconds: float) -> None:
        """Count one finished request and its duration in seconds."""
        # `_value_` avoids the cost of the descriptor behind Enum.value.
        self._requests.add((service, outcome._value_))
        self._request_duration.observe((service,), seconds)

    def count_retry(self, service: str) -> None:
        """Count one dispatch of a request after its first."""
        self._retries.add((service,))

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count one error response to a caller."""
        self._refusals.add((kind._value_,))

    def count_caller_lost(self, service: str) -> None:
        """Count a caller whose connection ended during its request."""
        self._callers_lost.add((service,))

    def set_table_calls(self, counts: Mapping[str, int]) -> None:
        """Set the number of table service calls since startup, by outcome."""
        for outcome, count in counts.items():
            self._table_calls.set((outcome,), count)

    def observe_drain(self, subject: str, seconds: float) -> None:
        """Record the drain time of a "host", a "shard" or an "upstream"."""
        self._drain_duration.observe((subject,), seconds)

    def observe_lag(self, seconds: float) -> None:
        """Record one measurement of event loop lag."""
        self._lag.observe((), seconds)

    def set_lag_max(self, seconds: float) -> None:
        """Set the maximum event loop lag of the last minute."""
        self._lag_max.set((), seconds)

    def set_region_free(self, region: str, ratio: float) -> None:
        """Set the free share of a region's cap, 0 to 1."""
        self._region_free.set((region,), ratio)

    def set_link_free(self, from_region: str, to_region: str, ratio: float) -> None:
        """Set the free share of this host's part of a link, 0 to 1."""
        self._link_free.set((from_region, to_region), ratio)

    def set_measurement_ages(self, ages_s: dict[str, float]) -> None:
        """Replace the ages of the newest load reports, by upstream."""
        self._measurement_age.values.clear()
        for upstream, age_s in ages_s.items():
            self._measurement_age.set((upstream,), age_s)

    def count_dropped_lines(self, event: str, count: int) -> None:
        """Count log lines that were dropped, by event."""
        self._dropped_lines.add((event,), count)

    def count_reset_connections(self, count: int) -> None:
        """Count callers' connections that were reset to free memory."""
        self._reset_connections.add((), count)

    def count_attempt(self, service: str, place: str) -> None:
        """Count one attempt by the rank of its upstream for the object."""
        self._attempts.add((service, place))

    def observe_queue_time(self, service: str, seconds: float) -> None:
        """Record the expected queueing time of one attempt at its upstream."""
        self._queue_time.observe((service,), seconds)

    def set_gateway_state(
        self,
        config_version: int,
        store_age_s: float,
        table_ages_s: dict[str, float],
        limited_upstreams: int,
        budget_left: dict[str, float],
        invalid_rows: Mapping[str, int],
        leaving_upstreams: Mapping[str, int],
        slow_machines: int = 0,
        store_era: int = 0,
    ) -> None:
        """Set the state of a gateway process; mappings are keyed by their label."""
        self._config_version.set((), config_version)
        self._store_age.set((), store_age_s)
        for table, age_s in table_ages_s.items():
            self._table_age.set((table,), age_s)
        self._limited_upstreams.set((), limited_upstreams)
        self._slow_machines.set((), slow_machines)
        for service, left in budget_left.items():
            self._retry_budget_left.set((service,), left)
        for table, count in invalid_rows.items():
            self._invalid_rows.set((table,), count)
        for source, count in leaving_upstreams.items():
            self._leaving_upstreams.set((source,), count)
        self._store_era.set((), store_era)

    def set_quotas(
        self,
        refused: Mapping[str, int],
        used: Mapping[str, float],
        tokens: Mapping[str, int],
    ) -> None:
        """Set the state of customers' quotas; `tokens` is keyed by direction."""
        for customer, count in refused.items():
            self._quota_refusals.set((customer,), count)
        self._quota_used.values.clear()
        for customer, part in used.items():
            self._quota_used.set((customer,), part)
        for direction, count in tokens.items():
            self._quota_tokens.set((direction,), count)

    def set_hedges(
        self,
        results: Mapping[tuple[str, str], int],
        refused: Mapping[tuple[str, str], int],
    ) -> None:
        """Set the counts of hedges, keyed by service and result or limit."""
        for key, count in results.items():
            self._hedges.set(key, count)
        for key, count in refused.items():
            self._hedges_refused.set(key, count)

    def set_admission(self, counts: Mapping[tuple[int, str, str], int]) -> None:
        """Set the decisions since startup, by priority, result and rule."""
        for (priority, result, rule), count in counts.items():
            self._admission.set((str(priority), result, rule), count)

    def set_manifest_version(self, version: int) -> None:
        """Set the manifest version in force."""
        self._manifest_version.set((), version)

    def set_leases_held(self, count: int) -> None:
        """Set the number of shards that this host may dispatch to."""
        self._leases_held.set((), count)

    def set_peers_live(self, count: int) -> None:
        """Set the number of live peers."""
        self._peers_live.set((), count)

    def render(self) -> tuple[bytes, str]:
        """Return the text exposition of all metrics and its content type."""
        for update in self._before_render:
            update()
        for family in self._families:
            family.export()
        formatter = TextFormatter()
        return formatter.marshall(self._registry), formatter.get_headers()[
            "Content-Type"
        ]
