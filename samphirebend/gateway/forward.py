"""Forwards requests: routes, places and sends them, and retries if safe.

`front` calls it for each request. `placement` chooses an upstream for each
attempt, and `attemptrunner` runs it.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from ..errorcodes import ERROR_RESPONSES, ErrorKind, Outcome, failure_outcome
from ..headers import end_to_end
from ..requestlifecycle import make_request_lifecycle
from ..serverrequest import ServerRequest
from .attempt import Attempt, AttemptEnd
from .attemptrunner import SERVER_ERROR, AttemptRunner
from .body import RequestBody
from .config import Route
from .context import GatewayContext
from .customers import ANONYMOUS, Identity, Verdict
from .dialect import CallerInfo
from .placement import Placed, PlacementRequest, Refused
from .quotagate import NO_TOKEN
from .refusals import (
    error_headers,
    refuse_after_attempts,
    refuse_at_deadline,
    refuse_while_stopping,
    refuse_without_config,
    refuse_without_credentials,
    refuse_without_memory,
)
from .requestlog import RequestLog
from .stopschedule import StopSchedule


def forward_request(gateway: GatewayContext, req: ServerRequest) -> None:
    """Start forwarding a caller's request."""
    forwarding = Forwarding(gateway, req)
    gateway.active.add(forwarding)
    done = Deferred.fromCoroutine(forwarding.run())
    done.addErrback(forwarding.handle_bug)
    done.addBoth(lambda _result: forwarding.close())


class Forwarding:
    """Forwards one request and responds to its caller."""

    __slots__ = (
        "_began_at",
        "_body",
        "_caller",
        "_deadline",
        "_gateway",
        "_identity",
        "_lifecycle",
        "_log",
        "_req",
        "_route",
        "_runner",
        "_service",
        "_started_at",
        "_token",
    )

    def __init__(self, gateway: GatewayContext, req: ServerRequest) -> None:
        self._gateway = gateway
        self._req = req
        self._began_at: float = gateway.reactor.seconds()
        # The caller waits since its request has arrived, which may be earlier.
        self._started_at = self._began_at
        if req.received_at is not None:
            self._started_at = req.received_at
        self._caller: CallerInfo = gateway.dialect.read_caller(req)
        self._log = RequestLog(self._caller.request_id)
        self._lifecycle = make_request_lifecycle()
        self._route: Route | None = None
        self._identity: Identity = ANONYMOUS
        self._service = ""
        self._deadline = 0.0
        self._body = RequestBody(req, gateway.body_budget)
        self._token = NO_TOKEN
        self._runner = AttemptRunner(
            gateway,
            req,
            self._caller,
            self._body,
            self._lifecycle,
            self._log,
            self._identify_again,
            self._respond,
        )

    async def run(self) -> None:
        """Handle the request until it gets its response or is abandoned."""
        if not self._find_route():
            return
        if self._deadline <= self._began_at:
            self._refuse(refuse_at_deadline())
            return
        if not self._take_token():
            return
        # A request over quota allows no retries and hedges at the service.
        self._gateway.retry_budget.record_request(self._service, self._began_at)
        self._gateway.hedging.record_request(self._service, self._began_at)
        self._req.on_closed = self._on_caller_lost
        timer = self._gateway.reactor.callLater(
            self._deadline - self._began_at, self._on_deadline
        )
        self._req.receive_body(self._body)
        await self._body.ready
        if self._body.failure is ErrorKind.BODY_TOO_LARGE:
            self._fail(ErrorKind.BODY_TOO_LARGE)
        elif self._body.failure is ErrorKind.HOST_FULL:
            self._refuse(refuse_without_memory())
        elif self._body.failure is None and not self._finished:
            await self._run_attempts()
        if timer.active():
            timer.cancel()

    def close(self) -> None:
        """Free what the request holds, after its end."""
        self._gateway.active.discard(self)
        self._body.release()
        self._token.end(self._lifecycle.outcome())

    def handle_bug(self, failure: Any) -> None:
        """Fail the request after an unexpected exception."""
        self._log.log_bug(failure)
        if self._req.answered:
            self._req.abort()
        else:
            self._fail(ErrorKind.INTERNAL_ERROR)

    @property
    def _finished(self) -> bool:
        """Return whether a response was started or the connection closed."""
        return self._req.answered or self._req.closed

    # Routing.

    def _find_route(self) -> bool:
        """Find route, service and deadline; return False if that failed.

        In that case the caller has got an error response.
        """
        gateway = self._gateway
        routes = gateway.routing_state.routes
        if routes is None:
            self._refuse(refuse_without_config())
            return False
        schedule = gateway.stop_schedule
        if schedule is not None and not schedule.accepts(self._began_at):
            self._refuse(refuse_while_stopping())
            return False
        path = self._req.target.partition("?")[0]
        route = routes.match(self._caller.host_name, path)
        if route is None:
            self._fail(ErrorKind.UNKNOWN_SERVICE)
            return False
        self._route = route
        if not self._identify():
            return False
        config = gateway.routing_state.config
        self._body.max_bytes = config.limits.body_bytes if config is not None else 0
        if (self._req.content_length or 0) > self._body.max_bytes > 0:
            self._fail(ErrorKind.BODY_TOO_LARGE)
            return False
        self._service = gateway.routing_state.picker.pick(route)
        self._log.service = self._service
        limit_s = route.timeout_s
        if self._caller.time_left_s is not None:
            limit_s = min(limit_s, self._caller.time_left_s)
        self._deadline = self._started_at + limit_s
        return True

    def _identify(self) -> bool:
        """Identify the customer; respond and return False if that failed."""
        assert self._route is not None
        key = self._caller.customer_key
        self._identity = self._gateway.identify(self._route, key)
        verdict = self._identity.verdict
        if verdict is Verdict.UNKNOWN_KEY:
            self._fail(ErrorKind.UNKNOWN_CUSTOMER)
        elif verdict is Verdict.UNCERTAIN:
            self._refuse_or_fail(
                refuse_without_credentials(), ErrorKind.UPSTREAM_BROKEN
            )
        self._log.customer = self._identity.customer_name
        return verdict is Verdict.ALLOWED

    def _take_token(self) -> bool:
        """Take a token of the customer's quota; refuse the request without one."""
        self._token = self._gateway.quota_gate.take(self._identity.customer_name)
        if self._token.wait_s:
            kind, wait_s = ErrorKind.QUOTA_EXCEEDED, self._token.wait_s
            status = ERROR_RESPONSES[kind].status
            self._send_error(kind, status, Outcome.DID_NOT_RUN, "quota", wait_s)
        return not self._token.wait_s

    def _identify_again(self, responds: bool) -> Identity | None:
        """Return the customer before an attempt is sent, or None.

        None means that the customer may no longer send requests. The caller then
        gets an error response if `responds` is true.
        """
        if responds:
            return self._identity if self._identify() else None
        assert self._route is not None
        identity = self._gateway.identify(self._route, self._caller.customer_key)
        return identity if identity.verdict is Verdict.ALLOWED else None

    # Attempts.

    async def _run_attempts(self) -> None:
        route = self._route
        assert route is not None
        request = PlacementRequest(
            route, self._service, self._object_key(), self._identity.customer
        )
        self._runner.begin(request, self._deadline)
        while not self._finished:
            now = self._gateway.reactor.seconds()
            if self._refuse_quarantined(now):
                return
            choice = self._gateway.gate.choose(request, self._deadline, now)
            if isinstance(choice, Placed):
                choice = self._unless_stopping(choice, request, now)
            if isinstance(choice, Refused):
                if choice.kind is ErrorKind.CAP_REACHED:
                    self._gateway.hedging.record_no_room(self._service, now)
                self._give_up(choice)
                return
            await self._runner.run(choice)
            if self._finished or not self._runner.may_retry():
                break
        if not self._finished:
            self._record_full(request)
            self._give_up(refuse_after_attempts(self._runner.out_of_budget))

    def _record_full(self, request: PlacementRequest) -> None:
        """Tell admission if an upstream refused the last attempt."""
        last = self._runner.last_failed
        if last is not None and last.end_kind is AttemptEnd.NOT_RUN:
            now = self._gateway.reactor.seconds()
            self._gateway.gate.record_full(request, self._deadline, now)

    def _unless_stopping(
        self, choice: Placed, request: PlacementRequest, now: float
    ) -> Placed | Refused:
        """Refuse what a stopping host cannot finish at the chosen upstream."""
        schedule = self._gateway.stop_schedule
        if schedule is not None:
            expected_s = self._gateway.placement.expected_s(choice, request, now)
            if not schedule.can_finish(expected_s, now):
                return refuse_while_stopping()
        return choice

    def check_stop(self, schedule: StopSchedule, now: float) -> None:
        """End the request if a stopping host cannot finish it.

        Without a complete body, that is when it is too late to pass it on.
        """
        if self._finished:
            return
        is_late = now >= schedule.answers_by
        if not is_late and self._runner.last is None and self._service:
            registry = self._gateway.routing_state.registry
            expected_s = registry.baseline(self._service, now).mean_latency_s
            is_late = not schedule.can_finish(expected_s, now)
        if is_late:
            self._refuse_or_fail(refuse_while_stopping(), ErrorKind.UPSTREAM_TIMEOUT)
            self._runner.cancel()

    def _refuse_quarantined(self, now: float) -> bool:
        """Refuse a quarantined request; return whether it was refused."""
        crashes = self._gateway.feedback.crashes
        if not crashes:
            return False
        retry_after_s = crashes.quarantine_left_s(
            self._runner.request_fingerprint(), now
        )
        if not retry_after_s:
            return False
        kind = ErrorKind.REQUEST_QUARANTINED
        refused = Refused("crashes-upstreams", retry_after_s, kind)
        self._refuse_or_fail(refused, ErrorKind.UPSTREAM_BROKEN)
        return True

    def _object_key(self) -> str:
        return self._caller.object_key or self._req.target

    # Final responses.

    def _respond(
        self, attempt: Attempt, choice: Placed | None = None, attempt_s: float = 0.0
    ) -> None:
        head = attempt.response_head
        assert head is not None
        if attempt.end_kind is AttemptEnd.ANSWERED and not self._finished:
            headers = [
                header
                for header in end_to_end(head.headers)
                if header[0] != b"content-length"
            ]
            length = head.header.get(b"content-length")
            is_head = self._req.method == "HEAD"
            self._req.respond(
                head.status, headers, attempt.body, length if is_head else None
            )
        elapsed_s = self._elapsed_s()
        self._gateway.metrics.count_request(self._service, Outcome.DONE, elapsed_s)
        if head.status >= SERVER_ERROR or self._gateway.should_log_success():
            self._log.log_response(
                attempt,
                choice,
                head.status,
                self._object_key(),
                self._runner.sent_count,
                attempt_s,
                elapsed_s,
            )

    def _give_up(self, refused: Refused) -> None:
        """Send the final response when no further attempt is made."""
        last = self._runner.last_failed
        if last is not None and last.end_kind is AttemptEnd.ANSWERED:
            self._respond(last)  # pass on the upstream's own error response
            return
        was_refused = last is not None and last.end_kind is AttemptEnd.NOT_RUN
        if was_refused and refused.kind is ErrorKind.CAP_REACHED:
            refused.kind = ErrorKind.UPSTREAM_REFUSED
        error = last.error if last is not None else None
        self._refuse_or_fail(refused, error or ErrorKind.UPSTREAM_BROKEN)

    def _on_deadline(self) -> None:
        """Fail the request at its deadline, or break off its response."""
        if self._req.closed:
            # A non-idempotent request may run on after its caller
            # disconnected, but not beyond its deadline.
            self._runner.cancel()
            return
        if self._runner.streaming:
            self._break_off()
            return
        if self._req.answered:
            return
        self._runner.record_unanswered()
        self._refuse_or_fail(refuse_at_deadline(), ErrorKind.UPSTREAM_TIMEOUT)
        self._runner.cancel()

    def _break_off(self) -> None:
        """End a streamed response that is incomplete, and its connection."""
        self._gateway.metrics.count_refusal(ErrorKind.UPSTREAM_TIMEOUT)
        if self._runner.last is not None:
            self._log.log_broken_off(self._runner.last, self._elapsed_s())
        self._runner.break_off()

    def _on_caller_lost(self) -> None:
        attempt, route = self._runner.last, self._route
        if attempt is None or attempt.end_kind is not None or self._req.finished:
            return
        # A non-idempotent request with a complete body is left to finish until
        # its deadline: cancelling it would leave its outcome unknown. One whose
        # response has begun has run.
        in_time = self._gateway.reactor.seconds() < self._deadline
        complete = not self._body.streamed or self._body.ended
        may_finish = attempt.sent and complete and in_time and not attempt.streaming
        cancelled = route is None or route.idempotent or not may_finish
        self._gateway.metrics.count_caller_lost(self._service)
        self._log.log_caller_lost(attempt, cancelled, self._elapsed_s())
        if cancelled:
            self._runner.cancel()

    def _refuse_or_fail(self, refused: Refused, failure: ErrorKind) -> None:
        """Refuse the request if it did not run, else fail it with `failure`."""
        if self._lifecycle.outcome() is Outcome.DID_NOT_RUN:
            self._refuse(refused)
        else:
            self._fail(failure)

    def _refuse(self, refused: Refused) -> None:
        """Respond that the request did not run and when to retry it."""
        kind, outcome = refused.kind, Outcome.DID_NOT_RUN
        self._send_error(kind, 503, outcome, refused.reason, refused.retry_after_s)

    def _fail(self, kind: ErrorKind) -> None:
        """Respond with an error and what is known of the request's outcome."""
        may_have_run = self._lifecycle.outcome() is not Outcome.DID_NOT_RUN
        outcome = failure_outcome(kind, may_have_run)
        self._send_error(kind, ERROR_RESPONSES[kind].status, outcome, kind.value)

    def _send_error(
        self,
        kind: ErrorKind,
        status: int,
        outcome: Outcome,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        if self._finished:
            return
        gateway, attempt = self._gateway, self._runner.last
        gateway.metrics.count_refusal(kind)
        headers = error_headers(kind, outcome, retry_after_s)
        config = gateway.routing_state.config
        self._log.log_failure(
            kind,
            outcome,
            reason,
            route=self._route.name if self._route is not None else "",
            upstream=attempt.upstream.name if attempt is not None else "",
            attempts=self._runner.sent_count,
            retry_after_s=retry_after_s,
            elapsed_s=self._elapsed_s(),
            upstreams=len(gateway.routing_state.registry.usable(self._service)),
            config_version=config.version if config is not None else 0,
        )
        self._req.respond(status, headers, ERROR_RESPONSES[kind].text.encode())

    def _elapsed_s(self) -> float:
        elapsed_s: float = self._gateway.reactor.seconds() - self._started_at
        return elapsed_s
