"""Short HTTP calls over a connection pool that buffer the whole response."""

from __future__ import annotations

from typing import Any, Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from .addresses import Address
from .connectionpool import ConnectionPool
from .errorcodes import ErrorKind
from .headers import Headers
from .httpclient import ResponseHead

# A longer response is an error. A host has up to five calls to the store and
# one to a peer for each table at a time, and bears all of them at this size.
MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024


class _ResponseBuffer:
    """Sink that buffers a response up to `MAX_RESPONSE_BYTES`."""

    __slots__ = ("_body", "_status", "done", "header")

    def __init__(self) -> None:
        self._body = bytearray()
        self._status = 0
        self.header: dict[bytes, bytes] = {}
        self.done: Deferred[Result[tuple[int, bytes], ErrorKind]] = Deferred()

    def head(self, head: ResponseHead) -> None:
        self._status = head.status
        self.header = head.header

    def write(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_RESPONSE_BYTES:
            self.fail(ErrorKind.ANSWER_TRUNCATED)
        elif not self.done.called:
            self._body += data

    def end(self) -> None:
        if not self.done.called:
            self.done.callback(Ok((self._status, bytes(self._body))))

    def fail(self, kind: ErrorKind) -> None:
        if not self.done.called:
            self.done.callback(Err(kind))


async def call(
    pool: ConnectionPool,
    reactor: Any,
    address: Address,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    header: dict[bytes, bytes] | None = None,
) -> Result[tuple[int, bytes], ErrorKind]:
    """Send a request and return the status and body of its response.

    The headers of the response are added to `header`, by lower-case name.
    The errors are CONNECT_FAILED, UPSTREAM_BROKEN, UPSTREAM_TIMEOUT and
    ANSWER_TRUNCATED.
    """
    acquired = await pool.acquire(address)
    if isinstance(acquired, Err):
        return acquired
    conn = acquired.ok_value
    sink = _ResponseBuffer()
    headers: Headers = [(b"Host", str(address).encode())]
    if body:
        headers.append((b"Content-Type", b"application/json"))
        headers.append((b"Content-Length", str(len(body)).encode()))
    timer = reactor.callLater(timeout_s, sink.fail, ErrorKind.UPSTREAM_TIMEOUT)
    conn.send(method, path, headers, body, sink)
    result = await sink.done
    if timer.active():
        timer.cancel()
    if isinstance(result, Err):
        conn.cancel()
    if header is not None:
        header.update(sink.header)
    return result
