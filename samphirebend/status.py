"""Summary of a daemon's state for operators, and the source of its gauges.

`admin` serves the summary at `/v1/status` and the full state at `/v1/dump`.
"""

from __future__ import annotations

import time
from typing import Any, Final

from .drain import Drain
from .leasekeeper import LeaseKeeper
from .ledger import Ledger
from .limits import Limits
from .links import LinkBudgets
from .manifestsync import ManifestSync
from .membership import Membership
from .metrics import Metrics
from .options import Options
from .peers import PeerService
from .requesthandler import RequestHandler
from .serviceregistry import ServiceRegistry
from .tablestore import TableStore
from .upstreamstate import UpstreamStates

# A link with a backlog of at least this many seconds counts as fully used.
FULL_BACKLOG_S: Final = 1.0


class Status:
    """Reads the state of a daemon's services."""

    __slots__ = (
        "_drain",
        "_entry",
        "_leases",
        "_ledger",
        "_limits",
        "_link_budgets",
        "_manifests",
        "_membership",
        "_metrics",
        "_peers",
        "_region",
        "_store",
        "_upstream_states",
    )

    def __init__(self, registry: ServiceRegistry) -> None:
        self._region = registry.find("options", Options).region
        self._link_budgets = registry.find("link_budgets", LinkBudgets)
        self._drain = registry.find("drain", Drain)
        self._entry = registry.find("request_path", RequestHandler)
        self._leases = registry.find("leases", LeaseKeeper)
        self._ledger = registry.find("ledger", Ledger)
        self._limits = registry.find("limits", Limits)
        self._membership = registry.find("membership", Membership)
        self._metrics = registry.find("metrics", Metrics)
        self._peers = registry.find("peers", PeerService)
        self._manifests = registry.find("spread", ManifestSync)
        self._upstream_states = registry.find("upstream_states", UpstreamStates)
        self._store = registry.find("store", TableStore)

    def summary(self) -> dict[str, Any]:
        """Return the summary for JSON; ages and times are in seconds."""
        now = time.monotonic()
        current = self._manifests.current()
        return {
            "host": self._ledger.host,
            "incarnation": f"{self._ledger.incarnation:016x}",
            "state": self._drain.state,
            "manifest_version": current.version if current else None,
            "drained_version": self._limits.drained_version(),
            "active_version": self._limits.active_version(),
            "fresh": self._manifests.is_fresh(now),
            "table_age_s": _age(now, self._store.last_answer_at()),
            "in_flight": self._entry.in_flight,
            "keys": self._ledger.size(),
            "shards": sorted(self._leases.held(now)),
            "hosts": self._hosts(now),
            "services": self._services(),
            "upstreams": self._upstreams(now),
            "links": self._links(now),
        }

    def _hosts(self, now: float) -> list[dict[str, Any]]:
        connected = self._peers.connected_hosts()
        return [
            {
                "host": view.host,
                "connected": view.host in connected,
                "manifest_version": view.manifest_version,
                "stopping": view.stopping,
                "heard_s_ago": _age(now, view.heard_at),
                "shards": [lease.name for lease in view.shards],
            }
            for view in self._membership.live(now)
        ]

    def _services(self) -> list[dict[str, Any]]:
        current = self._manifests.current()
        names = current.manifest.services if current else ()
        return [
            {
                "service": name,
                "free": self._limits.free(name),
                "total": self._limits.total(name),
            }
            for name in names
        ]

    def _upstreams(self, now: float) -> list[dict[str, Any]]:
        current = self._manifests.current()
        slot_usages = {
            usage.upstream: usage
            for name in (current.manifest.services if current else ())
            for usage in self._limits.slot_usages(name)
        }
        return [
            {
                "upstream": name,
                "state": self._upstream_states.state(name, now).value,
                "in_flight": usage.in_flight,
                "limit": usage.limit,
                "reported_in_use": self._upstream_states.reported_in_use(name, now),
            }
            for name, usage in sorted(slot_usages.items())
        ]

    def _links(self, now: float) -> list[dict[str, Any]]:
        return [
            {"to": region, "backlog_s": round(self._backlog_s(region, now), 4)}
            for region in self._other_regions()
        ]

    def _other_regions(self) -> list[str]:
        current = self._manifests.current()
        if current is None:
            return []
        own = self._region
        return [name for name in current.manifest.regions if name != own]

    def _backlog_s(self, region: str, now: float) -> float:
        # A link without a budget has an infinite backlog, which JSON cannot
        # represent.
        return min(self._link_budgets.backlog(region, now), 1e9)

    def update_metrics(self) -> None:
        """Update all gauges; called before the metrics are rendered."""
        now = time.monotonic()
        metrics = self._metrics
        metrics.set_manifest_version(self._manifests.version())
        metrics.set_leases_held(len(self._leases.held(now)))
        metrics.set_peers_live(len(self._membership.live(now)))
        for region in self._other_regions():
            used = min(1.0, self._backlog_s(region, now) / FULL_BACKLOG_S)
            metrics.set_link_free(self._region, region, 1.0 - used)
        for region, ratio in self._region_free_ratios(now).items():
            metrics.set_region_free(region, ratio)
        metrics.set_measurement_ages(self._upstream_states.report_ages(now))
        counts = self._store.counts
        metrics.set_table_calls(
            {name: getattr(counts, name) for name in counts.__slots__}
        )

    def _region_free_ratios(self, now: float) -> dict[str, float]:
        """Return the free share of the live hosts' slots, by region."""
        current = self._manifests.current()
        if current is None:
            return {}
        free = dict.fromkeys(current.manifest.regions, 0)
        total = dict(free)
        for row in self._services():
            free[self._region] += row["free"]
            total[self._region] += row["total"]
        for view in self._membership.live(now):
            host = current.manifest.hosts.get(view.host)
            if host is None:
                continue
            for load in view.loads.values():
                free[host.region] += load.free
                total[host.region] += load.total
        return {name: free[name] / total[name] if total[name] else 0.0 for name in free}


def _age(now: float, since: float) -> float | None:
    """Return the age in seconds, or None if the event never happened."""
    age_s = now - since
    return round(age_s, 3) if age_s < 1e9 else None


def make_status(registry: ServiceRegistry) -> Status:
    """Create the status of a daemon; its other services must be registered."""
    return Status(registry)
