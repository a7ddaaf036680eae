"""Idle connections: reused for long, and shorter once upstreams forget them."""

from __future__ import annotations

from samphirebend.gateway.idle import (
    DOUBLING_TIME_S,
    MAX_IDLE_IDEMPOTENT_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
    IdleLimit,
)


def test_connections_rest_long_while_none_is_reset() -> None:
    """Guards against a new connection, a round trip more, for most requests."""
    limit = IdleLimit()
    assert limit.allowed_s(True, 100.0) == MAX_IDLE_IDEMPOTENT_S
    assert limit.allowed_s(False, 100.0) == MAX_IDLE_NON_IDEMPOTENT_S


def test_a_reset_after_a_rest_shortens_the_next_rests() -> None:
    """Guards requests that run once against upstreams that forget connections."""
    limit = IdleLimit()
    limit.note_reset(0.4, 0.01, 100.0)
    assert limit.allowed_s(False, 100.1) < 0.3
    assert limit.allowed_s(True, 100.1) < 0.3


def test_a_crash_of_busy_upstreams_does_not_shorten_rests() -> None:
    """Guards against new connections for all requests after an upstream crashed."""
    limit = IdleLimit()
    limit.note_reset(0.05, 0.01, 100.0)
    assert limit.allowed_s(True, 100.1) == MAX_IDLE_IDEMPOTENT_S


def test_a_later_reset_after_a_long_rest_does_not_allow_more() -> None:
    limit = IdleLimit()
    limit.note_reset(0.4, 0.01, 100.0)
    limit.note_reset(8.0, 0.01, 100.1)
    assert limit.allowed_s(True, 100.2) < 0.3


def test_the_allowed_rest_grows_back() -> None:
    limit = IdleLimit()
    limit.note_reset(0.4, 0.01, 100.0)
    later = 100.0 + 8 * DOUBLING_TIME_S
    assert limit.allowed_s(True, later) == MAX_IDLE_IDEMPOTENT_S


def test_an_answer_lost_after_its_work_says_nothing_of_rests() -> None:
    """Guards against new connections for all requests when answers are lost."""
    limit = IdleLimit()
    limit.note_reset(0.3, 0.5, 100.0)
    assert limit.allowed_s(True, 100.1) == MAX_IDLE_IDEMPOTENT_S


def test_what_one_host_learned_holds_at_the_others() -> None:
    """Guards against one lost request at each host before all have learned."""
    first, second = IdleLimit(), IdleLimit()
    first.note_reset(0.4, 0.01, 100.0)
    second.merge(first.allowed_s(True, 100.0), 100.1)
    assert second.allowed_s(False, 100.2) < 0.3


def test_hosts_that_tell_each_other_do_not_hold_the_rest_down() -> None:
    limits = [IdleLimit() for _ in range(5)]
    limits[0].note_reset(0.4, 0.01, 100.0)
    heard = [limit.allowed_s(True, 100.0) for limit in limits]
    now = 100.0
    for _ in range(3000):
        now += 0.1
        for limit in limits:
            for value in heard:
                limit.merge(value, now)
        heard = [limit.allowed_s(True, now) for limit in limits]
    assert all(limit.allowed_s(True, now) == MAX_IDLE_IDEMPOTENT_S for limit in limits)
