"""One request of a caller at this host: its body, and the means to answer it.

`httpserver` makes these objects from what it parses; handlers use them and know
nothing of connections.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final, Protocol as TypingProtocol

import h11
from twisted.internet.abstract import FileDescriptor
from twisted.internet.defer import Deferred

from .errorcodes import ErrorKind
from .headers import Headers

if TYPE_CHECKING:
    from .httpserver import HttpServerProtocol

BODILESS_STATUSES: Final = frozenset((204, 304))


def write_now(transport: Any, data: bytes) -> None:
    """Write a whole message and send it before other events are handled.

    Twisted sends what is written after it has handled all sockets that were
    readable, so each message would wait for the work of the requests behind it.
    """
    transport.write(data)
    if (
        isinstance(transport, FileDescriptor)
        and transport.connected
        and not transport.disconnecting
    ):
        # After an error or a part only, the descriptor stays registered for
        # writing, and the event loop closes it or sends the rest.
        transport.doWrite()


class BodySink(TypingProtocol):
    """Receives a body in parts."""

    def write(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def fail(self, kind: ErrorKind) -> None: ...


class ServerRequest:
    """One request of a caller, and the means to answer it."""

    __slots__ = (
        "_conn",
        "_paused",
        "_sink",
        "body_complete",
        "closed",
        "content_length",
        "h11",
        "handler_started",
        "header",
        "headers",
        "method",
        "on_closed",
        "on_pause",
        "on_resume",
        "peer_ip",
        "pending_output",
        "response_complete",
        "response_started",
        "streaming",
        "target",
    )

    def __init__(
        self, conn: HttpServerProtocol, parser: h11.Connection, event: h11.Request
    ) -> None:
        self._conn = conn
        self._sink: BodySink | None = None
        self._paused = False  # the sink asked to stop the flow
        self.h11 = parser  # state of this request and its answer
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")  # path with query
        self.headers: Headers = [(name, value) for name, value in event.headers]
        self.header: dict[bytes, bytes] = dict(self.headers)
        self.peer_ip = conn.peer_ip
        length = self.header.get(b"content-length")
        self.content_length: int | None = int(length) if length else None
        self.handler_started = False  # the handler was called
        self.body_complete = False  # the whole body was received
        self.response_started = False  # an answer was begun
        self.streaming = False  # the answer's body follows in parts
        self.response_complete = False  # the whole answer was handed over
        self.closed = False  # the caller's connection is gone
        # Bytes of the answer that wait for the answers of earlier requests.
        self.pending_output: list[bytes] = []
        self.on_closed: Callable[[], None] | None = None
        self.on_pause: Callable[[], None] | None = None  # answer's flow control
        self.on_resume: Callable[[], None] | None = None

    def header_text(self, name: bytes) -> str | None:
        """Return a header's value by its lower-case name, or None."""
        value = self.header.get(name)
        return None if value is None else value.decode("latin-1")

    @property
    def has_body(self) -> bool:
        """Tell whether the request announces a body."""
        return bool(self.content_length) or b"transfer-encoding" in self.header

    def receive_body(self, sink: BodySink) -> None:
        """Deliver the body to a sink, from its first byte on."""
        self._sink = sink
        if self.closed and not self.body_complete:
            sink.fail(ErrorKind.CALLER_GONE)
        elif self.body_complete:
            sink.end()
        else:
            self._conn.parse_available()

    def read_all(
        self,
        max_bytes: int,
        pace: Callable[[BodySink], BodySink] | None = None,
    ) -> Deferred[bytes | ErrorKind]:
        """Collect the body; the result is BODY_TOO_LARGE beyond the limit.

        `pace` puts a sink that slows the body down before the one that
        collects it.
        """
        collector = _Collector(max_bytes)
        self.receive_body(pace(collector) if pace is not None else collector)
        return collector.result

    def pause_body(self) -> None:
        """Stop delivery to the sink."""
        self._paused = True

    def resume_body(self) -> None:
        """Continue delivery to the sink."""
        if self._paused:
            self._paused = False
            self._conn.parse_available()

    @property
    def body_blocked(self) -> bool:
        """Tell whether body bytes must wait before they are parsed."""
        return not self.body_complete and (self._sink is None or self._paused)

    def deliver_body(self, data: bytes) -> None:
        """Pass body bytes to the sink."""
        if self._sink is not None:
            self._sink.write(data)

    def finish_body(self) -> None:
        """Note the end of the body and tell the sink."""
        self.body_complete = True
        if self._sink is not None:
            self._sink.end()

    def mark_closed(self) -> None:
        """Note that the caller's connection is gone."""
        self.closed = True
        if not self.body_complete and self._sink is not None:
            self._sink.fail(ErrorKind.CALLER_GONE)
        if self.on_closed is not None:
            self.on_closed()

    def respond(
        self, status: int, headers: Headers, body: bytes, length: bytes | None = None
    ) -> None:
        """Send a whole answer; `length` replaces the body's, for HEAD."""
        if self.closed:
            return
        self.response_started = True
        if status not in BODILESS_STATUSES:
            length = length or str(len(body)).encode()
            headers = [*headers, (b"Content-Length", length)]
        self._conn.send_whole(self, status, headers, body)

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows by `write`."""
        if self.closed:
            return
        self.response_started = True
        self.streaming = True
        self._conn.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if not self.closed:
            self._conn.send_data(self, data)

    def finish(self) -> None:
        """End an answer begun with `start`."""
        if not self.closed:
            self._conn.end_response(self)

    def abort(self) -> None:
        """Break the connection, so that a partial answer cannot look whole."""
        if not self.closed:
            self._conn.abort()

    # Interface of a Twisted push producer, for flow control of the answer.

    def pauseProducing(self) -> None:
        if self.on_pause is not None:
            self.on_pause()

    def resumeProducing(self) -> None:
        if self.on_resume is not None:
            self.on_resume()

    def stopProducing(self) -> None:
        """Do nothing: `mark_closed` handles the end of the connection."""


class _Collector:
    """Sink that keeps a body up to a limit in memory."""

    __slots__ = ("_max_bytes", "_parts", "_size", "result")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self.result: Deferred[bytes | ErrorKind] = Deferred()

    def write(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._max_bytes:
            self._parts.append(data)
        elif not self.result.called:
            self._parts.clear()
            self.result.callback(ErrorKind.BODY_TOO_LARGE)

    def end(self) -> None:
        if not self.result.called:
            self.result.callback(b"".join(self._parts))

    def fail(self, kind: ErrorKind) -> None:
        if not self.result.called:
            self.result.callback(kind)
