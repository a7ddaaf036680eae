"""For how long an idle connection to an upstream may rest before it is used again.

Upstreams state how long they keep idle connections, and some forget them sooner
without a word: what is sent next is reset, and a request that may not run twice is
then lost. A reset after a rest therefore shortens the rests allowed from then on, at
all hosts, which tell each other; while nothing is reset the allowed rest grows back.
"""

from __future__ import annotations

from typing import Final

# Upstreams keep connections for at least so long; a reset after a shorter rest has
# another cause.
MIN_KEEP_ALIVE_S: Final = 0.2
# An upstream that forgot a connection resets it at once; one that ran the request
# takes longer.
PROMPT_RESET_S: Final = 0.2
# Longest rests; a request that may run again only costs a further try when reset.
MAX_IDLE_IDEMPOTENT_S: Final = 9.0
MAX_IDLE_NON_IDEMPOTENT_S: Final = 6.0
MIN_IDLE_S: Final = 0.05
# Part of the rest after which a connection was reset that is still allowed.
SHRINK_FACTOR: Final = 0.5
DOUBLING_TIME_S: Final = 4.0
# A limit heard from another host counts if it is below this part of the own one:
# those that learned the same are a moment old, and would hold each other down.
MERGE_THRESHOLD: Final = 0.7


class IdleLimit:
    """The rest allowed now, learned from all upstreams of a host."""

    __slots__ = ("_limit_s", "_updated_at")

    def __init__(self) -> None:
        self._limit_s = MAX_IDLE_IDEMPOTENT_S
        self._updated_at = 0.0

    def allowed_s(self, idempotent: bool, now: float) -> float:
        """Return how long a connection may have rested, in seconds."""
        grown = 2.0 ** min(30.0, (now - self._updated_at) / DOUBLING_TIME_S)
        most_s = MAX_IDLE_IDEMPOTENT_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        return min(most_s, self._limit_s * grown)

    def note_reset(self, idle_s: float, elapsed_s: float, now: float) -> None:
        """Record that a connection was reset when it was used after a rest.

        `elapsed_s` is the time from the request to the reset.
        """
        if elapsed_s > PROMPT_RESET_S or idle_s < MIN_KEEP_ALIVE_S:
            return
        shortest = min(self.allowed_s(True, now), idle_s * SHRINK_FACTOR)
        self._limit_s = max(MIN_IDLE_S, shortest)
        self._updated_at = now

    def merge(self, heard_s: float, now: float) -> None:
        """Take the rest that another host allows, if that host has learned more."""
        if heard_s < MERGE_THRESHOLD * self.allowed_s(True, now):
            self._limit_s = max(MIN_IDLE_S, heard_s)
            self._updated_at = now
