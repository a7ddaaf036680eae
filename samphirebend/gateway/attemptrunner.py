"""Runs the attempts of one request and records how they end.

A slow attempt of an idempotent request may get a second one alongside, its
hedge. The first good response wins, and the other attempt is cancelled.

`forward` decides on placement, retries and refusals and responds to the
caller. `AttemptRunner` connects, sends, waits for the response and counts.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final

import xxhash
from twisted.internet.defer import Deferred

from ..errorcodes import ErrorKind, Outcome
from ..requestlifecycle import RequestLifecycle
from ..serverrequest import ServerRequest
from ..suspects import fingerprint
from . import attemptresults
from .attempt import Attempt, AttemptEnd
from .body import RequestBody
from .context import GatewayContext
from .customers import Identity
from .dialect import CallerInfo
from .hedgewatch import HedgeWatch
from .placement import UPSTREAMS_PER_OBJECT, Placed, PlacementRequest
from .requestlog import RequestLog
from .responsewatch import ResponseWatch

# Number of failed connections up to which a request is retried.
MAX_CONNECT_FAILURES: Final = 3
SERVER_ERROR: Final = 500  # lowest status code of a server error

# Called before an attempt is sent. Returns the customer, or None if the request
# must not be sent. The argument tells whether the caller then gets a response,
# which it does unless another attempt runs.
Identify = Callable[[bool], Identity | None]
# Called with the attempt whose response the caller gets, its placement and
# its duration in seconds.
Respond = Callable[[Attempt, Placed, float], None]


class AttemptRun:
    """An attempt with its placement and its start."""

    __slots__ = ("attempt", "choice", "number", "started_at", "warm")

    def __init__(
        self,
        attempt: Attempt,
        choice: Placed,
        number: int,
        started_at: float,
        warm: bool,
    ) -> None:
        self.attempt = attempt
        self.warm = warm  # the upstream knew the object at the start
        self.choice = choice
        self.number = number  # unique number of the attempt
        self.started_at = started_at


class AttemptRunner:
    """Runs the attempts of one request."""

    __slots__ = (
        "_body",
        "_caller",
        "_connect_failures",
        "_deadline",
        "_ended",
        "_first",
        "_gateway",
        "_hedge",
        "_identify",
        "_kept_error",
        "_lifecycle",
        "_log",
        "_req",
        "_request",
        "_respond",
        "_running",
        "last",
        "last_failed",
        "out_of_budget",
        "sent_count",
    )

    def __init__(
        self,
        gateway: GatewayContext,
        req: ServerRequest,
        caller: CallerInfo,
        body: RequestBody,
        lifecycle: RequestLifecycle,
        log: RequestLog,
        identify: Identify,
        respond: Respond,
    ) -> None:
        self._gateway = gateway
        self._req = req
        self._caller = caller
        self._body = body
        self._lifecycle = lifecycle
        self._log = log
        self._identify = identify
        self._respond = respond
        self._request: PlacementRequest | None = None
        self._deadline = 0.0
        self._running: list[AttemptRun] = []
        self._ended: Deferred[None] = Deferred()  # fires when `run` may return
        self._first: AttemptRun | None = None  # begun by `run`
        self._hedge: AttemptRun | None = None  # begun alongside it
        # An error response that was not final as another attempt ran.
        self._kept_error: Attempt | None = None
        self._connect_failures = 0  # attempts without a connection
        self.sent_count = 0  # attempts that were sent to an upstream
        self.last: Attempt | None = None  # the last attempt begun
        self.last_failed: Attempt | None = None
        self.out_of_budget = False  # the retry budget refused a retry

    def begin(self, request: PlacementRequest, deadline: float) -> None:
        """Set what to run, before the first attempt."""
        self._request = request
        self._deadline = deadline

    async def run(self, choice: Placed) -> None:
        """Run an attempt, and its hedge if there is one, to their end.

        `respond` is called if one of them succeeds.
        """
        self._ended = Deferred()
        self._hedge = self._kept_error = None
        self._first = self._make_run(choice)
        self._start(self._first)
        await self._ended
        if self._kept_error is not None:
            self.last_failed = self._kept_error

    @property
    def streaming(self) -> bool:
        """Return whether a response is being streamed to the caller."""
        return any(run.attempt.streaming for run in self._running)

    def cancel(self) -> None:
        """Cancel what runs."""
        for run in list(self._running):
            run.attempt.cancel()

    def break_off(self) -> None:
        """Break off the response that is being streamed to the caller."""
        for run in list(self._running):
            run.attempt.break_off()

    def record_unanswered(self) -> None:
        """Record at the deadline that responses are missing."""
        now = self._gateway.reactor.seconds()
        for run in self._running:
            waited_s = now - run.started_at
            attemptresults.record_unanswered(
                self._gateway, run.attempt, run.choice, waited_s
            )

    def may_retry(self) -> bool:
        """Return whether the request may be retried."""
        gateway, request = self._gateway, self._request
        assert request is not None
        if self._body.streamed or self._connect_failures > MAX_CONNECT_FAILURES:
            return False
        if self.sent_count == 0:
            return True
        if self.sent_count >= request.route.max_attempts:
            return False
        if (
            not request.route.idempotent
            and self._lifecycle.outcome() is not Outcome.DID_NOT_RUN
        ):
            return False
        now = gateway.reactor.seconds()
        hosts = gateway.members.count()
        self.out_of_budget = not gateway.retry_budget.allows(
            request.service, hosts, now
        )
        return not self.out_of_budget

    def request_fingerprint(self) -> int:
        """Return a fingerprint that is the same on every host for a retry."""
        req, body = self._req, self._body.complete_body or b""
        digest = xxhash.xxh3_64_digest(body)
        return fingerprint(self._caller.host_name, req.method, req.target, digest)

    # Two attempts at a time.

    def _start(self, run: AttemptRun) -> None:
        self._running.append(run)
        done = Deferred.fromCoroutine(self._run_one(run))
        done.addCallback(lambda _: self._handle_done(run))
        done.addErrback(self._handle_bug)

    def _begin_hedge(self, choice: Placed) -> None:
        self._hedge = self._make_run(choice)
        self._start(self._hedge)

    def _handle_done(self, run: AttemptRun) -> None:
        if run in self._running:
            self._running.remove(run)
        if not self._running and not self._ended.called:
            self._record_hedge_end(won=False)
            self._ended.callback(None)

    def _handle_bug(self, failure: Any) -> None:
        if self._ended.called:
            self._log.log_bug(failure)
            return
        # The request fails before the other attempt is cancelled: an end of all
        # attempts without a failure would make `forward` retry it.
        self._record_hedge_end(won=False)
        self._ended.errback(failure)
        self.cancel()

    def _settle(self, winner: AttemptRun) -> None:
        """Cancel the other attempt, since the winner's response is the final one.

        That says nothing about the other upstream, except that the request
        takes at least as long there.
        """
        for run in [run for run in self._running if run is not winner]:
            self._running.remove(run)
            # The attempt may still wait for a connection.
            sent_at = run.attempt.upstream.record_end(run.number)
            run.attempt.cancel()
            if run is self._first and sent_at is not None:
                now = self._gateway.reactor.seconds()
                self._record_latency(run, now - sent_at)
        if winner is self._hedge:
            self._log_hedge_won(winner)
        self._record_hedge_end(won=winner is self._hedge)

    def _record_hedge_end(self, won: bool) -> None:
        if self._hedge is not None:
            assert self._request is not None
            self._gateway.hedging.record_end(self._request.service, won)
            self._hedge = None

    def _log_hedge_won(self, hedge: AttemptRun) -> None:
        first = self._first
        if first is None or not self._gateway.should_log_success():
            return
        now = self._gateway.reactor.seconds()
        self._log.log_hedge_won(
            hedge.attempt,
            hedge.choice,
            first.attempt.upstream.name,
            now - hedge.started_at,
            now - first.started_at,
        )

    def _may_stream(self, run: AttemptRun) -> bool:
        """Return whether a response too large to buffer goes to the caller."""
        head = run.attempt.response_head
        assert head is not None
        if len(self._running) > 1 and head.status >= SERVER_ERROR:
            return False
        self._settle(run)
        return True

    def _record_latency(self, run: AttemptRun, elapsed_s: float) -> None:
        """Record what tells when a first attempt is slow."""
        assert self._request is not None
        if run is self._first and run.warm and not run.choice.queued:
            self._gateway.hedging.record_latency(self._request.service, elapsed_s)

    # One attempt.

    def _make_run(self, choice: Placed) -> AttemptRun:
        gateway, request = self._gateway, self._request
        assert request is not None
        upstream = choice.upstream
        request.tried.add(upstream.name)
        attempt = Attempt(
            gateway.dialect,
            self._req,
            self._caller.request_id,
            upstream,
            may_buffer=request.route.idempotent,
        )
        attempt.on_head = partial(attemptresults.record_head, gateway, upstream)
        attempt.on_leaving = partial(attemptresults.record_leaving, gateway, upstream)
        self.last = attempt
        now = gateway.reactor.seconds()
        number = gateway.next_attempt_number()
        warm = upstream.is_warm_for(request.object_fingerprint)
        run = AttemptRun(attempt, choice, number, now, warm)
        attempt.may_stream = partial(self._may_stream, run)
        return run

    async def _run_one(self, run: AttemptRun) -> None:
        gateway, request = self._gateway, self._request
        assert request is not None
        attempt, route = run.attempt, request.route
        upstream = attempt.upstream
        max_idle_s = gateway.feedback.idle_limit.allowed_s(
            route.idempotent, run.started_at
        )
        # Count the request as load while it connects, so that concurrent
        # requests are placed elsewhere.
        upstream.record_sent(run.number, run.started_at)
        watches: list[ResponseWatch | HedgeWatch] = []
        try:
            if await attempt.connect(gateway.pool, max_idle_s):
                # The upstream may have begun to leave in the meantime, or the
                # customer may have lost its key.
                accepted = gateway.routing_state.registry.accepts(upstream)
                identity = self._identify(len(self._running) == 1)
                if identity is not None and accepted:
                    self._send(run, identity)
                    if route.idempotent:
                        watches = self._watch(run)
                else:
                    attempt.withdraw()
                await attempt.done
        finally:
            sent_at = upstream.record_end(run.number)
            for watch in watches:
                watch.stop()
        self._handle_end(run, sent_at)
        gateway.log_health_change(upstream, gateway.reactor.seconds())

    def _watch(self, run: AttemptRun) -> list[ResponseWatch | HedgeWatch]:
        """Start to watch for an overdue response and for a slow one."""
        gateway, request, choice = self._gateway, self._request, run.choice
        assert request is not None
        hedging, service = gateway.hedging, request.service
        deadline = self._deadline
        response_watch = ResponseWatch(
            gateway, run.attempt, choice, request.route, deadline, self.may_retry
        )
        delay_s = hedging.delay_s(service, choice.queue_wait_s)
        if delay_s is None or run is not self._first or self._body.streamed:
            return [response_watch]
        hedge_watch = HedgeWatch(
            gateway,
            run.attempt,
            request,
            deadline,
            lambda: request.route.max_attempts - self.sent_count,
            self._begin_hedge,
        )
        hedge_watch.start(run.started_at + delay_s - gateway.reactor.seconds())
        return [response_watch, hedge_watch]

    def _send(self, run: AttemptRun, identity: Identity) -> None:
        gateway, request = self._gateway, self._request
        assert request is not None
        now = gateway.reactor.seconds()
        service, choice, attempt = request.service, run.choice, run.attempt
        self.sent_count += 1
        if self.sent_count > 1:
            gateway.retry_budget.record_retry(service, now)
            gateway.metrics.count_retry(service)
        busy = choice.queued or choice.rank >= UPSTREAMS_PER_OBJECT
        gateway.hedging.record_placement(service, busy)
        gateway.metrics.count_attempt(service, str(choice.rank))
        gateway.metrics.observe_queue_time(service, choice.queue_wait_s)
        gateway.cold_limit.record_sent(attempt.upstream.name, now)
        self._lifecycle.begin_dispatch()
        attempt.send(self._body, max(0.001, self._deadline - now), identity)

    def _handle_end(self, run: AttemptRun, sent_at: float | None) -> None:
        gateway, attempt, choice = self._gateway, run.attempt, run.choice
        end = attempt.end_kind
        now = gateway.reactor.seconds()
        attemptresults.record_load(attempt, now)
        elapsed_s = now - (sent_at if sent_at is not None else now)
        if end is AttemptEnd.ANSWERED or end is AttemptEnd.STREAMED:
            self._handle_response(run, elapsed_s, now)
            return
        if end is AttemptEnd.WITHDRAWN:
            self._log.log_failed_attempt(attempt, choice, elapsed_s)
            return
        if end is AttemptEnd.CANCELLED:
            if attempt.sent:
                self._lifecycle.attempt_uncertain()
            return
        self.last_failed = attempt
        if end is AttemptEnd.NOT_RUN:
            self._lifecycle.attempt_refused()
            attemptresults.record_not_run(gateway, attempt, now)
        elif end is AttemptEnd.LOST:
            self._lifecycle.attempt_uncertain()
            attemptresults.record_lost(gateway, attempt, elapsed_s, now)
            self._check_for_crash(attempt)
        elif end is AttemptEnd.NOT_SENT:
            self._connect_failures += 1
            gateway.feedback.record_unreachable(attempt.upstream, now)
        self._log.log_failed_attempt(attempt, choice, elapsed_s)

    def _check_for_crash(self, attempt: Attempt) -> None:
        """Check whether an upstream that reset its connection has crashed."""
        if attempt.error is ErrorKind.UPSTREAM_BROKEN:
            self._gateway.crash_checks.begin(
                attempt.upstream, self.request_fingerprint(), self._caller.request_id
            )

    def _handle_response(self, run: AttemptRun, elapsed_s: float, now: float) -> None:
        gateway, request, attempt = self._gateway, self._request, run.attempt
        head = attempt.response_head
        assert head is not None
        assert request is not None
        if head.status >= SERVER_ERROR:
            self._lifecycle.attempt_answered()
            gateway.feedback.record_failure(attempt.upstream, now)
            if request.route.idempotent and attempt.end_kind is AttemptEnd.ANSWERED:
                self.last_failed = attempt
                is_final = len(self._running) == 1
                if not is_final:
                    self._kept_error = attempt
                if not is_final or self.may_retry():
                    self._log.log_failed_attempt(attempt, run.choice, elapsed_s)
                    return
        else:
            if attempt.end_kind is AttemptEnd.ANSWERED:
                self._record_latency(run, elapsed_s)
            self._settle(run)
            self._lifecycle.attempt_answered()
            if gateway.feedback.crashes:
                gateway.feedback.crashes.clear_suspect(self.request_fingerprint())
            attemptresults.record_success(
                gateway, attempt, request.object_fingerprint, run.choice, elapsed_s, now
            )
        self._respond(attempt, run.choice, elapsed_s)
