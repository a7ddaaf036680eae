"""Builds the components of a gateway process and runs them.

`platform.program` reads the settings and calls `run_app` with the platform's
dialect and store. No other module of the gateway depends on all components.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from result import Err, Result
from twisted.internet.defer import Deferred

from ..addresses import Address
from ..connectionpool import ConnectionPool
from ..metrics import Metrics
from ..serviceregistry import ServiceRegistry
from ..startupsignals import StartupSignals
from .budgets import ColdLimit, RetryBudget
from .bytebudget import BODY_FRACTION, CONNECTIONS_FRACTION
from .context import GatewayContext
from .credentialrefresh import CredentialRefresh
from .credentials import Credentials
from .dialect import Dialect
from .feedback import Feedback
from .follower import Follower, Tables
from .freshness import Freshness
from .front import Front
from .hedging import HedgePolicy
from .hostlist import HostList
from .logbudget import LogBudget
from .members import GOSSIP_MIN_HOSTS, Member, Members
from .peers import Peers
from .placement import Placement
from .quotagate import QuotaGate
from .quotas import Quotas
from .ratelimits import RateLimits
from .registry import UpstreamRegistry
from .replica import Replica
from .routingstate import RoutingState
from .rowstore import RowStore
from .settings import GatewaySettings, differences
from .sharedpolls import SharedPolls
from .shutdown import GracefulShutdown

CONNECT_TIMEOUT_S: Final = 0.35
MAINTENANCE_INTERVAL_S: Final = 0.2
# Limit for the statement that this host stops, in the host list.
MARK_STOPPED_S: Final = 1.5
# Time after which the state of a removed upstream is deleted.
DROP_REMOVED_AFTER_S: Final = 20.0
# Minimum time between log lines that report dropped lines.
DROPPED_LINES_INTERVAL_S: Final = 1.0
# Settings that take effect only at the next start.
RESTART_ONLY_SETTINGS: Final = frozenset(
    {
        "directory",
        "front",
        "host",
        "host_ip",
        "peer",
        "ready",
        "region",
        "store.address",
        "zone",
    }
)


class App:
    """All components of a gateway process, wired together."""

    def __init__(
        self,
        cfg: GatewaySettings,
        dialect: Dialect,
        store: RowStore,
        tables: Tables,
        log_budget: LogBudget,
        reactor: Any,
    ) -> None:
        clock, rng = time.monotonic, random.Random()
        self._cfg = cfg
        self._reactor = reactor
        self._stopping = False
        self._log_budget = log_budget
        # Earliest time of the next report on dropped log lines.
        self._log_report_at = 0.0
        self.services = ServiceRegistry()
        self.metrics = Metrics()
        self.registry = UpstreamRegistry(cfg.regions)
        cold_limit = ColdLimit(cfg.bounds.cold_over, cfg.bounds.cold_slack)
        self.members = Members(_own_member(cfg, rng), rng)
        rate_limits = RateLimits(cfg.host)
        placement = Placement(self.registry, self.members, cold_limit, rate_limits, rng)
        self.routing_state = RoutingState(self.registry, placement)
        self.pool = ConnectionPool(reactor, clock, None, cfg.host_ip, CONNECT_TIMEOUT_S)
        bounds = cfg.bounds
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        feedback = Feedback(self.registry, rate_limits)
        self.credentials = Credentials(bounds.revoke_s)
        quotas = Quotas(
            cfg.host, bounds.quota_window_s, bounds.quota_over, bounds.quota_slack
        )
        self.quota_gate = QuotaGate(quotas)
        self.routing_state.config_listeners.append(self.quota_gate.apply_config)
        self.gateway = GatewayContext(
            dialect,
            self.routing_state,
            placement,
            self.members,
            budget,
            cold_limit,
            feedback,
            self.pool,
            self.metrics,
            reactor,
            rng,
            self.credentials,
            self.quota_gate,
            hedging=HedgePolicy(cfg.hedge_fraction),
        )
        self.gateway.gate.allowed = cfg.admission
        self.gateway.configuration_current = self._configuration_current
        self.follower = Follower(
            tables,
            store,
            Replica(tables.names()),
            Freshness(tables.names(), bounds.propagation_s),
            dialect.decode_row,
            self.routing_state,
            reactor,
            clock,
            self.credentials,
        )
        self.peers = Peers(
            self.members,
            self.follower,
            feedback,
            cfg.seeds,
            self.pool,
            reactor,
            clock,
            rng,
            self.quota_gate,
        )
        shared_polls = SharedPolls(self.follower, self.members, self.peers, clock)
        self.follower.read_from_neighbour = shared_polls.read
        self.credential_refresh = CredentialRefresh(
            self.follower, self.members, self.peers, reactor, clock, rng
        )
        self.front = Front(
            dialect,
            self.gateway,
            self.routing_state,
            self.members,
            bounds.lookup_ttl_max_s,
            reactor,
            clock,
        )
        self.front.add_listener(cfg.front, callers=True)
        self.front.add_listener(cfg.ready, callers=False, operators=True)
        self.front.table_ages_s = self._table_ages_s
        self.front.add_listener(cfg.directory, callers=False)
        self.host_list = HostList(
            store,
            self.members,
            self.routing_state.invalid_rows,
            reactor,
            quotas.hosts,
        )
        self.graceful_shutdown = GracefulShutdown(
            self.gateway,
            self.front,
            self.members,
            self.peers,
            bounds.stop_grace_s,
            reactor,
        )
        self.graceful_shutdown.on_refusing = self._begin_mark_stopped
        self._marked_stopped: Deferred[None] | None = None
        self._set_memory_limits(cfg)
        self.metrics.before_render(self._set_metrics)
        self.services.register("follower", self.follower)
        self.services.register("peers", self.peers)
        self.services.register("credentials", self.credential_refresh)
        self.services.register("front", self.front)
        feedback.on_leaving = self.peers.notify_all
        self.follower.on_change = self._update_readiness
        self.follower.on_probe = self.peers.announce_ages
        self.follower.probe_rank = self._probe_rank
        self.follower.on_new_era = self.host_list.register_again

    def _set_memory_limits(self, cfg: GatewaySettings) -> None:
        body_bytes = int(cfg.memory_bytes * BODY_FRACTION)
        self.gateway.body_budget.limit_bytes = body_bytes
        self.front.max_held_bytes = int(cfg.memory_bytes * CONNECTIONS_FRACTION)

    def _begin_mark_stopped(self) -> None:
        marking = Deferred.fromCoroutine(self.host_list.mark_stopped())
        # The process must end in time, whatever the store does.
        marking.addTimeout(MARK_STOPPED_S, self._reactor, lambda *_: None)
        self._marked_stopped = marking.addErrback(_log_bug)

    def _probe_rank(self, table: str) -> int:
        return self.members.live_position(table, time.monotonic())

    def _table_ages_s(self) -> dict[str, float]:
        ages_s = self.follower.freshness.ages_s(time.monotonic())
        return {table: round(age_s, 2) for table, age_s in ages_s.items()}

    def _configuration_current(self) -> bool:
        """Return whether this host knows the configurations that bind it."""
        table = self.follower.operator_table
        age_s = time.monotonic() - self.follower.freshness.confirmed_at(table)
        return age_s < self._cfg.bounds.config_apply_s

    def _update_readiness(self) -> None:
        ready = self.routing_state.config is not None and not self._stopping
        if ready != self.members.own.ready:
            self.members.own.ready = ready
            self.peers.notify_all()

    async def run(self) -> None:
        """Start all services and add this host to the host list."""
        await self.services.start()
        self._maintain()
        logger.info(
            "gateway started",
            event="started",
            zone=self._cfg.zone,
            incarnation=self.members.own.incarnation,
            hedge_fraction=self._cfg.hedge_fraction,
        )
        await self.host_list.join(lambda: self._stopping)
        self.peers.notify_all()

    async def shut_down(self) -> None:
        """Shut down gracefully, then stop all services."""
        self._stopping = True
        await self.graceful_shutdown.run()
        if self._marked_stopped is not None:
            await self._marked_stopped
        await self.services.stop()
        self.pool.close_all()

    def reload(self, result: Result[GatewaySettings, str]) -> None:
        """Apply reloaded settings; keep the old ones if they are invalid."""
        if isinstance(result, Err):
            logger.error(
                "settings not reloaded", event="reload_refused", why=result.err_value
            )
            return
        cfg = result.ok_value
        changed = differences(self._cfg, cfg)
        bounds = cfg.bounds
        self.gateway.retry_budget.set_bounds(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self.gateway.cold_limit.set_bounds(bounds.cold_over, bounds.cold_slack)
        self.quota_gate.quotas.set_bounds(
            bounds.quota_window_s, bounds.quota_over, bounds.quota_slack
        )
        self.follower.freshness.set_bound(bounds.propagation_s)
        self.credentials.revoke_s = bounds.revoke_s
        self.front.set_lookup_ttl_max(bounds.lookup_ttl_max_s)
        self.graceful_shutdown.grace_s = bounds.stop_grace_s
        self.members.own.capacity_per_s = cfg.capacity_per_s
        self._set_memory_limits(cfg)
        self.registry.add_regions(cfg.regions)
        self.peers.add_seeds(cfg.seeds)
        self._cfg = cfg
        logger.info(
            "settings reloaded",
            event="reloaded",
            changed=changed,
            at_next_start=[name for name in changed if name in RESTART_ONLY_SETTINGS],
        )

    @property
    def stopping(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._stopping

    def _maintain(self) -> None:
        now = time.monotonic()
        self.routing_state.apply_held(now)
        self._update_rate_limits()
        self.quota_gate.update(self.members, now)
        self.host_list.check()
        self.front.limit_held_bytes()
        self._report_dropped_lines(now)
        for name in self.registry.drop_removed(now - DROP_REMOVED_AFTER_S):
            self.gateway.cold_limit.forget(name)
            self.pool.close_idle(name)
        self._reactor.callLater(MAINTENANCE_INTERVAL_S, self._maintain)

    def _update_rate_limits(self) -> None:
        limits = self.gateway.feedback.rate_limits
        limits.host_count = self.members.count()
        limits.contact_fraction = self.members.contact_fraction
        others = self.members.others()
        full_mesh = len(others) < GOSSIP_MIN_HOSTS
        hosts = [] if full_mesh else [self.members.own, *others]
        limits.gossip_hosts = [member.host for member in hosts]

    def _set_metrics(self) -> None:
        now, config = time.monotonic(), self.routing_state.config
        services = config.services if config is not None else {}
        hosts = self.members.count()
        retries_left = {
            name: self.gateway.retry_budget.remaining(name, hosts, now)
            for name in services
        }
        self.quota_gate.set_metrics(self.metrics)
        version = config.version if config is not None else 0
        self.metrics.set_gateway_state(
            version,
            now - self.follower.last_response_at,
            self.follower.freshness.ages_s(now),
            self.gateway.feedback.rate_limits.limited_count(),
            retries_left,
            self.routing_state.invalid_rows.counts,
            self.gateway.feedback.leaving_counts,
            self.registry.slow_machine_count(),
            self.follower.era,
        )
        hedging = self.gateway.hedging
        self.metrics.set_hedges(hedging.results, hedging.refused)
        self.metrics.set_admission(self.gateway.gate.admission.counts)

    def _report_dropped_lines(self, now: float) -> None:
        if now < self._log_report_at or not self._log_budget.dropped:
            return
        self._log_report_at = now + DROPPED_LINES_INTERVAL_S
        dropped = self._log_budget.take_dropped()
        for event, count in dropped.items():
            self.metrics.count_dropped_lines(event, count)
        logger.info("log lines dropped", event="log_dropped", lines=dropped)


def _log_bug(failure: Any) -> None:
    logger.opt(exception=failure.value).error(
        "unexpected error while writing the host list", event="bug"
    )


def _own_member(cfg: GatewaySettings, rng: random.Random) -> Member:
    member = Member(cfg.host, cfg.zone, cfg.region)
    member.front = cfg.front or Address(cfg.host_ip, 1)
    member.peer = cfg.peer
    member.capacity_per_s = cfg.capacity_per_s
    member.incarnation = rng.getrandbits(62)
    return member


def run_app(
    app: App,
    read_settings: Callable[[], Result[GatewaySettings, str]],
    reactor: Any,
    signals: StartupSignals,
) -> int:
    """Run a gateway until a signal stops it; return the exit status.

    `read_settings` is called on each reload signal. `signals` holds the
    signals that arrived during the start.
    """
    status = [0]

    def fail(failure: Any) -> None:
        logger.opt(exception=failure.value).error(
            "gateway ends after an unexpected error", event="bug"
        )
        status[0] = 1
        reactor.stop()

    def begin_stop() -> None:
        if not app.stopping:
            done = Deferred.fromCoroutine(app.shut_down())
            done.addCallbacks(lambda _: reactor.stop(), fail)

    def on_signal(number: int, _frame: object) -> None:
        reactor.callFromThread(begin_stop)

    def on_reload(number: int, _frame: object) -> None:
        reactor.callFromThread(lambda: app.reload(read_settings()))

    def begin() -> None:
        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        signal.signal(signal.SIGHUP, on_reload)
        Deferred.fromCoroutine(app.run()).addErrback(fail)
        if signals.reload_requested:
            app.reload(read_settings())
        if signals.stop_requested:
            begin_stop()

    signals.loaded = True
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return status[0]
