"""Tests which losses count as crashes of an upstream."""

from __future__ import annotations

from twisted.internet.task import Clock

from samphirebend.gateway.config import RequestKind

from .test_forward import REQUESTS, Pool, make_gateway
from .test_upstream_faults import send_request

REQUESTS_SENT = 5


def test_host_that_reaches_no_upstream_suspects_no_request() -> None:
    """Guards all hosts against refusing what one cut off host cannot deliver.

    A host that is cut off from the upstreams sees resets and failed
    connections, as if each request crashed each upstream that it was sent to.
    """
    clock = Clock()
    pool = Pool(("reset",) * 2 * REQUESTS_SENT, clock)
    pool.upstreams_reachable = False  # none of them
    kind = RequestKind.IDEMPOTENT
    gateway = make_gateway(kind, pool, clock)
    for _ in range(REQUESTS_SENT):
        send_request(gateway, REQUESTS[kind])
        while pool.end_newest():
            pass
        clock.advance(1.0)
    assert not gateway.feedback.crashes.suspects_to_share(clock.seconds())
