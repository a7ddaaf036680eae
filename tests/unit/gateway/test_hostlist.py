"""Guards that hosts which start together find each other through the store."""

from __future__ import annotations

import itertools
import random
from collections.abc import Coroutine
from typing import Any

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.addresses import Address
from samphirebend.gateway.hostlist import RETRY_S, HostList
from samphirebend.gateway.members import Member, Members
from samphirebend.gateway.replica import Row
from samphirebend.gateway.rowstore import Page, StoreFault


class Store:
    """Rows in memory; each call waits until it is let go, in a chosen order."""

    def __init__(self, rows: dict[str, bytes]) -> None:
        self.rows = rows
        self.waiting: Deferred[None] | None = None
        self.fails = 0  # calls that still fail

    async def _wait(self) -> bool:
        self.waiting = Deferred()
        await self.waiting
        self.fails -= 1
        return self.fails < 0

    def let_go(self) -> bool:
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(None)
        return waiting is not None

    async def read(self, table: str, timeout_s: float) -> Result[Page, StoreFault]:
        if not await self._wait():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(
            Page([Row(table, key, value, 1) for key, value in self.rows.items()], 1)
        )

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Result[Page, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    async def put(
        self, table: str, key: str, value: bytes, timeout_s: float
    ) -> Result[None, StoreFault]:
        if not await self._wait():
            return Err(StoreFault.UNAVAILABLE)
        self.rows[key] = value
        return Ok(None)


def start(name: str, rows: dict[str, bytes], clock: Clock) -> tuple[Members, Store]:
    own = Member(name, "a1", "a")
    own.peer = own.front = Address("127.0.0.1", 80)
    members, store = Members(own, random.Random(1)), Store(rows)
    joining: Coroutine[Any, Any, None] = HostList(store, members, clock).join(
        lambda: False
    )
    Deferred.fromCoroutine(joining)
    return members, store


@pytest.mark.parametrize("order", sorted(set(itertools.permutations((0, 0, 1, 1)))))
def test_of_two_hosts_that_start_together_one_learns_the_other(
    order: tuple[int, ...],
) -> None:
    rows: dict[str, bytes] = {}
    hosts = [start(name, rows, Clock()) for name in ("h0", "h1")]
    for turn in order:
        assert hosts[turn][1].let_go()
    assert any(members.others() for members, _store in hosts)


def test_a_call_that_fails_is_repeated() -> None:
    clock = Clock()
    members, store = start("h0", {"h9": b"damaged"}, clock)
    store.fails = 1
    store.let_go()
    assert not members.host_list_read
    clock.advance(RETRY_S)
    while store.let_go():
        pass
    assert members.host_list_read
    assert set(store.rows) == {"h0", "h9"}
    assert members.others() == []
