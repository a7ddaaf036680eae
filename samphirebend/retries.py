"""Retry budget, what may be retried, and the time that an attempt may take.

`requesthandler` asks here before each attempt after the first. Each host counts the
requests that its own callers sent; a relayed request is retried by the host
that the caller sent it to and by no other.
"""

from __future__ import annotations

import math
from typing import Final

from .errorcodes import ErrorKind

# Earned and saved shares add up to 10% over any 10 s or more: a brown-out may
# begin with the savings of one second.
BUDGET_PER_REQUEST: Final = 0.09
BURST_PER_REQUEST: Final = 0.1
BURST_DECAY_S: Final = 1.0
# A host with few requests may save one whole retry, however old.
MIN_BURST: Final = 1.0
# Retries kept for requests that were in flight on an upstream that broke: three
# crashes with four requests in flight. A crash hits several requests at once, often
# just after the callers have moved to a host that has earned nothing yet, so that a
# host begins with the whole reserve.
CRASH_RESERVE: Final = 12.0

# The request surely did not run; another upstream or host may run it.
_NOT_RUN_KINDS: Final = frozenset(
    {
        ErrorKind.CAP_REACHED,
        ErrorKind.CONNECT_FAILED,
        ErrorKind.HOST_ISOLATED,
        ErrorKind.HOST_STOPPING,
        ErrorKind.LEASE_LAPSED,
        ErrorKind.LINK_CAP_REACHED,
        ErrorKind.NO_MANIFEST,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.REGION_CAP_REACHED,
        ErrorKind.UPSTREAM_REFUSED,
    }
)
# Of these, the one that an upstream itself answered: it was an attempt.
_UNREACHED_KINDS: Final = _NOT_RUN_KINDS - {ErrorKind.UPSTREAM_REFUSED}
# The request may have run; running it twice is harmless if it is idempotent.
_MAY_HAVE_RUN_KINDS: Final = frozenset(
    {
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.UPSTREAM_BROKEN,
        ErrorKind.UPSTREAM_TIMEOUT,
        ErrorKind.WRONG_ANSWER,
    }
)


class RetryBudget:
    """Allows retries up to a share of the requests seen.

    Every retry spends what requests have earned before, so that attempts never
    exceed 1.1 times the requests. Beside it stands a reserve for the victims of a
    crash: it does not decay, savings that exceed their limit refill it, and a
    failure of another kind cannot spend it.
    """

    __slots__ = ("_budget", "_crash_budget", "_recent", "_recent_at")

    def __init__(self) -> None:
        self._budget = 0.0  # retries
        self._crash_budget = CRASH_RESERVE  # retries after a crash
        self._recent = 0.0  # decayed count of requests at _recent_at
        self._recent_at = -math.inf

    def _age(self, now: float) -> None:
        age_s = now - self._recent_at
        if age_s > 0:
            self._recent *= math.exp(-age_s / BURST_DECAY_S)
            self._recent_at = now
        most = max(MIN_BURST, BURST_PER_REQUEST * self._recent * BURST_DECAY_S)
        if self._budget > most:
            spare = self._budget - most
            self._crash_budget = min(CRASH_RESERVE, self._crash_budget + spare)
            self._budget = most

    def note_request(self, now: float) -> None:
        """Count a request of a caller of this host."""
        self._budget += BUDGET_PER_REQUEST
        self._recent += 1.0
        self._age(now)

    def take(self, now: float, after_crash: bool = False) -> bool:
        """Return whether one retry may be made now, and spend it."""
        self._age(now)
        if self._budget >= 1.0:
            self._budget -= 1.0
            return True
        if after_crash and self._crash_budget >= 1.0:
            self._crash_budget -= 1.0
            return True
        return False


def may_retry(
    kind: ErrorKind,
    idempotent: bool,
    answer_begun: bool,
    body_replayable: bool = True,
) -> bool:
    """Return whether a request that failed with the kind may be sent again.

    `answer_begun`: bytes of an answer were passed to the caller.
    `body_replayable`: the whole body is still held or was not yet read.

    >>> may_retry(ErrorKind.UPSTREAM_BROKEN, idempotent=False, answer_begun=False)
    False
    >>> may_retry(ErrorKind.UPSTREAM_REFUSED, idempotent=False, answer_begun=False)
    True
    """
    if answer_begun or not body_replayable:
        return False
    return kind in _NOT_RUN_KINDS or (idempotent and kind in _MAY_HAVE_RUN_KINDS)


def reached_upstream(kind: ErrorKind) -> bool:
    """Return whether an attempt that failed with the kind may have cost an upstream.

    One that surely did not needs no retry budget: the attempt that follows
    takes its place.

    >>> reached_upstream(ErrorKind.CONNECT_FAILED)
    False
    >>> reached_upstream(ErrorKind.UPSTREAM_REFUSED)
    True
    """
    return kind not in _UNREACHED_KINDS


def attempt_deadline(
    request_deadline: float, service_timeout_s: float, now: float
) -> float:
    """Return the time by which an attempt that starts now must end.

    >>> attempt_deadline(request_deadline=12.0, service_timeout_s=5.0, now=10.0)
    12.0
    """
    return min(request_deadline, now + service_timeout_s)


def has_time_for_attempt(
    request_deadline: float, expected_s: float, now: float
) -> bool:
    """Return whether an attempt of the expected length ends before the deadline.

    >>> has_time_for_attempt(request_deadline=12.0, expected_s=3.0, now=10.0)
    False
    """
    return now + max(0.0, expected_s) < request_deadline
