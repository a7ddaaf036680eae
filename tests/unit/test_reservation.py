"""Tests for the slots that are reserved for local requests."""

from __future__ import annotations

from hypothesis import given, strategies as st

from samphirebend.reservation import FALL_S, TrunkReservation

TOTAL = 20


def test_local_usage_and_its_variation_are_reserved() -> None:
    # Guards against local requests that are refused because overflow requests
    # hold the slots. Besides the nine slots in use, two standard deviations of
    # their number are reserved: twice the square root of nine.
    reservation = TrunkReservation()
    assert reservation.available("s", TOTAL, 0.0) == TOTAL
    for _ in range(9):
        reservation.record_begin("s", 0.0)
    assert reservation.available("s", TOTAL - 9, 0.0) == TOTAL - 9 - 6
    assert reservation.available("other", TOTAL, 0.0) == TOTAL


def test_overflow_cannot_fill_a_short_dip_of_the_local_load() -> None:
    # Long overflow requests would still hold the slots when the load returns.
    reservation, now = TrunkReservation(), 10 * FALL_S
    for _ in range(9):
        reservation.record_begin("s", 0.0)
    reservation.available("s", TOTAL - 9, now)
    for _ in range(9):
        reservation.record_end("s", now)
    assert reservation.available("s", TOTAL, now + 0.1) <= TOTAL - 9
    assert reservation.available("s", TOTAL, 2 * now) >= TOTAL - 1


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 3.0))))
def test_overflow_never_gets_more_than_the_free_slots(
    events: list[tuple[bool, float]],
) -> None:
    # Peers would relay requests that are then refused.
    reservation, now, in_use = TrunkReservation(), 0.0, 0
    for begins, wait_s in events:
        now += wait_s
        if begins and in_use < TOTAL:
            reservation.record_begin("s", now)
            in_use += 1
        elif in_use:
            reservation.record_end("s", now)
            in_use -= 1
        assert 0 <= reservation.available("s", TOTAL - in_use, now) <= TOTAL - in_use
