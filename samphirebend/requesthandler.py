"""Handles the requests of callers and those that other hosts relay.

Validates a request, finds the process that executes it by its idempotency key,
passes the job to `dispatch` or `relay`, and turns the result into a response
that states the outcome. The key of a valid request is recorded in the ledger
before the request can be refused, so that it stays void after a refusal.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Coroutine
from typing import Any, Final

from loguru import logger
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .dispatch import Dispatcher
from .errorcodes import ERROR_RESPONSES, ErrorKind, Outcome, failure_outcome
from .exchange import (
    ESTIMATED_HEAD_BYTES,
    ExchangeResult,
    PacedBody,
    Pacer,
    StreamedResponse,
    respond_paced,
)
from .headers import Headers
from .job import Job, failure_headers, response_headers
from .ledger import BufferedResponse, Ledger, LedgerEntry, RequestKey, parse_key
from .lookup import Lookup
from .manifest import Host, Manifest
from .membership import Membership
from .metrics import Metrics
from .relay import RelayClient, RelayMode
from .serverrequest import ServerRequest
from .suspects import fingerprint

LOOKUP_PATH: Final = "/v1/lookup"
SERVICES_PATH: Final = "/v1/services/"
# Bodies up to this size are buffered, so that a retry can send them again.
MAX_BUFFERED_BODY_BYTES: Final = 256 * 1024
# Bodies of keyed requests are always buffered: their digest is part of the
# fingerprint that ties a key to one request.
MAX_KEYED_BODY_BYTES: Final = 1024 * 1024
# How long a request waits until the host has fetched a newer manifest.
FRESHNESS_WAIT_S: Final = 0.25
FRESHNESS_POLL_S: Final = 0.02  # interval of the checks during a wait
# How long a request waits for the first heartbeat of the host that owns its
# key. A host that has just started receives it within two heartbeat intervals
# (0.5 s each by default).
EXECUTOR_WAIT_S: Final = 1.0
MAX_REQUEST_ID_LENGTH: Final = 128


class RequestHandler:
    """Handles requests of callers and requests relayed by other hosts."""

    __slots__ = (
        "_answer_pacer",
        "_dispatcher",
        "_free_relay_slots",
        "_host",
        "_is_fresh",
        "_ledger",
        "_lookup",
        "_manifest",
        "_membership",
        "_metrics",
        "_reactor",
        "_read_pacer",
        "_relay",
        "in_flight",
        "refusing",
        "when_idle",
    )

    def __init__(
        self,
        host: str,
        reactor: Any,
        dispatcher: Dispatcher,
        relay: RelayClient,
        ledger: Ledger,
        lookup: Lookup,
        membership: Membership,
        metrics: Metrics,
        is_fresh: Callable[[float], bool],
        answer_pacer: Callable[[ServerRequest], Pacer | None],
        read_pacer: Callable[[ServerRequest], Pacer | None],
        free_relay_slots: Callable[[ServerRequest, str], int],
    ) -> None:
        self._host = host
        self._reactor = reactor
        self._dispatcher = dispatcher
        self._relay = relay
        self._ledger = ledger
        self._lookup = lookup
        self._membership = membership
        self._metrics = metrics
        # Returns whether the manifest is known to be current.
        self._is_fresh = is_fresh
        # Return the pacer of a response or of a request's body, if its bytes
        # pass a link between regions.
        self._answer_pacer = answer_pacer
        self._read_pacer = read_pacer
        # Returns the free slots of a service that may be offered to relays.
        self._free_relay_slots = free_relay_slots
        self._manifest: Manifest | None = None
        # Requests being handled and paced responses being sent.
        self.in_flight = 0
        self.refusing = False  # the host is about to exit
        # Fires as soon as no request is in flight.
        self.when_idle: Deferred[None] | None = None

    def apply(self, manifest: Manifest) -> None:
        """Apply the manifest in force."""
        self._manifest = manifest
        self._lookup.apply(manifest)

    def max_timeout_s(self) -> float:
        """Return the longest timeout of all services, in seconds."""
        if self._manifest is None:
            return 0.0
        return max(service.timeout_s for service in self._manifest.services.values())

    def handle(self, req: ServerRequest) -> None:
        """Handle a caller's request."""
        # Relay-Host is trusted only in requests to the relay address.
        req.header.pop(b"relay-host", None)
        if not req.target.startswith(LOOKUP_PATH):
            self._begin(req, self._serve(req, None))
        elif self._is_fresh(self._reactor.seconds()):
            self._lookup.respond(req)
        else:
            self._begin(req, self._look_up_when_fresh(req))

    def handle_relayed(self, req: ServerRequest) -> None:
        """Handle a request that another host relays."""
        try:
            mode = RelayMode(req.header_text(b"relay-mode") or "")
        except ValueError:
            self._refuse(req, ErrorKind.BAD_REQUEST, Outcome.DID_NOT_RUN, "")
            return
        self._begin(req, self._serve(req, mode))

    def _begin(self, req: ServerRequest, work: Coroutine[Any, Any, None]) -> None:
        self.in_flight += 1
        done = Deferred.fromCoroutine(work)
        done.addErrback(self._handle_unexpected_error, req)
        done.addBoth(self._end)

    def _end(self, _result: object) -> None:
        self.in_flight -= 1
        if self.in_flight == 0 and self.when_idle is not None:
            waiter, self.when_idle = self.when_idle, None
            waiter.callback(None)

    def _handle_unexpected_error(self, failure: Any, req: ServerRequest) -> None:
        logger.opt(exception=failure.value).error(
            "unexpected error while handling a request"
        )
        if req.answered:
            req.abort()
        else:
            self._refuse(req, ErrorKind.INTERNAL_ERROR, Outcome.UNKNOWN, "")

    async def _look_up_when_fresh(self, req: ServerRequest) -> None:
        refusal = await self._transient_refusal()
        if refusal is None:
            self._lookup.respond(req)
        else:
            self._refuse(req, refusal, Outcome.DID_NOT_RUN, "")

    # Validation of requests.

    async def _serve(self, req: ServerRequest, mode: RelayMode | None) -> None:
        started = self._reactor.seconds()
        request_id = _request_id(req)
        key_text = req.header_text(b"idempotency-key")
        # Checked first: after the process was suspended, its manifest may lack
        # the service or have other limits for it. A key is still looked up in
        # the ledger below, because the ledger does not become stale.
        refusal = await self._transient_refusal()
        job_or_error = self._make_job(req, request_id, started)
        if refusal is not None and (
            key_text is None or isinstance(job_or_error, ErrorKind)
        ):
            self._metrics.count_refusal(refusal)
            job_or_error = refusal
        if isinstance(job_or_error, ErrorKind):
            # Another host may have a newer manifest with this service and may
            # have executed the request of the key.
            outcome = failure_outcome(job_or_error, key_text is not None)
            self._refuse(req, job_or_error, outcome, request_id)
            return
        job = job_or_error
        job.relay_allowed = mode is None or mode is RelayMode.EXECUTE
        keyed = not job.service.idempotent
        if key_text is not None and keyed:
            job.key = key_text
        kind = await self._buffer_body(job, keyed)
        if kind is not None:
            # The request may have run under an earlier manifest with a higher
            # limit on the size of the body.
            outcome = failure_outcome(kind, job.key is not None)
            self._refuse(req, kind, outcome, request_id)
            return
        job.fingerprint = fingerprint(
            job.service.name, job.method, job.target, job.body_digest()
        )
        if keyed and mode is not RelayMode.DISPATCH:
            await self._serve_keyed(job, mode)
        else:
            await self._serve_unkeyed(job)
        elapsed_s = self._reactor.seconds() - started
        self._metrics.count_request(
            job.service.name, job.lifecycle.outcome(), elapsed_s
        )

    def _make_job(
        self, req: ServerRequest, request_id: str, now: float
    ) -> Job | ErrorKind:
        if self._manifest is None:
            return ErrorKind.NO_MANIFEST
        if not req.target.startswith(SERVICES_PATH):
            return ErrorKind.BAD_REQUEST
        rest = req.target[len(SERVICES_PATH) :]
        name = rest.split("/", 1)[0].split("?", 1)[0]
        service = self._manifest.services.get(name)
        if service is None:
            return ErrorKind.UNKNOWN_SERVICE
        timeout_s = _timeout_s(req, service.timeout_s)
        if timeout_s is None:
            return ErrorKind.BAD_REQUEST
        target = rest[len(name) :]
        if not target.startswith("/"):
            target = "/" + target
        return Job(req, service, target, request_id, now + timeout_s)

    async def _buffer_body(self, job: Job, keyed: bool) -> ErrorKind | None:
        """Buffer a body that may be sent again; others are streamed.

        Return the error if the body is too large or was not received.
        """
        req, limit = job.req, job.service.max_body_bytes
        if req.content_length is not None and req.content_length > limit:
            return ErrorKind.BODY_TOO_LARGE
        if not req.has_body:
            job.body = b""
            return None
        is_small = req.content_length is not None and (
            req.content_length <= MAX_BUFFERED_BODY_BYTES
        )
        if not keyed and not is_small:
            return None
        body = await self._read_body(job, min(limit, MAX_KEYED_BODY_BYTES))
        if isinstance(body, ErrorKind):
            return body
        job.body = body
        return None

    async def _read_body(self, job: Job, max_bytes: int) -> bytes | ErrorKind:
        """Read the whole body within the budget of the caller's link.

        Return DEADLINE_PASSED if it is not complete at the deadline.
        """
        req, call_later = job.req, self._reactor.callLater
        pacer = self._read_pacer(req)
        if pacer is None:
            body_read = req.read_all(max_bytes)
        else:
            body_read = req.read_all(
                max_bytes, lambda sink: PacedBody(req, sink, pacer, call_later)
            )
        wait_s = max(0.0, job.deadline - self._reactor.seconds())
        body_read.addTimeout(wait_s, self._reactor, _on_read_timeout)
        return await body_read

    # Requests without a key.

    async def _serve_unkeyed(self, job: Job) -> None:
        refusal = await self._transient_refusal()
        if refusal is not None:
            self._respond_with_error(job, refusal, None)
            return
        received = await self._dispatcher.run(job)
        if isinstance(received, Err):
            self._respond_with_error(job, received.err_value, None)
        else:
            self._respond(job, received.ok_value)

    async def _transient_refusal(self) -> ErrorKind | None:
        """Return why the host takes no requests at the moment, or None.

        If a newer manifest has just been announced, wait until the host has
        fetched it, so that the commit of a manifest causes no refusals.
        """
        if self.refusing:
            return ErrorKind.HOST_STOPPING
        give_up_at = self._reactor.seconds() + FRESHNESS_WAIT_S
        while not self._is_fresh(self._reactor.seconds()):
            if self._reactor.seconds() >= give_up_at:
                return ErrorKind.HOST_ISOLATED
            await deferLater(self._reactor, FRESHNESS_POLL_S)
        return None

    # Requests with a key.

    async def _serve_keyed(self, job: Job, mode: RelayMode | None) -> None:
        if job.key is None:
            self._respond_with_error(job, ErrorKind.KEY_REQUIRED, None)
            return
        key = parse_key(job.key)
        if key is None:
            self._respond_with_error(job, ErrorKind.KEY_MALFORMED, None)
        elif self._ledger.owns(key):
            await self._execute(job, key)
        elif mode is RelayMode.EXECUTE:
            self._respond_with_error(job, ErrorKind.EXECUTOR_GONE, None)
        else:
            await self._relay_to_executor(job, key)

    async def _execute(self, job: Job, key: RequestKey) -> None:
        begun = self._ledger.begin(key, job.fingerprint, self._reactor.seconds())
        if isinstance(begun, Err):
            self._respond_with_error(job, begun.err_value, None)
            return
        entry = begun.ok_value.entry
        if not begun.ok_value.is_new:
            await self._respond_to_duplicate(job, entry)
            return
        received: ExchangeResult
        try:
            refusal = await self._transient_refusal()
            if refusal is None:
                received = await self._dispatcher.run(job)
            else:
                received = Err(refusal)
        except BaseException:
            self._ledger.finish(entry, Outcome.UNKNOWN, ErrorKind.INTERNAL_ERROR, None)
            raise
        self._finish(job, entry, received)

    def _finish(self, job: Job, entry: LedgerEntry, received: ExchangeResult) -> None:
        if isinstance(received, Ok):
            response = received.ok_value
            stored = response if isinstance(response, BufferedResponse) else None
            self._ledger.finish(entry, Outcome.DONE, None, stored)
            self._respond(job, response)
            return
        kind: ErrorKind = received.err_value
        self._ledger.finish(entry, job.lifecycle.outcome(), kind, None)
        self._respond_with_error(job, kind, job.lifecycle.outcome())

    async def _respond_to_duplicate(self, job: Job, entry: LedgerEntry) -> None:
        """Respond with the outcome of the first request of the key."""
        if entry.outcome is None:
            waiter: Deferred[None] = Deferred()
            entry.waiters.append(waiter)
            wait_s = max(0.0, job.deadline - self._reactor.seconds())
            timer = self._reactor.callLater(wait_s, _fire_if_pending, waiter)
            await waiter
            if timer.active():
                timer.cancel()
        if entry.outcome is Outcome.DONE:
            if entry.answer is None:
                self._respond_with_error(job, ErrorKind.ANSWER_NOT_KEPT, Outcome.DONE)
            else:
                self._respond(job, entry.answer)
        elif entry.outcome is Outcome.DID_NOT_RUN:
            self._respond_with_error(job, ErrorKind.KEY_VOID, Outcome.DID_NOT_RUN)
        else:
            kind = entry.kind or ErrorKind.UPSTREAM_TIMEOUT
            self._respond_with_error(job, kind, Outcome.UNKNOWN)

    async def _relay_to_executor(self, job: Job, key: RequestKey) -> None:
        """Relay the request to the process that its key names."""
        host = await self._wait_for_executor(job, key)
        if host is None:
            self._respond_with_error(job, ErrorKind.EXECUTOR_GONE, Outcome.UNKNOWN)
            return
        sent = await self._relay.send(job, host, RelayMode.EXECUTE)
        if isinstance(sent, Err):
            kind: ErrorKind = sent.err_value
            is_unknown = ERROR_RESPONSES[kind].outcome is Outcome.UNKNOWN
            kind = kind if is_unknown else ErrorKind.EXECUTOR_GONE
            self._respond_with_error(job, kind, Outcome.UNKNOWN)
            return
        relayed = sent.ok_value
        if relayed.kind is None:
            self._respond(job, relayed.result)
        else:
            self._respond_with_error(job, relayed.kind, relayed.outcome)

    async def _wait_for_executor(self, job: Job, key: RequestKey) -> Host | None:
        """Return the host that owns the key, or None.

        If the process that the key names may still appear, wait for its first
        heartbeat.
        """
        give_up_at = min(job.deadline, self._reactor.seconds() + EXECUTOR_WAIT_S)
        while (host := self._find_executor(key)) is None:
            if not self._may_still_appear(key) or self._reactor.seconds() >= give_up_at:
                return None
            await deferLater(self._reactor, FRESHNESS_POLL_S)
        return host

    def _may_still_appear(self, key: RequestKey) -> bool:
        """Return whether the process that the key names may still appear."""
        if self._manifest is None or key.host not in self._manifest.hosts:
            return False
        return not self._membership.was_replaced(key.host, key.incarnation)

    def _find_executor(self, key: RequestKey) -> Host | None:
        """Return the key's host if its last report names the same process."""
        peer = self._membership.peer(key.host)
        if self._manifest is None or peer is None:
            return None
        if peer.incarnation != key.incarnation:
            return None
        return self._manifest.hosts.get(key.host)

    # Responses.

    def _respond(self, job: Job, response: BufferedResponse | StreamedResponse) -> None:
        """Send a buffered response; a streamed one has already been sent."""
        if isinstance(response, StreamedResponse):
            return
        headers = response_headers(response.headers, job.request_id, self._host)
        headers += self._free_slots_header(job.req, job.service.name)
        pacer = self._answer_pacer(job.req)
        if pacer is None or job.method == "HEAD":
            length = None
            if job.method == "HEAD":
                length = dict(response.headers).get(b"content-length")
            job.req.respond(response.status, headers, response.body, length)
            return
        # The response counts as in flight, so that a stop waits for its last
        # byte.
        self.in_flight += 1
        respond_paced(job.req, response, headers, pacer, self._reactor, self._end)

    def _respond_with_error(
        self, job: Job, kind: ErrorKind, outcome: Outcome | None
    ) -> None:
        """Respond with an error; if no outcome is given, derive it."""
        if job.req.answered:
            return  # the response was streamed and has been aborted
        if outcome is None:
            may_have_run = job.lifecycle.outcome() is not Outcome.DID_NOT_RUN
            outcome = failure_outcome(kind, may_have_run)
        self._metrics.count_refusal(kind)
        log = logger.warning if outcome is Outcome.UNKNOWN else logger.debug
        log(
            "request failed without an upstream response",
            request_id=job.request_id,
            service=job.service.name,
            kind=kind.value,
            outcome=outcome.value,
        )
        needs_key = outcome is Outcome.DID_NOT_RUN and not job.service.idempotent
        self._refuse(
            job.req, kind, outcome, job.request_id, needs_key, job.service.name
        )

    def _free_slots_header(self, req: ServerRequest, service: str) -> Headers:
        """Return the header that tells the relaying host the free slots.

        The list is empty if the request was not relayed or its service is
        unknown.
        """
        if not service or req.header_text(b"relay-host") is None:
            return []
        return [(b"Relay-Free", str(self._free_relay_slots(req, service)).encode())]

    def _refuse(
        self,
        req: ServerRequest,
        kind: ErrorKind,
        outcome: Outcome,
        request_id: str,
        needs_key: bool = False,
        service: str = "",
    ) -> None:
        """Send an error response, with a new key if `needs_key` is set."""
        headers = failure_headers(kind, outcome, request_id, self._host)
        headers += self._free_slots_header(req, service)
        if needs_key:
            new_key = self._ledger.issue(self._reactor.seconds())
            headers.append((b"Next-Idempotency-Key", new_key.encode()))
        response = ERROR_RESPONSES[kind]
        pacer = self._answer_pacer(req)
        if pacer is not None:
            # The error response itself is not delayed, but its bytes count
            # against the share, which delays the messages after it.
            pacer(ESTIMATED_HEAD_BYTES)
        req.respond(response.status, headers, response.text.encode())


def _request_id(req: ServerRequest) -> str:
    value = req.header_text(b"request-id")
    if value and len(value) <= MAX_REQUEST_ID_LENGTH and value.isascii():
        return value
    return secrets.token_hex(8)


def _timeout_s(req: ServerRequest, max_s: float) -> float | None:
    """Return the request's timeout in seconds; None if it is malformed."""
    value = req.header_text(b"request-timeout-ms")
    if value is None:
        return max_s
    if not value.isdecimal() or len(value) > 9 or int(value) == 0:
        return None
    return min(max_s, int(value) / 1000)


def _on_read_timeout(_failure: object, _timeout_s: float) -> ErrorKind:
    return ErrorKind.DEADLINE_PASSED


def _fire_if_pending(waiter: Deferred[None]) -> None:
    if not waiter.called:
        waiter.callback(None)
