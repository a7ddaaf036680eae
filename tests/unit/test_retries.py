"""Guards against retries that amplify a brown-out or repeat an effect."""

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
    # Retries may never exceed a tenth of the requests, from the first one on. If all
    # of them follow crashes, the reserve may be spent besides.
    reserve = CRASH_RESERVE if crashes else 0.0
    budget, now, requests, retries = RetryBudget(), 0.0, 0, 0
    for choice, step_s in steps:
        now += step_s
        if choice:
            requests += choice
            for _ in range(choice):
                budget.note_request(now)
        else:
            while budget.take(now, crashes):
                retries += 1
        assert requests + retries <= 1.1 * requests + reserve


def test_victims_of_a_crash_are_retried_by_a_host_that_is_new_to_its_callers() -> None:
    # Callers had moved to a host 0.4 s before a crash there, and two of the four
    # reads in flight were answered with an error.
    budget = RetryBudget()
    budget.note_request(0.0)
    assert not budget.take(0.0)
    assert all(budget.take(0.0, after_crash=True) for _ in range(4))


def test_reserve_outlasts_the_savings_for_crashes_only() -> None:
    # Callers move between hosts every few seconds, and a crash of an upstream
    # just after that lost the requests still in flight there.
    budget = RetryBudget()
    for step in range(500):
        budget.note_request(step / 100)
    now = 60.0
    assert budget.take(now)
    assert not budget.take(now), "the reserve was spent without a crash"
    allowed = sum(budget.take(now, after_crash=True) for _ in range(20))
    assert allowed == CRASH_RESERVE


def test_lasting_crashes_do_not_refill_the_reserve() -> None:
    # If every request breaks its upstream, only the earned share may be spent.
    budget, rate_per_s, retries = RetryBudget(), 100, 0
    for step in range(20 * rate_per_s):
        now = step / rate_per_s
        budget.note_request(now)
        if now >= 10.0:
            retries += budget.take(now, after_crash=True)
    assert retries <= 0.1 * 10 * rate_per_s + CRASH_RESERVE


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_only_attempts_that_did_not_run_are_free(kind: ErrorKind) -> None:
    # An attempt that an upstream saw and that no budget counts adds load to it.
    if not reached_upstream(kind):
        assert ERROR_RESPONSES[kind].outcome is Outcome.DID_NOT_RUN
    assert reached_upstream(ErrorKind.UPSTREAM_REFUSED)


@pytest.mark.parametrize("rate_per_s", [2, 50, 1000])
def test_brown_out_after_calm_stays_within_the_share(rate_per_s: int) -> None:
    # Savings of a calm hour must not be spent at once when all requests fail.
    budget, retries = RetryBudget(), 0
    for step in range(20 * rate_per_s):
        now = step / rate_per_s
        budget.note_request(now)
        if now >= 10.0:
            retries += budget.take(now)
    assert retries <= 0.1 * 10 * rate_per_s
    assert retries >= 0.05 * 10 * rate_per_s


def test_few_requests_still_get_a_retry() -> None:
    # At one request per 5 s a decaying saving would never reach one retry.
    budget = RetryBudget()
    for step in range(12):
        budget.note_request(step * 5.0)
    assert budget.take(60.0)
    assert not budget.take(60.0)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_what_may_have_run_is_not_repeated(kind: ErrorKind) -> None:
    # A second run of a non-idempotent request makes a second ruling or print.
    assert not may_retry(kind, True, answer_begun=True)
    assert not may_retry(kind, True, False, body_replayable=False)
    if ERROR_RESPONSES[kind].outcome is not Outcome.DID_NOT_RUN:
        assert not may_retry(kind, False, answer_begun=False)


def test_no_attempt_without_time_for_it() -> None:
    assert has_time_for_attempt(10.0, 0.5, 9.0)
    assert not has_time_for_attempt(10.0, 0.5, 9.6)
