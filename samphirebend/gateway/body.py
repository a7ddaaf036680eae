"""Body of a caller's request: held whole if it is small, else streamed."""

from __future__ import annotations

from typing import Final

from twisted.internet.defer import Deferred

from ..errorcodes import ErrorKind
from ..httpclient import ClientConnection
from ..serverrequest import ServerRequest

# Bodies up to this size are held, so that they can be sent to another upstream.
MAX_BUFFERED_BODY_BYTES: Final = 1024 * 1024


class RequestBody:
    """Sink of a request's body."""

    __slots__ = (
        "_conn",
        "_parts",
        "_req",
        "_size",
        "ended",
        "failure",
        "max_bytes",
        "ready",
    )

    def __init__(self, req: ServerRequest) -> None:
        self._req = req
        self.max_bytes = 0  # bound of the body; 0: none
        self._parts: list[bytes] = []
        self._size = 0
        self._conn: ClientConnection | None = None
        self.ended = False
        self.failure: ErrorKind | None = None
        # Fires when the body is whole, too large to hold, or broken.
        self.ready: Deferred[None] = Deferred()

    @property
    def complete_body(self) -> bytes | None:
        """Return the whole body, or None if it has to be streamed."""
        return b"".join(self._parts) if self.ended and self._conn is None else None

    def write(self, data: bytes) -> None:
        """Take a part from the caller."""
        self._size += len(data)
        if self.max_bytes and self._size > self.max_bytes:
            self._reject_too_large()
            return
        if self._conn is not None:
            self._conn.write_body(data)
            return
        self._parts.append(data)
        if self._size > MAX_BUFFERED_BODY_BYTES:
            self._req.pause_body()
            self._signal_ready()

    def end(self) -> None:
        """Take the end from the caller."""
        self.ended = True
        if self._conn is not None:
            self._conn.unregister_producer()
            self._conn.end_body()
        self._signal_ready()

    def fail(self, kind: ErrorKind) -> None:
        """Take the end of a caller's connection in mid-body."""
        self.failure = kind
        if self._conn is not None:
            self._conn.cancel()
        self._signal_ready()

    def _reject_too_large(self) -> None:
        """End a body without an announced length that exceeds the bound."""
        if self._conn is not None:
            self._req.abort()  # a part of it is at an upstream already
            return
        self._req.pause_body()
        self.failure = ErrorKind.BODY_TOO_LARGE
        self._signal_ready()

    def stream_to(self, conn: ClientConnection) -> None:
        """Send what is held and what follows over a connection."""
        self._conn = conn
        held, self._parts = self._parts, []
        for part in held:
            conn.write_body(part)
        if self.ended:
            conn.end_body()
        else:
            conn.register_producer(self)
            self._req.resume_body()

    @property
    def streamed(self) -> bool:
        """Tell whether the body was given away and cannot be sent again."""
        return self._conn is not None

    # Interface of a Twisted push producer, for flow control of the upload.

    def pauseProducing(self) -> None:
        self._req.pause_body()

    def resumeProducing(self) -> None:
        self._req.resume_body()

    def stopProducing(self) -> None:
        """Do nothing: the end of the connection ends the exchange."""

    def _signal_ready(self) -> None:
        if not self.ready.called:
            self.ready.callback(None)
