"""Routing state of a host, updated from the rows of the store.

`follower` applies the updates, for rows from the store and from peers. The
upstreams are kept in `registry` and the routes in `routes`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from loguru import logger

from .config import CallerLimits, Config
from .customers import CustomerTable
from .erahold import EraHold, Origin
from .invalidrows import InvalidRows
from .outage import StoreOutage
from .placement import Placement
from .registry import UpstreamRegistry
from .routes import BackendPicker, RouteTable
from .updates import (
    ConfigUpdate,
    EvacuationUpdate,
    IgnoredRow,
    InvalidRow,
    InvalidUpstream,
    Update,
    UpstreamMissing,
    UpstreamRemoved,
    UpstreamUpdate,
)


class RoutingState:
    """Holds the active configuration, its routes and the upstream registry."""

    __slots__ = (
        "_held_removals",
        "_placement",
        "config",
        "config_listeners",
        "customers",
        "era_hold",
        "invalid_rows",
        "limits_listeners",
        "picker",
        "registry",
        "routes",
        "store_outage",
    )

    def __init__(self, registry: UpstreamRegistry, placement: Placement) -> None:
        self.registry = registry
        self._placement = placement
        self.config: Config | None = None
        self.routes: RouteTable | None = None
        self.customers = CustomerTable(Config(0))
        self.picker = BackendPicker()
        self.config_listeners: list[Callable[[Config], None]] = []
        self.limits_listeners: list[Callable[[CallerLimits], None]] = []
        self.store_outage = StoreOutage()
        self.era_hold = EraHold(registry)
        self.invalid_rows = InvalidRows()
        # Times of the removals that are held, keyed by upstream.
        self._held_removals: dict[str, float] = {}

    def apply(
        self, update: Update, now: float, origin: Origin = Origin.WRITTEN
    ) -> None:
        """Apply one update, or hold it if its row was restored from a backup."""
        admitted = self.era_hold.admit(update, origin, now)
        if admitted is not None:
            self._apply(admitted, now)

    @singledispatchmethod
    def _apply(self, update: object, now: float) -> None:
        raise TypeError(f"unknown update type {type(update).__name__}")

    @_apply.register
    def _(self, update: IgnoredRow, now: float) -> None:
        """Do nothing: the gateway does not use the row."""

    @_apply.register
    def _(self, update: InvalidRow, now: float) -> None:
        self.invalid_rows.record(update)

    @_apply.register
    def _(self, update: InvalidUpstream, now: float) -> None:
        """Stop using the upstream: its last valid entry is no longer in force."""
        self.invalid_rows.record(update)
        self._held_removals.pop(update.key, None)
        self.registry.remove(update.key, now)

    @_apply.register
    def _(self, update: ConfigUpdate, now: float) -> None:
        old, new = self.config, update.config
        if old is not None and old.version >= new.version:
            logger.warning(
                "older configuration ignored",
                event="config_ignored",
                version=new.version,
                in_force=old.version,
            )
            return
        self.config = new
        self.routes = RouteTable(new)
        self.customers = CustomerTable(new)
        self.picker.clear()
        self._placement.set_policies(new.services)
        for config_listener in self.config_listeners:
            config_listener(new)
        for listener in self.limits_listeners:
            listener(new.limits)
        logger.info(
            "configuration applied",
            event="config_in_force",
            version=new.version,
            replaced=old.version if old is not None else 0,
            routes=len(new.routes),
            customers=len(new.customers),
        )

    @_apply.register
    def _(self, update: EvacuationUpdate, now: float) -> None:
        self.registry.evacuate(update.zone, update.active, self._max_cold_s(), now)
        logger.info(
            "evacuation changed",
            event="evacuation",
            zone=update.zone,
            active=update.active,
        )

    @_apply.register
    def _(self, update: UpstreamUpdate, now: float) -> None:
        entry = update.entry
        self._held_removals.pop(entry.upstream_id, None)
        policy = self.config.services.get(entry.service) if self.config else None
        self.registry.put(entry, policy.cold_s if policy else 0.0, now)
        logger.info(
            "upstream entry applied",
            event="upstream_entry",
            upstream=entry.upstream_id,
            service=entry.service,
            zone=entry.zone,
            draining=entry.draining,
            cold_left_s=entry.cold_left_s,
        )

    @_apply.register
    def _(self, update: UpstreamRemoved, now: float) -> None:
        self._remove(
            update.upstream_id, self.store_outage.entries_may_be_missing(now), now
        )

    @_apply.register
    def _(self, update: UpstreamMissing, now: float) -> None:
        self._remove(update.upstream_id, True, now)

    def _remove(self, name: str, held: bool, now: float) -> None:
        if held:
            self._held_removals[name] = now
        else:
            self._held_removals.pop(name, None)
            self.registry.remove(name, now)
        logger.info(
            "upstream entry removed",
            event="upstream_removed",
            upstream=name,
            held=held,
        )

    def apply_held(self, now: float) -> None:
        """Apply what was held and was not written again in time."""
        for update in self.era_hold.take_due(now):
            self._apply(update, now)
        self.apply_held_removals(now)

    def apply_held_removals(self, now: float) -> None:
        """Remove upstreams whose entry was not restored in time."""
        if not self._held_removals or self.store_outage.removals_are_held(now):
            return
        held, self._held_removals = self._held_removals, {}
        for name, since in held.items():
            self.registry.remove(name, now)
            logger.info(
                "held removal applied",
                event="removal_applied",
                upstream=name,
                held_s=round(now - since, 2),
            )

    def _max_cold_s(self) -> float:
        services = self.config.services.values() if self.config else ()
        return max((policy.cold_s for policy in services), default=0.0)
