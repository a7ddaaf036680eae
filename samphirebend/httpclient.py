"""HTTP/1.1 client connections to upstreams and to the relays of other hosts.

A connection carries one exchange at a time; `connectionpool` keeps those that
are idle. A connection is closed and not reused if its exchange did not end
with a complete response, so that a late response cannot reach another request.
A response to an earlier request is skipped if the exchange can recognize the
responses to its own request; it then waits for the next response.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol as TypingProtocol

import h11
from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .errorcodes import ErrorKind
from .headers import Headers
from .serverrequest import BODILESS_STATUSES, unacknowledged_bytes, write_now

# An upstream may close an idle connection at any time. Keeping it in the pool
# only briefly makes it unlikely that a request is written to a closing
# connection.
MAX_IDLE_S: Final = 5.0
MAX_HEADER_BYTES: Final = 32 * 1024
# Socket options with which the kernel detects an unreachable peer within about
# 3 s: keep-alive probes, and a limit on how long sent data may stay
# unacknowledged.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
TCP_USER_TIMEOUT_MS: Final = 3000
# Size up to which responses that belong to no request are skipped. More may
# have no end.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
MAX_STATUS: Final = 599
MIN_HEAD_BYTES: Final = 17  # status line and blank line
# In a reason phrase, it shows that a response stopped within its status line and
# that another response followed.
_STATUS_LINE_START: Final = b"HTTP/"
# Size of the parts in which the placeholder of a sent body is passed to a new
# parser.
SKIP_CHUNK_BYTES: Final = 64 * 1024


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer has become unreachable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    __slots__ = ("header", "headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.header: dict[bytes, bytes] = dict(headers)  # keyed by name

    @property
    def is_framed(self) -> bool:
        """Return whether a complete body can be told from a truncated one."""
        return (
            b"content-length" in self.header
            or b"transfer-encoding" in self.header
            or self.status in BODILESS_STATUSES
        )


def _headers_size(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the approximate size of a head in bytes."""
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    return size + MIN_HEAD_BYTES


class ResponseSink(TypingProtocol):
    """Receives a response; the last call is either `end` or `fail`."""

    def head(self, head: ResponseHead) -> None: ...

    def write(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def fail(self, kind: ErrorKind) -> None: ...


class PoolOfTarget(TypingProtocol):
    """The methods of a pool that a connection calls."""

    def put_back(self, conn: ClientConnection) -> None: ...

    def forget(self, conn: ClientConnection) -> None: ...

    def record_closed(self) -> None: ...


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """A connection to an upstream or a relay."""

    def __init__(self, pool: PoolOfTarget) -> None:
        self._pool = pool
        self._h11 = self._make_parser()
        self._sink: ResponseSink | None = None
        self.idle_since = 0.0
        self.idle_before_s = 0.0  # idle time before the current exchange
        self.open = False
        self.exchange_count = 0  # exchanges begun on this connection
        self.keep_idle_s = MAX_IDLE_S  # limit on its idle time in the pool
        # State of the current exchange.
        self.write_began = False
        self.head_received = False
        # Head of the request; a placeholder before the first exchange.
        self._request = h11.Request(method="GET", target="/", headers=[("Host", "")])
        self._accepts: Callable[[ResponseHead], bool] | None = None
        self._unframed_allowed = False
        # Whether the peer had received all written bytes when it closed.
        self._all_received = True
        # The response being read belongs to another request.
        self._skipping = False
        self._skipped_bytes = 0
        # Parts of a body that were parsed and not passed on yet. They are
        # passed on together, because an upstream may send chunks of a few bytes.
        self._body = bytearray()

    @staticmethod
    def _make_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        if isinstance(self.transport, FileDescriptor):
            enable_dead_peer_detection(self.transport.getHandle())

    def readConnectionLost(self) -> None:
        """Close the connection that the peer has closed in one direction."""
        # The socket, which knows this, is closed before `connectionLost`.
        self._all_received = not unacknowledged_bytes(self.transport)
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing: this end never closes one direction only."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        self._pool.forget(self)
        self._pool.record_closed()
        if self._sink is None:
            return
        if not self.head_received:
            self._fail(ErrorKind.UPSTREAM_BROKEN)
            return
        is_sent = self._all_received and self._h11.our_state is not h11.SEND_BODY
        if self._unframed_allowed and is_sent and reason.check(ConnectionDone):
            # The close ends a body without framing, unless the request is
            # still being written: then the upstream may have stopped anywhere.
            # For a framed body, h11 raises an error.
            self._parse(b"")
        if self._sink is not None:
            self._fail(ErrorKind.ANSWER_TRUNCATED)

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | None,
        sink: ResponseSink,
        accepts: Callable[[ResponseHead], bool] | None = None,
        unframed_allowed: bool = False,
    ) -> None:
        """Write a request; if `body` is None, `write_body` sends it later.

        `accepts` returns whether a response belongs to this request. With
        `unframed_allowed`, the end of the connection may end the response.
        """
        self._sink = sink
        self._accepts = accepts
        self._unframed_allowed = unframed_allowed
        self._skipping = False
        self._skipped_bytes = 0
        self.exchange_count += 1
        self.head_received = False
        head = h11.Request(method=method, target=target, headers=headers)
        self._request = head
        data = self._h11.send(head)
        if body is not None:
            if body:
                data += self._h11.send(h11.Data(data=body))
            data += self._h11.send(h11.EndOfMessage())
        self.write_began = True
        write_now(self.transport, data)

    def write_body(self, data: bytes) -> None:
        """Write a part of a streamed body."""
        if self.open and self._h11.our_state is h11.SEND_BODY:
            self.transport.write(self._h11.send(h11.Data(data=data)))

    def end_body(self) -> None:
        """End a streamed body."""
        if self.open and self._h11.our_state is h11.SEND_BODY:
            self.transport.write(self._h11.send(h11.EndOfMessage()))
            self._check_done()

    def put_back(self) -> None:
        """Return this connection, on which nothing was sent, to the pool."""
        if self.open:
            self._pool.put_back(self)

    def cancel(self) -> None:
        """Abort the exchange and close the connection.

        The sink gets no further calls.
        """
        self._sink = None
        self._close()

    def pause(self) -> None:
        """Stop reading the response."""
        if self.open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue to read the response."""
        if self.open:
            self.transport.resumeProducing()

    def register_producer(self, producer: Any) -> None:
        """Register a push producer that sends the request's body."""
        if self.open:
            self.transport.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Unregister the push producer."""
        if self.open:
            self.transport.unregisterProducer()

    def dataReceived(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes outside an exchange would be taken for the response to the
            # next request.
            self._close()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._step():
                pass
            self._pass_body()
        except h11.RemoteProtocolError:
            kind = (
                ErrorKind.ANSWER_TRUNCATED
                if self.head_received
                else ErrorKind.UPSTREAM_BROKEN
            )
            self._fail(kind)

    def _step(self) -> bool:
        """Handle one event of the parser; return whether to go on."""
        if self._sink is None:
            return False
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS or _STATUS_LINE_START in event.reason:
                self._fail(ErrorKind.UPSTREAM_BROKEN)
                return False
            return self._take_head(ResponseHead(event.status_code, list(event.headers)))
        if isinstance(event, h11.Data):
            self._take_data(event.data)
        elif isinstance(event, h11.InformationalResponse):
            self._count_skipped(_headers_size(event.headers))
        elif isinstance(event, h11.EndOfMessage):
            self._pass_body()
            if self._sink is None:
                return False
            if self._skipping:
                return self._await_next_response()
            self._finish()
        return not isinstance(event, h11.ConnectionClosed)

    def _take_head(self, head: ResponseHead) -> bool:
        """Pass the head to the sink; return whether to go on parsing."""
        assert self._sink is not None
        if self._accepts is not None and not self._accepts(head):
            self._skipping = True
            self._count_skipped(_headers_size(head.headers))
            if self._sink is None:
                return False
            if not head.is_framed:
                self._fail(ErrorKind.UPSTREAM_BROKEN)
            return head.is_framed
        self.head_received = True
        if not head.is_framed and not self._unframed_allowed:
            self._fail(ErrorKind.ANSWER_TRUNCATED)
            return False
        self._sink.head(head)
        return True

    def _take_data(self, data: bytes | bytearray) -> None:
        """Keep a part of the body for the sink, unless it is skipped."""
        if self._skipping:
            self._count_skipped(len(data))
        else:
            self._body += data

    def _pass_body(self) -> None:
        """Pass the parsed parts of the body to the sink."""
        data = bytes(self._body)
        self._body.clear()
        if data and self._sink is not None:
            self._sink.write(data)

    def _count_skipped(self, size: int) -> None:
        """Count bytes that belong to no request; fail if there are too many."""
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(ErrorKind.UPSTREAM_BROKEN)

    def _await_next_response(self) -> bool:
        """Parse the bytes after a skipped response as a new response."""
        if self._h11.our_state is not h11.DONE:
            # The request's body is not sent in full, and a new parser could
            # not continue it.
            self._fail(ErrorKind.UPSTREAM_BROKEN)
            return False
        rest, closed = self._h11.trailing_data
        self._skipping = False
        self._h11 = self._make_parser()
        self._h11.send(self._request)
        while self._h11.our_state is h11.SEND_BODY:
            self._skip_body()
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._h11.receive_data(b"")
        return True

    def _skip_body(self) -> None:
        """Advance a new parser past the body of the request.

        It gets a body of zero bytes, and its output is dropped, because the
        body has already been sent.
        """
        length = dict(self._request.headers).get(b"content-length", b"0")
        remaining = int(length)
        while remaining > 0:
            size = min(remaining, SKIP_CHUNK_BYTES)
            self._h11.send(h11.Data(data=bytes(size)))
            remaining -= size
        self._h11.send(h11.EndOfMessage())

    def _finish(self) -> None:
        sink, self._sink = self._sink, None
        self._check_done()
        if sink is not None:
            sink.end()

    def _check_done(self) -> None:
        """Return the connection to the pool if the exchange is complete."""
        if self._sink is not None:
            return
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        # Bytes after the response would be taken for the response to the next
        # request.
        if done and not self._h11.trailing_data[0]:
            self._h11.start_next_cycle()
            self.write_began = False
            # The last part of the response may have paused the reading.
            self.resume()
            self._pool.put_back(self)
        else:
            self._close()

    def _fail(self, kind: ErrorKind) -> None:
        sink, self._sink = self._sink, None
        self._close()
        if sink is not None:
            sink.fail(kind)

    def _close(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()
        self._pool.forget(self)
