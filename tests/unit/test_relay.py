"""Tests how long a relayed request waits for a share of the link."""

from __future__ import annotations

import math
from typing import Any
from unittest.mock import Mock

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.errorcodes import ErrorKind
from samphirebend.relay import LINK_SHARE_WAIT_S, RelayClient, RelayMode

DEADLINE_S = 5.0


class RelayWithoutShare:
    """A relay of a request by a host without a share of the link."""

    def __init__(self, mode: RelayMode) -> None:
        self.clock = Clock()
        self.wait_s = math.inf
        self.conn = Mock(open=True)
        pool = Mock()

        async def acquire(_address: object) -> Any:
            return Ok(self.conn)

        pool.acquire = acquire
        router = Mock()
        pacer = Mock(side_effect=lambda _size: self.wait_s)
        pacer.piece_bytes.return_value = 65536
        router.pacer_to.return_value = pacer
        router.answer_pacer.return_value = None
        job = Mock(body=b"", headers=[], request_id="r", target="/a", key="k")
        job.deadline, job.overflow = DEADLINE_S, False
        job.body_headers.return_value = []
        job.service.name = "write"
        client = RelayClient("here", self.clock, pool, router)
        self.results: list[Any] = []
        done = Deferred.fromCoroutine(client.send(job, Mock(), mode))
        done.addBoth(self.results.append)


def test_a_keyed_request_waits_for_the_first_share_of_a_link() -> None:
    """Guards against the outcome "unknown" at a host that has just started.

    It has no share of the link until it has received heartbeats.
    """
    relay = RelayWithoutShare(RelayMode.EXECUTE)
    relay.clock.advance(LINK_SHARE_WAIT_S / 2)
    assert not relay.conn.send.called
    relay.wait_s = 0.0
    relay.clock.pump([0.05] * 2)
    assert relay.conn.send.called
    assert not relay.results


@pytest.mark.parametrize(
    ("mode", "wait_s"),
    [(RelayMode.EXECUTE, LINK_SHARE_WAIT_S), (RelayMode.DISPATCH, 0.0)],
)
def test_a_link_without_a_share_is_given_up(mode: RelayMode, wait_s: float) -> None:
    """Guards callers against a long wait for a share of the link.

    A request relayed for dispatch does not wait, since another host may run
    it.
    """
    relay = RelayWithoutShare(mode)
    relay.clock.pump([0.02] * round(wait_s / 0.02 + 2))
    assert relay.results == [Err(ErrorKind.LINK_CAP_REACHED)]
    assert not relay.conn.send.called
