"""Tests that retries neither amplify an outage nor repeat effects."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from samphirebend.errorcodes import ERROR_RESPONSES, ErrorKind, Outcome
from samphirebend.retries import (
    CRASH_RESERVE,
    RetryBudget,
    has_time_for_attempt,
    may_retry,
    reached_upstream,
)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.floats(0.0, 2.0)), max_size=300),
    st.booleans(),
)
def test_attempts_stay_within_the_share(
    steps: list[tuple[int, float]], crashes: bool
) -> None:
    # Retries may never exceed a tenth of the requests, from the first request
    # on. Retries after crashes may spend the reserve in addition.
    reserve = CRASH_RESERVE if crashes else 0.0
    budget, now, requests, retries = RetryBudget(), 0.0, 0, 0
    for choice, step_s in steps:
        now += step_s
        if choice:
            requests += choice
            for _ in range(choice):
                budget.record_request(now)
        else:
            while budget.take(now, crashes):
                retries += 1
        assert requests + retries <= 1.1 * requests + reserve


def test_new_host_has_budget_to_retry_after_a_crash() -> None:
    # Callers had moved to a host 0.4 s before an upstream crashed. The host
    # had earned no budget, and two of four reads in flight were answered with
    # an error.
    budget = RetryBudget()
    budget.record_request(0.0)
    assert not budget.take(0.0)
    assert all(budget.take(0.0, after_crash=True) for _ in range(4))


def test_reserve_does_not_decay_and_is_for_crashes_only() -> None:
    # Callers move between hosts every few seconds. A crash of an upstream just
    # after they had moved failed the requests that were still in flight.
    budget = RetryBudget()
    for step in range(500):
        budget.record_request(step / 100)
    now = 60.0
    assert budget.take(now)
    assert not budget.take(now), "the reserve was spent without a crash"
    allowed = sum(budget.take(now, after_crash=True) for _ in range(20))
    assert allowed == CRASH_RESERVE


def test_lasting_crashes_do_not_refill_the_reserve() -> None:
    # If every request crashes its upstream, retries must stay within the share
    # that requests earn.
    budget, rate_per_s, retries = RetryBudget(), 100, 0
    for step in range(20 * rate_per_s):
        now = step / rate_per_s
        budget.record_request(now)
        if now >= 10.0:
            retries += budget.take(now, after_crash=True)
    assert retries <= 0.1 * 10 * rate_per_s + CRASH_RESERVE


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_only_attempts_that_did_not_run_are_free(kind: ErrorKind) -> None:
    # Attempts that reach an upstream without being counted would overload it.
    if not reached_upstream(kind):
        assert ERROR_RESPONSES[kind].outcome is Outcome.DID_NOT_RUN
    assert reached_upstream(ErrorKind.UPSTREAM_REFUSED)


@pytest.mark.parametrize("rate_per_s", [2, 50, 1000])
def test_partial_outage_after_a_calm_time_stays_within_the_share(
    rate_per_s: int,
) -> None:
    # The budget of a long time without retries must not be spent at once when
    # all requests fail.
    budget, retries = RetryBudget(), 0
    for step in range(20 * rate_per_s):
        now = step / rate_per_s
        budget.record_request(now)
        if now >= 10.0:
            retries += budget.take(now)
    assert retries <= 0.1 * 10 * rate_per_s
    assert retries >= 0.05 * 10 * rate_per_s


def test_few_requests_still_get_a_retry() -> None:
    # At one request per 5 s, a decaying budget would never reach one retry.
    budget = RetryBudget()
    for step in range(12):
        budget.record_request(step * 5.0)
    assert budget.take(60.0)
    assert not budget.take(60.0)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_what_may_have_run_is_not_repeated(kind: ErrorKind) -> None:
    # A non-idempotent request must not have its effect twice.
    assert not may_retry(kind, True, answer_begun=True)
    assert not may_retry(kind, True, False, body_replayable=False)
    if ERROR_RESPONSES[kind].outcome is not Outcome.DID_NOT_RUN:
        assert not may_retry(kind, False, answer_begun=False)


def test_no_attempt_without_time_for_it() -> None:
    # An attempt that cannot end before the deadline would only add load.
    assert has_time_for_attempt(10.0, 0.5, 9.0)
    assert not has_time_for_attempt(10.0, 0.5, 9.6)
