"""Tests that streamed and buffered messages stay within link budgets."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from samphirebend.errorcodes import ErrorKind
from samphirebend.exchange import (
    ExchangeResult,
    FlowControl,
    PacedBody,
    PacedWriter,
    ResponseReceiver,
    combine_pacers,
    respond_paced,
)
from samphirebend.httpclient import ClientConnection, ResponseHead
from samphirebend.job import Job
from samphirebend.ledger import BufferedResponse, Ledger
from samphirebend.limits import Limits
from samphirebend.manifest import Service
from samphirebend.membership import Membership
from samphirebend.relay import schedule_writes
from samphirebend.router import LinkPacer, Router
from samphirebend.upstreamstate import UpstreamStates

from .test_http import Transport
from .test_links import SHARE, make_budgets


def make_pacer(clock: Clock, reading: bool = False) -> LinkPacer:
    budgets, _ = make_budgets(["h1"])
    return LinkPacer(budgets, "b", reading, clock.seconds)


def peak_bytes_per_s(sent: list[tuple[float, int]]) -> int:
    """Return the most bytes that were sent within one second."""
    return max(
        (sum(n for at, n in sent if start <= at < start + 1.0) for start, _ in sent),
        default=0,
    )


def advance_20_s(clock: Clock) -> None:
    """Advance the clock in steps, so that due calls run near their time."""
    for _ in range(4000):
        clock.advance(0.005)


class RouterWithRemoteCallers(Router):
    """Router that assigns every caller to the other region."""

    def region_of_caller(self, _ip: str) -> str:
        return "b"


class FakeRequest:
    """The methods of `ServerRequest` that send a response; records calls."""

    method = "GET"

    def __init__(self, clock: Clock, headers: dict[bytes, str] | None = None) -> None:
        self._clock = clock
        self._headers = headers or {}
        self.sent: list[tuple[float, int]] = []
        self.events: list[str] = []
        self.peer_ip = "10.0.0.1"
        self.headers: list[Any] = []

    def header_text(self, name: bytes) -> str | None:
        return self._headers.get(name)

    def start(self, _status: int, _headers: object) -> None:
        self.events.append("start")

    def write(self, data: bytes) -> None:
        self.sent.append((self._clock.seconds(), len(data)))

    def finish(self) -> None:
        self.events.append("finish")


@given(st.lists(st.integers(0, 400_000), min_size=1, max_size=12))
def test_long_writes_stay_within_the_share(sizes: list[int]) -> None:
    """Guards a slow link against pieces that are longer than its burst."""
    clock = Clock()
    sent: list[tuple[float, int]] = []
    writer = PacedWriter(
        lambda data: sent.append((clock.seconds(), len(data))),
        FlowControl(lambda: None, lambda: None),
        make_pacer(clock),
        clock.callLater,
    )
    for size in sizes:
        writer.write(bytes(size))
    advance_20_s(clock)
    assert sum(n for _, n in sent) == sum(sizes)
    assert peak_bytes_per_s(sent) <= SHARE


def test_buffered_responses_are_paced_and_end_once() -> None:
    """Guards the link against buffered responses sent in one write."""
    clock = Clock()
    pacer = make_pacer(clock)
    requests: Any = [FakeRequest(clock) for _ in range(8)]
    ends: list[None] = []
    response = BufferedResponse(200, [], bytes(250_000))
    for req in requests:
        respond_paced(req, response, [], pacer, clock, ends.append)
    advance_20_s(clock)
    assert [req.events for req in requests] == [["start", "finish"]] * 8
    assert len(ends) == 8
    assert peak_bytes_per_s([item for req in requests for item in req.sent]) <= SHARE


def test_buffered_bodies_are_reserved_in_pieces() -> None:
    """Guards the link against a relayed body that is sent in one write."""
    clock = Clock()
    req: Any = FakeRequest(clock)
    job = Job(req, Service("s", True, 1000, 1 << 20, []), "/", "id", 9.0)
    job.body = random.Random(1).randbytes(900_000)
    writes = schedule_writes(job, make_pacer(clock))
    assert b"".join(write.piece for write in writes) == job.body
    assert (
        peak_bytes_per_s([(write.wait_s, len(write.piece)) for write in writes])
        <= SHARE
    )


def test_uploads_of_other_regions_callers_use_the_reading_share() -> None:
    """Guards against uploads that use the wrong share of the link.

    Bytes that callers of another region send count against the share for
    reading, which relays may not use.
    """
    clock = Clock()
    budgets, manifest = make_budgets(["h1"])
    router = RouterWithRemoteCallers(
        "h1",
        "a",
        Membership("h1"),
        Limits(),
        UpstreamStates("a"),
        budgets,
        Ledger("h1", 1, 0.0),
        clock.seconds,
        random.Random(1),
    )
    router.apply(manifest)
    caller: Any = FakeRequest(clock)
    relayed: Any = FakeRequest(clock, {b"relay-host": "x"})
    reading = router.read_pacer(caller)
    assert reading is not None
    assert reading(50_000) > 0.0
    assert budgets.backlog("b", 0.0) == 0.0
    assert router.read_pacer(relayed) is None
    combined = combine_pacers(reading, router.pacer_to("b"))
    assert combined is not None
    assert combined.piece_bytes() == reading.piece_bytes()


class Upload:
    """The source of a caller's body, which pauses on demand, and its sink."""

    def __init__(self, clock: Clock, size: int) -> None:
        self._clock = clock
        self._remaining = size
        self._paused = False
        self.received: list[tuple[float, int]] = []
        self.ended_at: float | None = None

    def pause_body(self) -> None:
        self._paused = True

    def resume_body(self) -> None:
        self._paused = False

    def send_to(self, body: PacedBody) -> None:
        while self._remaining and not self._paused:
            part = min(self._remaining, 16_384)
            self._remaining -= part
            body.write(bytes(part))
        if not self._remaining:
            body.end()
        else:
            self._clock.callLater(0.001, self.send_to, body)

    def write(self, data: bytes) -> None:
        self.received.append((self._clock.seconds(), len(data)))

    def end(self) -> None:
        self.ended_at = self._clock.seconds()


def test_buffered_bodies_of_other_regions_callers_use_the_reading_share() -> None:
    """Guards a slow link against bodies that are buffered without pacing.

    The bodies of keyed requests are always buffered.
    """
    clock = Clock()
    pacer = make_pacer(clock, reading=True)
    uploads: list[Any] = [Upload(clock, 150_000) for _ in range(6)]
    for upload in uploads:
        upload.send_to(PacedBody(upload, upload, pacer, clock.callLater))
    advance_20_s(clock)
    for upload in uploads:
        assert sum(size for _, size in upload.received) == 150_000
        assert upload.ended_at is not None
        assert upload.ended_at >= upload.received[-1][0]
    assert (
        peak_bytes_per_s([item for upload in uploads for item in upload.received])
        <= SHARE
    )


class FakeConnection:
    """The part of a connection that a receiver of its response uses."""

    def __init__(self, exchange_count: int) -> None:
        self.exchange_count = exchange_count
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


@pytest.mark.parametrize(
    ("exchange_count", "request_id", "accepted"),
    [(1, b"r1", True), (2, b"r1", True), (1, None, True), (2, None, False)],
)
def test_refusal_without_an_id_counts_on_a_new_connection_only(
    exchange_count: int, request_id: bytes | None, accepted: bool
) -> None:
    """Guards against an earlier refusal that an upstream writes once more."""
    conn: Any = FakeConnection(exchange_count)
    other: Any = None
    receiver = ResponseReceiver(conn, "r1", other, lambda head: [], other)
    headers = [(b"request-not-run", b"1"), (b"content-length", b"0")]
    if request_id is not None:
        headers.append((b"request-id", request_id))
    receiver.head(ResponseHead(503, headers))
    receiver.end()
    results: list[ExchangeResult] = []
    receiver.result.addCallback(results.append)
    assert results[0].is_ok() is accepted
    assert conn.cancelled is not accepted


class RecordingPool:
    """The methods of a pool that a connection calls; records reuse."""

    def __init__(self) -> None:
        self.reused = False

    def put_back(self, conn: ClientConnection) -> None:
        self.reused = True

    def forget(self, conn: ClientConnection) -> None:
        """Do nothing."""

    def record_closed(self) -> None:
        """Do nothing."""


HEADS = {
    "with a length": b"Content-Length: 2\r\n",
    "empty body": b"Content-Length: 0\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "unframed": b"Connection: close\r\n",
}


@pytest.mark.parametrize("end", [ConnectionDone, ConnectionLost])
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("status", [b"200 OK", b"204 No"])
def test_a_head_that_stops_in_the_middle_fails_the_exchange(
    status: bytes, framing: str, end: type[Exception]
) -> None:
    """Guards against an incomplete head taken for an empty response."""
    head = b"HTTP/1.1 " + status + b"\r\nRequest-Id: r1\r\n" + HEADS[framing] + b"\r\n"
    for position in range(1, len(head)):
        pool = RecordingPool()
        conn = ClientConnection(pool)
        conn.makeConnection(Transport())
        req: Any = FakeRequest(Clock())
        receiver = ResponseReceiver(conn, "r1", req, lambda head: [], req)
        conn.send("GET", "/", [(b"Host", b"x")], b"", receiver)
        conn.dataReceived(head[:position])
        conn.connectionLost(Failure(end()))
        results: list[ExchangeResult] = []
        receiver.result.addCallback(results.append)
        assert [result.err() for result in results] == [ErrorKind.UPSTREAM_BROKEN]
        assert not req.events
        assert not pool.reused
