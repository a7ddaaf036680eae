"""Guards the table client against lost responses, races and outages.

The table service is a stand-in in its own process, reached over TCP.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest
from result import Err, Ok
from twisted.internet.task import deferLater

from samphirebend.options import Options
from samphirebend.tablestore import Row, RowWrite, StoreFault, TableStore, make_store

from ..reactor import on_reactor, reactor
from ..standins.launch import TableService


@pytest.fixture(scope="module")
def service() -> Iterator[TableService]:
    with TableService() as running:
        yield running


def connect(service: TableService, timeout_s: float = 1.0) -> TableStore:
    cfg = Options()
    cfg.table_url = service.url
    cfg.table_timeout_s = timeout_s
    return make_store(cfg, reactor)


@on_reactor
async def test_put_is_conditional_on_the_revision(service: TableService) -> None:
    """Guards against writes that overwrite a newer row."""
    store = connect(service)
    assert await store.get("row#1") == Ok(None)
    first = Row("row#1", {"name": "å", "count": 7, "body": b"\x00\xff"})
    assert await store.put(first, 0) == Ok(None)
    assert await store.put(Row("row#1", {}), 0) == Err(StoreFault.CONFLICT)
    assert await store.put(Row("row#1", {}), 9) == Err(StoreFault.CONFLICT)
    row = (await store.get("row#1")).unwrap()
    assert row is not None
    assert (row.revision, row.attributes) == (1, first.attributes)
    assert await store.put(row, 1) == Ok(None)
    assert row.revision == 2
    await store.stop()


@on_reactor
async def test_transaction_writes_all_rows_or_none(service: TableService) -> None:
    """Guards against a transaction that writes only some of its rows."""
    store = connect(service)
    await store.put(Row("tx#1", {"n": 1}), 0)
    both = [RowWrite(Row("tx#2", {}), None), RowWrite(Row("tx#1", {}), 0)]
    assert await store.commit_rows(both) == Err(StoreFault.CONFLICT)
    assert await store.get("tx#2") == Ok(None)
    both[1].expected_revision = 1
    assert await store.commit_rows(both) == Ok(None)
    assert (await store.get("tx#2")).unwrap() is not None
    await store.stop()


@on_reactor
async def test_lost_response_is_resolved_by_reading(service: TableService) -> None:
    """Guards against a conflict or fault for a write that took effect."""
    store = connect(service)
    service.set_faults(lose_answers=2)
    row = Row("lost#1", {"n": 1})
    assert await store.put(row, 0) == Ok(None)
    writes = [RowWrite(row, row.revision), RowWrite(Row("lost#2", {}), None)]
    assert await store.commit_rows(writes) == Ok(None)
    assert store.counts.resolved_by_read == 2
    stored = (await store.get("lost#1")).unwrap()
    assert stored is not None
    assert stored.revision == row.revision == 2
    await store.stop()


@on_reactor
async def test_circuit_breaker_fails_fast_and_recovers() -> None:
    """Guards against calls that wait for the timeout during an outage."""
    with TableService() as service:
        store = connect(service, timeout_s=0.2)
        await store.get("b#1")
        service.set_faults(delay_ms=600)
        for _ in range(3):
            assert await store.get("b#1") == Err(StoreFault.UNAVAILABLE)
        started = time.monotonic()
        assert await store.get("b#1") == Err(StoreFault.UNAVAILABLE)
        assert time.monotonic() - started < 0.1
        assert store.counts.failed_fast == 1
        service.set_faults(delay_ms=0, down=True)
        await deferLater(reactor, 1.0)
        assert await store.get("b#1") == Err(StoreFault.UNAVAILABLE)
        service.set_faults(down=False)
        before = store.last_answer_at()
        await deferLater(reactor, 1.05)
        assert await store.get("b#1") == Ok(None)
        assert store.last_answer_at() > before
        await store.stop()


@on_reactor
async def test_throttled_writes_are_repeated_then_unavailable() -> None:
    """Guards against throttled writes that are never or endlessly repeated."""
    with TableService("--writes-per-s", "1") as service:
        store = connect(service)
        assert await store.put(Row("t#1", {}), 0) == Ok(None)
        assert await store.put(Row("t#2", {}), 0) == Err(StoreFault.UNAVAILABLE)
        assert store.counts.throttled == 3
        assert await store.get("t#2") == Ok(None)
        await store.stop()


def test_list_of_upstreams_lags(service: TableService) -> None:
    """Guards the lag of the list of upstreams, on which drain tests rely."""
    entry = {"address": "127.0.0.1", "port": 9, "serving": True, "terminating": False}
    service.set_faults(endpoints=[entry], list_lag_s=0)
    (endpoint_slice,) = service.endpoint_slices()["items"]
    assert endpoint_slice["ports"][0]["port"] == 9
    assert endpoint_slice["endpoints"][0]["conditions"]["serving"] is True
    service.set_faults(list_lag_s=60)
    service.set_faults(endpoints=[entry | {"serving": False, "terminating": True}])
    (endpoint_slice,) = service.endpoint_slices()["items"]
    assert endpoint_slice["endpoints"][0]["conditions"]["serving"] is True
    service.set_faults(list_lag_s=0)
    (endpoint_slice,) = service.endpoint_slices()["items"]
    assert endpoint_slice["endpoints"][0]["conditions"]["serving"] is False
