"""Retry budget, rules for retries, and time limits of attempts.

`dispatch` checks the budget and the rules before each attempt after the first.
Each host counts only the requests that callers sent to it. A relayed request
that may have reached an upstream is retried only by the host that received it
from the caller.
"""

from __future__ import annotations

import math
from typing import Final

from .errorcodes import ErrorKind

# Retries added to the budget by each request.
BUDGET_PER_REQUEST: Final = 0.09
# Maximum unspent budget per recent request, and the time constant in seconds
# with which the count of recent requests decays. A partial outage may thus
# begin with a burst of 10% of the requests of one second. With the budget that
# requests add meanwhile, retries stay within 10% of the requests over any
# period of 10 s or more.
BURST_PER_REQUEST: Final = 0.1
BURST_DECAY_S: Final = 1.0
# Budget that a host may keep however old it is, so that a host with few
# requests can save up for one whole retry.
MIN_BURST: Final = 1.0
# Retries reserved for requests that were in flight on an upstream that
# crashed: enough for three crashes with four requests in flight each. A crash
# hits several requests at once, often just after their callers have moved to a
# host whose budget they have not added to yet. A host therefore starts with
# the full reserve.
CRASH_RESERVE: Final = 12.0

# Errors after which the request certainly did not run, so that another
# upstream or host may run it.
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
# Errors of _NOT_RUN_KINDS after which no upstream has done any work. An
# upstream that refused a request had to send a response.
_UNREACHED_KINDS: Final = _NOT_RUN_KINDS - {ErrorKind.UPSTREAM_REFUSED}
# Errors after which the request may have run, so that only an idempotent
# request may be retried.
_MAY_HAVE_RUN_KINDS: Final = frozenset(
    {
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.UPSTREAM_BROKEN,
        ErrorKind.UPSTREAM_TIMEOUT,
        ErrorKind.WRONG_ANSWER,
    }
)


class RetryBudget:
    """Limits retries to a share of the requests.

    Every retry spends budget that earlier requests have added, so that
    attempts never exceed 1.1 times the requests. A separate reserve is for
    requests that were in flight on an upstream that crashed. It does not
    decay, is refilled by budget that exceeds its maximum, and cannot be spent
    after other failures.
    """

    __slots__ = ("_budget", "_crash_budget", "_recent", "_recent_at")

    def __init__(self) -> None:
        self._budget = 0.0  # retries
        self._crash_budget = CRASH_RESERVE  # retries after a crash
        self._recent = 0.0  # decayed count of requests at `_recent_at`
        self._recent_at = -math.inf

    def _decay(self, now: float) -> None:
        """Decay the count of recent requests and cap the budget.

        Budget above the maximum goes to the reserve for crashes.
        """
        age_s = now - self._recent_at
        if age_s > 0:
            self._recent *= math.exp(-age_s / BURST_DECAY_S)
            self._recent_at = now
        max_budget = max(MIN_BURST, BURST_PER_REQUEST * self._recent * BURST_DECAY_S)
        if self._budget > max_budget:
            excess = self._budget - max_budget
            self._crash_budget = min(CRASH_RESERVE, self._crash_budget + excess)
            self._budget = max_budget

    def record_request(self, now: float) -> None:
        """Count a request that a caller sent to this host."""
        self._budget += BUDGET_PER_REQUEST
        self._recent += 1.0
        self._decay(now)

    def take(self, now: float, after_crash: bool = False) -> bool:
        """Spend one retry; return False if the budget does not allow it."""
        self._decay(now)
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
    """Return whether a request that failed with the error kind may be retried.

    `answer_begun` is whether bytes of a response were passed to the caller,
    `body_replayable` whether the whole request body is still buffered or was
    not read yet.

    >>> may_retry(ErrorKind.UPSTREAM_BROKEN, idempotent=False, answer_begun=False)
    False
    >>> may_retry(ErrorKind.UPSTREAM_REFUSED, idempotent=False, answer_begun=False)
    True
    """
    if answer_begun or not body_replayable:
        return False
    return kind in _NOT_RUN_KINDS or (idempotent and kind in _MAY_HAVE_RUN_KINDS)


def reached_upstream(kind: ErrorKind) -> bool:
    """Return whether an attempt that failed may have cost an upstream work.

    An attempt that certainly cost none needs no retry budget, because the next
    attempt takes its place.

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
    """Return whether an attempt can be expected to meet the deadline.

    >>> has_time_for_attempt(request_deadline=12.0, expected_s=3.0, now=10.0)
    False
    """
    return now + max(0.0, expected_s) < request_deadline
