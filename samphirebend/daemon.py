"""Main program of the daemon on an entry host.

`Daemon` creates all components and connects them; no other module depends on
all of them. The process runs one event loop on one thread until it receives
SIGTERM or SIGINT, which start the graceful shutdown in `drain`.
"""

from __future__ import annotations

import random
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import Annotated, Any, Final

import typer
from loguru import logger
from result import Err
from twisted.internet.defer import Deferred

from .admin import AdminApp, AdminService
from .connectionpool import ConnectionPool
from .dispatch import Dispatcher
from .drain import Drain
from .gctuning import tune_garbage_collector
from .health import HealthService, make_fetcher
from .httpserver import HttpServer
from .leasekeeper import LeaseKeeper
from .ledger import Ledger
from .limits import Limits
from .links import LinkBudgets
from .logs import configure_logging
from .lookup import Lookup
from .looplag import LoopLag
from .manifest import Upstream
from .manifestsync import AppliedManifest, make_manifest_sync
from .membership import Membership
from .metrics import Metrics
from .options import Options, read_options
from .peers import PeerService, make_peers
from .quarantine import Quarantine
from .relay import RelayClient
from .requesthandler import RequestHandler
from .router import Router
from .serviceregistry import ServiceRegistry
from .shards import assign_region_upstreams, link_shares
from .status import make_status
from .tablestore import Row, make_store
from .targets import TargetFinder
from .upstreamstate import UpstreamStates
from .wire import Heartbeat, ServiceLoad

EXIT_BAD_SETTINGS: Final = 2
# Interval between checks of the held shards.
LEASE_CHECK_INTERVAL_S: Final = 0.5


class Server:
    """Service that runs an HTTP server on a listening address."""

    __slots__ = ("_address", "_reactor", "server")

    def __init__(self, reactor: Any, address: Any, server: HttpServer) -> None:
        self._reactor = reactor
        self._address = address
        self.server = server

    def start(self) -> None:
        """Start listening."""
        self.server.listen(self._reactor, self._address)

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        await self.server.close_port()
        self.server.abort_all()


class Daemon:
    """All components of one daemon, connected to each other."""

    def __init__(self, cfg: Options, reactor: Any) -> None:
        clock = time.monotonic
        incarnation = secrets.randbits(64)
        rng = random.Random()
        self._cfg = cfg
        self._reactor = reactor
        self.registry = ServiceRegistry()
        self.metrics = Metrics()
        self.limits = Limits()
        self.upstream_states = UpstreamStates(cfg.region)
        self.quarantine = Quarantine()
        self.membership = Membership(cfg.host)
        self.link_budgets = LinkBudgets(cfg.region, link_shares)
        self.ledger = Ledger(cfg.host, incarnation, clock())
        self.store = make_store(cfg, reactor)
        self.peers = make_peers(cfg, incarnation, reactor)
        self._wire_heartbeats(self.peers)
        self.manifests = make_manifest_sync(cfg, self.store, self.peers, reactor)
        self.leases = LeaseKeeper(
            cfg.host,
            incarnation,
            cfg.lease_s,
            self.peers,
            self.store,
            lambda key, revision, attributes: Row(key, attributes, revision),
            self.limits,
            reactor,
        )
        self.pool = ConnectionPool(reactor, clock, self.limits, cfg.relay_address.ip)
        # Upstreams for which one connection is reserved for health polls.
        self._poll_connections: set[str] = set()
        self.router = Router(
            cfg.host,
            cfg.region,
            self.membership,
            self.limits,
            self.upstream_states,
            self.link_budgets,
            self.ledger,
            clock,
            rng,
        )
        self.relay = RelayClient(cfg.host, reactor, self.pool, self.router)
        target_finder = TargetFinder(
            cfg.host,
            reactor,
            self.limits,
            self.leases,
            self.upstream_states,
            self.quarantine,
            self.router,
            cfg.queue_wait_s,
        )
        self.dispatcher = Dispatcher(
            cfg.host,
            reactor,
            target_finder,
            self.leases,
            self.upstream_states,
            self.peers,
            self.quarantine,
            self.pool,
            self.relay,
            self.router,
            self.metrics,
        )
        self.lookup = Lookup(
            cfg.host,
            cfg.lookup_ttl_s,
            self.router,
            self.router.region_of_caller,
            self.metrics,
            clock,
        )
        self.entry = RequestHandler(
            cfg.host,
            reactor,
            self.dispatcher,
            self.relay,
            self.ledger,
            self.lookup,
            self.membership,
            self.metrics,
            self.manifests.is_fresh,
            self.router.answer_pacer,
            self.router.read_pacer,
            self.router.free_for_relay,
        )
        servers = [HttpServer(self.entry.handle), HttpServer(self.entry.handle_relayed)]
        self.drain = Drain(
            reactor,
            cfg.lookup_ttl_s,
            self.entry,
            self.router,
            self.leases,
            self.peers,
            servers,
            self.metrics,
        )
        # Manifest version and held shards from which the link budgets were
        # last computed.
        self._link_budget_inputs: tuple[int, frozenset[str]] = (0, frozenset())
        self.manifests.subscribe(self._apply_manifest)
        self._register_services(servers)

    def _register_services(self, servers: list[HttpServer]) -> None:
        cfg, reactor = self._cfg, self._reactor
        registry = self.registry
        for name, service in (
            ("options", cfg),
            ("metrics", self.metrics),
            ("membership", self.membership),
            ("limits", self.limits),
            ("upstream_states", self.upstream_states),
            ("quarantine", self.quarantine),
            ("ledger", self.ledger),
            ("link_budgets", self.link_budgets),
            ("router", self.router),
            ("request_path", self.entry),
            ("drain", self.drain),
        ):
            registry.register(name, service)
        registry.register("store", self.store)
        registry.register("peers", self.peers)
        registry.register("spread", self.manifests)
        registry.register("leases", self.leases)
        health = HealthService(
            self.upstream_states,
            self._owned_upstreams,
            self._region_upstreams,
            cfg.platform_list_url,
            reactor,
            make_fetcher(reactor),
        )
        registry.register("health", health)
        self.dispatcher.connection_failure_listeners.append(health.poll)
        registry.register("loop_lag", LoopLag(reactor, self.metrics))
        registry.register("relay", Server(reactor, cfg.relay_address, servers[1]))
        registry.register("entry", Server(reactor, cfg.entry_address, servers[0]))
        status = make_status(registry)
        app = AdminApp(reactor, registry, self.metrics, self.manifests, status.summary)
        registry.register("admin", AdminService(reactor, cfg.admin_address, app))
        self.metrics.before_render(status.update_metrics)

    # Heartbeats to and from peers.

    def _wire_heartbeats(self, peers: PeerService) -> None:
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._handle_heartbeat)
        peers.reply_listeners.append(
            lambda reply, sent_at, _now: self.membership.record_reply(reply, sent_at)
        )

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = time.monotonic()
        heartbeat.key_epoch = self.ledger.epoch(now)
        heartbeat.stopping = self.drain.stopping
        heartbeat.leaving = self.upstream_states.leaving()
        heartbeat.suspects = self.quarantine.suspects(now)
        # The field has 32 bits; the age is infinite before the first response.
        age_s = now - self.store.last_answer_at()
        heartbeat.table_age_ms = int(min(max(age_s, 0.0), 4e6) * 1000)
        current = self.manifests.current()
        if current is not None:
            heartbeat.loads = [
                ServiceLoad(
                    name,
                    self.router.own_free(name, now),
                    self.limits.total(name),
                    self.router.overflow_free(name, now),
                )
                for name in current.manifest.services
            ]

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if not self.membership.record_heartbeat(heartbeat, now):
            return
        self.upstream_states.record_peer_leaving(
            heartbeat.host, heartbeat.incarnation, heartbeat.leaving, now
        )
        self.quarantine.merge(heartbeat.suspects, now)

    # Changes of the manifest and of the held shards.

    def _apply_manifest(self, current: AppliedManifest) -> None:
        manifest, now = current.manifest, time.monotonic()
        self.limits.apply(current.version, manifest, now)
        self.leases.apply_manifest(current.version, manifest)
        self.upstream_states.apply(manifest, now)
        configured = manifest.hosts.get(self._cfg.host)
        region = configured.region if configured else self._cfg.region
        # A host can hold leases only for shards of its own region.
        self.dispatcher.apply(manifest, assign_region_upstreams(manifest, region))
        self.router.apply(manifest)
        self.entry.apply(manifest)
        self.membership.retain(manifest.hosts)
        self.peers.set_peers(
            [host for host in manifest.hosts.values() if host.name != self._cfg.host]
        )
        self._apply_held_shards()
        logger.info("manifest applied to all components", version=current.version)

    def _apply_held_shards(self) -> None:
        """Update the components that depend on the shards held here."""
        current = self.manifests.current()
        if current is not None:
            now = time.monotonic()
            held = self.leases.held(now)
            # Computing the link shares takes several ms with thousands of
            # hosts, so it is done only after a change.
            if (current.version, held) != self._link_budget_inputs:
                self._link_budget_inputs = (current.version, held)
                self.link_budgets.apply(current.manifest, held, now)
            owned = {upstream.name for upstream in self._owned_upstreams()}
            self.upstream_states.set_owned(owned)
            self._update_poll_connections(owned)

    def _update_poll_connections(self, owned: set[str]) -> None:
        """Reserve one poll connection for each owned upstream.

        If an upstream then has more connections than its limit, all idle ones
        to it are closed.
        """
        for name in self._poll_connections - owned:
            self._poll_connections.discard(name)
            self.limits.release_connection(name)
        for name in owned - self._poll_connections:
            if self.limits.reserve_connection(name).is_ok():
                self._poll_connections.add(name)
        for name in self.limits.excess_connections():
            self.pool.close_idle(name)

    def _owned_upstreams(self) -> list[Upstream]:
        current = self.manifests.current()
        if current is None:
            return []
        upstreams = current.manifest.upstreams
        held = self.leases.held(time.monotonic())
        shards = self.dispatcher.shards
        return [
            upstream for name, upstream in upstreams.items() if shards.get(name) in held
        ]

    def _region_upstreams(self) -> list[Upstream]:
        current = self.manifests.current()
        if current is None:
            return []
        return [
            upstream
            for upstream in current.manifest.upstreams.values()
            if upstream.region == self._cfg.region
        ]

    # Start and shutdown.

    async def start(self) -> None:
        """Start all services."""
        await self.registry.start()
        self._check_leases()
        logger.info("daemon started", entry=str(self._cfg.entry_address))

    def _check_leases(self) -> None:
        self._apply_held_shards()
        self._reactor.callLater(LEASE_CHECK_INTERVAL_S, self._check_leases)

    async def shut_down(self) -> None:
        """Drain this host, then stop all services."""
        await self.drain.run()
        await self.registry.stop()
        self.pool.close_all()


def make_daemon(cfg: Options, reactor: Any) -> Daemon:
    """Create a daemon without starting it."""
    return Daemon(cfg, reactor)


def run_daemon(cfg: Options) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit status."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    # By default, Twisted's timers use the wall clock, which can be set back or
    # forward.
    reactor.seconds = time.monotonic
    daemon = make_daemon(cfg, reactor)
    status = [0]

    def fail(failure: Any) -> None:
        logger.opt(exception=failure.value).error(
            "daemon stops after an unexpected error"
        )
        status[0] = 1
        reactor.stop()

    def stop(*_args: object) -> None:
        reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        if daemon.drain.stopping:
            return
        done = Deferred.fromCoroutine(daemon.shut_down())
        done.addCallbacks(lambda _: reactor.stop(), fail)

    def begin() -> None:
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        Deferred.fromCoroutine(daemon.start()).addErrback(fail)

    tune_garbage_collector()
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return status[0]


def run(
    settings: Annotated[Path, typer.Argument(help="Settings, JSON with comments.")],
) -> None:
    """Run the daemon of an entry host."""
    try:
        text = settings.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        sys.stderr.write(f"{settings}: {exc}\n")
        raise typer.Exit(EXIT_BAD_SETTINGS) from exc
    result = read_options(text)
    if isinstance(result, Err):
        for fault in result.err_value:
            sys.stderr.write(f"{settings}: {fault}\n")
        raise typer.Exit(EXIT_BAD_SETTINGS)
    cfg = result.ok_value
    configure_logging(cfg.log_level, cfg.log_form, cfg.host, sys.stderr)
    raise typer.Exit(run_daemon(cfg))


def main() -> None:
    """Parse the command line and run the daemon."""
    typer.run(run)


if __name__ == "__main__":
    main()
