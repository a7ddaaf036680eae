"""Finds a place for a request, sends it there and retries where that is safe.

A place is a slot of an upstream whose shard this host holds, or else a peer
that reported free slots. The lease is checked immediately before the write.
Whether a failure may be retried follows from the request's life cycle and the
retry budget; whether a slot is free again after a failure follows from the
deadline that the upstream was given.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .errorcodes import ErrorKind, Outcome
from .exchange import (
    AnswerReceiver,
    FlowGate,
    PacedWriter,
    Received,
    StreamedAnswer,
    UploadPipe,
)
from .httpclient import ClientConnection, ConnectionPool, ResponseHead
from .httpserver import Headers
from .job import Job, answer_headers, unix_ms_after
from .leasekeeper import LeaseKeeper
from .ledger import KeptAnswer
from .limits import Limits, Slot
from .manifest import Manifest, Upstream
from .metrics import Metrics
from .peers import PeerService
from .quarantine import Quarantine, Verdict
from .relay import RelayClient, RelayMode
from .retries import RetryBudget, attempt_deadline, may_retry
from .room import Room
from .router import Router
from .upstreamstate import DispatchOutcome, UpstreamStates

MAX_ATTEMPTS: Final = 3
MAX_RELAYS: Final = 2
# Time that an upstream may need to notice a closed connection.
CANCEL_NOTICE_S: Final = 0.25
# Added to the dispatch deadline before its slot counts as free.
DEADLINE_GRACE_S: Final = 0.05
# A suspect waits for an idle upstream this long; at once it would often fail,
# since a busy service seldom has an upstream with nothing in flight.
SUSPECT_WAIT_S: Final = 1.0
SUSPECT_RECHECK_S: Final = 0.01
# A peer answers with these when it has no slot for a request.
FULL_KINDS: Final = (ErrorKind.CAP_REACHED, ErrorKind.REGION_CAP_REACHED)
# Peers hear of a crash before the caller is answered, but not at any price.
NOTIFY_TIMEOUT_S: Final = 0.2


class Place:
    """A reserved slot at an upstream."""

    __slots__ = ("alone", "slot", "upstream")

    def __init__(self, upstream: Upstream, slot: Slot, alone: bool) -> None:
        self.upstream = upstream
        self.slot = slot
        self.alone = alone


class PeerPlace:
    """A peer that is expected to have a free slot."""

    __slots__ = ("host",)

    def __init__(self, host: str) -> None:
        self.host = host


class SlotQueue:
    """Requests that wait a short time for a slot, oldest first, by service."""

    __slots__ = ("_reactor", "_wait_s", "_waiting")

    def __init__(self, reactor: Any, wait_s: float) -> None:
        self._reactor = reactor
        self._wait_s = wait_s
        self._waiting: dict[str, deque[Deferred[bool]]] = {}

    def length(self, service: str) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting.get(service, ()))

    async def wait(self, service: str) -> bool:
        """Wait for a slot; the result is false when the time has passed."""
        turn: Deferred[bool] = Deferred()
        waiting = self._waiting.setdefault(service, deque())
        waiting.append(turn)
        timer = self._reactor.callLater(self._wait_s, turn.callback, False)
        got_slot = await turn
        if timer.active():
            timer.cancel()
        else:
            waiting.remove(turn)
        return got_slot

    def wake(self, service: str) -> None:
        """Let the oldest request try again."""
        waiting = self._waiting.get(service)
        if waiting:
            waiting.popleft().callback(True)


class Dispatcher:
    """Runs jobs; one per daemon."""

    __slots__ = (
        "_host",
        "_keeper",
        "_limits",
        "_manifest",
        "_metrics",
        "_peers",
        "_pool",
        "_quarantine",
        "_queue",
        "_reactor",
        "_relay",
        "_retries",
        "_router",
        "_states",
        "broken_listeners",
        "shards",
    )

    def __init__(
        self,
        host: str,
        reactor: Any,
        limits: Limits,
        keeper: LeaseKeeper,
        states: UpstreamStates,
        peers: PeerService,
        quarantine: Quarantine,
        pool: ConnectionPool,
        relay: RelayClient,
        router: Router,
        metrics: Metrics,
        queue_wait_s: float,
    ) -> None:
        self._host = host
        self._reactor = reactor
        self._limits = limits
        self._keeper = keeper
        self._states = states
        self._peers = peers
        self._quarantine = quarantine
        self._pool = pool
        self._relay = relay
        self._router = router
        self._metrics = metrics
        self._queue = SlotQueue(reactor, queue_wait_s)
        self._retries: dict[str, RetryBudget] = {}  # by service
        self._manifest: Manifest | None = None
        self.shards: dict[str, str] = {}  # upstream to shard
        # Called with each upstream that broke a connection or refused one.
        self.broken_listeners: list[Callable[[Upstream], None]] = []

    def apply(self, manifest: Manifest, shards: dict[str, str]) -> None:
        """Follow the manifest in force."""
        self._manifest = manifest
        self.shards = shards

    async def run(self, job: Job) -> Received:
        """Dispatch the job until it is answered or must not be tried again."""
        budget = self._retries.setdefault(job.service.name, RetryBudget())
        if job.relay_allowed:
            budget.note_request(self._reactor.seconds())
        last: Received | None = None
        waited = False
        while True:
            place = self._find_place(job, waited)
            if isinstance(place, ErrorKind) and self._runs_trial(job):
                place = await self._wait_for_trial(job)
            if isinstance(place, ErrorKind):
                if place is ErrorKind.CAP_REACHED and not waited:
                    waited = True
                    if await self._wait_for_slot(job):
                        continue
                return last if last is not None else Err(place)
            if isinstance(place, PeerPlace):
                last = await self._relay_to(job, place)
            else:
                last = await self._send_to(job, place)
            if not self._may_go_on(job, last, place, budget):
                return last

    def _may_go_on(
        self, job: Job, last: Received, place: Place | PeerPlace, budget: RetryBudget
    ) -> bool:
        """Tell whether the job may be tried again after this result."""
        if not job.relay_allowed:
            # Only the host that the caller chose retries: a relayed request
            # would otherwise earn and spend retries at two hosts.
            return False
        now = self._reactor.seconds()
        if now >= job.deadline or job.attempts >= MAX_ATTEMPTS:
            return False
        if isinstance(last, Ok):
            if not _is_retryable_answer(job, last.ok_value):
                return False
        elif not may_retry(
            last.err_value, job.service.idempotent, job.req.answered, job.replayable
        ):
            return False
        # A peer that refused, not its upstream, cost no upstream anything.
        refused_by_peer = (
            isinstance(place, PeerPlace)
            and job.life.outcome() is Outcome.DID_NOT_RUN
            and last != Err(ErrorKind.UPSTREAM_REFUSED)
        )
        if refused_by_peer:
            return True
        if not budget.take(now):
            return False
        self._metrics.count_retry(job.service.name)
        return True

    # Choice of a place.

    def _find_place(self, job: Job, waited: bool) -> Place | PeerPlace | ErrorKind:
        now = self._reactor.seconds()
        if now >= job.deadline:
            return ErrorKind.DEADLINE_PASSED
        verdict = self._quarantine.verdict(job.fingerprint, now)
        if verdict is Verdict.BLOCKED:
            return ErrorKind.REQUEST_QUARANTINED
        if verdict is Verdict.WAIT:
            return ErrorKind.CAP_REACHED
        alone = verdict is Verdict.ALONE
        if alone and job.relay_allowed:
            runner = self._router.runner_of_suspect(job, now)
            if runner != self._host:
                return self._peer_or_full(job, runner)
        must_queue = not alone and not waited and not job.attempts
        if must_queue and self._queue.length(job.service.name):
            # Those that wait come first.
            return self._choose_peer(job, 0, now) or ErrorKind.CAP_REACHED
        if alone:
            return self._own_place(job, alone, now)
        own_free = self._router.own_free(job.service.name, now)
        if own_free:
            peer = self._choose_peer(job, own_free, now)
            if peer is not None:
                return peer
        place = self._own_place(job, alone, now)
        if isinstance(place, Place):
            return place
        return self._choose_peer(job, 0, now) or place

    def _peer_or_full(self, job: Job, host: str) -> PeerPlace | ErrorKind:
        if host in job.tried:
            return ErrorKind.CAP_REACHED
        return PeerPlace(host)

    def _choose_peer(self, job: Job, own_free: int, now: float) -> PeerPlace | None:
        if not job.relay_allowed or job.relays >= MAX_RELAYS:
            return None
        host = self._router.peer_for(job, own_free, now)
        return PeerPlace(host) if host is not None else None

    def _own_place(self, job: Job, alone: bool, now: float) -> Place | ErrorKind:
        manifest = self._manifest
        if manifest is None:
            return ErrorKind.NO_MANIFEST
        rooms = self._limits.rooms(job.service.name)
        if not rooms:
            return ErrorKind.LEASE_LAPSED
        leases: dict[str, bool] = {}  # shard to whether its lease is valid
        usable = [
            room for room in rooms if self._is_usable(job, room, alone, leases, now)
        ]
        if not usable:
            return ErrorKind.NO_UPSTREAM
        name = self._router.upstream_for(usable, now)
        if name is None:
            return ErrorKind.CAP_REACHED
        reserved = self._limits.reserve(name, now)
        if isinstance(reserved, Err):
            kind: ErrorKind = reserved.err_value
            return kind
        return Place(manifest.upstreams[name], reserved.ok_value, alone)

    def _is_usable(
        self, job: Job, room: Room, alone: bool, leases: dict[str, bool], now: float
    ) -> bool:
        name = room.upstream
        if name in job.tried or self._quarantine.held_for_trial(name):
            return False
        if alone and not self._quarantine.idle(name):
            return False
        room.limit = self._states.limit(name, room.limit, now)
        shard = self.shards.get(name, "")
        if shard not in leases:
            leases[shard] = self._keeper.may_dispatch(shard, now)
        return room.limit > 0 and leases[shard]

    def _runs_trial(self, job: Job) -> bool:
        """Tell whether this host is to run the job alone on an upstream."""
        now = self._reactor.seconds()
        verdict = self._quarantine.verdict(job.fingerprint, now)
        if verdict not in (Verdict.ALONE, Verdict.WAIT):
            return False
        return (
            not job.relay_allowed
            or self._router.runner_of_suspect(job, now) == self._host
        )

    async def _wait_for_trial(self, job: Job) -> Place | PeerPlace | ErrorKind:
        """Wait until an upstream is idle or another trial has ended."""
        until = min(job.deadline, self._reactor.seconds() + SUSPECT_WAIT_S)
        while True:
            await deferLater(self._reactor, SUSPECT_RECHECK_S)
            place = self._find_place(job, waited=True)
            if not isinstance(place, ErrorKind) or not self._runs_trial(job):
                return place
            if self._reactor.seconds() >= until or job.req.closed:
                return place

    async def _wait_for_slot(self, job: Job) -> bool:
        service = job.service.name
        # The host that relays has a queue of its own; two waits in a row take
        # longer than a refusal may.
        if not job.relay_allowed:
            return False
        # More waiting requests than slots cannot all be served in time.
        if self._queue.length(service) >= self._limits.total(service):
            return False
        return await self._queue.wait(service)

    # One attempt at an upstream.

    async def _send_to(self, job: Job, place: Place) -> Received:
        job.attempts += 1
        upstream = place.upstream
        acquired = await self._pool.acquire(upstream.address, upstream.name)
        sent_at = self._reactor.seconds()
        if isinstance(acquired, Err):
            self._free(place.slot, upstream)
            job.tried.add(upstream.name)
            unopened: ErrorKind = acquired.err_value
            if unopened is ErrorKind.CONNECT_FAILED:
                self._note_broken(upstream, sent_at)
                self._note(upstream, DispatchOutcome.FAILED, sent_at)
            return Err(unopened)
        conn = acquired.ok_value
        refusal = self._last_check(job, upstream, sent_at)
        if refusal is not None:
            conn.cancel()
            self._free(place.slot, upstream)
            return Err(refusal)
        deadline = attempt_deadline(job.deadline, job.service.timeout_s, sent_at)
        self._states.note_dispatch(upstream.name, sent_at)
        self._quarantine.note_dispatch(job.fingerprint, upstream.name, sent_at)
        receiver = self._write(job, upstream, conn, deadline - sent_at)
        timer = self._reactor.callLater(deadline - sent_at, _time_out, conn, receiver)
        received = await receiver.result
        if timer.active():
            timer.cancel()
        return await self._conclude(job, place, receiver, received, sent_at, deadline)

    def _last_check(self, job: Job, upstream: Upstream, now: float) -> ErrorKind | None:
        """Check lease and deadline; the process may have been frozen until now."""
        if now >= job.deadline:
            return ErrorKind.DEADLINE_PASSED
        if not self._keeper.may_dispatch(self.shards.get(upstream.name, ""), now):
            return ErrorKind.LEASE_LAPSED
        if not self._states.accepts(upstream.name, now):
            return ErrorKind.NO_UPSTREAM
        return None

    def _write(
        self, job: Job, upstream: Upstream, conn: ClientConnection, time_s: float
    ) -> AnswerReceiver:
        request_id = job.request_id.encode("latin-1")
        headers = [
            (b"Host", str(upstream.address).encode()),
            *job.headers,
            (b"Request-Id", request_id),
            (b"Request-Deadline", str(unix_ms_after(time_s)).encode()),
            *job.body_headers(),
        ]
        if job.key is not None:
            headers.append((b"Idempotency-Key", job.key.encode("latin-1")))
        call_later = self._reactor.callLater
        writer = PacedWriter(
            job.req.write,
            FlowGate(conn.pause, conn.resume),
            self._router.answer_pacer(job.req),
            call_later,
        )
        receiver = AnswerReceiver(
            conn, job.request_id, job.req, self._headers_of(job), writer
        )
        job.life.begin_dispatch()
        conn.send(job.method, job.target, headers, job.body, receiver)
        if job.body is None:
            job.body_taken = True
            pacer = self._router.read_pacer(job.req)
            UploadPipe(job.req, conn, pacer, call_later, receiver.fail).start()
        return receiver

    def _headers_of(self, job: Job) -> Callable[[ResponseHead], Headers]:
        def make(head: ResponseHead) -> Headers:
            headers = answer_headers(head.headers, job.request_id, self._host)
            length = head.header.get(b"content-length")
            return [*headers, (b"Content-Length", length)] if length else headers

        return make

    async def _conclude(
        self,
        job: Job,
        place: Place,
        receiver: AnswerReceiver,
        received: Received,
        sent_at: float,
        deadline: float,
    ) -> Received:
        """Settle slot, life cycle and measurements after an exchange."""
        upstream, now = place.upstream, self._reactor.seconds()
        head = receiver.head_seen
        if head is not None and head.header.get(b"upstream-state") == b"draining":
            self._states.note_draining(upstream.name, sent_at, now)
        if isinstance(received, Ok):
            return self._conclude_answer(job, place, received, sent_at)
        kind: ErrorKind = received.err_value
        job.life.lose()
        job.tried.add(upstream.name)
        self._free_later(place.slot, upstream, _busy_until(kind, now, deadline) - now)
        if kind is ErrorKind.CALLER_GONE:
            self._quarantine.note_end(job.fingerprint, upstream.name)
            self._note(upstream, DispatchOutcome.CANCELLED, sent_at)
            return received
        self._note(upstream, DispatchOutcome.FAILED, sent_at)
        if kind is not ErrorKind.UPSTREAM_BROKEN:
            self._quarantine.note_end(job.fingerprint, upstream.name)
            return received
        self._note_broken(upstream, sent_at)
        suspects = self._quarantine.note_crash(upstream.name, now)
        logger.warning(
            "upstream broke the connection",
            upstream=upstream.name,
            request_id=job.request_id,
            suspects=len(suspects),
        )
        await self._peers.notify_now(NOTIFY_TIMEOUT_S)
        return received

    def _conclude_answer(
        self, job: Job, place: Place, received: Received, sent_at: float
    ) -> Received:
        upstream, now = place.upstream, self._reactor.seconds()
        answer = received.ok()
        self._free(place.slot, upstream)
        if _is_refusal(answer):
            job.life.refuse()
            job.tried.add(upstream.name)
            self._quarantine.note_end(job.fingerprint, upstream.name)
            self._note(upstream, DispatchOutcome.REFUSED, sent_at)
            return Err(ErrorKind.UPSTREAM_REFUSED)
        if _is_given_up(answer):
            job.life.lose()
            job.tried.add(upstream.name)
            self._quarantine.note_end(job.fingerprint, upstream.name)
            self._note(upstream, DispatchOutcome.FAILED, sent_at)
            return Err(ErrorKind.UPSTREAM_TIMEOUT)
        job.life.answer()
        self._quarantine.note_answer(job.fingerprint, upstream.name, now)
        failed = answer is not None and answer.status >= 500
        outcome = DispatchOutcome.FAILED if failed else DispatchOutcome.ANSWERED
        self._note(upstream, outcome, sent_at)
        if failed:
            job.tried.add(upstream.name)
        return received

    def _note(
        self, upstream: Upstream, outcome: DispatchOutcome, sent_at: float
    ) -> None:
        now = self._reactor.seconds()
        self._states.note_outcome(upstream.name, outcome, sent_at, now)

    def _note_broken(self, upstream: Upstream, sent_at: float) -> None:
        self._states.note_broken(upstream.name, sent_at, self._reactor.seconds())
        for listener in self.broken_listeners:
            listener(upstream)

    def _free(self, slot: Slot, upstream: Upstream) -> None:
        self._limits.release(slot)
        self._queue.wake(upstream.service)

    def _free_later(self, slot: Slot, upstream: Upstream, wait_s: float) -> None:
        """Free a slot when the upstream has surely stopped working on it."""
        if wait_s <= 0:
            self._free(slot, upstream)
        else:
            self._reactor.callLater(wait_s, self._free, slot, upstream)

    # One attempt through a peer.

    async def _relay_to(self, job: Job, place: PeerPlace) -> Received:
        manifest = self._manifest
        peer = manifest.hosts.get(place.host) if manifest is not None else None
        job.tried.add(place.host)
        job.relays += 1
        if peer is None:
            return Err(ErrorKind.NO_UPSTREAM)
        self._router.note_relay(place.host, job.service.name)
        sent = await self._relay.send(job, peer, RelayMode.DISPATCH)
        if isinstance(sent, Err):
            kind: ErrorKind = sent.err_value
            if job.life.outcome() is not Outcome.DID_NOT_RUN:
                job.life.lose()
            return Err(kind)
        relayed = sent.ok_value
        accepted = relayed.kind not in FULL_KINDS
        self._router.note_relay_result(peer, job.service.name, accepted)
        if relayed.kind is None:
            job.life.answer()
            return Ok(relayed.answer)
        if relayed.outcome is Outcome.DID_NOT_RUN:
            job.life.refuse()
        else:
            job.life.lose()
        return Err(relayed.kind)


def _is_refusal(answer: KeptAnswer | StreamedAnswer | None) -> bool:
    """Tell whether an upstream states that it did not run the request."""
    return (
        isinstance(answer, KeptAnswer)
        and answer.status == 503
        and (b"request-not-run", b"1") in answer.headers
    )


def _is_given_up(answer: KeptAnswer | StreamedAnswer | None) -> bool:
    """Tell whether an upstream states that it stopped work at the deadline.

    How far it got is not known, so that such an answer is no outcome.
    """
    return isinstance(answer, KeptAnswer) and answer.status == 504


def _is_retryable_answer(job: Job, answer: KeptAnswer | StreamedAnswer) -> bool:
    """Tell whether another upstream may give a better answer."""
    return (
        isinstance(answer, KeptAnswer)
        and answer.status >= 500
        and job.service.idempotent
        and job.replayable
    )


def _busy_until(kind: ErrorKind, now: float, deadline: float) -> float:
    """Return the time until which the upstream may still work on a request."""
    if kind is ErrorKind.CALLER_GONE:
        return min(now + CANCEL_NOTICE_S, deadline + DEADLINE_GRACE_S)
    return deadline + DEADLINE_GRACE_S


def _time_out(conn: ClientConnection, receiver: AnswerReceiver) -> None:
    conn.cancel()
    receiver.fail(ErrorKind.UPSTREAM_TIMEOUT)
