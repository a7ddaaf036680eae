"""Refusals that do not depend on the state of upstreams.

`placement` makes those that do.
"""

from __future__ import annotations

from typing import Final

from ..errorcodes import ErrorKind, Outcome
from .placement import Refused

# Values of Retry-After. The short one is sent during the shutdown and after
# the deadline of a request.
NO_CONFIG_RETRY_AFTER_S: Final = 0.5
HOST_FULL_RETRY_AFTER_S: Final = 0.5
CREDENTIALS_RETRY_AFTER_S: Final = 0.3
ATTEMPTS_SPENT_RETRY_AFTER_S: Final = 0.2
SHORT_RETRY_AFTER_S: Final = 0.1


def refuse_without_config() -> Refused:
    """Refuse a request at a host that knows no configuration yet."""
    return Refused("no-config", NO_CONFIG_RETRY_AFTER_S, ErrorKind.NO_MANIFEST)


def refuse_while_stopping() -> Refused:
    """Refuse a request that a stopping host cannot finish."""
    return Refused("stopping", SHORT_RETRY_AFTER_S, ErrorKind.HOST_STOPPING)


def refuse_without_credentials() -> Refused:
    """Refuse a request at a host that may have missed a change of the keys."""
    kind = ErrorKind.CREDENTIALS_STALE
    return Refused("credentials", CREDENTIALS_RETRY_AFTER_S, kind)


def refuse_without_memory() -> Refused:
    """Refuse a request whose body exceeds the memory for bodies."""
    return Refused("body-memory", HOST_FULL_RETRY_AFTER_S, ErrorKind.HOST_FULL)


def refuse_after_attempts(out_of_budget: bool) -> Refused:
    """Refuse a request that no further attempt is allowed for."""
    reason = "budget-spent" if out_of_budget else "attempts-spent"
    return Refused(reason, ATTEMPTS_SPENT_RETRY_AFTER_S)


def refuse_at_deadline() -> Refused:
    """Refuse a request that was not sent to an upstream by its deadline."""
    return Refused("deadline", SHORT_RETRY_AFTER_S, ErrorKind.DEADLINE_PASSED)


def error_headers(
    kind: ErrorKind, outcome: Outcome, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    headers = [
        (b"Error-Kind", kind.value.encode()),
        (b"Request-Outcome", outcome.value.encode()),
    ]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return headers
