"""Tests for the life cycle of upstreams, also with late observations."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from samphirebend.addresses import Address
from samphirebend.callerblocks import empty_table
from samphirebend.manifest import Manifest, Region, Service, Upstream
from samphirebend.upstreamrecord import (
    DispatchOutcome,
    LifecycleState,
    ListedState,
    Report,
)
from samphirebend.upstreamstate import COLD_RAMP_S, UpstreamStates

FAILED = DispatchOutcome.FAILED
ANSWERED = DispatchOutcome.ANSWERED


def make_manifest(count: int) -> Manifest:
    upstreams = [
        Upstream(f"u{i}", "s", "r", "d", Address("127.0.0.1", 9000 + i), 3, 300)
        for i in range(count)
    ]
    services = [Service("s", True, 5.0, 1000, upstreams)]
    regions = [Region("r", 100, ["d"])]
    return Manifest("o", "latency", regions, [], [], services, empty_table())


def make_states(count: int = 6) -> UpstreamStates:
    states = UpstreamStates("r")
    states.apply(make_manifest(count), 0.0)
    states.set_owned([f"u{i}" for i in range(count)])
    return states


def fail(states: UpstreamStates, upstream: str, now: float, times: int = 4) -> None:
    for _ in range(times):
        states.record_dispatch(upstream, now)
        states.record_outcome(upstream, FAILED, now, now + 0.01)


def report(instance: str, draining: bool = False) -> Report:
    return Report(instance, False, draining, 0)


def test_first_manifest_is_warm_and_later_upstreams_ramp() -> None:
    # Limiting all upstreams when a daemon starts would refuse half of the
    # requests.
    states = make_states(2)
    assert states.limit("u0", 3, 0.0) == 3
    states.apply(make_manifest(3), 100.0)
    ramp = [states.limit("u2", 3, 100.0 + t) for t in (0.0, 5.0, COLD_RAMP_S)]
    assert ramp == [1, 2, 3]
    assert states.state("u2", 111.0) is LifecycleState.UP
    assert states.state("u0", 100.0) is LifecycleState.UP


def test_new_instance_ramps_and_ignores_late_answers_of_the_old_one() -> None:
    # A late answer of the old instance must not mark the new one as leaving.
    states = make_states()
    states.record_report("u0", report("a"), 1.0, 1.1)
    states.record_draining("u0", 2.0, 2.1)
    assert not states.accepts("u0", 2.2)
    states.record_report("u0", report("b"), 5.0, 5.1)
    states.record_draining("u0", 4.0, 5.2)
    states.record_report("u0", report("a", draining=True), 5.5, 5.6)
    assert states.limit("u0", 3, 5.6) == 1


@pytest.mark.parametrize("source", ["list", "answer", "report", "peer"])
def test_any_single_source_marks_an_upstream_as_leaving(source: str) -> None:
    # The first observation counts, even while all other sources show it as up.
    states = make_states()
    states.record_listed_state("u0", ListedState.SERVING, 0.5)
    states.record_report("u0", report("a"), 0.5, 0.6)
    if source == "list":
        states.record_listed_state("u0", ListedState.LEAVING, 1.0)
    elif source == "answer":
        states.record_draining("u0", 0.9, 1.0)
    elif source == "report":
        states.record_report("u0", report("a", draining=True), 0.9, 1.0)
    else:
        states.record_peer_leaving("p", 7, ["u0"], 1.0)
    states.record_report("u0", report("a"), 2.0, 2.1)
    states.record_outcome("u0", ANSWERED, 0.5, 2.2)
    if source != "list":
        states.record_listed_state("u0", ListedState.SERVING, 2.3)
    assert not states.accepts("u0", 3.0)
    assert states.leaving() == ([] if source == "peer" else ["u0"])


def test_list_ends_leaving_only_after_it_showed_it() -> None:
    # The list may lag and still show "serving" for a while after a drain
    # signal.
    states = make_states()
    states.record_listed_state("u0", ListedState.SERVING, 0.0)
    states.record_draining("u0", 1.0, 1.0)
    states.record_listed_state("u0", ListedState.SERVING, 2.0)
    assert not states.accepts("u0", 2.0)
    states.record_listed_state("u0", ListedState.LEAVING, 3.0)
    states.record_listed_state("u0", ListedState.ABSENT, 4.0)
    assert states.state("u0", 4.0) is LifecycleState.GONE
    states.record_listed_state("u0", ListedState.SERVING, 5.0)
    assert states.limit("u0", 3, 5.0) == 1


def test_late_return_in_list_does_not_end_a_newer_leaving() -> None:
    # The list's "serving" may be about an earlier instance.
    states = make_states()
    states.record_report("u0", report("a"), 0.0, 0.0)
    states.record_listed_state("u0", ListedState.LEAVING, 1.0)
    states.record_report("u0", report("b"), 2.0, 2.0)
    states.record_draining("u0", 3.0, 3.0)
    states.record_listed_state("u0", ListedState.SERVING, 4.0)
    assert not states.accepts("u0", 4.0)


def test_upstream_that_list_never_showed_is_unknown() -> None:
    # The list lags behind additions, so that absence alone must not make a new
    # upstream unusable.
    states = make_states()
    states.record_listed_state("u0", ListedState.ABSENT, 1.0)
    assert states.accepts("u0", 1.0)


def test_repeated_peer_report_does_not_affect_a_new_instance() -> None:
    # A peer that does not poll the upstream keeps reporting the old instance.
    states = make_states()
    states.record_report("u0", report("a"), 0.0, 0.0)
    states.record_peer_leaving("p", 7, ["u0"], 1.0)
    states.record_report("u0", report("b"), 2.0, 2.0)
    states.record_peer_leaving("p", 7, ["u0"], 2.5)
    assert states.accepts("u0", 2.5)


def test_peer_restart_does_not_end_leaving_but_withdrawal_does() -> None:
    # A restarted peer reports nothing because it has lost its state, not
    # because the upstream has returned.
    states = make_states()
    states.record_peer_leaving("p", 7, ["u0", "u1"], 1.0)
    states.record_peer_leaving("p", 7, ["u0"], 1.5)
    assert states.accepts("u1", 1.5)
    states.record_peer_leaving("p", 8, [], 2.0)
    assert not states.accepts("u0", 2.0)


def test_ejection_time_grows_with_each_failed_trial() -> None:
    # An ejected upstream must get one request per ejection, not a burst.
    states = make_states()
    fail(states, "u0", 1.0)
    assert not states.accepts("u0", 2.0)
    assert states.limit("u0", 3, 3.1) == 1
    states.record_dispatch("u0", 3.1)
    assert not states.accepts("u0", 3.1)
    states.record_outcome("u0", FAILED, 3.1, 3.2)
    assert not states.accepts("u0", 6.0)
    assert states.accepts("u0", 7.3)
    states.record_dispatch("u0", 7.3)
    states.record_outcome("u0", ANSWERED, 0.9, 7.4)  # sent before the ejection
    assert not states.accepts("u0", 7.4)
    states.record_outcome("u0", ANSWERED, 7.3, 7.5)
    assert states.limit("u0", 3, 7.5) == 3


def test_failure_share_ejects_without_consecutive_failures() -> None:
    # If every second request fails, there are no consecutive failures.
    states = make_states()
    for step in range(12):
        outcome = FAILED if step % 2 else ANSWERED
        states.record_outcome("u0", outcome, step * 0.1, step * 0.1 + 0.05)
    assert states.state("u0", 2.0) is LifecycleState.EJECTED


def test_only_upstream_is_never_ejected() -> None:
    # If it were ejected, the host would refuse all requests of the service.
    states = make_states(1)
    fail(states, "u0", 1.0, times=50)
    assert states.accepts("u0", 1.1)


def test_usage_of_old_reports_is_unknown_and_not_zero() -> None:
    # Without new reports, an upstream must not seem idle.
    states = make_states()
    states.record_report("u0", report("a"), 1.0, 1.2)
    assert states.reported_in_use("u0", 5.9) == 0
    assert states.reported_in_use("u0", 6.1) is None


def test_service_latency_is_unknown_before_the_first_answer() -> None:
    # Failures are no latency samples: fast ones must not lower the mean.
    states = make_states()
    fail(states, "u0", 1.0, times=1)
    assert states.service_latency_s("s") is None
    states.record_outcome("u0", ANSWERED, 2.0, 2.2)
    states.record_outcome("u1", ANSWERED, 2.0, 2.4)
    assert states.service_latency_s("s") == pytest.approx(0.3)


EVENTS = st.tuples(
    st.sampled_from(["fail", "ok", "drain", "list", "absent", "serve", "peer", "same"]),
    st.integers(0, 6),
    st.floats(0.0, 3.0),
)


@given(st.integers(1, 7), st.lists(EVENTS, max_size=80))
def test_ejected_share_and_leaving_hold_under_any_order(
    count: int, events: list[tuple[str, int, float]]
) -> None:
    # At most a third of the upstreams, but at least one of several, may be
    # ejected. While the instance stays the same, only the list may end
    # leaving.
    states = make_states(count)
    now = 0.0
    leaving: set[str] = set()
    for kind, index, step_s in events:
        now += step_s
        name = f"u{index % count}"
        if kind == "fail":
            fail(states, name, now)
        elif kind == "ok":
            states.record_dispatch(name, now)
            states.record_outcome(name, ANSWERED, now, now)
        elif kind == "drain":
            states.record_draining(name, now, now)
            leaving.add(name)
        elif kind == "list":
            states.record_listed_state(name, ListedState.LEAVING, now)
            leaving |= (
                {name} if states.state(name, now) is LifecycleState.LEAVING else set()
            )
        elif kind == "absent":
            states.record_listed_state(name, ListedState.ABSENT, now)
        elif kind == "serve":
            states.record_listed_state(name, ListedState.SERVING, now)
            if states.accepts(name, now):
                leaving.discard(name)
        elif kind == "peer":
            states.record_peer_leaving("p", 1, [name], now)
        else:
            states.record_report(name, report("only"), now, now)
        names = [f"u{i}" for i in range(count)]
        assert not any(states.accepts(item, now) for item in leaving)
        ejected = sum(states.state(n, now) is LifecycleState.EJECTED for n in names)
        assert ejected <= (0 if count < 2 else max(1, count // 3))


def test_broken_connection_ramps_until_a_report_confirms_the_instance() -> None:
    # An upstream whose restart was not noticed got its full share of requests
    # while it was cold.
    states = make_states()
    states.record_report("u0", report("first"), 1.0, 1.0)
    states.record_connection_failure("u0", 2.0, 2.0)
    assert states.limit("u0", 3, 2.0) == 1
    # This report was requested before the connection broke.
    states.record_report("u0", report("first"), 1.9, 2.1)
    assert states.limit("u0", 3, 2.1) == 1
    states.record_report("u0", report("first"), 2.2, 2.3)
    assert states.limit("u0", 3, 2.3) == 3
    states.record_connection_failure("u0", 3.0, 3.0)
    states.record_report("u0", report("second"), 4.0, 4.0)
    assert states.state("u0", 4.0) is LifecycleState.COLD
    # This failure is of the first instance.
    states.record_connection_failure("u0", 3.9, 4.1)
    assert states.limit("u0", 3, 4.0 + COLD_RAMP_S) == 3


def test_broken_connection_without_reports_ramps_by_time() -> None:
    # Without reports, the limit must rise with time instead of staying low.
    states = make_states()
    states.record_connection_failure("u0", 2.0, 2.0)
    ramp = [states.limit("u0", 3, 2.0 + t) for t in (0.0, 5.0, COLD_RAMP_S)]
    assert ramp == [1, 2, 3]
