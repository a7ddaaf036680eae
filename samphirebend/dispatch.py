"""Dispatches requests to upstreams or peers; retries them where that is safe.

The lease on an upstream's shard is checked immediately before a request is
written to the upstream. The kind of failure, the idempotency of the service
and the retry budget decide whether a failed attempt is retried. The slot of a
failed attempt stays in use until the upstream must have stopped, which follows
from the deadline it was given. `targets` selects the upstream or the peer for
each attempt.

A suspect is a request that may have crashed an upstream. It is dispatched in a
trial, in which it runs alone on one upstream.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from result import Err, Ok

from .connectionpool import ConnectionPool
from .errorcodes import ErrorKind, Outcome
from .exchange import (
    ExchangeResult,
    FlowControl,
    PacedWriter,
    ResponseReceiver,
    StreamedResponse,
    UploadPipe,
    states_refusal,
)
from .headers import Headers
from .httpclient import ClientConnection, ResponseHead
from .job import Job, response_headers, unix_ms_after
from .leasekeeper import LeaseKeeper
from .ledger import BufferedResponse
from .limits import Slot
from .manifest import Manifest, Upstream
from .metrics import Metrics
from .peers import PeerService
from .quarantine import Quarantine
from .relay import RelayClient, RelayMode
from .retries import RetryBudget, attempt_deadline, may_retry, reached_upstream
from .router import Router
from .targets import PeerTarget, TargetFinder, UpstreamTarget
from .upstreamrecord import DispatchOutcome
from .upstreamstate import UpstreamStates

MAX_ATTEMPTS: Final = 3  # attempts of a job that wrote to an upstream
# Attempts that failed before anything was written have a limit of their own:
# a crashed upstream refuses connections until it has restarted, and a refused
# connection puts no load on it.
MAX_UNSENT_ATTEMPTS: Final = 3
# Time in which an upstream detects that its connection was closed and cancels
# the request.
CANCEL_DETECTION_S: Final = 0.25
# Time after the deadline of a failed attempt until its slot counts as free.
DEADLINE_GRACE_S: Final = 0.05
# Errors that a peer returns when it has no free slot for a request.
NO_SLOT_KINDS: Final = (ErrorKind.CAP_REACHED, ErrorKind.REGION_CAP_REACHED)
# Peers are notified of a crash before the caller gets its response. This is
# the limit on the delay of the response.
NOTIFY_TIMEOUT_S: Final = 0.2


class Dispatcher:
    """Runs the jobs of a daemon on upstreams and peers."""

    __slots__ = (
        "_host",
        "_keeper",
        "_manifest",
        "_metrics",
        "_peers",
        "_pool",
        "_quarantine",
        "_reactor",
        "_relay",
        "_retries",
        "_router",
        "_states",
        "_target_finder",
        "connection_failure_listeners",
    )

    def __init__(
        self,
        host: str,
        reactor: Any,
        target_finder: TargetFinder,
        keeper: LeaseKeeper,
        states: UpstreamStates,
        peers: PeerService,
        quarantine: Quarantine,
        pool: ConnectionPool,
        relay: RelayClient,
        router: Router,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._reactor = reactor
        self._keeper = keeper
        self._states = states
        self._peers = peers
        self._quarantine = quarantine
        self._pool = pool
        self._relay = relay
        self._router = router
        self._metrics = metrics
        self._target_finder = target_finder
        self._retries: dict[str, RetryBudget] = {}  # keyed by service name
        self._manifest: Manifest | None = None
        # Called with an upstream to which no connection could be made, or
        # whose connection was lost before a response.
        self.connection_failure_listeners: list[Callable[[Upstream], None]] = []

    def apply(self, manifest: Manifest, shards: dict[str, str]) -> None:
        """Apply the manifest in force and the shards of the upstreams."""
        self._manifest = manifest
        self._target_finder.apply(manifest, shards)

    @property
    def shards(self) -> dict[str, str]:
        """Return the shard of each upstream, by upstream name."""
        return self._target_finder.shards

    async def run(self, job: Job) -> ExchangeResult:
        """Dispatch the job until it gets a response or may not be retried."""
        budget = self._retries.setdefault(job.service.name, RetryBudget())
        if job.relay_allowed:
            budget.record_request(self._reactor.seconds())
        started = self._reactor.seconds()
        result: ExchangeResult | None = None
        has_waited = False
        while True:
            target = self._target_finder.find(job, has_waited)
            if isinstance(target, ErrorKind) and self._target_finder.runs_trial(job):
                target = await self._target_finder.wait_for_trial(job)
            if isinstance(target, ErrorKind):
                # A suspect does not queue: it has already waited for its
                # trial.
                may_queue = not has_waited and not self._target_finder.runs_trial(job)
                if target is ErrorKind.CAP_REACHED and may_queue:
                    has_waited = job.avoid_far_relays = True
                    if await self._target_finder.wait_for_slot(job, started):
                        continue
                return result if result is not None else Err(target)
            if isinstance(target, PeerTarget):
                result = await self._relay_to(job, target)
            else:
                result = await self._send_to(job, target)
            if not self._may_retry_job(job, result, target, budget):
                return result

    def _may_retry_job(
        self,
        job: Job,
        result: ExchangeResult,
        target: UpstreamTarget | PeerTarget,
        budget: RetryBudget,
    ) -> bool:
        """Return whether the job may be retried after this result."""
        now = self._reactor.seconds()
        if now >= job.deadline or job.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
            return False
        if job.attempts - job.unsent_attempts >= MAX_ATTEMPTS:
            return False
        never_sent = isinstance(result, Err) and not reached_upstream(result.err_value)
        if not job.relay_allowed and not (
            never_sent and isinstance(target, UpstreamTarget)
        ):
            # A request that a peer relayed here for dispatch may only be
            # retried by that peer if it may have put load on an upstream.
            # Otherwise it would add to and draw from the retry budgets of two
            # hosts.
            return False
        if isinstance(result, Ok):
            if not _is_retryable_response(job, result.ok_value):
                return False
        elif not may_retry(
            result.err_value,
            job.service.idempotent,
            job.req.answered,
            job.replayable,
        ):
            return False
        if never_sent:
            return True
        after_crash = result == Err(ErrorKind.UPSTREAM_BROKEN)
        if not budget.take(now, after_crash):
            return False
        self._metrics.count_retry(job.service.name)
        return True

    # Attempts at upstreams of this host.

    async def _send_to(self, job: Job, target: UpstreamTarget) -> ExchangeResult:
        """Send the job to an upstream and return the result of the attempt."""
        job.attempts += 1
        upstream = target.upstream
        acquired = await self._pool.acquire(upstream.address, upstream.name)
        self._quarantine.record_connect_end(job.fingerprint, upstream.name)
        sent_at = self._reactor.seconds()
        if isinstance(acquired, Err):
            self._target_finder.release(target.slot, upstream)
            job.unsent_attempts += 1
            job.tried.add(upstream.name)
            error: ErrorKind = acquired.err_value
            if error is ErrorKind.CONNECT_FAILED:
                self._record_connection_failure(upstream, sent_at)
                self._record_outcome(upstream, DispatchOutcome.FAILED, sent_at)
            return Err(error)
        conn = acquired.ok_value
        refusal = self._check_before_write(job, upstream, sent_at)
        if refusal is not None:
            conn.cancel()
            self._target_finder.release(target.slot, upstream)
            job.unsent_attempts += 1
            return Err(refusal)
        deadline = attempt_deadline(job.deadline, job.service.timeout_s, sent_at)
        self._states.record_dispatch(upstream.name, sent_at)
        self._quarantine.record_dispatch(job.fingerprint, upstream.name, sent_at)
        receiver = self._write(job, upstream, conn, deadline - sent_at)
        timer = self._reactor.callLater(deadline - sent_at, _time_out, conn, receiver)
        received = await receiver.result
        if timer.active():
            timer.cancel()
        return await self._finish_exchange(
            job, target, receiver, received, sent_at, deadline
        )

    def _check_before_write(
        self, job: Job, upstream: Upstream, now: float
    ) -> ErrorKind | None:
        """Return why nothing may be written to the upstream now, or None.

        Deadline, lease and upstream state are checked again, because the
        process may have been suspended since the target was selected.
        """
        if now >= job.deadline:
            return ErrorKind.DEADLINE_PASSED
        if not self._keeper.may_dispatch(self.shards.get(upstream.name, ""), now):
            return ErrorKind.LEASE_LAPSED
        if not self._states.accepts(upstream.name, now):
            return ErrorKind.NO_UPSTREAM
        return None

    def _write(
        self, job: Job, upstream: Upstream, conn: ClientConnection, timeout_s: float
    ) -> ResponseReceiver:
        """Write the request and return the receiver of its response."""
        request_id = job.request_id.encode("latin-1")
        headers = [
            (b"Host", str(upstream.address).encode()),
            *job.headers,
            (b"Request-Id", request_id),
            (b"Request-Deadline", str(unix_ms_after(timeout_s)).encode()),
            *job.body_headers(),
        ]
        if job.key is not None:
            headers.append((b"Idempotency-Key", job.key.encode("latin-1")))
        call_later = self._reactor.callLater
        writer = PacedWriter(
            job.req.write,
            FlowControl(conn.pause, conn.resume),
            self._router.answer_pacer(job.req),
            call_later,
        )
        receiver = ResponseReceiver(
            conn, job.request_id, job.req, self._response_headers_for(job), writer
        )
        job.lifecycle.begin_dispatch()
        conn.send(job.method, job.target, headers, job.body, receiver)
        if job.body is None:
            job.body_consumed = True
            pacer = self._router.read_pacer(job.req)
            UploadPipe(job.req, conn, pacer, call_later, receiver.fail).start()
        return receiver

    def _response_headers_for(self, job: Job) -> Callable[[ResponseHead], Headers]:
        """Return a function that makes the headers of a streamed response."""

        def make_headers(head: ResponseHead) -> Headers:
            headers = response_headers(head.headers, job.request_id, self._host)
            length = head.header.get(b"content-length")
            return [*headers, (b"Content-Length", length)] if length else headers

        return make_headers

    async def _finish_exchange(
        self,
        job: Job,
        target: UpstreamTarget,
        receiver: ResponseReceiver,
        received: ExchangeResult,
        sent_at: float,
        deadline: float,
    ) -> ExchangeResult:
        """Update slot, job and upstream records after an exchange."""
        upstream, now = target.upstream, self._reactor.seconds()
        head = receiver.received_head
        if head is not None and head.header.get(b"upstream-state") == b"draining":
            self._states.record_draining(upstream.name, sent_at, now)
        if isinstance(received, Ok):
            return self._finish_response(job, target, received, sent_at)
        kind: ErrorKind = received.err_value
        job.lifecycle.attempt_uncertain()
        job.tried.add(upstream.name)
        self._free_later(target.slot, upstream, _busy_until(kind, now, deadline) - now)
        if kind is ErrorKind.CALLER_GONE:
            self._quarantine.record_end(job.fingerprint, upstream.name)
            self._record_outcome(upstream, DispatchOutcome.CANCELLED, sent_at)
            return received
        self._record_outcome(upstream, DispatchOutcome.FAILED, sent_at)
        if kind is not ErrorKind.UPSTREAM_BROKEN:
            self._quarantine.record_end(job.fingerprint, upstream.name)
            return received
        self._record_connection_failure(upstream, sent_at)
        suspects = self._quarantine.record_crash(upstream.name, now)
        logger.warning(
            "upstream connection lost before a response",
            upstream=upstream.name,
            request_id=job.request_id,
            suspects=len(suspects),
        )
        await self._peers.notify_peers(NOTIFY_TIMEOUT_S)
        return received

    def _finish_response(
        self, job: Job, target: UpstreamTarget, received: ExchangeResult, sent_at: float
    ) -> ExchangeResult:
        """Update slot, job and upstream records after a complete response.

        A response that states that the upstream refused the request or
        stopped it at the deadline becomes an error.
        """
        upstream, now = target.upstream, self._reactor.seconds()
        response = received.ok()
        not_completed = _is_refusal(response) or _is_upstream_timeout(response)
        # The end of a trial is recorded before the slot is freed, because
        # freeing it wakes a queued request, which selects a target at once.
        if not_completed:
            self._quarantine.record_end(job.fingerprint, upstream.name)
        else:
            self._quarantine.record_answer(job.fingerprint, upstream.name, now)
        self._target_finder.release(target.slot, upstream)
        if _is_refusal(response):
            job.lifecycle.attempt_refused()
            job.tried.add(upstream.name)
            self._record_outcome(upstream, DispatchOutcome.REFUSED, sent_at)
            return Err(ErrorKind.UPSTREAM_REFUSED)
        if _is_upstream_timeout(response):
            job.lifecycle.attempt_uncertain()
            job.tried.add(upstream.name)
            self._record_outcome(upstream, DispatchOutcome.FAILED, sent_at)
            return Err(ErrorKind.UPSTREAM_TIMEOUT)
        job.lifecycle.attempt_answered()
        failed = response is not None and response.status >= 500
        outcome = DispatchOutcome.FAILED if failed else DispatchOutcome.ANSWERED
        self._record_outcome(upstream, outcome, sent_at)
        if failed:
            job.tried.add(upstream.name)
        return received

    def _record_outcome(
        self, upstream: Upstream, outcome: DispatchOutcome, sent_at: float
    ) -> None:
        now = self._reactor.seconds()
        self._states.record_outcome(upstream.name, outcome, sent_at, now)

    def _record_connection_failure(self, upstream: Upstream, sent_at: float) -> None:
        self._states.record_connection_failure(
            upstream.name, sent_at, self._reactor.seconds()
        )
        for listener in self.connection_failure_listeners:
            listener(upstream)

    def _free_later(self, slot: Slot, upstream: Upstream, wait_s: float) -> None:
        """Free a slot once the upstream must have stopped its work."""
        if wait_s <= 0:
            self._target_finder.release(slot, upstream)
        else:
            self._reactor.callLater(wait_s, self._target_finder.release, slot, upstream)

    # Attempts through peers.

    async def _relay_to(self, job: Job, target: PeerTarget) -> ExchangeResult:
        """Relay the job to a peer and return the result of the attempt."""
        manifest = self._manifest
        peer = manifest.hosts.get(target.host) if manifest is not None else None
        job.tried.add(target.host)
        if target.alone:
            job.trial_hosts.add(target.host)
        job.relays += 1
        if peer is None:
            return Err(ErrorKind.NO_UPSTREAM)
        self._router.record_relay(job, target.host)
        sent = await self._relay.send(job, peer, RelayMode.DISPATCH)
        if isinstance(sent, Err):
            kind: ErrorKind = sent.err_value
            if job.lifecycle.outcome() is not Outcome.DID_NOT_RUN:
                job.lifecycle.attempt_uncertain()
            return Err(kind)
        relayed = sent.ok_value
        accepted = relayed.kind not in NO_SLOT_KINDS
        self._router.record_relay_result(job, peer, accepted, relayed.free_slots)
        if relayed.kind is None:
            job.lifecycle.attempt_answered()
            return Ok(relayed.result)
        if relayed.outcome is Outcome.DID_NOT_RUN:
            job.lifecycle.attempt_refused()
        else:
            job.lifecycle.attempt_uncertain()
        return Err(relayed.kind)


def _is_refusal(response: BufferedResponse | StreamedResponse | None) -> bool:
    """Return whether the upstream states that it did not run the request."""
    return isinstance(response, BufferedResponse) and states_refusal(
        response.status, response.headers
    )


def _is_upstream_timeout(response: BufferedResponse | StreamedResponse | None) -> bool:
    """Return whether the upstream states that it stopped at the deadline.

    The request may have run in part or in full, so its outcome is unknown.
    """
    return isinstance(response, BufferedResponse) and response.status == 504


def _is_retryable_response(
    job: Job, response: BufferedResponse | StreamedResponse
) -> bool:
    """Return whether the request may be retried after this error response."""
    return (
        isinstance(response, BufferedResponse)
        and response.status >= 500
        and job.service.idempotent
        and job.replayable
    )


def _busy_until(kind: ErrorKind, now: float, deadline: float) -> float:
    """Return until when the upstream may still work on the failed request."""
    if kind is ErrorKind.CALLER_GONE:
        return min(now + CANCEL_DETECTION_S, deadline + DEADLINE_GRACE_S)
    return deadline + DEADLINE_GRACE_S


def _time_out(conn: ClientConnection, receiver: ResponseReceiver) -> None:
    conn.cancel()
    receiver.fail(ErrorKind.UPSTREAM_TIMEOUT)
