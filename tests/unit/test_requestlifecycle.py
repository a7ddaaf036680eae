"""Tests that no request that may have run is reported as not run."""

from __future__ import annotations

from hypothesis import given, strategies as st

from samphirebend.errorcodes import Outcome
from samphirebend.requestlifecycle import make_request_lifecycle

ENDS = st.sampled_from(
    ["attempt_refused", "attempt_uncertain", "attempt_answered", "open"]
)


@given(st.lists(ENDS, max_size=6))
def test_did_not_run_only_if_every_attempt_was_refused(ends: list[str]) -> None:
    lifecycle = make_request_lifecycle()
    for end in ends:
        lifecycle.begin_dispatch()
        assert lifecycle.outcome() is Outcome.UNKNOWN
        if end == "open":
            break
        getattr(lifecycle, end)()
    expected_not_run = all(end == "attempt_refused" for end in ends)
    assert (lifecycle.outcome() is Outcome.DID_NOT_RUN) == expected_not_run


@given(st.lists(ENDS, min_size=1, max_size=6))
def test_done_only_after_an_answer(ends: list[str]) -> None:
    lifecycle = make_request_lifecycle()
    for end in ends:
        lifecycle.begin_dispatch()
        if end == "open":
            break
        getattr(lifecycle, end)()
    assert (lifecycle.outcome() is Outcome.DONE) == (
        ends[-1] == "attempt_answered" and "open" not in ends
    )


def test_retry_after_an_answer_may_end_before_its_dispatch() -> None:
    lifecycle = make_request_lifecycle()
    lifecycle.begin_dispatch()
    lifecycle.attempt_answered()
    lifecycle.attempt_uncertain()
    assert lifecycle.outcome() is Outcome.DONE
