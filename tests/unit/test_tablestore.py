"""Guards the resolution of writes whose response was lost.

A fake table lets an answer be lost before or after the write took effect, and
lets another process write in between.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.tablestore import (
    CircuitBreaker,
    HttpResponse,
    Row,
    StoreFault,
    TableStore,
)

Step = Callable[[dict[str, dict[str, str]]], bool]


class FakeTable:
    """A table of one row; each step replaces the handling of one write."""

    def __init__(self) -> None:
        self.item: dict[str, dict[str, str]] | None = None
        self.steps: list[Step] = []  # returns whether the answer arrives
        self.calls = 0

    async def call(self, operation: str, body: bytes) -> HttpResponse:
        self.calls += 1
        request = json.loads(body)
        if operation == "GetItem":
            item = {} if self.item is None else {"Item": self.item}
            return HttpResponse(200, json.dumps(item).encode())
        if self.steps and not self.steps.pop(0)(request["Item"]):
            raise ConnectionError
        expected = request.get("ExpressionAttributeValues", {}).get(":r")
        if expected != (self.item["revision"] if self.item else None):
            return HttpResponse(400, b'{"__type": "x#ConditionalCheckFailedException"}')
        self.item = request["Item"]
        return HttpResponse(200, b"{}")

    async def close(self) -> None:
        pass

    def lose_before(self, item: dict[str, dict[str, str]]) -> bool:
        return False

    def lose_after(self, item: dict[str, dict[str, str]]) -> bool:
        self.item = item
        return False

    def other_wins(self, item: dict[str, dict[str, str]]) -> bool:
        self.item = {**item, "token": {"S": "other"}}
        return False


def put(table: FakeTable, *steps: Step) -> tuple[Result[None, StoreFault], TableStore]:
    table.steps = list(steps)
    clock: Any = Clock()
    store = TableStore(table, "t", clock, clock.seconds)
    results: list[Result[None, StoreFault]] = []
    waiting = Deferred.fromCoroutine(store.put(Row("k", {}), 0))
    waiting.addCallback(results.append)
    return results[0], store


def test_write_that_took_effect_is_not_sent_again() -> None:
    table = FakeTable()
    result, store = put(table, table.lose_after)
    assert result == Ok(None)
    assert (table.calls, store.counts.resolved_by_read) == (2, 1)


def test_write_that_did_not_take_effect_is_sent_again() -> None:
    table = FakeTable()
    assert put(table, table.lose_before)[0] == Ok(None)
    assert table.item is not None


def test_lost_answer_and_another_writer_is_a_conflict() -> None:
    table = FakeTable()
    assert put(table, table.other_wins)[0] == Err(StoreFault.CONFLICT)
    assert table.item is not None
    assert table.item["token"] == {"S": "other"}


def test_delayed_first_attempt_is_recognised_on_conflict() -> None:
    """The first attempt takes effect only after the read that missed it."""
    table = FakeTable()

    def take_effect_first(item: dict[str, dict[str, str]]) -> bool:
        table.item = item
        return True

    assert put(table, table.lose_before, take_effect_first)[0] == Ok(None)


def test_breaker_probes_once_a_second() -> None:
    breaker = CircuitBreaker()
    for _ in range(3):
        assert breaker.allow(10.0)
        breaker.record_failure(10.0)
    assert not breaker.allow(10.9)
    assert breaker.allow(11.0)
    assert not breaker.allow(11.5)  # while the probe is under way
    breaker.record_answer()
    assert breaker.allow(11.6)
