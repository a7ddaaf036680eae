"""Body of a caller's request: buffered if small, else streamed.

`forward` creates it and `attempt` sends it to an upstream.
"""

from __future__ import annotations

from typing import Final

from twisted.internet.defer import Deferred

from ..errorcodes import ErrorKind
from ..httpclient import ClientConnection
from ..serverrequest import ServerRequest

# Bodies up to this size are buffered, so that a retry can send them again.
MAX_BUFFERED_BODY_BYTES: Final = 1024 * 1024


class RequestBody:
    """Receives a request's body and sends it to an upstream."""

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
        self.max_bytes = 0  # 0: no limit
        self._parts: list[bytes] = []
        self._size = 0
        self._conn: ClientConnection | None = None
        self.ended = False
        self.failure: ErrorKind | None = None
        # Fires when the body is complete, too large to buffer, or failed.
        self.ready: Deferred[None] = Deferred()

    @property
    def complete_body(self) -> bytes | None:
        """Return the complete body, or None if it has to be streamed."""
        return b"".join(self._parts) if self.ended and self._conn is None else None

    def write(self, data: bytes) -> None:
        """Receive a part of the body from the caller."""
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
        """Receive the end of the body from the caller."""
        self.ended = True
        if self._conn is not None:
            self._conn.unregister_producer()
            self._conn.end_body()
        self._signal_ready()

    def fail(self, kind: ErrorKind) -> None:
        """Handle a failure of the caller's connection in mid-body."""
        self.failure = kind
        if self._conn is not None:
            self._conn.cancel()
        self._signal_ready()

    def _reject_too_large(self) -> None:
        """Fail a body of unannounced length that exceeds the limit."""
        if self._conn is not None:
            self._req.abort()  # an upstream already has a part of the body
            return
        self._req.pause_body()
        self.failure = ErrorKind.BODY_TOO_LARGE
        self._signal_ready()

    def stream_to(self, conn: ClientConnection) -> None:
        """Send the buffered part over a connection and stream the rest."""
        self._conn = conn
        buffered, self._parts = self._parts, []
        for part in buffered:
            conn.write_body(part)
        if self.ended:
            conn.end_body()
        else:
            conn.register_producer(self)
            self._req.resume_body()

    @property
    def streamed(self) -> bool:
        """Return whether the body was streamed and cannot be sent again."""
        return self._conn is not None

    # Twisted push producer interface, for flow control of the upload.

    def pauseProducing(self) -> None:
        self._req.pause_body()

    def resumeProducing(self) -> None:
        self._req.resume_body()

    def stopProducing(self) -> None:
        """Do nothing: the loss of the connection fails the exchange anyway."""

    def _signal_ready(self) -> None:
        if not self.ready.called:
            self.ready.callback(None)
