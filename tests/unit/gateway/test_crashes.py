"""Tests the quarantine of requests that crash upstreams.

Guards upstreams against repeated crashes by one request, and other requests
against being refused because they were in flight during a crash.
"""

from __future__ import annotations

from samphirebend.gateway.crashes import (
    MAX_SHARED_SUSPECTS,
    MAX_SUSPECTS,
    QUARANTINE_S,
    CrashTracker,
)


def test_request_that_crashed_three_upstreams_is_quarantined() -> None:
    """Guards upstreams against a request that its caller keeps retrying."""
    tracker = CrashTracker()
    for number in range(3):
        assert tracker.quarantine_left_s(7, 10.0) == 0.0
        tracker.record_crash(7, f"u{number}", 10.0)
    assert tracker.quarantine_left_s(7, 11.0) == QUARANTINE_S - 1.0
    assert tracker.quarantine_left_s(7, 10.0 + QUARANTINE_S) == 0.0
    tracker.record_crash(7, "u9", 100.0)
    assert tracker.quarantine_left_s(7, 100.0) > 0.0


def test_response_clears_a_request_in_flight_during_a_crash() -> None:
    """Guards frequent requests against quarantine after several crashes."""
    tracker = CrashTracker()
    for number in range(10):
        tracker.record_crash(7, f"u{number}", 10.0)
        tracker.clear_suspect(7)
    assert tracker.quarantine_left_s(7, 10.0) == 0.0
    assert len(tracker) == 0


def test_losses_at_one_crashed_upstream_count_once() -> None:
    """Guards against quarantine after a single crash."""
    tracker = CrashTracker()
    for _ in range(5):
        tracker.record_crash(7, "u1", 10.0)
    assert tracker.quarantine_left_s(7, 10.0) == 0.0


def test_repeated_crash_of_one_upstream_counts_again() -> None:
    """Guards a restarted upstream against the request that crashed it."""
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(7, "u1", 10.0 + number)
    assert tracker.quarantine_left_s(7, 13.0) > 0.0


def test_crashes_add_up_over_hosts() -> None:
    """Guards against three crashes at each host that the caller retries at."""
    hosts = [CrashTracker() for _ in range(3)]
    for number, host in enumerate(hosts):
        assert host.quarantine_left_s(7, 10.0) == 0.0
        host.record_crash(7, f"u{number}", 10.0)
        for other in hosts:
            if other is not host:
                other.merge(host.suspects_to_share(10.0), 10.1)
    assert all(host.quarantine_left_s(7, 10.2) > 0.0 for host in hosts)


def test_suspects_of_peers_are_not_shared_again() -> None:
    """Guards against hosts that renew each other's suspects forever."""
    first, second = CrashTracker(), CrashTracker()
    first.record_crash(7, "u1", 10.0)
    second.merge(first.suspects_to_share(10.0), 10.0)
    assert second.suspects_to_share(10.0) == []


def test_number_of_suspects_is_bounded() -> None:
    """Guards against memory and heartbeats that grow with the crashes."""
    tracker = CrashTracker()
    for number in range(10 * MAX_SUSPECTS):
        tracker.record_crash(number, "u1", 10.0)
    assert len(tracker) == MAX_SUSPECTS
    assert len(tracker.suspects_to_share(10.0)) == MAX_SHARED_SUSPECTS
    assert tracker.suspects_to_share(1000.0) == []
