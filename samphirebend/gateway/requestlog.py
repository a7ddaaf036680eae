"""Log lines about one request, for diagnosing it afterwards.

`forward` has one `RequestLog` for each request.
"""

from __future__ import annotations

from typing import Any

from loguru import logger

from ..errorcodes import ErrorKind, Outcome
from .attempt import Attempt
from .placement import Placed


class RequestLog:
    """Logs the events of one request; docs/OPERATIONS.md explains them."""

    __slots__ = ("_request_id", "customer", "service")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self.service = ""  # known once the route is found
        self.customer = ""  # name; empty without customers or before it is known

    def log_response(
        self,
        attempt: Attempt,
        choice: Placed | None,
        status: int,
        object_key: str,
        attempts: int,
        attempt_s: float,
        elapsed_s: float,
    ) -> None:
        """Log that the caller gets an upstream's response."""
        logger.info(
            "upstream responded to the request",
            event="answered",
            request_id=self._request_id,
            service=self.service,
            upstream=attempt.upstream.name,
            status=status,
            object=object_key,
            rank=choice.rank if choice is not None else None,
            expected_wait_ms=round(choice.queue_wait_s * 1000) if choice else None,
            attempts=attempts,
            upstream_ms=round(attempt_s * 1000),
            elapsed_ms=round(elapsed_s * 1000),
        )

    def log_failed_attempt(
        self, attempt: Attempt, choice: Placed, elapsed_s: float
    ) -> None:
        """Log an attempt without a response, or whose response is not used."""
        end, head = attempt.end_kind, attempt.response_head
        logger.info(
            "attempt failed",
            event="try_failed",
            request_id=self._request_id,
            service=self.service,
            upstream=attempt.upstream.name,
            rank=choice.rank,
            end=end.value if end is not None else "",
            error=attempt.error.value if attempt.error is not None else "",
            status=head.status if head is not None else 0,
            elapsed_ms=round(elapsed_s * 1000),
        )

    def log_hedge_won(
        self,
        attempt: Attempt,
        choice: Placed,
        first_upstream: str,
        hedge_s: float,
        first_s: float,
    ) -> None:
        """Log that a second attempt responded before the first one."""
        logger.info(
            "second attempt responded first",
            event="hedge_won",
            request_id=self._request_id,
            service=self.service,
            upstream=attempt.upstream.name,
            rank=choice.rank,
            first_upstream=first_upstream,
            upstream_ms=round(hedge_s * 1000),
            first_ms=round(first_s * 1000),
        )

    def log_failure(
        self,
        kind: ErrorKind,
        outcome: Outcome,
        reason: str,
        *,
        route: str,
        upstream: str,
        attempts: int,
        retry_after_s: float | None,
        elapsed_s: float,
        upstreams: int,
        config_version: int,
    ) -> None:
        """Log that the host itself responds to the request with an error."""
        logger.info(
            "request failed",
            event="request_failed",
            request_id=self._request_id,
            route=route,
            service=self.service,
            customer=self.customer,
            kind=kind.value,
            outcome=outcome.value,
            reason=reason,
            attempts=attempts,
            upstream=upstream,
            retry_after_s=retry_after_s,
            elapsed_ms=round(elapsed_s * 1000),
            upstreams=upstreams,
            config_version=config_version,
        )

    def log_broken_off(self, attempt: Attempt, elapsed_s: float) -> None:
        """Log that the deadline ended a response that was being streamed."""
        logger.info(
            "response broken off at the deadline",
            event="response_broken_off",
            request_id=self._request_id,
            service=self.service,
            upstream=attempt.upstream.name,
            waits_for="caller" if attempt.is_paused else "upstream",
            elapsed_ms=round(elapsed_s * 1000),
        )

    def log_caller_lost(
        self, attempt: Attempt, cancelled: bool, elapsed_s: float
    ) -> None:
        """Log that the caller disconnected before it got a response."""
        logger.info(
            "caller disconnected before the response",
            event="caller_lost",
            request_id=self._request_id,
            service=self.service,
            upstream=attempt.upstream.name,
            cancelled=cancelled,
            elapsed_ms=round(elapsed_s * 1000),
        )

    def log_bug(self, failure: Any) -> None:
        """Log an unexpected exception while handling the request."""
        logger.opt(exception=failure.value).error(
            "unexpected error while handling a request",
            event="bug",
            request_id=self._request_id,
        )
