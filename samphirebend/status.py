"""Summary of a daemon's state for operators, and the gauges of its metrics.

`admin` serves the summary at `/v1/status`; the full state is in its dump.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from .daemon import Daemon

# A link without backlog is free; this much of a backlog counts as full.
FULL_BACKLOG_S: Final = 1.0


class Status:
    """Reads the parts of one daemon."""

    __slots__ = ("_daemon",)

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def as_plain(self) -> dict[str, Any]:
        """Return the summary as plain data; ages and times in seconds."""
        daemon, now = self._daemon, time.monotonic()
        in_force = daemon.spread.current()
        return {
            "host": daemon.ledger.host,
            "incarnation": f"{daemon.ledger.incarnation:016x}",
            "state": daemon.drain.state,
            "manifest_version": in_force.version if in_force else None,
            "drained_version": daemon.limits.drained_version(),
            "active_version": daemon.limits.active_version(),
            "fresh": daemon.spread.is_fresh(now),
            "table_age_s": _age(now, daemon.store.last_answer_at()),
            "in_flight": daemon.entry.in_flight,
            "keys": daemon.ledger.size(),
            "shards": sorted(daemon.keeper.held(now)),
            "hosts": self._hosts(now),
            "services": self._services(),
            "upstreams": self._upstreams(now),
            "links": self._links(now),
        }

    def _hosts(self, now: float) -> list[dict[str, Any]]:
        return [
            {
                "host": view.host,
                "manifest_version": view.manifest_version,
                "stopping": view.stopping,
                "heard_s_ago": _age(now, view.heard_at),
                "shards": [lease.name for lease in view.shards],
            }
            for view in self._daemon.membership.live(now)
        ]

    def _services(self) -> list[dict[str, Any]]:
        daemon = self._daemon
        in_force = daemon.spread.current()
        names = in_force.manifest.services if in_force else ()
        return [
            {
                "service": name,
                "free": daemon.limits.free(name),
                "total": daemon.limits.total(name),
            }
            for name in names
        ]

    def _upstreams(self, now: float) -> list[dict[str, Any]]:
        daemon = self._daemon
        in_force = daemon.spread.current()
        rooms = {
            room.upstream: room
            for name in (in_force.manifest.services if in_force else ())
            for room in daemon.limits.rooms(name)
        }
        return [
            {
                "upstream": name,
                "state": daemon.states.state(name, now).value,
                "in_flight": room.in_flight,
                "limit": room.limit,
            }
            for name, room in sorted(rooms.items())
        ]

    def _links(self, now: float) -> list[dict[str, Any]]:
        return [
            {"to": region, "backlog_s": round(self._backlog_s(region, now), 4)}
            for region in self._other_regions()
        ]

    def _other_regions(self) -> list[str]:
        in_force = self._daemon.spread.current()
        if in_force is None:
            return []
        own = self._daemon.region
        return [name for name in in_force.manifest.regions if name != own]

    def _backlog_s(self, region: str, now: float) -> float:
        return min(self._daemon.budgets.backlog(region, now), 1e9)

    def update_metrics(self) -> None:
        """Set the gauges, before metrics are rendered."""
        daemon, now = self._daemon, time.monotonic()
        metrics = daemon.metrics
        metrics.set_manifest_version(daemon.spread.version())
        metrics.set_leases_held(len(daemon.keeper.held(now)))
        metrics.set_peers_live(len(daemon.membership.live(now)))
        for region in self._other_regions():
            used = min(1.0, self._backlog_s(region, now) / FULL_BACKLOG_S)
            metrics.set_link_free(daemon.region, region, 1.0 - used)
        for region, share in self._region_free(now).items():
            metrics.set_region_free(region, share)
        metrics.set_measurement_ages(daemon.states.report_ages(now))
        counts = daemon.store.counts
        metrics.set_table_calls(
            {name: getattr(counts, name) for name in counts.__slots__}
        )

    def _region_free(self, now: float) -> dict[str, float]:
        """Return the free share of the slots of each region, of live hosts."""
        in_force = self._daemon.spread.current()
        if in_force is None:
            return {}
        free = dict.fromkeys(in_force.manifest.regions, 0)
        total = dict(free)
        for row in self._services():
            free[self._daemon.region] += row["free"]
            total[self._daemon.region] += row["total"]
        for view in self._daemon.membership.live(now):
            host = in_force.manifest.hosts.get(view.host)
            if host is None:
                continue
            for load in view.loads.values():
                free[host.region] += load.free
                total[host.region] += load.total
        return {name: free[name] / total[name] if total[name] else 0.0 for name in free}


def _age(now: float, since: float) -> float | None:
    """Return the age in seconds, None for never."""
    age_s = now - since
    return round(age_s, 3) if age_s < 1e9 else None
