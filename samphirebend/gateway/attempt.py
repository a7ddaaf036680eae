"""One attempt to run a request at an upstream.

`attemptrunner` sends it and records its end; `body` supplies the
request's body.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from result import Err
from twisted.internet.defer import Deferred

from ..connectionpool import ConnectionPool
from ..errorcodes import ErrorKind
from ..headers import Headers, end_to_end
from ..httpclient import ClientConnection, ResponseHead
from ..serverrequest import ServerRequest
from .body import RequestBody
from .customers import Identity
from .dialect import Dialect, ResponseInfo
from .upstreams import Upstream

# Responses to idempotent requests are buffered up to this size, so that a
# truncated response can be replaced by that of another attempt.
MAX_BUFFERED_RESPONSE_BYTES: Final = 64 * 1024


@unique
class AttemptEnd(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"  # the upstream's complete response is buffered
    STREAMED = "streamed"  # the complete response was streamed to the caller
    NOT_SENT = "not-sent"  # no connection; nothing reached the upstream
    WITHDRAWN = "withdrawn"  # not sent, since the upstream takes no requests now
    NOT_RUN = "not-run"  # the upstream stated that it did not run the request
    LOST = "lost"  # no complete valid response; the request may have run
    CANCELLED = "cancelled"  # cancelled by this host


class Attempt:
    """Sends a request once and buffers or streams the response."""

    __slots__ = (
        "_body",
        "_buffered_bytes",
        "_conn",
        "_dialect",
        "_may_buffer",
        "_req",
        "_request_id",
        "_streaming",
        "done",
        "end_kind",
        "error",
        "is_paused",
        "may_stream",
        "on_head",
        "on_leaving",
        "response_head",
        "response_info",
        "sent",
        "upstream",
    )

    def __init__(
        self,
        dialect: Dialect,
        req: ServerRequest,
        request_id: str,
        upstream: Upstream,
        may_buffer: bool,
    ) -> None:
        self._dialect = dialect
        self._req = req
        self._request_id = request_id
        # If false, the response is streamed from the start.
        self._may_buffer = may_buffer
        self._conn: ClientConnection | None = None
        # One object, because a response may arrive in parts of a few bytes.
        self._body = bytearray()
        self._buffered_bytes = 0
        self._streaming = False
        self.is_paused = False  # the caller does not read the streamed response
        self.upstream = upstream
        self.sent = False  # whether any part of the request was written
        self.response_head: ResponseHead | None = None
        self.response_info = ResponseInfo()
        self.error: ErrorKind | None = None
        self.end_kind: AttemptEnd | None = None
        # Called with the information from the head of the response.
        self.on_head: Callable[[ResponseInfo], None] = lambda info: None
        # Called when a response, also to an earlier request, says that the
        # upstream leaves.
        self.on_leaving: Callable[[], None] = lambda: None
        # Asked before a response too large to buffer is streamed. If it may not
        # be, the attempt fails.
        self.may_stream: Callable[[], bool] = lambda: True
        self.done: Deferred[AttemptEnd] = Deferred()

    async def connect(self, pool: ConnectionPool, max_idle_s: float) -> bool:
        """Acquire a connection; return whether the request may be sent on it.

        Connections idle for more than `max_idle_s` seconds are not reused.
        """
        entry = self.upstream.entry
        acquired = await pool.acquire(entry.address, entry.upstream_id, max_idle_s)
        if isinstance(acquired, Err):
            self.error = acquired.err_value
            self._finish(AttemptEnd.NOT_SENT)
            return False
        if self.end_kind is not None:  # cancelled while connecting
            acquired.ok_value.put_back()
            return False
        self._conn = acquired.ok_value
        return True

    def send(self, body: RequestBody, time_left_s: float, identity: Identity) -> None:
        """Send the request on the acquired connection."""
        assert self._conn is not None
        self.sent = True
        req = self._req
        headers = self._dialect.upstream_headers(
            req, self.upstream.name, time_left_s, identity
        )
        complete_body = body.complete_body
        if complete_body is not None:
            headers = _with_length(headers, complete_body, req.has_body)
        elif req.content_length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self._conn.send(
            req.method,
            req.target,
            headers,
            complete_body,
            self,
            accepts=self._accepts,
            unframed_allowed=True,
        )
        if complete_body is None:
            body.stream_to(self._conn)

    def withdraw(self) -> None:
        """End the attempt unsent, and keep its connection."""
        assert self._conn is not None
        self._conn.put_back()
        self._finish(AttemptEnd.WITHDRAWN)

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""
        if self.end_kind is None:
            if self._conn is not None:
                self._conn.cancel()
            self._finish(AttemptEnd.CANCELLED)

    def abandon(self) -> None:
        """End the attempt without a response and close its connection."""
        if self.end_kind is None:
            if self._conn is not None:
                self._conn.cancel()
            self.fail(ErrorKind.UPSTREAM_TIMEOUT)

    def break_off(self) -> None:
        """End the attempt at the deadline, with a response that is incomplete.

        The upstream is not to blame if the caller does not read the response.
        """
        if self.is_paused:
            self._req.abort()
            self.cancel()
        else:
            self.abandon()

    @property
    def body(self) -> bytes:
        """Return the body of a buffered response."""
        return bytes(self._body)

    @property
    def streaming(self) -> bool:
        """Return whether the response is being streamed to the caller."""
        return self._streaming

    @property
    def reused_connection(self) -> bool:
        """Return whether the connection was used for an earlier request."""
        return self._conn is not None and self._conn.exchange_count > 1

    @property
    def idle_s(self) -> float:
        """Return how long the connection was idle before this attempt."""
        return self._conn.idle_before_s if self._conn is not None else 0.0

    def _accepts(self, head: ResponseHead) -> bool:
        response_info = self._dialect.read_response(head, self._request_id)
        if response_info.leaving:
            self.on_leaving()
        if response_info.names_request or response_info.from_upstream:
            return response_info.matches_request
        # Without an id it is not from the upstream itself, or a refusal that
        # `_states_not_run` judges.
        return True

    # Callbacks of the connection, which delivers the response.

    def head(self, head: ResponseHead) -> None:
        """Receive the head of the response."""
        self.response_head = head
        self.response_info = self._dialect.read_response(head, self._request_id)
        self.on_head(self.response_info)
        conn = self._conn
        if conn is not None and self.response_info.keep_alive_s is not None:
            conn.keep_idle_s = max(0.0, self.response_info.keep_alive_s - 1.0)
        if not self._may_buffer and is_acceptable(head, self.response_info):
            self._begin_stream()

    def write(self, data: bytes) -> None:
        """Receive a part of the response's body."""
        if self._streaming:
            self._req.write(data)
            return
        self._buffered_bytes += len(data)
        is_too_long = self._buffered_bytes > MAX_BUFFERED_RESPONSE_BYTES
        if not self._is_good():
            # The body is not used, and may have no end.
            if is_too_long:
                self._reject()
            return
        self._body += data
        if is_too_long:
            if self.may_stream():
                self._begin_stream()
            else:
                self._reject()

    def _reject(self) -> None:
        """Fail the attempt because of its response, and stop reading that."""
        if self._conn is not None:
            self._conn.cancel()
            self.fail(ErrorKind.WRONG_ANSWER)

    def end(self) -> None:
        """Receive the end of the response."""
        if self._streaming:
            self._req.finish()
            self._finish(AttemptEnd.STREAMED)
        elif self._states_not_run():
            self._finish(AttemptEnd.NOT_RUN)
        elif self._is_good():
            self._finish(AttemptEnd.ANSWERED)
        else:
            self.error = ErrorKind.WRONG_ANSWER
            self._finish(AttemptEnd.LOST)

    def fail(self, kind: ErrorKind) -> None:
        """Handle a failure before the end of the response."""
        self.error = kind
        if self._streaming:
            self._req.abort()
        self._finish(AttemptEnd.LOST)

    def _states_not_run(self) -> bool:
        """Return whether the response states that this request did not run.

        Without an id, it may repeat the refusal of an earlier request on the
        same connection.
        """
        info = self.response_info
        is_own = info.matches_request or not self.reused_connection
        return info.not_run and is_own

    def _is_good(self) -> bool:
        head = self.response_head
        return head is not None and is_acceptable(head, self.response_info)

    def _begin_stream(self) -> None:
        head = self.response_head
        assert head is not None
        self._streaming = True
        self._req.on_pause = self._pause
        self._req.on_resume = self._resume
        self._req.start(head.status, end_to_end(head.headers))
        if self._body:
            self._req.write(bytes(self._body))
            self._body.clear()

    def _pause(self) -> None:
        self.is_paused = True
        if self._conn is not None:
            self._conn.pause()

    def _resume(self) -> None:
        self.is_paused = False
        if self._conn is not None:
            self._conn.resume()

    def _finish(self, kind: AttemptEnd) -> None:
        if self.end_kind is None:
            self.end_kind = kind
            self.done.callback(kind)


def is_acceptable(head: ResponseHead, response_info: ResponseInfo) -> bool:
    """Return whether the upstream ran the request and the response is its own.

    A Content-Encoding header means that it was modified on the way.
    """
    if response_info.not_run:
        return False
    return response_info.from_upstream and b"content-encoding" not in head.header


def _with_length(headers: Headers, body: bytes, has_body: bool) -> Headers:
    kept = [header for header in headers if header[0] != b"content-length"]
    if has_body or body:
        kept.append((b"Content-Length", str(len(body)).encode()))
    return kept
