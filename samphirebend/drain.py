"""Graceful shutdown of a daemon (planned stop) that interrupts no request.

Callers cache look-up answers. The host is therefore first removed from the
answers and continues to serve requests for their time to live. Only then does
it stop accepting connections, finish the requests in flight and release its
leases.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

from automat import TypeMachineBuilder
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .httpserver import HttpServer
from .leasekeeper import LeaseKeeper
from .metrics import Metrics
from .peers import PeerService
from .requesthandler import RequestHandler
from .router import Router

# Added to the time to live, because peers that have not received the latest
# heartbeat of this host still name it in look-up answers.
LOOKUP_MARGIN_S: Final = 1.0
# Maximum wait for the peers to be notified.
NOTIFY_TIMEOUT_S: Final = 0.5
# Added to the longest service timeout to limit the wait for requests in
# flight.
IN_FLIGHT_MARGIN_S: Final = 2.0
# Maximum wait for callers to read the last responses.
FLUSH_LIMIT_S: Final = 2.0


class DrainLifecycle(Protocol):
    """Inputs of the state machine of the shutdown."""

    def leave_lookups(self) -> None:
        """Start the shutdown. Has no effect if it has already begun."""

    def refuse_work(self) -> None:
        """Stop accepting connections."""

    def finish(self) -> None:
        """End the shutdown, when nothing is in flight and no lease is held."""

    def name(self) -> str:
        """Return the name of the state."""


class _Core:
    """Data of the machine, which needs none besides its state."""

    __slots__ = ()


_builder: Final = TypeMachineBuilder(DrainLifecycle, _Core)
_serving: Final = _builder.state("serving")
_leaving: Final = _builder.state("leaving")
_finishing: Final = _builder.state("finishing")
_stopped: Final = _builder.state("stopped")
_serving.upon(DrainLifecycle.leave_lookups).to(_leaving).returns(None)
_leaving.upon(DrainLifecycle.refuse_work).to(_finishing).returns(None)
_finishing.upon(DrainLifecycle.finish).to(_stopped).returns(None)
for _state in (_leaving, _finishing, _stopped):
    _state.upon(DrainLifecycle.leave_lookups).loop().returns(None)
for _state, _name in (
    (_serving, "serving"),
    (_leaving, "leaving"),
    (_finishing, "finishing"),
    (_stopped, "stopped"),
):
    _state.upon(DrainLifecycle.name).loop().returns(_name)
_machine: Final = _builder.build()


class Drain:
    """Runs the graceful shutdown of one daemon."""

    __slots__ = (
        "_keeper",
        "_lifecycle",
        "_lookup_ttl_s",
        "_metrics",
        "_peers",
        "_reactor",
        "_request_handler",
        "_router",
        "_servers",
    )

    def __init__(
        self,
        reactor: Any,
        lookup_ttl_s: float,
        request_handler: RequestHandler,
        router: Router,
        keeper: LeaseKeeper,
        peers: PeerService,
        servers: list[HttpServer],
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._lookup_ttl_s = lookup_ttl_s
        self._request_handler = request_handler
        self._router = router
        self._keeper = keeper
        self._peers = peers
        self._servers = servers  # servers for callers and for relays
        self._metrics = metrics
        self._lifecycle: DrainLifecycle = _machine(_Core())

    @property
    def state(self) -> str:
        """Return the name of the state."""
        return self._lifecycle.name()

    @property
    def stopping(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._lifecycle.name() != "serving"

    async def run(self) -> None:
        """Run the shutdown; return when the process may exit."""
        if self.stopping:
            return
        started = self._reactor.seconds()
        self._lifecycle.leave_lookups()
        logger.info("planned stop started")
        self._router.stopping = True
        # From now on each response closes its connection, so that few idle
        # connections remain that a caller might reuse while they are being
        # closed.
        for server in self._servers:
            server.draining = True
        await self._peers.notify_peers(NOTIFY_TIMEOUT_S)
        await deferLater(self._reactor, self._lookup_ttl_s + LOOKUP_MARGIN_S)
        self._lifecycle.refuse_work()
        for server in self._servers:
            await server.close_port()
        await self._wait_for_requests()
        self._request_handler.refusing = True
        for server in self._servers:
            await server.close_idle(self._reactor, FLUSH_LIMIT_S)
        await self._keeper.release_all()
        self._lifecycle.finish()
        duration_s = self._reactor.seconds() - started
        self._metrics.observe_drain("host", duration_s)
        logger.info("planned stop finished", duration_s=round(duration_s, 3))

    async def _wait_for_requests(self) -> None:
        if not self._request_handler.in_flight:
            return
        idle: Deferred[None] = Deferred()
        self._request_handler.when_idle = idle
        max_wait_s = self._request_handler.max_timeout_s() + IN_FLIGHT_MARGIN_S
        idle.addTimeout(max_wait_s, self._reactor)
        idle.addErrback(
            lambda _: logger.warning("timed out waiting for requests in flight")
        )
        await idle
