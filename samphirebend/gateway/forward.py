"""The way of one request: route, place, send, try again where that is safe, answer."""

from __future__ import annotations

from typing import Any, Final

import xxhash
from twisted.internet.defer import Deferred

from ..errorcodes import ERROR_RESPONSES, ErrorKind, Outcome, failure_outcome
from ..headers import end_to_end
from ..requestlife import make_request_life
from ..serverrequest import ServerRequest
from ..suspects import fingerprint
from .attempt import Attempt, AttemptEnd
from .body import RequestBody
from .config import Route
from .dialect import CallerFacts
from .placement import Placed, Refused, Request
from .requestlog import RequestLog
from .shared import Gateway
from .upstreams import Upstream

NO_CONFIG_RETRY_S: Final = 0.5
STOPPING_RETRY_S: Final = 0.1
SHED_RETRY_S: Final = 0.2
# Tries without a connection that one request may make.
MAX_UNREACHABLE: Final = 3
# Times the expected time, from which on an answer that did not come in time is the
# upstream's failure.
OVERDUE_FACTOR: Final = 2.0
SERVER_ERROR: Final = 500


def handle(gateway: Gateway, req: ServerRequest) -> None:
    """Handle a request of a caller."""
    gateway.in_flight += 1
    forwarding = Forwarding(gateway, req)
    done = Deferred.fromCoroutine(forwarding.run())
    done.addErrback(forwarding.note_bug)
    done.addBoth(lambda _result: gateway.note_end())


class Forwarding:
    """One request on its way."""

    __slots__ = (
        "_attempt",
        "_attempts",
        "_body",
        "_caller",
        "_choice",
        "_deadline",
        "_gateway",
        "_last",
        "_life",
        "_log",
        "_object_fingerprint",
        "_out_of_budget",
        "_req",
        "_route",
        "_sent_at",
        "_service",
        "_started",
        "_unreachable",
    )

    def __init__(self, gateway: Gateway, req: ServerRequest) -> None:
        self._gateway = gateway
        self._req = req
        self._started: float = gateway.reactor.seconds()
        self._caller: CallerFacts = gateway.dialect.read_caller(req)
        self._log = RequestLog(self._caller.request_id)
        self._life = make_request_life()
        self._route: Route | None = None
        self._service = ""
        self._deadline = 0.0
        self._object_fingerprint = 0
        self._out_of_budget = False  # the hosts' retries are used up
        self._body = RequestBody(req)
        self._attempt: Attempt | None = None  # the last try, with where it went
        self._choice: Placed | None = None
        self._sent_at = 0.0
        self._attempts = 0  # tries that reached an upstream
        self._unreachable = 0  # tries without a connection
        self._last: Attempt | None = None  # the last try that failed

    async def run(self) -> None:
        """Handle the request up to its answer."""
        if not self._find_route():
            return
        self._req.on_closed = self._note_caller_lost
        timer = self._gateway.reactor.callLater(
            max(0.0, self._deadline - self._started), self._expire
        )
        self._req.receive_body(self._body)
        await self._body.ready
        if self._body.failure is ErrorKind.BODY_TOO_LARGE:
            self._fail(ErrorKind.BODY_TOO_LARGE)
        elif self._body.failure is None and not self._over:
            await self._send_until_answered()
        if timer.active():
            timer.cancel()

    def note_bug(self, failure: Any) -> None:
        """Answer after an unexpected error of this program."""
        self._log.note_bug(failure)
        if self._req.answered:
            self._req.abort()
        else:
            self._fail(ErrorKind.INTERNAL_ERROR)

    @property
    def _over(self) -> bool:
        """Tell whether nothing more is to be done for the request."""
        return self._req.answered or self._req.closed

    # Before the request is sent.

    def _find_route(self) -> bool:
        gateway = self._gateway
        routes = gateway.view.routes
        if routes is None:
            self._refuse(ErrorKind.NO_MANIFEST, NO_CONFIG_RETRY_S, "no-config")
            return False
        if gateway.refusing:
            self._refuse(ErrorKind.HOST_STOPPING, STOPPING_RETRY_S, "stopping")
            return False
        path = self._req.target.partition("?")[0]
        route = routes.match(self._caller.host, path)
        if route is None:
            self._fail(ErrorKind.UNKNOWN_SERVICE)
            return False
        self._route = route
        config = gateway.view.config
        self._body.most_bytes = config.limits.body_bytes if config is not None else 0
        if (self._req.content_length or 0) > self._body.most_bytes > 0:
            self._fail(ErrorKind.BODY_TOO_LARGE)
            return False
        self._service = gateway.view.picker.pick(route)
        self._log.service = self._service
        gateway.budget.note_request(self._service, self._started)
        limit_s = route.timeout_s
        if self._caller.time_left_s is not None:
            limit_s = min(limit_s, self._caller.time_left_s)
        self._deadline = self._started + limit_s
        return True

    # The tries.

    async def _send_until_answered(self) -> None:
        route = self._route
        assert route is not None
        request = Request(route, self._service, self._object_key())
        self._object_fingerprint = request.object_fingerprint
        while not self._over:
            now = self._gateway.reactor.seconds()
            if self._is_suspect(now):
                return
            choice = self._gateway.placement.choose(request, now)
            if isinstance(choice, Refused):
                self._give_up(choice)
                return
            await self._try_at(choice, request)
            if self._over or not self._may_try_again(route):
                break
        if not self._over:
            reason = "budget-spent" if self._out_of_budget else "attempts-spent"
            self._give_up(Refused(reason, SHED_RETRY_S))

    def _is_suspect(self, now: float) -> bool:
        """Refuse a request that has crashed upstreams; return whether it was."""
        crashes = self._gateway.learned.crashes
        if not crashes:
            return False
        wait_s = crashes.refused_for_s(self._fingerprint(), now)
        if not wait_s:
            return False
        if self._life.outcome() is Outcome.DID_NOT_RUN:
            kind = ErrorKind.REQUEST_QUARANTINED
            self._refuse(kind, wait_s, "crashes-upstreams")
        else:
            self._fail(ErrorKind.UPSTREAM_BROKEN)
        return True

    def _fingerprint(self) -> int:
        """Return what names this request at whatever host its caller repeats it."""
        req, body = self._req, self._body.whole or b""
        digest = xxhash.xxh3_64_digest(body)
        return fingerprint(self._caller.host, req.method, req.target, digest)

    def _object_key(self) -> str:
        return self._caller.object_key or self._req.target

    async def _try_at(self, choice: Placed, request: Request) -> None:
        gateway, route = self._gateway, self._route
        assert route is not None
        upstream = choice.upstream
        request.tried.add(upstream.name)
        attempt = Attempt(
            gateway.dialect,
            self._req,
            self._caller.request_id,
            upstream,
            may_hold=route.idempotent,
        )
        self._attempt, self._choice = attempt, choice
        now = gateway.reactor.seconds()
        max_idle_s = gateway.learned.idle.allowed_s(route.idempotent, now)
        number = gateway.next_number()
        self._sent_at = now
        # Counted while the connection is opened, so that others go elsewhere.
        upstream.note_sent(number, now)
        try:
            if await attempt.connect(gateway.pool, max_idle_s):
                self._write(attempt, choice)
                await attempt.done
        finally:
            sent_at = upstream.note_end(number)
        self._note_end(attempt, choice, sent_at)
        gateway.note_health(upstream, gateway.reactor.seconds())

    def _write(self, attempt: Attempt, choice: Placed) -> None:
        gateway = self._gateway
        now = gateway.reactor.seconds()
        self._attempts += 1
        if self._attempts > 1:
            gateway.budget.note_repeat(self._service, now)
            gateway.metrics.count_retry(self._service)
        gateway.metrics.count_placed(self._service, str(choice.rank))
        gateway.metrics.observe_queue(self._service, choice.wait_s)
        gateway.cold.note_sent(attempt.upstream.name, now)
        self._life.begin_dispatch()
        attempt.send(self._body, max(0.001, self._deadline - now))

    def _note_end(
        self, attempt: Attempt, choice: Placed, sent_at: float | None
    ) -> None:
        now = self._gateway.reactor.seconds()
        upstream, end = attempt.upstream, attempt.end_kind
        if attempt.facts.load is not None:
            upstream.note_report(attempt.facts.load, now)
        elapsed_s = now - (sent_at if sent_at is not None else now)
        if end is AttemptEnd.ANSWERED or end is AttemptEnd.STREAMED:
            self._life.answer()
            self._note_answer(attempt, upstream, elapsed_s, choice, now)
            return
        self._last = attempt
        learned = self._gateway.learned
        if end is AttemptEnd.NOT_RUN:
            self._life.refuse()
            if attempt.facts.other_upstream:
                self._gateway.view.book.remove(upstream.name, now)
            else:
                learned.note_refusal(upstream, now)
        elif end is AttemptEnd.LOST:
            self._life.lose()
            learned.note_failure(upstream, now)
            self._note_lost(attempt, elapsed_s, now)
        elif end is AttemptEnd.NOT_SENT:
            self._unreachable += 1
            learned.note_unreachable(upstream, now)
        elif attempt.sent:
            self._life.lose()
        if end is not AttemptEnd.CANCELLED:
            self._log.note_failed_try(attempt, choice, elapsed_s)

    def _note_lost(self, attempt: Attempt, elapsed_s: float, now: float) -> None:
        """Learn from a connection that ended without an answer."""
        if attempt.error is not ErrorKind.UPSTREAM_BROKEN:
            return
        self._gateway.crash_checks.begin(
            attempt.upstream, self._fingerprint(), self._caller.request_id
        )
        if attempt.reused_connection:
            self._gateway.learned.idle.note_reset(attempt.rested_s, elapsed_s, now)

    def _note_answer(
        self,
        attempt: Attempt,
        upstream: Upstream,
        elapsed_s: float,
        choice: Placed,
        now: float,
    ) -> None:
        head, route = attempt.head_seen, self._route
        assert head is not None
        assert route is not None
        if head.status >= SERVER_ERROR:
            self._gateway.learned.note_failure(upstream, now)
            if route.idempotent and attempt.end_kind is AttemptEnd.ANSWERED:
                self._last = attempt
                if self._may_try_again(route):
                    self._log.note_failed_try(attempt, choice, elapsed_s)
                    return
        else:
            if self._gateway.learned.crashes:
                self._gateway.learned.crashes.note_answer(self._fingerprint())
            shown = self._object_fingerprint
            upstream.note_answer(elapsed_s, shown, choice.queued, now)
            self._gateway.learned.note_answer(upstream, shown, attempt.facts.load)
        self._answer(attempt, choice, elapsed_s)

    def _may_try_again(self, route: Route) -> bool:
        """Tell whether the request may be sent once more."""
        gateway = self._gateway
        if self._body.streamed or self._unreachable > MAX_UNREACHABLE:
            return False
        if self._attempts == 0:
            return True
        if self._attempts >= route.max_attempts:
            return False
        if not route.idempotent and self._life.outcome() is not Outcome.DID_NOT_RUN:
            return False
        now = gateway.reactor.seconds()
        hosts = gateway.members.count()
        self._out_of_budget = not gateway.budget.allows(self._service, hosts, now)
        return not self._out_of_budget

    # Ends.

    def _answer(
        self, attempt: Attempt, choice: Placed | None = None, tried_s: float = 0.0
    ) -> None:
        head = attempt.head_seen
        assert head is not None
        now = self._gateway.reactor.seconds()
        if attempt.end_kind is AttemptEnd.ANSWERED and not self._over:
            headers = [
                item
                for item in end_to_end(head.headers)
                if item[0] != b"content-length"
            ]
            length = head.header.get(b"content-length")
            is_head = self._req.method == "HEAD"
            self._req.respond(
                head.status, headers, attempt.body, length if is_head else None
            )
        elapsed_s = now - self._started
        metrics = self._gateway.metrics
        metrics.count_request(self._service, Outcome.DONE, elapsed_s)
        if head.status >= SERVER_ERROR or self._gateway.samples_success():
            self._log.note_answer(
                attempt,
                choice,
                head.status,
                self._object_key(),
                self._attempts,
                tried_s,
                elapsed_s,
            )

    def _give_up(self, refused: Refused) -> None:
        """Give the final answer where no further try is made."""
        last = self._last
        if last is not None and last.end_kind is AttemptEnd.ANSWERED:
            self._answer(last)  # the upstream's own failure
        elif self._life.outcome() is Outcome.DID_NOT_RUN:
            kind = ErrorKind.CAP_REACHED
            if refused.reason == "no-upstream":
                kind = ErrorKind.NO_UPSTREAM
            elif last is not None and last.end_kind is AttemptEnd.NOT_RUN:
                kind = ErrorKind.UPSTREAM_REFUSED
            self._refuse(kind, refused.retry_after_s, refused.reason)
        else:
            error = last.error if last is not None else None
            self._fail(error or ErrorKind.UPSTREAM_BROKEN)

    def _expire(self) -> None:
        """End the request at its deadline."""
        attempt = self._attempt
        if self._over:
            # Work that may run once was let finish after its caller had left.
            if self._req.closed and attempt is not None:
                attempt.cancel()
            return
        sent = self._life.outcome() is not Outcome.DID_NOT_RUN
        if attempt is not None:
            if attempt.streaming:
                return  # the answer arrives already
            self._note_late(attempt)
        if sent:
            self._fail(ErrorKind.UPSTREAM_TIMEOUT)
        else:
            self._refuse(ErrorKind.DEADLINE_PASSED, STOPPING_RETRY_S, "deadline")
        if attempt is not None:
            attempt.cancel()

    def _note_late(self, attempt: Attempt) -> None:
        """Take an answer that did not come for a failure, if it had the time."""
        now = self._gateway.reactor.seconds()
        expected_s = self._choice.cost_s if self._choice is not None else 0.0
        if now - self._sent_at >= OVERDUE_FACTOR * expected_s:
            self._gateway.learned.note_failure(attempt.upstream, now)

    def _note_caller_lost(self) -> None:
        attempt, route = self._attempt, self._route
        if attempt is None or self._req.finished:
            return
        # Work that may not be repeated is let finish: its outcome counts.
        finishes = attempt.sent and not (self._body.streamed and not self._body.ended)
        cancels = route is None or route.idempotent or not finishes
        self._gateway.metrics.count_caller_lost(self._service)
        self._log.note_caller_lost(attempt, cancels, self._elapsed_s())
        if cancels:
            attempt.cancel()

    def _refuse(self, kind: ErrorKind, retry_after_s: float, reason: str) -> None:
        """Tell the caller that the request did not run and when to come back."""
        if self._over:
            return
        self._gateway.metrics.count_refusal(kind)
        headers = [
            (b"Error-Kind", kind.value.encode()),
            (b"Request-Outcome", Outcome.DID_NOT_RUN.value.encode()),
            (b"Retry-After", f"{retry_after_s:.2f}".encode()),
        ]
        self._note_failure(kind, Outcome.DID_NOT_RUN, reason, retry_after_s)
        self._req.respond(503, headers, ERROR_RESPONSES[kind].text.encode())

    def _fail(self, kind: ErrorKind) -> None:
        """Answer with a failure that promises nothing, or refers to the request."""
        if self._over:
            return
        may_have_run = self._life.outcome() is not Outcome.DID_NOT_RUN
        outcome = failure_outcome(kind, may_have_run)
        self._gateway.metrics.count_refusal(kind)
        headers = [
            (b"Error-Kind", kind.value.encode()),
            (b"Request-Outcome", outcome.value.encode()),
        ]
        self._note_failure(kind, outcome, kind.value, None)
        self._req.respond(
            ERROR_RESPONSES[kind].status, headers, ERROR_RESPONSES[kind].text.encode()
        )

    def _note_failure(
        self,
        kind: ErrorKind,
        outcome: Outcome,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        gateway, attempt = self._gateway, self._attempt
        config = gateway.view.config
        self._log.note_failure(
            kind,
            outcome,
            reason,
            route=self._route.name if self._route is not None else "",
            upstream=attempt.upstream.name if attempt is not None else "",
            attempts=self._attempts,
            retry_after_s=retry_after_s,
            elapsed_s=self._elapsed_s(),
            upstreams=len(gateway.view.book.usable(self._service)),
            config_version=config.version if config is not None else 0,
        )

    def _elapsed_s(self) -> float:
        elapsed_s: float = self._gateway.reactor.seconds() - self._started
        return elapsed_s
