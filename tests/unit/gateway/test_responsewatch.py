"""Tests requests whose upstream stops responding without a reset.

Guards against idempotent requests that wait for a lost upstream until their
deadline although another one could serve them, and against retries of requests
that are merely slow.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.task import Clock

from samphirebend.gateway.config import RequestKind
from samphirebend.gateway.context import GatewayContext
from samphirebend.gateway.stopschedule import StopSchedule

from .builders import fill
from .test_forward import COMPLETE_RESPONSE, REQUESTS, Pool, make_gateway
from .test_upstream_faults import send_request

DEADLINE = (b"Deadline-Ms: 2000", b"Deadline-Ms: 3900")
STEP_S = 0.05


def advance(clock: Clock, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)


def make_silent(kind: RequestKind) -> tuple[GatewayContext, Pool, Clock]:
    """Return a gateway whose attempts get no response by themselves."""
    clock = Clock()
    pool = Pool(("silent",) * 9, clock)
    gateway = make_gateway(kind, pool, clock)
    for upstream in gateway.routing_state.registry.all():
        for _ in range(2):  # the second time, the object is known there
            upstream.record_success(0.2, 1, False, 0.0)
    return gateway, pool, clock


def start(gateway: GatewayContext, kind: RequestKind) -> Any:
    _, transport = send_request(gateway, REQUESTS[kind].replace(*DEADLINE))
    return transport


def test_request_to_a_silent_upstream_is_retried_elsewhere() -> None:
    gateway, pool, clock = make_silent(RequestKind.IDEMPOTENT)
    transport = start(gateway, RequestKind.IDEMPOTENT)
    ((_, lost, _),) = pool.open
    advance(clock, 1.3)
    assert lost.aborted
    _, (conn, _, _) = pool.open
    conn.dataReceived(COMPLETE_RESPONSE)
    assert transport.value().startswith(b"HTTP/1.1 200 ")
    failed = [u for u in gateway.routing_state.registry.all() if u.failure_rate]
    assert len(failed) == 1
    # Only the idle timeout of the caller's connection is left.
    assert len(clock.getDelayedCalls()) == 1


def test_latency_is_taken_for_the_objective_before_any_response() -> None:
    """Guards slow first requests of a day against being abandoned."""
    clock = Clock()
    pool = Pool(("silent",) * 9, clock)
    gateway = make_gateway(RequestKind.IDEMPOTENT, pool, clock)
    start(gateway, RequestKind.IDEMPOTENT)
    advance(clock, 2.9)  # the objective is 0.6 s
    assert len(pool.sent) == 1


def test_request_that_runs_once_is_never_retried() -> None:
    gateway, pool, clock = make_silent(RequestKind.NON_IDEMPOTENT)
    transport = start(gateway, RequestKind.NON_IDEMPOTENT)
    advance(clock, 4.5)
    assert len(pool.sent) == 1
    assert transport.value().startswith(b"HTTP/1.1 504 ")


@pytest.mark.parametrize(("queued", "attempts"), [(3, 1), (0, 2)])
def test_late_response_of_a_busy_upstream_is_waited_for(
    queued: int, attempts: int
) -> None:
    """Guards slow upstreams against retries, and lost responses against none."""
    gateway, pool, clock = make_silent(RequestKind.IDEMPOTENT)
    transport = start(gateway, RequestKind.IDEMPOTENT)
    (busy,) = [u for u in gateway.routing_state.registry.all() if u.in_flight]
    fill(busy, queued)
    # Five times the time that an object unknown to the upstream takes are 3 s.
    for _ in range(7):
        advance(clock, 0.5)
        busy.record_success(0.2, 1, False, clock.seconds())
    assert len(pool.sent) == attempts
    conn, _, _ = pool.open[-1]
    conn.dataReceived(COMPLETE_RESPONSE)
    assert transport.value().startswith(b"HTTP/1.1 200 ")


def test_last_attempt_is_waited_for() -> None:
    gateway, pool, clock = make_silent(RequestKind.IDEMPOTENT)
    transport = start(gateway, RequestKind.IDEMPOTENT)
    advance(clock, 3.0)
    assert len(pool.sent) == 2
    conn, _, _ = pool.open[-1]
    conn.dataReceived(COMPLETE_RESPONSE)
    assert transport.value().startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("retries_left", [True, False])
def test_without_retry_budget_the_response_is_waited_for(retries_left: bool) -> None:
    gateway, pool, clock = make_silent(RequestKind.IDEMPOTENT)
    if not retries_left:
        gateway.retry_budget.set_bounds(0.0, 10.0, 0.0)
    start(gateway, RequestKind.IDEMPOTENT)
    advance(clock, 2.0)
    assert len(pool.sent) == 1 + retries_left


def test_stopping_host_waits_for_the_response() -> None:
    """Guards a request in flight against an error when its retry is refused."""
    gateway, pool, clock = make_silent(RequestKind.IDEMPOTENT)
    transport = start(gateway, RequestKind.IDEMPOTENT)
    gateway.stop_schedule = StopSchedule(clock.seconds(), 6.0)
    advance(clock, 3.0)
    assert len(pool.sent) == 1
    ((conn, _, _),) = pool.open
    conn.dataReceived(COMPLETE_RESPONSE)
    assert transport.value().startswith(b"HTTP/1.1 200 ")
