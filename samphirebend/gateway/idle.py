"""Limits how long a connection may have been idle before it is reused.

Upstreams announce how long they keep idle connections, but some silently drop
them sooner. The next request on such a connection is reset, and if it is not
idempotent, it is lost. A reset of an idle connection therefore lowers the idle
limit of this host, which is sent to the other hosts in heartbeats. Without
resets the limit grows back.
"""

from __future__ import annotations

from typing import Final

# Upstreams keep idle connections at least this long; a reset after a shorter
# idle time has another cause.
MIN_KEEP_ALIVE_S: Final = 0.2
# An upstream that has dropped a connection resets it within this time after
# the request; a reset by an upstream that ran the request comes later.
PROMPT_RESET_S: Final = 0.2
# Upper bounds of the limit. The one for idempotent requests is higher because
# a reset costs them only a retry.
MAX_IDLE_IDEMPOTENT_S: Final = 9.0
MAX_IDLE_NON_IDEMPOTENT_S: Final = 6.0
MIN_IDLE_S: Final = 0.05  # lower bound of the limit
# New limit after a reset, as a fraction of the connection's idle time.
SHRINK_FACTOR: Final = 0.5
DOUBLING_TIME_S: Final = 4.0  # time in which the limit doubles without resets
# A peer's limit is adopted only below this fraction of the own limit. Hosts
# that learned of the same reset hear each other's slightly older limits, which
# would otherwise keep all of them from growing back.
MERGE_THRESHOLD: Final = 0.7


class IdleLimit:
    """Idle limit of a host, learned from resets by all its upstreams."""

    __slots__ = ("_limit_s", "_updated_at")

    def __init__(self) -> None:
        self._limit_s = MAX_IDLE_IDEMPOTENT_S
        self._updated_at = 0.0

    def allowed_s(self, idempotent: bool, now: float) -> float:
        """Return the longest idle time for a reused connection, in seconds."""
        growth = 2.0 ** min(30.0, (now - self._updated_at) / DOUBLING_TIME_S)
        max_s = MAX_IDLE_IDEMPOTENT_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        return min(max_s, self._limit_s * growth)

    def record_reset(self, idle_s: float, elapsed_s: float, now: float) -> None:
        """Record that a reused connection was reset.

        `idle_s` is its idle time before the request, and `elapsed_s` the time
        from the request to the reset.
        """
        if elapsed_s > PROMPT_RESET_S or idle_s < MIN_KEEP_ALIVE_S:
            return
        limit_s = min(self.allowed_s(True, now), idle_s * SHRINK_FACTOR)
        self._limit_s = max(MIN_IDLE_S, limit_s)
        self._updated_at = now

    def merge(self, peer_limit_s: float, now: float) -> None:
        """Adopt another host's limit if it is clearly lower."""
        if peer_limit_s < MERGE_THRESHOLD * self.allowed_s(True, now):
            self._limit_s = max(MIN_IDLE_S, peer_limit_s)
            self._updated_at = now
