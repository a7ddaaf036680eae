"""Tests forwarding to upstreams that leave meanwhile or send what they must not.

Guards against requests sent by a decision that is out of date, refusals taken
from another request, and responses without end.
"""

from __future__ import annotations

from functools import partial
from typing import Final

import pytest
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from samphirebend.errorcodes import ErrorKind
from samphirebend.gateway.config import RequestKind
from samphirebend.gateway.context import GatewayContext
from samphirebend.gateway.forward import forward_request
from samphirebend.gateway.updates import (
    EvacuationUpdate,
    UpstreamRemoved,
    UpstreamUpdate,
)
from samphirebend.httpclient import ClientConnection
from samphirebend.httpserver import HttpServer
from samphirebend.serverconnection import HttpServerProtocol

from ..test_http import Transport
from .builders import make_entry
from .test_forward import (
    COMPLETE_RESPONSE,
    DID_NOT_RUN_STATUSES,
    REQUEST,
    REQUESTS,
    TIME_LEFT_S,
    UPSTREAM_HEADERS,
    Pool,
    make_gateway,
)


def send_request(
    gateway: GatewayContext, request: bytes
) -> tuple[HttpServerProtocol, Transport]:
    """Send a caller's request; return its connection and what it gets."""
    conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
    conn.callLater = gateway.reactor.callLater
    transport = Transport()
    conn.makeConnection(transport)
    conn.dataReceived(request)
    return conn, transport


class SlowPool(Pool):
    """Connection pool that waits for the test before it connects."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(("answered",) * 3, clock)
        self.connecting: list[tuple[str, Deferred[None]]] = []

    async def acquire(self, *args: object) -> Result[ClientConnection, ErrorKind]:
        allowed: Deferred[None] = Deferred()
        self.connecting.append((str(args[1]), allowed))
        await allowed
        return await super().acquire()


@pytest.mark.parametrize("change", ["removed", "draining", "evacuated"])
def test_upstream_that_leaves_while_connecting_gets_no_request(change: str) -> None:
    """Guards against requests sent by a decision that is out of date."""
    clock = Clock()
    pool = SlowPool(clock)
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    _, transport = send_request(gateway, REQUEST)
    ((name, allowed),) = pool.connecting
    registry = gateway.routing_state.registry
    leaving = registry.get(name)
    assert leaving is not None
    if change == "removed":
        gateway.routing_state.apply(UpstreamRemoved(name), 0.1)
    elif change == "draining":
        entry = make_entry(name, leaving.entry.zone)
        entry.draining = True
        gateway.routing_state.apply(UpstreamUpdate(entry), 0.1)
    else:
        gateway.routing_state.apply(EvacuationUpdate(leaving.entry.zone, True), 0.1)
    allowed.callback(None)
    assert leaving.in_flight == 0
    assert not leaving.failure_rate
    other, allowed = pool.connecting[1]
    assert other != name
    allowed.callback(None)
    (unused, unused_transport, _), _used = pool.open
    assert unused.exchange_count == 0
    assert not unused_transport.value()
    pool.end_newest()
    assert transport.value().startswith(b"HTTP/1.1 200 ")


EARLIER_REFUSALS: Final = {
    "with its id": b"Attempt-Id: r0\r\nNot-Executed: full\r\n",
    "signed": b"Attempt-Id: r0\r\nServer-Seal: s\r\nNot-Executed: full\r\n",
    "without an id": b"Not-Executed: full\r\n",
}


@pytest.mark.parametrize("headers", EARLIER_REFUSALS.values(), ids=EARLIER_REFUSALS)
@pytest.mark.parametrize("status", [b"503 Full", b"429 Wait", b"421 Other"])
def test_refusal_of_an_earlier_request_is_no_answer_to_this_one(
    headers: bytes, status: bytes
) -> None:
    """Guards against requests called not run, or sent again, that do run."""
    clock = Clock()
    pool = Pool(("silent",) * 3, clock)
    pool.earlier_exchanges = 1
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    _, transport = send_request(gateway, REQUEST)
    ((upstream, upstream_transport, _),) = pool.open
    upstream.dataReceived(
        b"HTTP/1.1 " + status + b"\r\n" + headers + b"Content-Length: 0\r\n\r\n"
    )
    if not upstream_transport.aborted:
        upstream.dataReceived(COMPLETE_RESPONSE)
    assert len(pool.sent) == 1
    answer = transport.value().split(b" ")[1]
    assert int(answer) not in DID_NOT_RUN_STATUSES


def test_refusal_without_an_id_counts_on_a_new_connection() -> None:
    """Guards against requests that fail although no upstream ran them."""
    clock = Clock()
    pool = Pool(("silent", "answered"), clock)
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    _, transport = send_request(gateway, REQUEST)
    pool.open.pop()[0].dataReceived(
        b"HTTP/1.1 503 Full\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n"
    )
    pool.end_newest()
    assert transport.value().startswith(b"HTTP/1.1 200 ")


ENDLESS: Final = {
    "blank lines": (b"", b"\r\n" * 500),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: " + b"y" * 997),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40),
    "unsigned body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n" + b"x" * 1000 + b"\r\n",
    ),
    "body of a refusal": (
        b"HTTP/1.1 503 X\r\nAttempt-Id: r1\r\nNot-Executed: full\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n" + b"x" * 1000 + b"\r\n",
    ),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000),
    "answer to another request": (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nServer-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n" + b"x" * 1000 + b"\r\n",
    ),
    "chunk size": (
        b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS
        + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0" * 1000,
    ),
    "trailer": (
        b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS
        + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"X: " + b"y" * 997,
    ),
}  # fmt: skip
MAX_ENDLESS_BYTES: Final = 2_000_000  # taken from one connection at the most


@pytest.mark.parametrize("kind", RequestKind)
@pytest.mark.parametrize("case", ENDLESS)
def test_bytes_without_end_close_the_connection(case: str, kind: RequestKind) -> None:
    """Guards memory and link against an upstream that never stops sending."""
    clock = Clock()
    pool = Pool(("silent", "silent"), clock)
    gateway = make_gateway(kind, pool, clock)
    _, transport = send_request(gateway, REQUESTS.get(kind, REQUEST))
    ((upstream, upstream_transport, _),) = pool.open
    begin, piece = ENDLESS[case]
    upstream.dataReceived(begin)
    taken = 0
    while not upstream_transport.aborted and taken <= MAX_ENDLESS_BYTES:
        upstream.dataReceived(piece)
        taken += len(piece)
    assert taken <= MAX_ENDLESS_BYTES
    # What it sent is no statement that the request did not run.
    if kind is not RequestKind.IDEMPOTENT:
        assert transport.aborted or transport.value().startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize("kind", RequestKind)
def test_endless_stream_ends_with_its_caller(kind: RequestKind) -> None:
    """Guards against streams that go on for ever when nobody reads them."""
    clock = Clock()
    pool = Pool(("silent",), clock)
    gateway = make_gateway(kind, pool, clock)
    caller, _ = send_request(gateway, REQUESTS.get(kind, REQUEST))
    ((upstream, upstream_transport, _),) = pool.open
    upstream.dataReceived(
        b"HTTP/1.1 200 OK\r\n"
        + UPSTREAM_HEADERS
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(200):
        upstream.dataReceived(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
    clock.advance(TIME_LEFT_S - 0.1)
    assert not upstream_transport.aborted
    caller.connectionLost(Failure(ConnectionLost()))
    assert upstream_transport.aborted
