"""Tests for the selection of the peer for a relay."""

from __future__ import annotations

from random import Random

from samphirebend.peerchoice import (
    SETTLING_TIME_S,
    RelayRequest,
    choose_peer,
    expected_free,
)
from samphirebend.relayhistory import RelayCandidate, RelayHistory


def make_request(own_free: int, size: int = 100, service: str = "s") -> RelayRequest:
    return RelayRequest(service, size, True, "a", own_free, 10, own_free, 10, 1.0)


def peer(host: str, region: str, free: int, delay_s: float = 0.02) -> RelayCandidate:
    return RelayCandidate(host, region, free, 10, free, 10, 1.0, delay_s, 0.0)


def choose(
    request: RelayRequest,
    candidates: list[RelayCandidate],
    measure: str,
    history: RelayHistory,
    now: float = 1.0,
    seed: int = 1,
    full_for_s: float = 4 * SETTLING_TIME_S,
) -> str | None:
    """Choose a peer in a region that has been full until now."""
    for since_s in (full_for_s, full_for_s / 2):
        history.record_overflow(request.service, now - since_s)
    return choose_peer(request, candidates, history, measure, now, Random(seed))


def moved_share(
    request: RelayRequest, candidate: RelayCandidate, measure: str
) -> float:
    chosen = [
        choose(request, [candidate], measure, RelayHistory(), seed=seed)
        for seed in range(400)
    ]
    return chosen.count(candidate.host) / len(chosen)


def test_peer_of_the_region_comes_first_and_then_the_nearest() -> None:
    # Guards against relays that take longer than necessary.
    far, near, local = peer("f", "c", 9, 0.05), peer("n", "b", 9), peer("l", "a", 9)
    history, request = RelayHistory(), make_request(0)
    local.delay_s = 0.001
    assert choose(request, [far, near, local], "latency", history) == "l"
    assert choose(request, [far, near], "latency", history) == "n"
    assert choose(request, [peer("n", "b", 1, 0.01)], "latency", history) == "n"
    assert choose(request, [peer("l", "a", 0)], "latency", history) is None


def test_request_stays_while_the_own_load_rises() -> None:
    # When load rose in all regions within half a second, hosts with free slots
    # relayed requests to regions that were full by the time they arrived.
    for own_free, host_free in ((10, 6), (4, 10)):
        history = RelayHistory()
        history.average_own_free(10, 0.0)
        request = make_request(own_free)
        request.host_free = host_free
        moved = {
            choose(request, [peer("n", "b", 9)], "headroom", history, seed=seed)
            for seed in range(40)
        }
        assert moved == {None}


def test_request_is_not_relayed_to_the_last_slots_of_another_region() -> None:
    # It would be refused there although it had a slot in its own region.
    request = make_request(1)
    assert moved_share(request, peer("n", "b", 2), "headroom") == 0.0
    assert moved_share(request, peer("n", "b", 3), "headroom") > 0.5


def test_likely_refusal_in_the_region_costs_more_than_the_delay() -> None:
    # A relay to a nearly full peer is probably refused and needs a second
    # relay.
    candidates = [peer("l", "a", 0, 0.001), peer("n", "b", 9)]
    assert choose(make_request(0), candidates, "latency", RelayHistory()) == "n"


def test_upload_stays_in_the_region_while_it_has_a_slot() -> None:
    # Relayed uploads saturate links of low bandwidth.
    candidates = [peer("l", "a", 2, 0.001), peer("n", "b", 10, 0.002)]
    request = make_request(0, size=10**7)
    for measure in ("latency", "headroom"):
        assert choose(request, candidates, measure, RelayHistory()) == "l"


def test_other_region_is_used_only_on_reports_newer_than_the_overflow() -> None:
    # When load rises in all regions at once, all have reported free slots
    # before.
    request, candidates = make_request(0), [peer("n", "b", 9), peer("l", "a", 1, 0.001)]
    # The report arrived at 1.0, after a delay of 0.02.
    for full_for_s, expected in ((SETTLING_TIME_S, "l"), (SETTLING_TIME_S + 0.03, "n")):
        history = RelayHistory()
        history.record_refused("l", "s", 0.9)
        chosen = choose(request, candidates, "latency", history, full_for_s=full_for_s)
        assert chosen == expected
    history = RelayHistory()
    choose(request, candidates[:1], "latency", history, now=1.0)
    # The start of an overflow that has ended does not count for a later one.
    assert (
        choose(request, candidates[:1], "latency", history, now=9.0, full_for_s=0.0)
        is None
    )


def test_answer_to_a_relay_replaces_an_older_heartbeat() -> None:
    # Slots that were free in a heartbeat 0.5 s ago may all be in use by now.
    history, request = RelayHistory(), make_request(0)
    candidate = peer("n", "b", 9)
    history.record_reported_free("n", "s", 0, 1.2)
    assert choose(request, [candidate], "latency", history, now=1.3) is None
    history.record_reported_free("n", "s", 7, 1.4)
    assert choose(request, [candidate], "latency", history, now=1.5) == "n"


def test_relays_in_flight_are_subtracted_from_the_free_slots() -> None:
    # Otherwise a peer would seem to have as many free slots as before until
    # its next heartbeat.
    history, request = RelayHistory(), make_request(0)
    candidates = [peer("l", "a", 2, 0.001)]
    for _ in range(2):
        assert choose(request, candidates, "latency", history) == "l"
        history.record_relay("l", "s", 1.0)
    assert choose(request, candidates, "latency", history) is None
    assert choose(request, candidates, "latency", history, now=2.5) == "l"


def test_refusal_replaces_the_reported_free_slots() -> None:
    # Otherwise a peer that reports free slots but refuses would be asked again
    # and again.
    history, request = RelayHistory(), make_request(0)
    candidates = [peer("l", "a", 9, 0.001), peer("k", "a", 3, 0.001)]
    assert choose(request, candidates, "latency", history, now=1.1) == "l"
    history.record_refused("l", "s", 1.1)
    assert choose(request, candidates, "latency", history, now=1.11) == "k"


def test_only_small_idempotent_requests_move_to_a_less_loaded_region() -> None:
    # Guards against uploads over the links and non-idempotent requests that
    # leave a region with free slots.
    less_loaded = peer("n", "b", 8)
    assert moved_share(make_request(2), less_loaded, "headroom") > 0.8
    assert moved_share(make_request(2, size=10**7), less_loaded, "headroom") == 0.0
    assert moved_share(make_request(9), less_loaded, "headroom") == 0.0
    request = make_request(2)
    request.idempotent = False
    assert moved_share(request, less_loaded, "headroom") == 0.0


def test_headroom_moves_more_than_latency_and_both_in_proportion() -> None:
    # Moving all or no requests on delayed reports makes the load oscillate.
    slight = peer("n", "b", 3)
    headroom = moved_share(make_request(2), slight, "headroom")
    latency = moved_share(make_request(2), slight, "latency")
    assert 0.2 < latency < 0.4 < headroom < 0.6


def test_stale_reports_decay_to_half_of_the_slots() -> None:
    # The last report of a peer that is silent must not steer traffic for long.
    history, candidate = RelayHistory(), peer("n", "b", 10)
    fresh = expected_free(candidate, make_request(0), history, 1.0)
    old = expected_free(candidate, make_request(0), history, 3600.0)
    assert fresh > 9.0
    assert 4.9 < old < 5.1
