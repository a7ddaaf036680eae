"""The daemon of an entry host: builds all services and runs them.

`make_daemon` wires the parts; nothing else knows all of them. The process
runs one event loop on one thread until SIGTERM or SIGINT, which begin the
planned stop of `drain`.
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
from .collector import limit_collections
from .dispatch import Dispatcher
from .drain import Drain
from .health import HealthService, make_fetcher
from .httpclient import ConnectionPool
from .httpserver import HttpServer
from .kernel import Kernel
from .leasekeeper import LeaseKeeper
from .ledger import Ledger
from .limits import Limits
from .links import LinkBudgets
from .logs import set_up_logs
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
from .shards import assign_region_upstreams, link_shares
from .status import make_status
from .tablestore import Row, make_store
from .targets import TargetFinder
from .upstreamstate import UpstreamStates
from .wire import Heartbeat, ServiceLoad

EXIT_BAD_SETTINGS: Final = 2
HELD_CHECK_S: Final = 0.5


class Server:
    """Service that listens for HTTP requests."""

    __slots__ = ("_address", "_reactor", "server")

    def __init__(self, reactor: Any, address: Any, server: HttpServer) -> None:
        self._reactor = reactor
        self._address = address
        self.server = server

    def start(self) -> None:
        """Begin to listen."""
        self.server.listen(self._reactor, self._address)

    async def stop(self) -> None:
        """Stop to listen and reset what is still open."""
        await self.server.close_port()
        self.server.abort_all()


class Daemon:
    """All parts of one daemon, wired together."""

    def __init__(self, cfg: Options, reactor: Any) -> None:
        clock = time.monotonic
        incarnation = secrets.randbits(64)
        rng = random.Random()
        self._cfg = cfg
        self._reactor = reactor
        self.kernel = Kernel()
        self.metrics = Metrics()
        self.limits = Limits()
        self.states = UpstreamStates(cfg.region)
        self.quarantine = Quarantine()
        self.membership = Membership(cfg.host)
        self.budgets = LinkBudgets(cfg.region, link_shares)
        self.ledger = Ledger(cfg.host, incarnation, clock())
        self.store = make_store(cfg, reactor)
        self.peers = make_peers(cfg, incarnation, reactor)
        self._wire_heartbeats(self.peers)
        self.spread = make_manifest_sync(cfg, self.store, self.peers, reactor)
        self.keeper = LeaseKeeper(
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
        self._polled: set[str] = set()  # upstreams with a connection for polls
        self.router = Router(
            cfg.host,
            cfg.region,
            self.membership,
            self.limits,
            self.states,
            self.budgets,
            self.ledger,
            clock,
            rng,
        )
        self.relay = RelayClient(cfg.host, reactor, self.pool, self.router)
        places = TargetFinder(
            cfg.host,
            reactor,
            self.limits,
            self.keeper,
            self.states,
            self.quarantine,
            self.router,
            cfg.queue_wait_s,
        )
        self.dispatcher = Dispatcher(
            cfg.host,
            reactor,
            places,
            self.keeper,
            self.states,
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
            self.spread.is_fresh,
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
            self.keeper,
            self.peers,
            servers,
            self.metrics,
        )
        # Version and shards that the link budgets were last set for.
        self._budgeted: tuple[int, frozenset[str]] = (0, frozenset())
        self.spread.subscribe(self._apply)
        self._register(servers)

    def _register(self, servers: list[HttpServer]) -> None:
        cfg, reactor = self._cfg, self._reactor
        kernel = self.kernel
        for name, part in (
            ("options", cfg),
            ("metrics", self.metrics),
            ("membership", self.membership),
            ("limits", self.limits),
            ("upstream_states", self.states),
            ("quarantine", self.quarantine),
            ("ledger", self.ledger),
            ("link_budgets", self.budgets),
            ("router", self.router),
            ("request_path", self.entry),
            ("drain", self.drain),
        ):
            kernel.register(name, part)
        kernel.register("store", self.store)
        kernel.register("peers", self.peers)
        kernel.register("spread", self.spread)
        kernel.register("leases", self.keeper)
        health = HealthService(
            self.states,
            self._owned_upstreams,
            self._region_upstreams,
            cfg.platform_list_url,
            reactor,
            make_fetcher(reactor),
        )
        kernel.register("health", health)
        self.dispatcher.connection_failure_listeners.append(health.poll)
        kernel.register("loop_lag", LoopLag(reactor, self.metrics))
        kernel.register("relay", Server(reactor, cfg.relay_address, servers[1]))
        kernel.register("entry", Server(reactor, cfg.entry_address, servers[0]))
        status = make_status(kernel)
        app = AdminApp(reactor, kernel, self.metrics, self.spread, status.as_plain)
        kernel.register("admin", AdminService(reactor, cfg.admin_address, app))
        self.metrics.before_render(status.update_metrics)

    # What peers are told, and what they tell.

    def _wire_heartbeats(self, peers: PeerService) -> None:
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._take_heartbeat)
        peers.reply_listeners.append(
            lambda reply, sent_at, _now: self.membership.note_reply(reply, sent_at)
        )

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = time.monotonic()
        heartbeat.key_epoch = self.ledger.epoch(now)
        heartbeat.stopping = self.drain.stopping
        heartbeat.leaving = self.states.leaving()
        heartbeat.suspects = self.quarantine.suspects(now)
        age_s = now - self.store.last_answer_at()
        heartbeat.table_age_ms = int(min(max(age_s, 0.0), 4e6) * 1000)
        in_force = self.spread.current()
        if in_force is not None:
            heartbeat.loads = [
                ServiceLoad(
                    name,
                    self.router.own_free(name, now),
                    self.limits.total(name),
                    self.router.overflow_free(name, now),
                )
                for name in in_force.manifest.services
            ]

    def _take_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if not self.membership.note_heartbeat(heartbeat, now):
            return
        self.states.note_peer_leaving(
            heartbeat.host, heartbeat.incarnation, heartbeat.leaving, now
        )
        self.quarantine.merge(heartbeat.suspects, now)

    # What the manifest in force changes.

    def _apply(self, in_force: AppliedManifest) -> None:
        manifest, now = in_force.manifest, time.monotonic()
        self.limits.apply(in_force.version, manifest, now)
        self.keeper.note_manifest(in_force.version, manifest)
        self.states.apply(manifest, now)
        configured = manifest.hosts.get(self._cfg.host)
        region = configured.region if configured else self._cfg.region
        # Only shards of the own region can be held.
        self.dispatcher.apply(manifest, assign_region_upstreams(manifest, region))
        self.router.apply(manifest)
        self.entry.apply(manifest)
        self.membership.retain(manifest.hosts)
        self.peers.set_peers(
            [host for host in manifest.hosts.values() if host.name != self._cfg.host]
        )
        self._follow_leases()
        logger.info("manifest in force", version=in_force.version)

    def _follow_leases(self) -> None:
        """Give the link budgets and upstream states the shards held now."""
        in_force = self.spread.current()
        if in_force is not None:
            now = time.monotonic()
            held = self.keeper.held(now)
            # The shares of all links take several ms with thousands of hosts.
            if (in_force.version, held) != self._budgeted:
                self._budgeted = (in_force.version, held)
                self.budgets.apply(in_force.manifest, held, now)
            owned = {item.name for item in self._owned_upstreams()}
            self.states.set_owned(owned)
            self._follow_connections(owned)

    def _follow_connections(self, owned: set[str]) -> None:
        """Count one connection for polls of each owned upstream; end excess ones."""
        for name in self._polled - owned:
            self._polled.discard(name)
            self.limits.release_connection(name)
        for name in owned - self._polled:
            if self.limits.reserve_connection(name).is_ok():
                self._polled.add(name)
        for name in self.limits.excess_connections():
            self.pool.close_idle(name)

    def _owned_upstreams(self) -> list[Upstream]:
        in_force = self.spread.current()
        if in_force is None:
            return []
        upstreams = in_force.manifest.upstreams
        held = self.keeper.held(time.monotonic())
        shards = self.dispatcher.shards
        return [item for name, item in upstreams.items() if shards.get(name) in held]

    def _region_upstreams(self) -> list[Upstream]:
        in_force = self.spread.current()
        if in_force is None:
            return []
        return [
            item
            for item in in_force.manifest.upstreams.values()
            if item.region == self._cfg.region
        ]

    # Life of the process.

    async def run(self) -> None:
        """Start all services."""
        await self.kernel.start()
        self._tick()
        logger.info("daemon serves", entry=str(self._cfg.entry_address))

    def _tick(self) -> None:
        self._follow_leases()
        self._reactor.callLater(HELD_CHECK_S, self._tick)

    async def shut_down(self) -> None:
        """Run the planned stop and end all services."""
        await self.drain.run()
        await self.kernel.stop()
        self.pool.close_all()


def make_daemon(cfg: Options, reactor: Any) -> Daemon:
    """Return a daemon that has not been started."""
    return Daemon(cfg, reactor)


def run_daemon(cfg: Options) -> int:
    """Run a daemon until it is told to stop; return the exit status."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    # Twisted's timers follow the wall clock by default, which may be set.
    reactor.seconds = time.monotonic
    daemon = make_daemon(cfg, reactor)
    status = [0]

    def fail(failure: Any) -> None:
        logger.opt(exception=failure.value).error("daemon ends by an error")
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
        Deferred.fromCoroutine(daemon.run()).addErrback(fail)

    limit_collections()
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
    read = read_options(text)
    if isinstance(read, Err):
        for fault in read.err_value:
            sys.stderr.write(f"{settings}: {fault}\n")
        raise typer.Exit(EXIT_BAD_SETTINGS)
    cfg = read.ok_value
    set_up_logs(cfg.log_level, cfg.log_form, cfg.host, sys.stderr)
    raise typer.Exit(run_daemon(cfg))


def main() -> None:
    """Run the command line of the daemon."""
    typer.run(run)


if __name__ == "__main__":
    main()
