"""Tests how the store resolves writes whose response was lost.

Guards against a repeated write and against a wrong report of success or
conflict. The fake table can lose a response before or after the write takes
effect and can let another process write in between.
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

WriteHandler = Callable[[dict[str, dict[str, str]]], bool]


class FakeTable:
    """A table of one row; each of the write handlers handles one write."""

    def __init__(self) -> None:
        self.item: dict[str, dict[str, str]] | None = None
        # Each returns whether the write is processed as usual; otherwise the
        # response is lost.
        self.write_handlers: list[WriteHandler] = []
        self.calls = 0

    async def call(self, operation: str, body: bytes) -> HttpResponse:
        self.calls += 1
        request = json.loads(body)
        if operation == "GetItem":
            item = {} if self.item is None else {"Item": self.item}
            return HttpResponse(200, json.dumps(item).encode())
        if self.write_handlers and not self.write_handlers.pop(0)(request["Item"]):
            raise ConnectionError
        expected = request.get("ExpressionAttributeValues", {}).get(":r")
        if expected != (self.item["revision"] if self.item else None):
            return HttpResponse(400, b'{"__type": "x#ConditionalCheckFailedException"}')
        self.item = request["Item"]
        return HttpResponse(200, b"{}")

    async def close(self) -> None:
        pass

    def lose_before_effect(self, item: dict[str, dict[str, str]]) -> bool:
        return False

    def lose_after_effect(self, item: dict[str, dict[str, str]]) -> bool:
        self.item = item
        return False

    def write_of_another(self, item: dict[str, dict[str, str]]) -> bool:
        self.item = {**item, "token": {"S": "other"}}
        return False


def put(
    table: FakeTable, *write_handlers: WriteHandler
) -> tuple[Result[None, StoreFault], TableStore]:
    table.write_handlers = list(write_handlers)
    clock: Any = Clock()
    store = TableStore(table, "t", clock, clock.seconds)
    results: list[Result[None, StoreFault]] = []
    put_done = Deferred.fromCoroutine(store.put(Row("k", {}), 0))
    put_done.addCallback(results.append)
    return results[0], store


def test_write_that_took_effect_is_not_sent_again() -> None:
    """Guards against a second write when only the response was lost."""
    table = FakeTable()
    result, store = put(table, table.lose_after_effect)
    assert result == Ok(None)
    assert (table.calls, store.counts.resolved_by_read) == (2, 1)


def test_write_that_did_not_take_effect_is_sent_again() -> None:
    """Guards against failing a write that can safely be sent again."""
    table = FakeTable()
    assert put(table, table.lose_before_effect)[0] == Ok(None)
    assert table.item is not None


def test_lost_response_and_write_of_another_process_is_a_conflict() -> None:
    """Guards against overwriting another process's write.

    Also guards against reporting that write as this process's own.
    """
    table = FakeTable()
    assert put(table, table.write_of_another)[0] == Err(StoreFault.CONFLICT)
    assert table.item is not None
    assert table.item["token"] == {"S": "other"}


def test_delayed_first_attempt_is_recognised_on_conflict() -> None:
    """Guards against reporting a conflict of a write with itself.

    The first attempt takes effect after the read that did not find it.
    """
    table = FakeTable()

    def apply_delayed_write(item: dict[str, dict[str, str]]) -> bool:
        table.item = item
        return True

    assert put(table, table.lose_before_effect, apply_delayed_write)[0] == Ok(None)


def test_open_breaker_allows_one_probe_a_second() -> None:
    """Guards against the full rate of calls to a service that is down."""
    breaker = CircuitBreaker()
    for _ in range(3):
        assert breaker.allow(10.0)
        breaker.record_failure(10.0)
    assert not breaker.allow(10.9)
    assert breaker.allow(11.0)
    assert not breaker.allow(11.5)  # the probe is in progress
    breaker.record_response()
    assert breaker.allow(11.6)
