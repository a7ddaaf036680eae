"""Plays every short history of a request: how its tries end, and when the caller goes.

The request, the HTTP connections on both sides and the decisions are the real ones,
over in-memory transports and a simulated clock. A try that ends without the
upstream's own statement that it did not run counts as one that ran.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from functools import partial
from typing import Any, Final
from unittest.mock import Mock

import pytest
from result import Err, Ok, Result
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from samphirebend.errorcodes import ErrorKind
from samphirebend.gateway.budgets import ColdLimit, RetryBudget
from samphirebend.gateway.config import Config, RequestKind, ServicePolicy
from samphirebend.gateway.context import GatewayContext
from samphirebend.gateway.feedback import Feedback
from samphirebend.gateway.forward import forward_request
from samphirebend.gateway.members import Member, Members
from samphirebend.gateway.routingstate import RoutingState
from samphirebend.gateway.updates import ConfigUpdate
from samphirebend.gateway.upstreams import Health
from samphirebend.httpclient import ClientConnection
from samphirebend.httpserver import HttpServer, HttpServerProtocol
from samphirebend.metrics import Metrics
from samphirebend.platform import httpcodec

from ..test_http import Transport
from .scene import make_placement, make_registry, make_route

SIGNED: Final = b"Attempt-Id: r1\r\nServer-Seal: s\r\n"
WHOLE: Final = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nok"
ANSWERS: Final = {
    "answered": WHOLE,
    "failed": WHOLE.replace(b"200 OK", b"500 X"),
    "refused": b"HTTP/1.1 503 X\r\n" + SIGNED + b"Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "other upstream": b"HTTP/1.1 421 X\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n",
    "truncated": WHOLE.replace(b"th: 2", b"th: 9"),
    "foreign": WHOLE.replace(b"Id: r1", b"Id: r2"),
    "unsigned": WHOLE.replace(b"Server-Seal: s\r\n", b""),
}
ENDS: Final = ("no connection", "reset", "silent", *ANSWERS)
NOT_RUN: Final = frozenset({"no connection", "refused", "other upstream"})
PROMISES: Final = frozenset({408, 421, 429, 503})
REQUEST: Final = (
    b"POST /r/x HTTP/1.1\r\nHost: host\r\nAttempt-Id: r1\r\n"
    b"Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi"
)
REQUESTS: Final = {
    RequestKind.NON_IDEMPOTENT: REQUEST,
    RequestKind.IDEMPOTENT: REQUEST.replace(b"POST", b"GET"),
}
TIME_LEFT_S: Final = 2.0
MAX_ATTEMPTS: Final = 2


class Pool:
    """Connections whose exchanges end as a history says."""

    def __init__(self, ends: tuple[str, ...], clock: Clock) -> None:
        self.ends = iter(ends)
        self.clock = clock
        self.open: list[tuple[ClientConnection, Transport, str]] = []
        self.upstreams_live = True
        self.sent: list[str] = []  # ends of the tries that reached an upstream

    async def acquire(self, *_args: object) -> Result[ClientConnection, ErrorKind]:
        end = next(self.ends, "silent")
        if end == "no connection":
            return Err(ErrorKind.CONNECT_FAILED)
        conn = ClientConnection(Mock(spec=["put_back", "note_closed", "forget"]))
        transport = Transport()
        conn.makeConnection(transport)
        self.open.append((conn, transport, end))
        self.sent.append(end)
        return Ok(conn)

    async def can_connect(self, *_args: object) -> bool:
        """Answer whether an upstream takes connections after a lost request."""
        return self.upstreams_live

    def play(self) -> bool:
        """Let the newest exchange end; return whether there was one."""
        if not self.open:
            return False
        conn, transport, end = self.open.pop()
        if end == "silent":
            self.clock.advance(TIME_LEFT_S + 0.1)
        elif not transport.aborted and not transport.disconnecting:
            conn.dataReceived(ANSWERS.get(end, b""))
            if end in ("reset", "truncated", "foreign"):
                conn.connectionLost(Failure(ConnectionLost()))
        return True


class History:
    """One request, played to its end."""

    def __init__(
        self, kind: RequestKind, ends: tuple[str, ...], leaves_after: int | None
    ) -> None:
        clock = Clock()
        self.pool = Pool(ends, clock)
        gateway = make_gateway(kind, self.pool, clock)
        conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
        conn.callLater = clock.callLater
        self.transport = Transport()
        conn.makeConnection(self.transport)
        conn.dataReceived(REQUESTS[kind])
        for step in itertools.count():
            if step == leaves_after:
                conn.connectionLost(Failure(ConnectionLost()))
            if not self.pool.play():
                break
        clock.advance(TIME_LEFT_S + 0.1)
        self.in_flight = gateway.in_flight
        self.answer: bytes = self.transport.value()

    @property
    def status(self) -> int:
        return int(self.answer.split(b" ")[1]) if self.answer else 0


def make_gateway(kind: RequestKind, pool: Pool, clock: Clock) -> GatewayContext:
    registry, rng = make_registry(), random.Random(1)
    placement = make_placement(registry)
    routing_state = RoutingState(registry, placement)
    route = make_route(kind)
    route.max_attempts = MAX_ATTEMPTS
    config = Config(1)
    config.routes, config.services = [route], {"s": ServicePolicy("s")}
    routing_state.apply(ConfigUpdate(config), 0.0)
    members = Members(Member("h0", "a1", "a"), rng)
    budget = RetryBudget(0.2, 10.0, 100.0)
    fake_pool: Any = pool
    return GatewayContext(
        httpcodec,
        routing_state,
        placement,
        members,
        budget,
        ColdLimit(1.5, 5.0),
        Feedback(registry),
        fake_pool,
        Metrics(),
        clock,
        rng,
    )


def histories() -> Iterator[tuple[tuple[str, ...], int | None]]:
    """Yield the ends of up to three tries, and after which the caller leaves."""
    for ends in itertools.product(ENDS, repeat=3):
        for leaves_after in (None, 0, 1):
            yield ends, leaves_after


@pytest.fixture(scope="module")
def once() -> list[tuple[History, int | None]]:
    kind = RequestKind.NON_IDEMPOTENT
    return [(History(kind, ends, leaves), leaves) for ends, leaves in histories()]


@pytest.fixture(scope="module")
def repeatable() -> list[tuple[History, int | None]]:
    kind = RequestKind.IDEMPOTENT
    return [(History(kind, ends, leaves), leaves) for ends, leaves in histories()]


Played = list[tuple[History, int | None]]


def test_what_may_run_once_is_not_sent_again_after_it_may_have_run(
    once: Played,
) -> None:
    """Guards against a second registration of the same ruling or order."""
    for history, _ in once:
        ran = [end not in NOT_RUN for end in history.pool.sent]
        assert sum(ran) <= 1, history.pool.sent


def test_a_promise_is_given_only_if_nothing_may_have_run(once: Played) -> None:
    """Guards callers that send again because they were told it did not run."""
    promised = 0
    for history, _ in once:
        if history.status in PROMISES:
            promised += 1
            assert all(end in NOT_RUN for end in history.pool.sent), history.pool.sent
    assert promised


def test_upstreams_tried_stay_within_the_bound(
    once: Played, repeatable: Played
) -> None:
    for history, _ in once + repeatable:
        assert len(history.pool.sent) <= MAX_ATTEMPTS


def test_a_caller_that_stays_gets_one_answer(once: Played, repeatable: Played) -> None:
    """Guards against requests that are forgotten or answered twice."""
    for history, leaves_after in once + repeatable:
        assert history.in_flight == 0, history.pool.sent
        if leaves_after is None:
            assert history.answer.count(b"HTTP/1.1 ") == 1, history.answer


def test_a_success_is_the_whole_answer_of_a_try(
    once: Played, repeatable: Played
) -> None:
    for history, _ in once + repeatable:
        if history.status == 200 and not history.transport.aborted:
            assert history.pool.sent[-1] == "answered"
            assert history.answer.endswith(b"\r\n\r\nok")


def test_a_good_answer_reaches_a_caller_that_stays(repeatable: Played) -> None:
    """Guards answers that are ready against being replaced by a failure."""
    for history, leaves_after in repeatable:
        if leaves_after is None and "answered" in history.pool.sent:
            assert history.status == 200, history.pool.sent


def test_a_request_that_crashes_its_upstreams_is_refused_after_the_third() -> None:
    """Guards upstreams against a caller that sends such a request again and again."""
    clock = Clock()
    pool = Pool(("reset",) * 9, clock)
    pool.upstreams_live = False
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    statuses = []
    for _ in range(5):
        conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
        conn.callLater = clock.callLater
        transport = Transport()
        conn.makeConnection(transport)
        conn.dataReceived(REQUEST)
        while pool.play():
            pass
        clock.advance(1.0)
        statuses.append(transport.value().split(b" ")[1])
    assert statuses == [b"502", b"502", b"502", b"503", b"503"]
    assert len(pool.sent) == 3


@pytest.mark.parametrize(
    ("time_left_ms", "doubts"), [(300, False), (int(TIME_LEFT_S * 1000), True)]
)
def test_a_short_deadline_is_not_taken_for_a_failure_of_the_upstream(
    time_left_ms: int, doubts: bool
) -> None:
    """Guards upstreams against callers that give them less time than work takes."""
    clock = Clock()
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, Pool(("silent",), clock), clock)
    conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
    conn.callLater = clock.callLater
    transport = Transport()
    conn.makeConnection(transport)
    conn.dataReceived(REQUEST.replace(b"2000", str(time_left_ms).encode()))
    clock.advance(time_left_ms / 1000)
    assert transport.value().startswith(b"HTTP/1.1 504 ")
    assert (
        any(upstream.failure_rate for upstream in gateway.routing_state.registry.all())
        is doubts
    )


@pytest.mark.parametrize(
    ("lives", "health"), [(True, Health.GOOD), (False, Health.DOWN)]
)
def test_a_reset_alone_does_not_take_an_upstream_for_lost(
    lives: bool, health: Health
) -> None:
    """Guards an object against a move for one lost answer, and notice of a crash."""
    clock = Clock()
    pool = Pool(("reset",), clock)
    pool.upstreams_live = lives
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT, pool, clock)
    conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
    conn.callLater = clock.callLater
    conn.makeConnection(Transport())
    conn.dataReceived(REQUEST)
    pool.play()
    clock.advance(0.2)
    registry = gateway.routing_state.registry
    (upstream,) = [item for item in registry.all() if item.failure_rate]
    assert upstream.health(registry.baseline("s", 0.2), 0.2) is health


@pytest.mark.parametrize("leaves", [True, False])
def test_callers_that_leave_are_counted(leaves: bool) -> None:
    """Guards on-call engineers against lost callers that show nowhere."""
    clock = Clock()
    pool = Pool(("answered",), clock)
    gateway = make_gateway(RequestKind.IDEMPOTENT, pool, clock)
    conn = HttpServerProtocol(HttpServer(partial(forward_request, gateway)))
    conn.callLater = clock.callLater
    conn.makeConnection(Transport())
    conn.dataReceived(REQUESTS[RequestKind.IDEMPOTENT])
    if leaves:
        conn.connectionLost(Failure(ConnectionLost()))
    pool.play()
    shown = b'callers_lost_total{service="s"} 1' in gateway.metrics.render()[0]
    assert shown is leaves
