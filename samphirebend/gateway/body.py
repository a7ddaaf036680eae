"""Body of a caller's request: buffered if small, else streamed.

`forward` creates it and `attempt` sends it to an upstream.
"""

from __future__ import annotations

from typing import Final

from twisted.internet.defer import Deferred

from ..errorcodes import ErrorKind
from ..httpclient import ClientConnection
from ..serverrequest import ServerRequest
from .bytebudget import ByteBudget

# Bodies up to this size are buffered, so that a retry can send them again.
MAX_BUFFERED_BODY_BYTES: Final = 1024 * 1024


class RequestBody:
    """Receives a request's body and sends it to an upstream."""

    __slots__ = (
        "_budget",
        "_buffer",
        "_conn",
        "_held",
        "_req",
        "_size",
        "ended",
        "failure",
        "max_bytes",
        "ready",
    )

    def __init__(self, req: ServerRequest, budget: ByteBudget) -> None:
        self._req = req
        self._budget = budget
        self._held = 0  # bytes taken from the budget
        self.max_bytes = 0  # 0: no limit
        # One object, because a body may arrive in parts of a few bytes, and
        # each object takes dozens.
        self._buffer = bytearray()
        self._size = 0
        self._conn: ClientConnection | None = None
        self.ended = False
        self.failure: ErrorKind | None = None
        # Fires when the body is complete, too large to buffer, or failed.
        self.ready: Deferred[None] = Deferred()

    @property
    def complete_body(self) -> bytes | None:
        """Return the complete body, or None if it has to be streamed."""
        return bytes(self._buffer) if self.ended and self._conn is None else None

    def write(self, data: bytes) -> None:
        """Receive a part of the body from the caller."""
        self._size += len(data)
        if self.max_bytes and self._size > self.max_bytes:
            self._reject_too_large()
            return
        if self._conn is not None:
            self._conn.write_body(data)
            return
        if self.failure is not None:
            return
        if not self._budget.take(len(data)):
            self._reject(ErrorKind.HOST_FULL)
            return
        self._held += len(data)
        self._buffer += data
        if self._size > MAX_BUFFERED_BODY_BYTES:
            self._req.pause_body()
            self._signal_ready()

    def end(self) -> None:
        """Receive the end of the body from the caller."""
        if self.failure is not None:
            return
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
            # An upstream already has a part of the body, which must not end.
            self.failure = ErrorKind.BODY_TOO_LARGE
            self._req.abort()
            return
        self._reject(ErrorKind.BODY_TOO_LARGE)

    def _reject(self, kind: ErrorKind) -> None:
        self._req.pause_body()
        self.failure = kind
        self.release()
        self._signal_ready()

    def release(self) -> None:
        """Free the memory of the body, which is not sent again."""
        self._budget.give_back(self._held)
        self._held = 0
        self._buffer.clear()

    def stream_to(self, conn: ClientConnection) -> None:
        """Send the buffered part over a connection and stream the rest."""
        self._conn = conn
        buffered = bytes(self._buffer)
        self._buffer.clear()
        if buffered:
            conn.write_body(buffered)
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
