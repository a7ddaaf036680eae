"""Records how attempts ended, for later placements and for other hosts.

`attemptrunner` calls these functions.
"""

from __future__ import annotations

from typing import Final

from ..errorcodes import ErrorKind
from .attempt import Attempt
from .context import GatewayContext
from .dialect import ResponseInfo
from .placement import Placed
from .upstreams import Upstream

# A response missing at the deadline counts as the upstream's failure only if
# the upstream had at least this multiple of the expected time.
OVERDUE_FACTOR: Final = 2.0


def record_head(
    gateway: GatewayContext, upstream: Upstream, info: ResponseInfo
) -> None:
    """Record the rate limit and the slowdown that a response's head names."""
    if info.slowdown is not None and not info.other_upstream:
        upstream.speed.record(info.slowdown, gateway.reactor.seconds())
    if info.limit_per_s is not None:
        now = gateway.reactor.seconds()
        gateway.feedback.record_limit(upstream, info.limit_per_s, now)


def record_leaving(gateway: GatewayContext, upstream: Upstream) -> None:
    """Record that a response of the upstream says that it leaves."""
    gateway.feedback.record_leaving(upstream, gateway.reactor.seconds())


def record_load(attempt: Attempt, now: float) -> None:
    """Record the load that the upstream reported with its response."""
    if attempt.response_info.load is not None:
        attempt.upstream.record_load_report(attempt.response_info.load, now)


def record_not_run(gateway: GatewayContext, attempt: Attempt, now: float) -> None:
    """Record a refusal, or that the address belongs to another upstream now."""
    if attempt.response_info.other_upstream:
        gateway.routing_state.registry.remove(attempt.upstream.name, now)
    else:
        gateway.feedback.record_refusal(attempt.upstream, now)


def record_lost(
    gateway: GatewayContext, attempt: Attempt, elapsed_s: float, now: float
) -> None:
    """Record a failure, and whether an idle connection was reset."""
    gateway.feedback.record_failure(attempt.upstream, now)
    if attempt.error is ErrorKind.UPSTREAM_BROKEN and attempt.reused_connection:
        gateway.feedback.idle_limit.record_reset(attempt.idle_s, elapsed_s, now)


def record_success(
    gateway: GatewayContext,
    attempt: Attempt,
    object_fingerprint: int,
    choice: Placed,
    elapsed_s: float,
    now: float,
) -> None:
    """Record a successful response and the object that is now warm."""
    upstream = attempt.upstream
    upstream.record_success(elapsed_s, object_fingerprint, choice.queued, now)
    gateway.gate.record_success(choice, elapsed_s)
    gateway.feedback.record_success(
        upstream, object_fingerprint, attempt.response_info.load
    )


def record_unanswered(
    gateway: GatewayContext, attempt: Attempt, choice: Placed | None, waited_s: float
) -> None:
    """Record a response that is missing at the deadline, if it is overdue."""
    expected_s = choice.cost_s if choice is not None else 0.0
    if waited_s >= OVERDUE_FACTOR * expected_s:
        gateway.feedback.record_failure(attempt.upstream, gateway.reactor.seconds())
