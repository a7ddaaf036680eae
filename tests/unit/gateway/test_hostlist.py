"""Tests how starting hosts find each other through the store.

Guards against two hosts that start at the same time and miss each other.
"""

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
from samphirebend.gateway.hostlist import RETRY_DELAY_S, HostList
from samphirebend.gateway.invalidrows import InvalidRows
from samphirebend.gateway.members import Member, Members
from samphirebend.gateway.replica import Row
from samphirebend.gateway.rowstore import Page, RowChange, StoreFault


class Store:
    """In-memory rows; each call blocks until the test releases it."""

    def __init__(self, rows: dict[str, bytes]) -> None:
        self.rows = rows
        self.waiting: Deferred[None] | None = None
        self.fails = 0  # how many of the next calls fail

    async def _wait(self) -> bool:
        self.waiting = Deferred()
        await self.waiting
        self.fails -= 1
        return self.fails < 0

    def release(self) -> bool:
        """Let the blocked call return; return whether there was one."""
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

    async def change(
        self, table: str, change: RowChange, timeout_s: float
    ) -> Result[None, StoreFault]:
        if not await self._wait():
            return Err(StoreFault.UNAVAILABLE)
        if change.value is not None:
            self.rows[change.key] = change.value
        return Ok(None)


def start(name: str, rows: dict[str, bytes], clock: Clock) -> tuple[Members, Store]:
    own = Member(name, "a1", "a")
    own.peer = own.front = Address("127.0.0.1", 80)
    members, store = Members(own, random.Random(1)), Store(rows)
    host_list = HostList(store, members, InvalidRows(), clock)
    joining: Coroutine[Any, Any, None] = host_list.join(lambda: False)
    Deferred.fromCoroutine(joining)
    return members, store


@pytest.mark.parametrize("order", sorted(set(itertools.permutations((0, 0, 1, 1)))))
def test_one_of_two_starting_hosts_finds_the_other(
    order: tuple[int, ...],
) -> None:
    rows: dict[str, bytes] = {}
    hosts = [start(name, rows, Clock()) for name in ("h0", "h1")]
    for turn in order:
        assert hosts[turn][1].release()
    assert any(members.others() for members, _store in hosts)


def test_failed_call_is_retried() -> None:
    """Guards against hosts that never join, or fail on an invalid row."""
    clock = Clock()
    members, store = start("h0", {"h9": b"damaged"}, clock)
    store.fails = 1
    store.release()
    assert not members.host_list_read
    clock.advance(RETRY_DELAY_S)
    while store.release():
        pass
    assert members.host_list_read
    assert set(store.rows) == {"h0", "h9"}
    assert members.others() == []


@pytest.mark.parametrize(
    "damaged",
    [
        b"",
        b"\xff",
        b"[]",
        b"[" * 100_000,
        b'{"zone": "a1"}',
        b'{"zone": "a1", "region": 7, "front": "127.0.0.1:1", "peer": "127.0.0.1:1"}',
        b'{"zone": "a1", "region": "a", "front": "x", "peer": "127.0.0.1:1"}',
        b'{"zone": "a1", "region": "a", "front": "127.0.0.1:1", "peer": "127.0.0.1:0"}',
    ],
    ids=range(8),
)
def test_unreadable_row_costs_no_other_host(damaged: bytes) -> None:
    """Guards against heartbeats to an address that no host has."""
    listed = (
        b'{"zone": "a1", "region": "a", "front": "127.0.0.1:1", "peer": "127.0.0.1:2"}'
    )
    members, store = start("h0", {"h8": damaged, "h9": listed}, Clock())
    while store.release():
        pass
    assert members.host_list_read
    assert [member.host for member in members.others()] == ["h9"]
