"""Stops exchanges in every state, on callers' and upstreams' connections.

Guards against callers that wait beyond the timeout of their route: each wait must
have an end that the caller sees, and nothing of the request may be kept then.
"""

from __future__ import annotations

from functools import partial
from typing import Final

import pytest
from twisted.internet.task import Clock

from samphirebend.gateway.attempt import MAX_BUFFERED_RESPONSE_BYTES
from samphirebend.gateway.body import MAX_BUFFERED_BODY_BYTES
from samphirebend.gateway.config import RequestKind
from samphirebend.gateway.context import GatewayContext
from samphirebend.gateway.forward import forward_request
from samphirebend.httpserver import HttpServer
from samphirebend.serverconnection import HttpServerProtocol

from ..test_http import Transport
from .test_forward import REQUEST, TIME_LEFT_S, UPSTREAM_HEADERS, Pool, make_gateway

LATE_S: Final = 0.5  # after the timeout, by which the caller has seen an end
TRICKLE_S: Final = 0.1  # time between two bytes
HEAD: Final = b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS
LARGE: Final = b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1000)
# What an upstream sends before it stops, or goes on to trickle.
RESPONSES: Final = {
    "nothing": b"",
    "part of the head": HEAD[:20],
    "length": HEAD + b"Content-Length: 900000\r\n\r\n",
    "length, part of the body": HEAD + b"Content-Length: 900000\r\n\r\nxx",
    "length, large part": HEAD + b"Content-Length: 900000\r\n\r\n" + LARGE,
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "chunked, part of a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\nx",
    "chunked, large part": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + LARGE
    ),
    "unframed": HEAD + b"\r\n",
    "unframed, part of the body": HEAD + b"\r\nxx",
    "unframed, large part": HEAD + b"\r\n" + LARGE,
}
# How callers send requests; the upload is streamed to the upstream.
LENGTH: Final = MAX_BUFFERED_BODY_BYTES + 1000
BODIES: Final = {
    "complete": REQUEST,
    "length": REQUEST.replace(b"Length: 2\r\n\r\nhi", b"Length: 99\r\n\r\nhi"),
    "chunked": REQUEST.replace(
        b"Content-Length: 2\r\n\r\nhi", b"Transfer-Encoding: chunked\r\n\r\nffff\r\nhi"
    ),
    "streamed": REQUEST.replace(b"Length: 2\r\n\r\nhi", b"Length: %d\r\n\r\n" % LENGTH)
    + b"x" * (LENGTH - 100),
}


class Caller:
    """A caller's connection, with further requests that it sends at once."""

    def __init__(self, gateway: GatewayContext, *requests: bytes) -> None:
        handler = partial(forward_request, gateway)
        server = HttpServer(handler, 16, gateway.reactor.seconds)
        self.conn = HttpServerProtocol(server)
        self.conn.callLater = gateway.reactor.callLater
        self.transport = Transport()
        self.conn.makeConnection(self.transport)
        self.conn.dataReceived(b"".join(requests))

    @property
    def sees_end(self) -> bool:
        """Return whether the connection has ended or has an error response."""
        if self.transport.aborted or self.transport.disconnecting:
            return True
        return b" 50" in self.transport.value().split(b"\r\n", 1)[0]


def stop_reading(caller: Caller) -> None:
    """Let the transport act as if the caller read nothing any more."""
    if caller.transport.producer is not None:
        caller.transport.producer.pauseProducing()


def play(
    kind: RequestKind, body: str, response: str, trickles: bool, reads: bool
) -> None:
    clock = Clock()
    pool = Pool(("silent",) * 3, clock)
    gateway = make_gateway(kind, pool, clock)
    caller = Caller(gateway, BODIES[body])
    for conn, transport, _ in list(pool.open):
        if not transport.aborted:
            conn.dataReceived(RESPONSES[response])
    if not reads:
        stop_reading(caller)
    for _ in range(int((TIME_LEFT_S + LATE_S) / TRICKLE_S)):
        clock.advance(TRICKLE_S)
        for conn, transport, _ in pool.open:
            if trickles and not transport.aborted:
                conn.dataReceived(b"x")
        if trickles and body != "complete" and not caller.sees_end:
            caller.conn.dataReceived(b"x")
    assert caller.sees_end, caller.transport.value()[:300]
    assert gateway.in_flight == 0
    assert all(transport.aborted for _, transport, _ in pool.open)


@pytest.mark.parametrize("reads", [True, False], ids=["reads", "does not read"])
@pytest.mark.parametrize("trickles", [False, True], ids=["silent", "trickles"])
@pytest.mark.parametrize("response", RESPONSES)
@pytest.mark.parametrize("kind", RequestKind)
def test_response_that_does_not_end(
    kind: RequestKind, response: str, trickles: bool, reads: bool
) -> None:
    play(kind, "complete", response, trickles, reads)


@pytest.mark.parametrize("trickles", [False, True], ids=["silent", "trickles"])
@pytest.mark.parametrize("response", RESPONSES)
@pytest.mark.parametrize("body", [body for body in BODIES if body != "complete"])
@pytest.mark.parametrize("kind", RequestKind)
def test_body_that_does_not_end(
    kind: RequestKind, body: str, response: str, trickles: bool
) -> None:
    play(kind, body, response, trickles, reads=True)


def request(request_id: bytes, deadline_ms: int, method: bytes = b"GET") -> bytes:
    head = REQUEST.replace(b"POST", method).replace(b"Id: r1", b"Id: " + request_id)
    return head.replace(b"2000", str(deadline_ms).encode())


def respond(gateway_pool: Pool, request_id: bytes, response: bytes) -> None:
    """Send a response to a request on its connection to the upstream."""
    response = response.replace(b"Id: r1", b"Id: " + request_id)
    for conn, transport, _ in gateway_pool.open:
        if b"attempt-id: " + request_id + b"\r\n" in transport.value():
            conn.dataReceived(response)


COMPLETE: Final = HEAD + b"Content-Length: 2\r\n\r\nok"


def test_broken_response_keeps_the_one_before_it() -> None:
    """Guards a request whose neighbour behind it reaches its deadline first."""
    clock = Clock()
    pool = Pool(("silent",) * 3, clock)
    gateway = make_gateway(RequestKind.IDEMPOTENT, pool, clock)
    caller = Caller(
        gateway, request(b"r1", 2000), request(b"r2", 1000), request(b"r3", 2000)
    )
    respond(pool, b"r2", RESPONSES["length, large part"])
    respond(pool, b"r3", COMPLETE)
    clock.advance(1.1)
    assert caller.transport.value() == b""
    assert not caller.sees_end
    respond(pool, b"r1", COMPLETE)
    assert caller.transport.value().endswith(b"\r\n\r\nok")
    assert caller.transport.value().count(b"HTTP/1.1 ") == 1
    clock.advance(2.0)
    assert caller.sees_end
    assert gateway.in_flight == 0


@pytest.mark.parametrize("method", [b"GET", b"POST"])
@pytest.mark.parametrize("response", RESPONSES)
def test_neighbours_of_a_response_that_does_not_end(
    response: str, method: bytes
) -> None:
    """Guards requests that wait behind a response without an end."""
    clock = Clock()
    pool = Pool(("silent",) * 4, clock)
    gateway = make_gateway(RequestKind.IDEMPOTENT, pool, clock)
    caller = Caller(gateway, request(b"r1", 2000), request(b"r2", 2000, method))
    respond(pool, b"r1", RESPONSES[response])
    respond(pool, b"r2", COMPLETE)
    clock.advance(TIME_LEFT_S)
    clock.advance(LATE_S)
    assert caller.sees_end
    if not caller.transport.aborted:
        # The one behind gets its own response by the same time.
        assert caller.transport.value().count(b"HTTP/1.1 ") == 2
    assert gateway.in_flight == 0


def test_time_behind_other_requests_counts() -> None:
    """Guards callers and upstreams against more time than the caller has left."""
    clock = Clock()
    pool = Pool(("silent",) * 2, clock)
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    caller = Caller(gateway, request(b"r1", 1500), request(b"r2", 2000, b"POST"))
    clock.advance(1.5)
    assert len(pool.open) == 2
    assert b"Deadline-Ms: 500\r\n" in pool.open[-1][1].value()
    clock.advance(LATE_S)
    assert caller.transport.value().count(b"HTTP/1.1 504") == 2
    assert gateway.in_flight == 0


def test_deadline_that_passes_behind_other_requests() -> None:
    """Guards against a request that is sent on for a caller that has gone."""
    clock = Clock()
    pool = Pool(("silent",) * 2, clock)
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    caller = Caller(gateway, request(b"r1", 1500), request(b"r2", 1000, b"POST"))
    clock.advance(1.5)
    assert len(pool.open) == 1
    assert caller.transport.value().count(b"HTTP/1.1 503") == 1
    assert b"Request-Outcome: did-not-run" in caller.transport.value()
    assert gateway.in_flight == 0


@pytest.mark.parametrize("part", [b"", b"GET", REQUEST[:30]])
def test_head_that_does_not_end(part: bytes) -> None:
    """Guards against connections that are kept for a head that trickles."""
    clock = Clock()
    gateway = make_gateway(RequestKind.IDEMPOTENT, Pool((), clock), clock)
    caller = Caller(gateway, part)
    server_timeout_s = HttpServer(lambda req: None).header_timeout_s
    for _ in range(int(server_timeout_s / TRICKLE_S) + 2):
        clock.advance(TRICKLE_S)
        if part and not caller.sees_end:
            caller.conn.dataReceived(b"x")
    assert caller.sees_end
