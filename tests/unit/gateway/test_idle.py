"""Tests the limit on the idle time of reused connections.

Guards against requests lost on connections that upstreams dropped silently,
and against needless new connections.
"""

from __future__ import annotations

from samphirebend.gateway.idle import (
    DOUBLING_TIME_S,
    MAX_IDLE_IDEMPOTENT_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
    IdleLimit,
)


def test_limit_is_high_without_resets() -> None:
    """Guards against an additional round trip for most requests."""
    limit = IdleLimit()
    assert limit.allowed_s(True, 100.0) == MAX_IDLE_IDEMPOTENT_S
    assert limit.allowed_s(False, 100.0) == MAX_IDLE_NON_IDEMPOTENT_S


def test_reset_of_an_idle_connection_lowers_the_limit() -> None:
    """Guards non-idempotent requests against silently dropped connections."""
    limit = IdleLimit()
    limit.record_reset(0.4, 0.01, 100.0)
    assert limit.allowed_s(False, 100.1) < 0.3
    assert limit.allowed_s(True, 100.1) < 0.3


def test_reset_of_a_busy_connection_keeps_the_limit() -> None:
    """Guards against new connections for all requests after a crash."""
    limit = IdleLimit()
    limit.record_reset(0.05, 0.01, 100.0)
    assert limit.allowed_s(True, 100.1) == MAX_IDLE_IDEMPOTENT_S


def test_later_reset_after_a_longer_idle_time_does_not_raise_the_limit() -> None:
    limit = IdleLimit()
    limit.record_reset(0.4, 0.01, 100.0)
    limit.record_reset(8.0, 0.01, 100.1)
    assert limit.allowed_s(True, 100.2) < 0.3


def test_limit_grows_back() -> None:
    """Guards against new connections for all requests after a single reset."""
    limit = IdleLimit()
    limit.record_reset(0.4, 0.01, 100.0)
    later = 100.0 + 8 * DOUBLING_TIME_S
    assert limit.allowed_s(True, later) == MAX_IDLE_IDEMPOTENT_S


def test_late_reset_keeps_the_limit() -> None:
    """Guards against new connections for all requests after lost responses."""
    limit = IdleLimit()
    limit.record_reset(0.3, 0.5, 100.0)
    assert limit.allowed_s(True, 100.1) == MAX_IDLE_IDEMPOTENT_S


def test_limit_is_adopted_by_other_hosts() -> None:
    """Guards against one lost request per host until all have learned."""
    first, second = IdleLimit(), IdleLimit()
    first.record_reset(0.4, 0.01, 100.0)
    second.merge(first.allowed_s(True, 100.0), 100.1)
    assert second.allowed_s(False, 100.2) < 0.3


def test_hosts_that_share_limits_do_not_keep_them_low() -> None:
    """Guards against hosts that keep adopting each other's old limits."""
    limits = [IdleLimit() for _ in range(5)]
    limits[0].record_reset(0.4, 0.01, 100.0)
    shared = [limit.allowed_s(True, 100.0) for limit in limits]
    now = 100.0
    for _ in range(3000):
        now += 0.1
        for limit in limits:
            for value in shared:
                limit.merge(value, now)
        shared = [limit.allowed_s(True, now) for limit in limits]
    assert all(limit.allowed_s(True, now) == MAX_IDLE_IDEMPOTENT_S for limit in limits)
