"""Listeners for HTTP/1.1 connections and the limits of these connections.

`serverconnection` handles the connections and passes each request to the
handler of its server.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater

from .addresses import Address
from .serverconnection import HttpServerProtocol
from .serverrequest import ServerRequest

IDLE_TIMEOUT_S: Final = 60.0
CLOSE_POLL_INTERVAL_S: Final = 0.05  # interval between checks for open connections
MAX_HEADER_BYTES: Final = 32 * 1024

Handler = Callable[[ServerRequest], None]


class HttpServer:
    """Listens on an address and hands requests to a handler."""

    __slots__ = (
        "_port",
        "clock",
        "connections",
        "draining",
        "handler",
        "header_timeout_s",
        "idle_timeout_s",
        "max_header_bytes",
        "max_pipelined",
    )

    def __init__(
        self,
        handler: Handler,
        max_pipelined: int = 1,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock  # of the arrival of requests; None: it is not recorded
        # Limit on the unfinished requests of a connection.
        self.max_pipelined = max_pipelined
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.header_timeout_s = IDLE_TIMEOUT_S
        self.max_header_bytes = MAX_HEADER_BYTES
        self.connections: set[HttpServerProtocol] = set()
        self.draining = False  # True: responses close their connections
        self._port: Any = None

    def listen(self, reactor: Any, address: Address) -> None:
        """Start accepting connections."""
        self._port = reactor.listenTCP(
            address.port, _ServerFactory(self), backlog=512, interface=address.ip
        )

    async def close_port(self) -> None:
        """Stop accepting connections and close those that are idle."""
        port, self._port = self._port, None
        if port is not None:
            await port.stopListening()
        self.draining = True
        for conn in list(self.connections):
            conn.close_if_idle()

    async def close_idle(self, reactor: Any, limit_s: float) -> None:
        """Close idle connections; wait until their responses are delivered.

        A reset would discard the end of a response that a caller reads slowly,
        or the refusal of a request that arrived last.
        """
        for conn in list(self.connections):
            conn.close_if_idle()
        ends_at = reactor.seconds() + limit_s
        while self.connections and reactor.seconds() < ends_at:
            await deferLater(reactor, CLOSE_POLL_INTERVAL_S)

    def reset_largest(self, limit_bytes: int) -> int:
        """Reset the connections that hold most while all exceed a limit.

        Return how many were reset.
        """
        held = [(conn.held_bytes, conn) for conn in self.connections]
        total = sum(size for size, _conn in held)
        if total <= limit_bytes:
            return 0
        count = 0
        for size, conn in sorted(held, key=lambda item: item[0], reverse=True):
            if total <= limit_bytes:
                break
            conn.abort()
            total -= size
            count += 1
        return count

    def abort_all(self) -> None:
        """Reset all connections that are still open."""
        for conn in list(self.connections):
            conn.abort()


class _ServerFactory(Factory):
    """Builds the connections of one server."""

    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: Any) -> HttpServerProtocol:
        return HttpServerProtocol(self._server)
