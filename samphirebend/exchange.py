"""Streams, buffers and checks the messages of an exchange.

An exchange is a request to an upstream or to another host's relay, and its
response. A large upload is streamed from the caller to the client connection.
A response is buffered or streamed to the caller, unless it states the id of
another request; at its end, the body is checked against its digest. `dispatch`
chooses the upstream or host and handles failures.
"""

from __future__ import annotations

import base64
import hashlib
import math
from collections.abc import Callable
from typing import Any, Final, Protocol

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from .errorcodes import ErrorKind
from .headers import Headers
from .httpclient import ClientConnection, ResponseHead
from .ledger import BufferedResponse
from .serverrequest import BodySink, ServerRequest

# Responses up to this size are buffered and checked before the caller gets a
# byte of them.
MAX_BUFFERED_RESPONSE_BYTES: Final = 256 * 1024
# Assumed size of the head of a message, for link budgets.
ESTIMATED_HEAD_BYTES: Final = 512
# Interval at which a host without a share of a link checks whether it has one.
NO_SHARE_RECHECK_S: Final = 0.1
# Pieces are not made smaller on very slow links, because the head of a message
# alone takes this much.
MIN_PIECE_BYTES: Final = 512


class Pacer(Protocol):
    """Reserves bytes of this host's share of a link budget."""

    def __call__(self, size: int) -> float:
        """Reserve bytes; return the wait in seconds, inf without a share."""
        ...

    def piece_bytes(self) -> int:
        """Return the most bytes to reserve at once within the link's limit."""
        ...


class CombinedPacer:
    """Reserves bytes on two links, into the region and out of it."""

    __slots__ = ("_first", "_second")

    def __init__(self, first: Pacer, second: Pacer) -> None:
        self._first = first
        self._second = second

    def __call__(self, size: int) -> float:
        """Reserve on both links; on neither without a share of the first."""
        waits = [self._first(size)]
        if not math.isinf(waits[0]):
            waits.append(self._second(size))
        return max(waits)

    def piece_bytes(self) -> int:
        """Return the lower of the two limits in bytes."""
        return min(self._first.piece_bytes(), self._second.piece_bytes())


def combine_pacers(first: Pacer | None, second: Pacer | None) -> Pacer | None:
    """Return a pacer for bytes that pass both links; None means no limit."""
    if first is None or second is None:
        return first or second
    return CombinedPacer(first, second)


def split_pieces(data: bytes, pacer: Pacer | None) -> list[bytes]:
    """Split data into pieces that the pacer can reserve at once.

    >>> split_pieces(b"abc", None)
    [b'abc']
    """
    if pacer is None:
        return [data] if data else []
    size = max(MIN_PIECE_BYTES, pacer.piece_bytes())
    return [data[at : at + size] for at in range(0, len(data), size)]


class StreamedResponse:
    """A response that was streamed to the caller as it arrived."""

    __slots__ = ("status",)

    def __init__(self, status: int) -> None:
        self.status = status


ExchangeResult = Result[BufferedResponse | StreamedResponse, ErrorKind]


class DigestCheck:
    """Checks a body against its sha-256 Content-Digest (RFC 9530)."""

    __slots__ = ("_expected", "_hash")

    def __init__(self, header: bytes | None) -> None:
        self._expected: bytes | None = None
        self._hash = hashlib.sha256()
        for member in (header or b"").split(b","):
            name, _, value = member.strip().partition(b"=:")
            if name == b"sha-256" and value.endswith(b":"):
                self._expected = value[:-1]

    def update(self, data: bytes) -> None:
        """Add a part of the body to the digest."""
        if self._expected is not None:
            self._hash.update(data)

    def matches(self) -> bool:
        """Return whether the body matches the digest, or there is none."""
        if self._expected is None:
            return True
        return base64.b64encode(self._hash.digest()) == self._expected


class FlowControl:
    """Pauses a source of data for as long as any reason for it remains."""

    __slots__ = ("_pause", "_reasons", "_resume")

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self._pause = pause
        self._resume = resume
        self._reasons: set[str] = set()

    def pause(self, reason: str) -> None:
        """Add a reason; the first one pauses the source of the data."""
        if not self._reasons:
            self._pause()
        self._reasons.add(reason)

    def resume(self, reason: str) -> None:
        """Remove a reason; the source resumes when none is left."""
        if reason in self._reasons:
            self._reasons.remove(reason)
            if not self._reasons:
                self._resume()


class PacedWriter:
    """Writes data no faster than a pacer allows."""

    __slots__ = ("_call_later", "_delayed", "_pacer", "_write", "flow_control")

    def __init__(
        self,
        write: Callable[[bytes], None],
        flow_control: FlowControl,
        pacer: Pacer | None,
        call_later: Callable[..., Any],
    ) -> None:
        self._write = write
        self.flow_control = flow_control  # pauses the source of the data
        self._pacer = pacer
        self._call_later = call_later
        # Data to write and actions of `after_writes`, in order.
        self._delayed: list[bytes | Callable[[], None]] = []

    def write(self, data: bytes) -> None:
        """Write the data, or delay it and pause its source."""
        if self._delayed:
            self._delayed.append(data)
            return
        pieces = split_pieces(data, self._pacer)
        for index, piece in enumerate(pieces):
            wait_s = self._pacer(len(piece)) if self._pacer is not None else 0.0
            if wait_s > 0:
                self._delay(pieces[index:], wait_s)
                return
            self._write(piece)

    def _delay(self, pieces: list[bytes], wait_s: float) -> None:
        """Delay pieces; with a finite wait, the first is already reserved."""
        self._delayed.extend(pieces)
        self.flow_control.pause("pace")
        if math.isinf(wait_s):
            # The host has no share of the link, so the reservation failed and
            # is repeated.
            self._call_later(NO_SHARE_RECHECK_S, self._write_again)
        else:
            self._call_later(wait_s, self._flush)

    def after_writes(self, action: Callable[[], None]) -> None:
        """Run the action after all delayed data is written."""
        if self._delayed:
            self._delayed.append(action)
        else:
            action()

    def _flush(self) -> None:
        first = self._delayed.pop(0)
        if isinstance(first, bytes):
            self._write(first)
        self._write_again()

    def _write_again(self) -> None:
        delayed, self._delayed = self._delayed, []
        for data_or_action in delayed:
            if isinstance(data_or_action, bytes):
                self.write(data_or_action)
            else:
                self.after_writes(data_or_action)
        if not self._delayed:
            self.flow_control.resume("pace")


def respond_paced(
    req: ServerRequest,
    response: BufferedResponse,
    headers: Headers,
    pacer: Pacer,
    reactor: Any,
    on_end: Callable[[None], None],
) -> None:
    """Send a buffered response at the pacer's rate, then call `on_end`."""

    def start(_head: bytes) -> None:
        length = (b"Content-Length", str(len(response.body)).encode())
        req.start(response.status, [*headers, length])

    def finish() -> None:
        req.finish()
        on_end(None)

    flow_control = FlowControl(lambda: None, lambda: None)
    head_writer = PacedWriter(start, flow_control, pacer, reactor.callLater)
    body_writer = PacedWriter(req.write, flow_control, pacer, reactor.callLater)

    def send_body() -> None:
        if req.method != "HEAD":
            body_writer.write(response.body)
        body_writer.after_writes(finish)

    # The head writer reserves the head's share of the link with a placeholder
    # of its assumed size.
    head_writer.write(bytes(ESTIMATED_HEAD_BYTES))
    head_writer.after_writes(send_body)


def states_refusal(status: int, headers: Headers) -> bool:
    """Return whether a response states that the upstream did not run a request."""
    return status == 503 and (b"request-not-run", b"1") in headers


class ResponseReceiver:
    """Buffers and checks a response; streams a large one to the caller."""

    __slots__ = (
        "_conn",
        "_digest",
        "_expected_id",
        "_held_back",
        "_make_headers",
        "_parts",
        "_req",
        "_size",
        "_streaming",
        "_writer",
        "received_head",
        "result",
    )

    def __init__(
        self,
        conn: ClientConnection,
        request_id: str,
        req: ServerRequest,
        make_headers: Callable[[ResponseHead], Headers],
        writer: PacedWriter,
    ) -> None:
        self._conn = conn
        self._expected_id = request_id.encode("latin-1")
        self._req = req  # the caller's request
        # Makes the headers of a streamed response.
        self._make_headers = make_headers
        self._writer = writer  # writes a streamed body to the caller
        self._parts: list[bytes] = []  # parts of a buffered body
        self._size = 0  # bytes in `_parts`
        self._streaming = False
        # The newest part of a streamed body. It is sent when the next part
        # arrives or after the digest was checked, so that a response with a
        # wrong digest stays incomplete.
        self._held_back = b""
        self._digest = DigestCheck(None)
        self.received_head: ResponseHead | None = None
        self.result: Deferred[ExchangeResult] = Deferred()

    @property
    def streaming(self) -> bool:
        """Return whether streaming of the response to the caller has begun."""
        return self._streaming

    def head(self, head: ResponseHead) -> None:
        """Accept the head; fail if it may belong to another request.

        A refusal without an id may repeat an earlier one on this connection.
        """
        echoed = head.header.get(b"request-id")
        if echoed is None:
            reused = self._conn.exchange_count > 1
            is_foreign = reused and states_refusal(head.status, head.headers)
        else:
            is_foreign = echoed != self._expected_id
        if is_foreign:
            self._conn.cancel()
            self.fail(ErrorKind.WRONG_ANSWER)
            return
        self.received_head = head
        self._digest = DigestCheck(head.header.get(b"content-digest"))

    def write(self, data: bytes) -> None:
        """Buffer or stream a part of the body."""
        self._digest.update(data)
        if self._streaming:
            self._stream(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_BUFFERED_RESPONSE_BYTES:
            self._start_streaming(self._req)

    def end(self) -> None:
        """Finish the response; a wrong digest counts as truncation."""
        if self.result.called or self.received_head is None:
            return
        if not self._digest.matches():
            self.fail(ErrorKind.ANSWER_TRUNCATED)
            return
        head = self.received_head
        if not self._streaming:
            response = BufferedResponse(
                head.status, head.headers, b"".join(self._parts)
            )
            self.result.callback(Ok(response))
            return
        self._writer.write(self._held_back)
        self._writer.after_writes(lambda: self._finish_stream(head.status))

    def fail(self, kind: ErrorKind) -> None:
        """End the exchange with an error; abort a streamed response."""
        if self.result.called:
            return
        if self._streaming:
            self._req.abort()
        self.result.callback(Err(kind))

    def _start_streaming(self, req: ServerRequest) -> None:
        """Send the head and the buffered parts to the caller."""
        assert self.received_head is not None
        self._streaming = True
        flow_control = self._writer.flow_control
        req.on_pause = lambda: flow_control.pause("socket")
        req.on_resume = lambda: flow_control.resume("socket")
        req.start(self.received_head.status, self._make_headers(self.received_head))
        parts, self._parts = self._parts, []
        self._stream(b"".join(parts))

    def _stream(self, data: bytes) -> None:
        """Write the part that was held back and hold back this one."""
        if self._held_back:
            self._writer.write(self._held_back)
        self._held_back = data

    def _finish_stream(self, status: int) -> None:
        self._req.finish()
        if not self.result.called:
            self.result.callback(Ok(StreamedResponse(status)))


class PacedBody:
    """Passes a caller's body to a sink, no faster than a pacer allows."""

    __slots__ = ("_sink", "_writer")

    def __init__(
        self,
        req: ServerRequest,
        sink: BodySink,
        pacer: Pacer,
        call_later: Callable[..., Any],
    ) -> None:
        self._sink = sink
        flow_control = FlowControl(req.pause_body, req.resume_body)
        self._writer = PacedWriter(sink.write, flow_control, pacer, call_later)

    def write(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._writer.write(data)

    def end(self) -> None:
        """Pass on the end of the body."""
        self._writer.after_writes(self._sink.end)

    def fail(self, kind: ErrorKind) -> None:
        """Tell the sink that the body will stay incomplete."""
        self._sink.fail(kind)


class UploadPipe:
    """Streams a caller's body into a client connection."""

    __slots__ = ("_conn", "_on_fail", "_req", "_writer")

    def __init__(
        self,
        req: ServerRequest,
        conn: ClientConnection,
        pacer: Pacer | None,
        call_later: Callable[..., Any],
        on_fail: Callable[[ErrorKind], None],
    ) -> None:
        self._req = req
        self._conn = conn
        self._on_fail = on_fail  # called when the caller disconnects
        flow_control = FlowControl(req.pause_body, req.resume_body)
        self._writer = PacedWriter(conn.write_body, flow_control, pacer, call_later)

    def start(self) -> None:
        """Start to receive the body."""
        self._conn.register_producer(self)
        self._req.receive_body(self)

    def write(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._writer.write(data)

    def end(self) -> None:
        """Pass on the end of the body."""
        self._writer.after_writes(self._end_body)

    def fail(self, kind: ErrorKind) -> None:
        """Cancel the exchange, since the body will stay incomplete."""
        self._conn.cancel()
        self._on_fail(kind)

    def _end_body(self) -> None:
        self._conn.unregister_producer()
        self._conn.end_body()

    # Interface of a Twisted push producer; the connection's transport calls it
    # when its send buffer fills up or drains.

    def pauseProducing(self) -> None:
        self._writer.flow_control.pause("socket")

    def resumeProducing(self) -> None:
        self._writer.flow_control.resume("socket")

    def stopProducing(self) -> None:
        """Do nothing: the connection reports its end to its sink."""
