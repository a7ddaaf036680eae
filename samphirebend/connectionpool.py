"""Pool of HTTP/1.1 client connections to upstreams and relays.

An error of `ConnectionPool.acquire` means that nothing was written, so that a
caller may be told that the request did not run; a later error of an exchange
does not.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final, Protocol as TypingProtocol

from loguru import logger
from result import Err, Ok, Result
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from .addresses import Address
from .errorcodes import ErrorKind
from .httpclient import MAX_IDLE_S, ClientConnection

CONNECT_TIMEOUT_S: Final = 1.0
NO_REUSE_S: Final = -1.0  # idle limit that no pooled connection meets
# A closed connection counts against its upstream's limit for this long,
# because the upstream may accept a new one before it detects the close.
CLOSE_DETECTION_S: Final = 0.25

# Address, and the name of the upstream; the name is empty for a relay.
Target = tuple[Address, str]


class ConnectionCounter(TypingProtocol):
    """The methods of `Limits` that count connections to upstreams."""

    def reserve_connection(self, upstream: str) -> Result[None, ErrorKind]: ...

    def release_connection(self, upstream: str) -> None: ...


class ConnectionPool:
    """Keeps idle connections by target and opens new ones when none is idle.

    A target is an address and the name of its upstream, which is empty for a
    relay. A connection to an upstream is counted until the upstream must have
    detected that it was closed.
    """

    __slots__ = (
        "_clock",
        "_connect_timeout_s",
        "_counter",
        "_idle",
        "_reactor",
        "_source",
        "opened",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        counter: ConnectionCounter | None = None,
        source_ip: str | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        # Connections are bound to the host's own address, so that upstreams
        # and peers can tell hosts apart; None: the system chooses the address.
        self._source = (source_ip, 0) if source_ip is not None else None
        self._clock = clock
        self._counter = counter  # None: connections are not counted
        self._idle: dict[Target, deque[ClientConnection]] = {}
        self.opened = 0  # connections opened since the start

    async def acquire(
        self, address: Address, upstream: str = "", max_idle_s: float = MAX_IDLE_S
    ) -> Result[ClientConnection, ErrorKind]:
        """Return a connection for one exchange.

        The errors are CONNECT_FAILED and those of `reserve_connection`. A
        connection that was idle for more than `max_idle_s` seconds is not
        used.
        """
        target = (address, upstream)
        conn = self._take_idle(target, max_idle_s)
        if conn is not None:
            return Ok(conn)
        if self._counter is not None and upstream:
            reserved = self._counter.reserve_connection(upstream)
            if isinstance(reserved, Err):
                return reserved
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            address.ip,
            address.port,
            self._connect_timeout_s,
            bindAddress=self._source,
        )
        factory = _ClientFactory(_BoundPool(self, target))
        try:
            opened: ClientConnection = await endpoint.connect(factory)
        except ConnectError:
            # Not logged here, because the outcome of the request is logged by
            # the code that needed the connection.
            self.record_closed(target)
            return Err(ErrorKind.CONNECT_FAILED)
        except Exception:
            logger.exception("unexpected error while connecting", target=str(address))
            self.record_closed(target)
            return Err(ErrorKind.CONNECT_FAILED)
        self.opened += 1
        return Ok(opened)

    async def can_connect(self, address: Address, upstream: str) -> bool:
        """Open a connection and pool it; return whether that succeeded."""
        acquired = await self.acquire(address, upstream, NO_REUSE_S)
        if isinstance(acquired, Err):
            return False
        acquired.ok_value.put_back()
        return True

    def record_closed(self, target: Target) -> None:
        """Stop counting a closed connection after `CLOSE_DETECTION_S`."""
        if self._counter is not None and target[1]:
            release = self._counter.release_connection
            self._reactor.callLater(CLOSE_DETECTION_S, release, target[1])

    def _take_idle(
        self, target: Target, max_idle_s: float = MAX_IDLE_S
    ) -> ClientConnection | None:
        """Return the most recently used idle connection, if there is one."""
        idle = self._idle.get(target)
        now = self._clock()
        while idle:
            conn = idle.pop()
            if conn.open and conn.idle_since >= now - conn.keep_idle_s:
                if conn.idle_since >= now - max_idle_s:
                    conn.idle_before_s = now - conn.idle_since
                    return conn
                # The other connections have been idle for longer.
                idle.append(conn)
                return None
            conn.cancel()
        return None

    def add_idle(self, target: Target, conn: ClientConnection) -> None:
        """Keep a connection for the next exchange with its target."""
        conn.idle_since = self._clock()
        idle = self._idle.setdefault(target, deque())
        idle.append(conn)
        while idle and idle[0].idle_since < conn.idle_since - idle[0].keep_idle_s:
            idle.popleft().cancel()

    def drop_idle(self, target: Target, conn: ClientConnection) -> None:
        """Remove a connection that was closed."""
        idle = self._idle.get(target)
        if idle is not None and conn in idle:
            idle.remove(conn)

    def close_idle(self, upstream: str) -> None:
        """Close the idle connections to an upstream, at all its addresses."""
        for target in list(self._idle):
            if target[1] == upstream:
                self._close_idle_to(target)

    def close_all(self) -> None:
        """Close all idle connections."""
        for target in list(self._idle):
            self._close_idle_to(target)

    def _close_idle_to(self, target: Target) -> None:
        for conn in self._idle.pop(target, deque()):
            conn.cancel()


class _BoundPool:
    """The methods of a pool that a connection calls, bound to its target."""

    __slots__ = ("_pool", "_target")

    def __init__(self, pool: ConnectionPool, target: Target) -> None:
        self._pool = pool
        self._target = target

    def put_back(self, conn: ClientConnection) -> None:
        self._pool.add_idle(self._target, conn)

    def forget(self, conn: ClientConnection) -> None:
        self._pool.drop_idle(self._target, conn)

    def record_closed(self) -> None:
        self._pool.record_closed(self._target)


class _ClientFactory(Factory):
    """Builds the client connections to one target."""

    noisy = False

    def __init__(self, pool: _BoundPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self._pool)
