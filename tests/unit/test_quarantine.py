"""Tests that a request that crashes upstreams is stopped after two crashes."""

from __future__ import annotations

from hypothesis import given, strategies as st

from samphirebend import quarantine as quarantine_module
from samphirebend.quarantine import Quarantine, Verdict
from samphirebend.suspects import Suspect, fingerprint


def crash(quarantine: Quarantine, fingerprint: int, upstream: str, now: float) -> None:
    """Crash an upstream that runs only this request."""
    quarantine.record_dispatch(fingerprint, upstream, now)
    assert quarantine.record_crash(upstream, now + 0.1) == [fingerprint]


def test_second_crash_blocks_for_ten_minutes() -> None:
    # Guards against a request that keeps crashing upstreams, and against one
    # that is never allowed again.
    quarantine = Quarantine()
    crash(quarantine, 1, "u", 0.0)
    assert quarantine.verdict(1, 0.2) is Verdict.ALONE
    quarantine.record_dispatch(1, "v", 0.2)
    # A repeat from another caller must not start a second trial meanwhile.
    assert quarantine.verdict(1, 0.3) is Verdict.WAIT
    assert quarantine.held_for_trial("v")
    quarantine.record_crash("v", 0.4)
    assert quarantine.verdict(1, 600.0) is Verdict.BLOCKED
    assert quarantine.verdict(1, 600.5) is Verdict.CLEAR


def test_resets_of_one_crash_count_once() -> None:
    # One crash resets all connections to the upstream, each of which is
    # reported.
    quarantine = Quarantine()
    quarantine.record_dispatch(1, "u", 0.0)
    quarantine.record_dispatch(2, "u", 0.0)
    assert sorted(quarantine.record_crash("u", 0.1)) == [1, 2]
    assert quarantine.record_crash("u", 0.1) == []
    assert [s.crashes for s in quarantine.suspects(0.2)] == [1, 1]


def test_answer_clears_only_suspects_that_never_crashed_alone() -> None:
    # A request that was merely in flight during a crash must be cleared. One
    # that crashed an upstream alone must stay a suspect.
    quarantine = Quarantine()
    quarantine.record_dispatch(1, "u", 0.0)
    quarantine.record_dispatch(2, "u", 0.0)
    quarantine.record_crash("u", 0.1)
    crash(quarantine, 3, "v", 0.0)
    for suspect in (1, 3):
        quarantine.record_dispatch(suspect, "w", 1.0)
        quarantine.record_answer(suspect, "w", 1.1)
    assert quarantine.verdict(1, 1.2) is Verdict.CLEAR
    assert quarantine.verdict(3, 1.2) is Verdict.ALONE
    assert quarantine.verdict(2, 59.0) is Verdict.ALONE
    assert quarantine.verdict(2, 60.2) is Verdict.CLEAR


def test_cancelled_trial_leaves_the_suspect_alone() -> None:
    # A caller that disconnects must not clear the suspect or block its trials.
    quarantine = Quarantine()
    crash(quarantine, 1, "u", 0.0)
    quarantine.record_dispatch(1, "v", 0.2)
    quarantine.record_end(1, "v")
    assert quarantine.verdict(1, 0.3) is Verdict.ALONE
    assert quarantine.idle("v")
    assert not quarantine.held_for_trial("v")


def test_upstream_is_held_until_the_last_claim_ends() -> None:
    # Other requests would keep a busy upstream from ever becoming idle.
    quarantine = Quarantine()
    quarantine.record_dispatch(9, "u", 0.0)
    quarantine.claim("u")
    quarantine.claim("u")
    assert quarantine.claimed("u")
    assert quarantine.held_for_trial("u")
    assert not quarantine.idle("u"), "what is in flight has not ended"
    quarantine.release_claim("u")
    assert quarantine.held_for_trial("u")
    quarantine.release_claim("u")
    assert not quarantine.held_for_trial("u")
    quarantine.release_claim("u")
    assert not quarantine.claimed("u")


def test_trial_begins_before_its_connection_is_open() -> None:
    # While a connection is being opened, a second trial of the same request
    # could start and crash a third upstream.
    quarantine = Quarantine()
    quarantine.merge([Suspect(1, 1)], 0.0)
    quarantine.record_connect(1, "u", 0.1)
    assert quarantine.verdict(1, 0.1) is Verdict.WAIT
    assert quarantine.held_for_trial("u")
    assert not quarantine.idle("u")
    quarantine.record_connect_end(1, "u")  # the connection could not be opened
    assert quarantine.verdict(1, 0.2) is Verdict.ALONE
    assert not quarantine.held_for_trial("u")
    assert quarantine.idle("u")


def test_no_trial_beside_a_request_that_is_connecting() -> None:
    # The request would be in flight together with the suspect.
    quarantine = Quarantine()
    quarantine.record_connect(9, "u", 0.0)
    assert not quarantine.idle("u")
    assert not quarantine.held_for_trial("u"), "9 is no suspect"
    quarantine.record_connect_end(9, "u")
    quarantine.record_dispatch(9, "u", 0.1)
    assert not quarantine.idle("u")


def test_second_copy_that_cannot_connect_ends_no_trial() -> None:
    # The first copy is still in flight, and another trial could crash one more
    # upstream.
    quarantine = Quarantine()
    quarantine.merge([Suspect(1, 1)], 0.0)
    quarantine.record_dispatch(1, "u", 0.0)
    quarantine.record_connect(1, "u", 0.1)
    quarantine.record_connect_end(1, "u")
    assert quarantine.verdict(1, 0.2) is Verdict.WAIT
    assert quarantine.held_for_trial("u")


def test_hosts_do_not_extend_each_others_suspects() -> None:
    # Reports that are passed on would circulate indefinitely.
    first, second = Quarantine(), Quarantine()
    first.record_dispatch(1, "u", 0.0)
    first.record_crash("u", 0.0)
    for tick in range(200):
        now = tick * 0.5
        second.merge(first.suspects(now), now)
        first.merge(second.suspects(now), now)
    assert first.verdict(1, 70.0) is Verdict.CLEAR
    assert second.verdict(1, 70.0) is Verdict.CLEAR


def test_crash_reported_by_a_peer_counts_towards_the_block() -> None:
    # Otherwise a request could crash two upstreams on each host.
    quarantine = Quarantine()
    quarantine.merge([Suspect(1, 1)], 0.0)
    assert quarantine.verdict(1, 0.0) is Verdict.ALONE
    crash(quarantine, 1, "u", 0.1)
    assert quarantine.verdict(1, 0.3) is Verdict.BLOCKED
    quarantine.merge([Suspect(1, 1)], 0.4)
    assert quarantine.verdict(1, 0.5) is Verdict.BLOCKED


def test_parts_of_a_fingerprint_do_not_shift() -> None:
    # A harmless request must not get the fingerprint of a blocked one.
    assert fingerprint("ab", "c", "d", b"") != fingerprint("a", "bc", "d", b"")


def test_size_is_bounded() -> None:
    # Memory must not grow with each suspect. The oldest is dropped.
    quarantine = Quarantine()
    crashed = [Suspect(n, 1) for n in range(quarantine_module.MAX_SUSPECTS + 10)]
    quarantine.merge(crashed, 0.0)
    assert quarantine.verdict(0, 0.0) is Verdict.CLEAR
    assert quarantine.verdict(quarantine_module.MAX_SUSPECTS, 0.0) is Verdict.ALONE


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=60))
def test_repeated_request_crashes_at_most_two(steps: list[tuple[int, int]]) -> None:
    # Guards against a caller that repeats the request through other hosts.
    # Suspects are reported to the peers before each repeat.
    hosts = [Quarantine() for _ in range(4)]
    now, crashes = 0.0, 0
    for index, neighbours in steps:
        now += 0.1
        host, upstream = hosts[index], f"u{index}"
        verdict = host.verdict(99, now)
        if verdict in (Verdict.BLOCKED, Verdict.WAIT):
            continue
        if verdict is Verdict.CLEAR:
            for other in range(neighbours):
                if host.verdict(other, now) is Verdict.CLEAR:
                    host.record_dispatch(other, upstream, now)
        host.record_dispatch(99, upstream, now)
        host.record_crash(upstream, now)
        crashes += 1
        for peer in hosts:
            peer.merge(host.suspects(now), now)
    assert crashes <= 2
