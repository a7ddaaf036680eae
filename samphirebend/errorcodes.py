"""Error kinds and the table of the response to each kind.

Every failure that a caller can see has one `ErrorKind`. The table gives its
HTTP status, the outcome stated to the caller and the delay before a retry. The
stated outcome may differ from the table in one way only: "did not run" becomes
"unknown" if an earlier attempt of the same request may have run (see
`failure_outcome`).
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Final


@unique
class Outcome(Enum):
    """Outcome of a request, as stated in the `Request-Outcome` header."""

    DONE = "done"
    DID_NOT_RUN = "did-not-run"
    UNKNOWN = "unknown"


@unique
class ErrorKind(Enum):
    """Kinds of failure; the values appear in `Error-Kind` and logs."""

    BAD_REQUEST = "BAD_REQUEST"
    UNKNOWN_SERVICE = "UNKNOWN_SERVICE"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    UNKNOWN_CUSTOMER = "UNKNOWN_CUSTOMER"
    CREDENTIALS_STALE = "CREDENTIALS_STALE"
    QUOTA_EXCEEDED = "QUOTA_EXCEEDED"
    KEY_REQUIRED = "KEY_REQUIRED"
    KEY_MALFORMED = "KEY_MALFORMED"
    KEY_VOID = "KEY_VOID"
    KEY_MISMATCH = "KEY_MISMATCH"
    KEY_EXPIRED = "KEY_EXPIRED"
    EXECUTOR_GONE = "EXECUTOR_GONE"
    LEDGER_FULL = "LEDGER_FULL"
    ANSWER_NOT_KEPT = "ANSWER_NOT_KEPT"
    NO_MANIFEST = "NO_MANIFEST"
    HOST_ISOLATED = "HOST_ISOLATED"
    HOST_STOPPING = "HOST_STOPPING"
    HOST_FULL = "HOST_FULL"
    LEASE_LAPSED = "LEASE_LAPSED"
    CAP_REACHED = "CAP_REACHED"
    REGION_CAP_REACHED = "REGION_CAP_REACHED"
    LINK_CAP_REACHED = "LINK_CAP_REACHED"
    NO_UPSTREAM = "NO_UPSTREAM"
    CONNECT_FAILED = "CONNECT_FAILED"
    UPSTREAM_REFUSED = "UPSTREAM_REFUSED"
    UPSTREAM_BROKEN = "UPSTREAM_BROKEN"
    UPSTREAM_TIMEOUT = "UPSTREAM_TIMEOUT"
    ANSWER_TRUNCATED = "ANSWER_TRUNCATED"
    WRONG_ANSWER = "WRONG_ANSWER"
    DEADLINE_PASSED = "DEADLINE_PASSED"
    REQUEST_QUARANTINED = "REQUEST_QUARANTINED"
    CALLER_GONE = "CALLER_GONE"
    INTERNAL_ERROR = "INTERNAL_ERROR"


class ErrorResponse:
    """Response to a caller for one kind of failure."""

    __slots__ = ("outcome", "retry_after_ms", "status", "text")

    def __init__(
        self, status: int, outcome: Outcome, retry_after_ms: int | None, text: str
    ) -> None:
        self.status = status  # HTTP status
        self.outcome = outcome
        # Delay before a retry; None: a retry does not help.
        self.retry_after_ms = retry_after_ms
        self.text = text  # body of the response, one sentence


_DONE = Outcome.DONE
_NOT_RUN = Outcome.DID_NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, _NOT_RUN, None, "The request is malformed."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, _NOT_RUN, None, "The manifest in force has no such service."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, _NOT_RUN, None, "The body exceeds the service's limit."
    ),
    ErrorKind.UNKNOWN_CUSTOMER: ErrorResponse(
        401, _NOT_RUN, None, "The request has no key of a known customer."
    ),
    ErrorKind.CREDENTIALS_STALE: ErrorResponse(
        503, _NOT_RUN, 500, "The host may have missed a change of customers' keys."
    ),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(
        429, _NOT_RUN, 200, "The customer's quota is used up."
    ),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        428, _NOT_RUN, 0, "This service needs an Idempotency-Key from a look-up."
    ),
    ErrorKind.KEY_MALFORMED: ErrorResponse(
        400, _NOT_RUN, None, "The Idempotency-Key was not issued by this system."
    ),
    ErrorKind.KEY_VOID: ErrorResponse(
        409, _NOT_RUN, 0, "The key was answered did-not-run before; use a new key."
    ),
    ErrorKind.KEY_MISMATCH: ErrorResponse(
        422, _NOT_RUN, None, "The key belongs to a different request."
    ),
    ErrorKind.KEY_EXPIRED: ErrorResponse(
        409, _UNKNOWN, None, "The key is too old to tell whether it ran."
    ),
    ErrorKind.EXECUTOR_GONE: ErrorResponse(
        502, _UNKNOWN, None, "The host that owns the key cannot be reached."
    ),
    ErrorKind.LEDGER_FULL: ErrorResponse(
        503, _UNKNOWN, None, "The host cannot record more keys at the moment."
    ),
    ErrorKind.ANSWER_NOT_KEPT: ErrorResponse(
        410, _DONE, None, "The request ran; its answer is no longer kept."
    ),
    ErrorKind.NO_MANIFEST: ErrorResponse(
        503, _NOT_RUN, 1000, "The host has not received a manifest yet."
    ),
    ErrorKind.HOST_ISOLATED: ErrorResponse(
        503, _NOT_RUN, 1000, "The host hears neither its peers nor the table service."
    ),
    ErrorKind.HOST_STOPPING: ErrorResponse(
        503, _NOT_RUN, 0, "The host is stopping; look up another."
    ),
    ErrorKind.HOST_FULL: ErrorResponse(
        503, _NOT_RUN, 500, "The host has no memory left for request bodies."
    ),
    ErrorKind.LEASE_LAPSED: ErrorResponse(
        503, _NOT_RUN, 500, "The host holds no lease on an upstream of the service."
    ),
    ErrorKind.CAP_REACHED: ErrorResponse(
        503, _NOT_RUN, 200, "All slots that the host can reach are in use."
    ),
    ErrorKind.REGION_CAP_REACHED: ErrorResponse(
        503, _NOT_RUN, 200, "The region's cap is reached."
    ),
    ErrorKind.LINK_CAP_REACHED: ErrorResponse(
        503, _NOT_RUN, 500, "The link between the regions has no room in time."
    ),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, _NOT_RUN, 500, "No upstream of the service accepts work."
    ),
    ErrorKind.CONNECT_FAILED: ErrorResponse(
        503, _NOT_RUN, 200, "No connection to the upstream could be made."
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(
        503, _NOT_RUN, 200, "The upstream refused the request before running it."
    ),
    ErrorKind.UPSTREAM_BROKEN: ErrorResponse(
        502, _UNKNOWN, None, "The connection broke before the answer came."
    ),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(
        504, _UNKNOWN, None, "The upstream did not answer before the deadline."
    ),
    ErrorKind.ANSWER_TRUNCATED: ErrorResponse(
        502, _UNKNOWN, None, "The upstream's answer was incomplete."
    ),
    ErrorKind.WRONG_ANSWER: ErrorResponse(
        502, _UNKNOWN, None, "The upstream's answer belongs to another request."
    ),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(
        504, _NOT_RUN, None, "The deadline passed before the request was dispatched."
    ),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(
        422, _NOT_RUN, None, "This request has crashed upstreams and is not run again."
    ),
    ErrorKind.CALLER_GONE: ErrorResponse(
        499, _UNKNOWN, None, "The caller closed the connection."
    ),
    ErrorKind.INTERNAL_ERROR: ErrorResponse(
        500, _UNKNOWN, None, "The host failed while handling the request."
    ),
}


def failure_outcome(kind: ErrorKind, may_have_run: bool) -> Outcome:
    """Return the outcome to state for a failure of this kind.

    `may_have_run` is true if an attempt of the request may have run.

    >>> failure_outcome(ErrorKind.CAP_REACHED, may_have_run=False)
    <Outcome.DID_NOT_RUN: 'did-not-run'>
    >>> failure_outcome(ErrorKind.CAP_REACHED, may_have_run=True)
    <Outcome.UNKNOWN: 'unknown'>
    """
    outcome = ERROR_RESPONSES[kind].outcome
    if may_have_run and outcome is Outcome.DID_NOT_RUN:
        return Outcome.UNKNOWN
    return outcome
