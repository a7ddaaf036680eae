"""A request that this host received, with its body and its response.

`serverconnection` makes these objects from the parsed messages. Handlers read the
body and respond through them, without access to the connection.
"""

from __future__ import annotations

import fcntl
import termios
from array import array
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final, Protocol as TypingProtocol

import h11
from twisted.internet.abstract import FileDescriptor
from twisted.internet.defer import Deferred

from .errorcodes import ErrorKind
from .headers import Headers

if TYPE_CHECKING:
    from .serverconnection import HttpServerProtocol

BODILESS_STATUSES: Final = frozenset((204, 304))


def write_now(transport: Any, data: bytes) -> None:
    """Write a complete message and send it before other events are handled.

    Otherwise Twisted would send it only after handling all readable sockets,
    so that each message would wait until later requests were processed.
    """
    transport.write(data)
    if (
        isinstance(transport, FileDescriptor)
        and transport.connected
        and not transport.disconnecting
    ):
        # After an error or a partial write, the descriptor stays registered
        # for writing, and the event loop closes it or sends the rest.
        transport.doWrite()


def unsent_bytes(transport: Any) -> int:
    """Return how many written bytes the kernel has not taken from a transport."""
    if not isinstance(transport, FileDescriptor):
        return 0
    # Twisted has no public name for the size of its second buffer.
    in_buffer = len(transport.dataBuffer) - transport.offset
    return int(in_buffer + transport._tempDataLen)


def unacknowledged_bytes(transport: Any) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged.

    The socket of the transport must be open.
    """
    if not isinstance(transport, FileDescriptor):
        return 0
    in_kernel = array("i", [0])
    try:
        fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, in_kernel)
    except OSError:
        # Not every kernel tells; then only what was not written counts.
        return unsent_bytes(transport)
    return unsent_bytes(transport) + in_kernel[0]


class BodySink(TypingProtocol):
    """Receives a body in parts."""

    def write(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def fail(self, kind: ErrorKind) -> None: ...


class ServerRequest:
    """A request of a caller or of another host's relay, and its response."""

    __slots__ = (
        "_conn",
        "_paused",
        "_sink",
        "answered",
        "closed",
        "content_length",
        "finished",
        "fully_received",
        "h11",
        "handler_started",
        "header",
        "headers",
        "is_broken",
        "method",
        "on_closed",
        "on_pause",
        "on_resume",
        "peer_ip",
        "pending_output",
        "received_at",
        "streaming",
        "target",
    )

    def __init__(
        self, conn: HttpServerProtocol, parser: h11.Connection, event: h11.Request
    ) -> None:
        self._conn = conn
        self._sink: BodySink | None = None
        self._paused = False  # the sink has paused the delivery of the body
        self.h11 = parser  # HTTP state of this request and its response
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")  # path with query
        self.headers: Headers = [(name, value) for name, value in event.headers]
        self.header: dict[bytes, bytes] = dict(self.headers)  # keyed by name
        self.peer_ip = conn.peer_ip
        length = self.header.get(b"content-length")
        self.content_length: int | None = int(length) if length else None
        # When the head arrived, by the clock of the server, if it has one. The
        # handler may start later, after earlier requests of the connection.
        self.received_at: float | None = None
        self.handler_started = False
        self.fully_received = False  # the body was received to its end
        self.answered = False  # the response was started
        self.streaming = False  # the body of the response is sent in parts
        self.finished = False  # the response was written or queued to its end
        # The connection ends in place of the response, which is incomplete.
        self.is_broken = False
        self.closed = False  # the connection was lost or its output closed
        # Bytes of the response that wait for the responses to earlier
        # requests.
        self.pending_output = bytearray()
        # Called when the connection is lost.
        self.on_closed: Callable[[], None] | None = None
        # Called for flow control of the response.
        self.on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None

    def header_text(self, name: bytes) -> str | None:
        """Return the value of a header, or None; the name is in lower case."""
        value = self.header.get(name)
        return None if value is None else value.decode("latin-1")

    @property
    def has_body(self) -> bool:
        """Return whether the headers announce a body."""
        return bool(self.content_length) or b"transfer-encoding" in self.header

    def receive_body(self, sink: BodySink) -> None:
        """Start to deliver the body to a sink."""
        self._sink = sink
        if self.closed and not self.fully_received:
            sink.fail(ErrorKind.CALLER_GONE)
        elif self.fully_received:
            sink.end()
        else:
            self._conn.parse_available()

    def read_all(
        self,
        max_bytes: int,
        pace: Callable[[BodySink], BodySink] | None = None,
    ) -> Deferred[bytes | ErrorKind]:
        """Buffer the body; the result is BODY_TOO_LARGE beyond the limit.

        `pace` wraps the buffering sink in one that limits the rate.
        """
        buffer = _BodyBuffer(max_bytes)
        self.receive_body(pace(buffer) if pace is not None else buffer)
        return buffer.result

    def pause_body(self) -> None:
        """Pause the delivery to the sink."""
        self._paused = True

    def resume_body(self) -> None:
        """Resume the delivery to the sink."""
        if self._paused:
            self._paused = False
            self._conn.parse_available()

    @property
    def upload_blocked(self) -> bool:
        """Return whether parsing the body must wait for its sink."""
        return not self.fully_received and (self._sink is None or self._paused)

    def deliver_body(self, data: bytes) -> None:
        """Pass body bytes to the sink."""
        if self._sink is not None:
            self._sink.write(data)

    def finish_body(self) -> None:
        """Record the end of the body and end the sink."""
        self.fully_received = True
        if self._sink is not None:
            self._sink.end()

    def mark_closed(self) -> None:
        """Record that the connection was lost and fail an incomplete body."""
        self.closed = True
        if not self.fully_received and self._sink is not None:
            self._sink.fail(ErrorKind.CALLER_GONE)
        if self.on_closed is not None:
            self.on_closed()

    def respond(
        self, status: int, headers: Headers, body: bytes, length: bytes | None = None
    ) -> None:
        """Send a complete response.

        `length` replaces the Content-Length of the body, because a response to
        HEAD states the length of a body that is not sent.
        """
        if self.closed:
            return
        self.answered = True
        if status not in BODILESS_STATUSES:
            length = length or str(len(body)).encode()
            headers = [*headers, (b"Content-Length", length)]
        self._conn.send_whole(self, status, headers, body)

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows by `write`."""
        if self.closed:
            return
        self.answered = True
        self.streaming = True
        self._conn.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body of the response."""
        if not self.closed:
            self._conn.send_data(self, data)

    def finish(self) -> None:
        """End a response that was begun with `start`."""
        if not self.closed:
            self._conn.end_response(self)

    def abort(self) -> None:
        """End the connection here; a partial response must not look complete."""
        if not self.closed:
            self._conn.break_off(self)

    # Interface of a Twisted push producer, for flow control of the response.

    def pauseProducing(self) -> None:
        if self.on_pause is not None:
            self.on_pause()

    def resumeProducing(self) -> None:
        if self.on_resume is not None:
            self.on_resume()

    def stopProducing(self) -> None:
        """Do nothing: `mark_closed` handles the end of the connection."""


class _BodyBuffer:
    """Sink that buffers a body up to a limit."""

    __slots__ = ("_buffer", "_max_bytes", "_size", "result")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._size = 0
        self.result: Deferred[bytes | ErrorKind] = Deferred()

    def write(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._max_bytes:
            self._buffer += data
        elif not self.result.called:
            self._buffer.clear()
            self.result.callback(ErrorKind.BODY_TOO_LARGE)

    def end(self) -> None:
        if not self.result.called:
            self.result.callback(bytes(self._buffer))

    def fail(self, kind: ErrorKind) -> None:
        if not self.result.called:
            self.result.callback(kind)
