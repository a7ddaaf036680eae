"""Tests for the ledger of idempotency keys.

They guard against a request that is executed twice, responses that fill the
memory, and repeats that wait for ever.
"""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok
from twisted.internet.defer import Deferred

from samphirebend.errorcodes import ErrorKind, Outcome
from samphirebend.ledger import (
    EPOCH_S,
    MAX_ANSWER_BYTES,
    MAX_STORED_BYTES,
    BufferedResponse,
    Ledger,
    RequestKey,
    parse_key,
)


@pytest.fixture
def ledger() -> Ledger:
    return Ledger("entry-1", 7, 0.0)


def issue(ledger: Ledger, now: float) -> RequestKey:
    key = parse_key(ledger.issue(now))
    assert key is not None
    return key


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0, 400, allow_nan=False)), max_size=40
    )
)
def test_a_key_is_new_at_most_once_at_any_time(steps: list[tuple[int, float]]) -> None:
    # A key that is new a second time would be executed a second time.
    ledger = Ledger("entry-1", 7, 0.0)
    keys = [issue(ledger, 0.0) for _ in range(4)]
    executed: set[int] = set()
    now = 0.0
    for index, pause in steps:
        now += pause
        begun = ledger.begin(keys[index], 1, now)
        if isinstance(begun, Ok) and begun.ok_value.is_new:
            assert index not in executed
            executed.add(index)


def test_key_older_than_the_previous_epoch_is_unknown(ledger: Ledger) -> None:
    # The ledger may have forgotten that the request was executed.
    key = issue(ledger, 0.0)
    assert ledger.begin(key, 1, 2 * EPOCH_S) == Err(ErrorKind.KEY_EXPIRED)


def test_key_of_another_incarnation_is_not_owned(ledger: Ledger) -> None:
    # The ledger of an earlier process is lost.
    key = issue(ledger, 0.0)
    assert not Ledger("entry-1", 8, 0.0).owns(key)


def test_key_of_an_epoch_to_come_is_malformed(ledger: Ledger) -> None:
    # This process cannot have issued it.
    key = RequestKey("entry-1", 7, 5, "ab" * 16)
    assert ledger.begin(key, 1, 0.0) == Err(ErrorKind.KEY_MALFORMED)


def test_key_with_another_request_is_refused(ledger: Ledger) -> None:
    # The caller would get the response to the first request.
    key = issue(ledger, 0.0)
    ledger.begin(key, 1, 0.0)
    assert ledger.begin(key, 2, 0.0) == Err(ErrorKind.KEY_MISMATCH)


def test_stored_answers_stay_within_their_limit(ledger: Ledger) -> None:
    # The oldest responses are dropped, but the outcomes of the requests stay.
    entries = []
    for _ in range(MAX_STORED_BYTES // MAX_ANSWER_BYTES + 2):
        entry = ledger.begin(issue(ledger, 0.0), 1, 0.0).unwrap().entry
        response = BufferedResponse(200, [], b"x" * MAX_ANSWER_BYTES)
        ledger.finish(entry, Outcome.DONE, None, response)
        entries.append(entry)
    stored_bytes = sum(len(e.answer.body) for e in entries if e.answer is not None)
    assert stored_bytes <= MAX_STORED_BYTES
    assert entries[-1].answer is not None
    assert entries[0].answer is None
    assert entries[0].outcome is Outcome.DONE


def test_finish_wakes_waiting_repeats(ledger: Ledger) -> None:
    # Otherwise repeats would wait until their deadline.
    entry = ledger.begin(issue(ledger, 0.0), 1, 0.0).unwrap().entry
    waiter: Deferred[None] = Deferred()
    entry.waiters.append(waiter)
    ledger.finish(entry, Outcome.UNKNOWN, ErrorKind.UPSTREAM_BROKEN, None)
    assert waiter.called


def test_repeat_that_timed_out_does_not_keep_others_waiting(ledger: Ledger) -> None:
    # Firing its waiter twice would raise an error before the others are woken.
    entry = ledger.begin(issue(ledger, 0.0), 1, 0.0).unwrap().entry
    timed_out: Deferred[None] = Deferred()
    waiting: Deferred[None] = Deferred()
    entry.waiters = [timed_out, waiting]
    timed_out.callback(None)
    ledger.finish(entry, Outcome.DONE, None, None)
    assert waiting.called
