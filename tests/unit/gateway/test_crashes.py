"""Requests that crash upstreams are refused, and innocent ones are not."""

from __future__ import annotations

from samphirebend.gateway.crashes import (
    MAX_SHARED_SUSPECTS,
    MAX_SUSPECTS,
    QUARANTINE_S,
    CrashTracker,
)


def test_a_request_that_crashed_three_upstreams_is_refused_for_a_while() -> None:
    """Guards upstreams against a request that its caller sends again and again."""
    watch = CrashTracker()
    for number in range(3):
        assert watch.quarantine_left_s(7, 10.0) == 0.0
        watch.note_crash(7, f"u{number}", 10.0)
    assert watch.quarantine_left_s(7, 11.0) == QUARANTINE_S - 1.0
    assert watch.quarantine_left_s(7, 10.0 + QUARANTINE_S) == 0.0
    watch.note_crash(7, "u9", 100.0)
    assert watch.quarantine_left_s(7, 100.0) > 0.0


def test_an_answer_clears_a_request_that_was_there_at_a_crash() -> None:
    """Guards popular requests against a few crashes of upstreams in a row."""
    watch = CrashTracker()
    for number in range(10):
        watch.note_crash(7, f"u{number}", 10.0)
        watch.note_answer(7)
    assert watch.quarantine_left_s(7, 10.0) == 0.0
    assert len(watch) == 0


def test_one_upstream_that_is_down_counts_once() -> None:
    watch = CrashTracker()
    for _ in range(5):
        watch.note_crash(7, "u1", 10.0)
    assert watch.quarantine_left_s(7, 10.0) == 0.0


def test_an_upstream_that_crashes_again_after_its_return_counts_again() -> None:
    """Guards an upstream that is tried again against the request that crashed it."""
    watch = CrashTracker()
    for number in range(3):
        watch.note_crash(7, "u1", 10.0 + number)
    assert watch.quarantine_left_s(7, 13.0) > 0.0


def test_crashes_add_up_over_hosts() -> None:
    """Guards against three crashes at each host to which the caller returns."""
    hosts = [CrashTracker() for _ in range(3)]
    for number, host in enumerate(hosts):
        assert host.quarantine_left_s(7, 10.0) == 0.0
        host.note_crash(7, f"u{number}", 10.0)
        for other in hosts:
            if other is not host:
                other.merge(host.suspects_to_share(10.0), 10.1)
    assert all(host.quarantine_left_s(7, 10.2) > 0.0 for host in hosts)


def test_hearsay_is_not_passed_on() -> None:
    """Guards against hosts that renew each other's suspects for ever."""
    first, second = CrashTracker(), CrashTracker()
    first.note_crash(7, "u1", 10.0)
    second.merge(first.suspects_to_share(10.0), 10.0)
    assert second.suspects_to_share(10.0) == []


def test_state_and_heartbeats_are_bounded() -> None:
    watch = CrashTracker()
    for number in range(10 * MAX_SUSPECTS):
        watch.note_crash(number, "u1", 10.0)
    assert len(watch) == MAX_SUSPECTS
    assert len(watch.suspects_to_share(10.0)) == MAX_SHARED_SUSPECTS
    assert watch.suspects_to_share(1000.0) == []
