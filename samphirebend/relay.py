"""Relays a request to another entry host.

A request in mode DISPATCH goes to a peer with a free slot. A keyed request in
mode EXECUTE goes to the process that its key names. Bytes that go to another
region are paced by the link budget. `dispatch` and `requesthandler` handle
failures.
"""

from __future__ import annotations

import math
from enum import Enum, unique
from typing import Any, Final, Protocol

from result import Err, Ok, Result
from twisted.internet.task import deferLater

from .connectionpool import ConnectionPool
from .errorcodes import ErrorKind, Outcome
from .exchange import (
    ESTIMATED_HEAD_BYTES,
    MIN_PIECE_BYTES,
    ExchangeResult,
    FlowControl,
    PacedWriter,
    Pacer,
    ResponseReceiver,
    StreamedResponse,
    UploadPipe,
    combine_pacers,
)
from .headers import Headers
from .httpclient import ResponseHead
from .job import Job, response_headers
from .ledger import BufferedResponse
from .manifest import Host
from .serverrequest import ServerRequest

# The peer's deadline is this much earlier, so that its response about a
# timeout still arrives in time.
DEADLINE_MARGIN_S: Final = 0.02
# How long a request waits for a share of the link. A host that has just
# started gets one within two heartbeat intervals (0.5 s each by default).
LINK_SHARE_WAIT_S: Final = 1.0
LINK_SHARE_POLL_S: Final = 0.02  # interval of the checks during that wait


@unique
class RelayMode(Enum):
    """How the receiving host handles a relayed request.

    DISPATCH: send it to an upstream. EXECUTE: first look up its key in the
    ledger.
    """

    DISPATCH = "dispatch"
    EXECUTE = "execute"


class RelayResponse:
    """A peer's response, with the outcome and error that it states."""

    __slots__ = ("free_slots", "kind", "outcome", "result")

    def __init__(
        self,
        result: BufferedResponse | StreamedResponse,
        outcome: Outcome,
        kind: ErrorKind | None,
        free_slots: int | None = None,
    ) -> None:
        self.result = result
        # Free slots of the service that the peer offers for relayed requests;
        # None if it states none.
        self.free_slots = free_slots
        self.outcome = outcome
        self.kind = kind  # None: the response is from an upstream


class LinkPacers(Protocol):
    """The methods of `Router` that limit the bytes on links."""

    def pacer_to(self, region: str) -> Pacer | None: ...

    def answer_pacer(self, req: ServerRequest) -> Pacer | None: ...

    def read_pacer(self, req: ServerRequest) -> Pacer | None: ...


class ScheduledWrite:
    """A piece of a request's body and the delay after which it is written."""

    __slots__ = ("piece", "wait_s")

    def __init__(self, wait_s: float, piece: bytes) -> None:
        self.wait_s = wait_s
        self.piece = piece


class RelayClient:
    """Sends requests to the relay addresses of other hosts."""

    __slots__ = ("_host", "_pool", "_reactor", "_router")

    def __init__(
        self,
        host: str,
        reactor: Any,
        pool: ConnectionPool,
        router: LinkPacers,
    ) -> None:
        self._host = host
        self._reactor = reactor
        self._pool = pool
        self._router = router

    async def send(
        self, job: Job, peer: Host, mode: RelayMode
    ) -> Result[RelayResponse, ErrorKind]:
        """Relay the job.

        CONNECT_FAILED and LINK_CAP_REACHED mean that nothing was written.
        """
        acquired = await self._pool.acquire(peer.relay)
        if isinstance(acquired, Err):
            return Err(ErrorKind.CONNECT_FAILED)
        conn = acquired.ok_value
        pacer = self._router.pacer_to(peer.region)
        writes = schedule_writes(job, pacer)
        if mode is RelayMode.EXECUTE:
            writes = await self._wait_for_share(job, pacer, writes)
        remaining_s = job.deadline - self._reactor.seconds()
        if writes[-1].wait_s + DEADLINE_MARGIN_S >= remaining_s:
            conn.cancel()
            return Err(ErrorKind.LINK_CAP_REACHED)
        writer = PacedWriter(
            job.req.write,
            FlowControl(conn.pause, conn.resume),
            self._router.answer_pacer(job.req),
            self._reactor.callLater,
        )
        receiver = ResponseReceiver(
            conn, job.request_id, job.req, self._make_headers, writer
        )
        timer = self._reactor.callLater(remaining_s, self._time_out, conn, receiver)
        self._reactor.callLater(
            writes[0].wait_s, self._write, job, conn, mode, pacer, receiver, writes
        )
        received: ExchangeResult = await receiver.result
        if timer.active():
            timer.cancel()
        if isinstance(received, Err):
            return received
        return Ok(_parse_response(receiver.received_head, received.ok_value))

    async def _wait_for_share(
        self, job: Job, pacer: Pacer | None, writes: list[ScheduledWrite]
    ) -> list[ScheduledWrite]:
        """Wait for a share of the link; return the scheduled writes.

        A host that has just started has no share yet, and no other host can
        execute the request.
        """
        give_up_at = min(job.deadline, self._reactor.seconds() + LINK_SHARE_WAIT_S)
        while math.isinf(writes[0].wait_s) and self._reactor.seconds() < give_up_at:
            await deferLater(self._reactor, LINK_SHARE_POLL_S)
            writes = schedule_writes(job, pacer)
        return writes

    def _make_headers(self, head: ResponseHead) -> Headers:
        request_id = head.header.get(b"request-id", b"").decode("latin-1")
        served_by = head.header.get(b"served-by", b"").decode("latin-1")
        headers = response_headers(head.headers, request_id, served_by)
        length = head.header.get(b"content-length")
        return [*headers, (b"Content-Length", length)] if length else headers

    def _write(
        self,
        job: Job,
        conn: Any,
        mode: RelayMode,
        pacer: Pacer | None,
        receiver: ResponseReceiver,
        writes: list[ScheduledWrite],
    ) -> None:
        """Write the request, unless the exchange has already failed."""
        if receiver.result.called:
            return
        if not conn.open:
            receiver.fail(ErrorKind.CONNECT_FAILED)
            return
        headers = [
            (b"Host", b"relay"),
            *job.headers,
            (b"Request-Id", job.request_id.encode("latin-1")),
            (b"Relay-Mode", mode.value.encode()),
            (b"Relay-Host", self._host.encode()),
            (b"Request-Timeout-Ms", str(self._peer_timeout_ms(job)).encode()),
            *job.body_headers(),
        ]
        if job.overflow:
            headers.append((b"Relay-Overflow", b"1"))
        if job.key is not None:
            headers.append((b"Idempotency-Key", job.key.encode("latin-1")))
        path = f"/v1/services/{job.service.name}{job.target}"
        if mode is RelayMode.DISPATCH:
            job.lifecycle.begin_dispatch()
        whole_body = job.body if len(writes) == 1 else None
        conn.send(job.method, path, headers, whole_body, receiver)
        if job.body is None:
            job.body_consumed = True
            pacer = combine_pacers(pacer, self._router.read_pacer(job.req))
            pipe = UploadPipe(
                job.req, conn, pacer, self._reactor.callLater, receiver.fail
            )
            pipe.start()
        elif whole_body is None:
            self._write_body_pieces(conn, writes)

    def _write_body_pieces(self, conn: Any, writes: list[ScheduledWrite]) -> None:
        """Write a buffered body, each piece after its delay."""
        first, *others = writes
        conn.write_body(first.piece)
        for later_write in others:
            wait_s = max(0.0, later_write.wait_s - first.wait_s)
            self._reactor.callLater(wait_s, conn.write_body, later_write.piece)
        # The end follows the last piece, because it is scheduled after it with
        # the same delay.
        self._reactor.callLater(wait_s, conn.end_body)

    def _peer_timeout_ms(self, job: Job) -> int:
        remaining_s = job.deadline - self._reactor.seconds() - DEADLINE_MARGIN_S
        return max(1, int(remaining_s * 1000))

    @staticmethod
    def _time_out(conn: Any, receiver: ResponseReceiver) -> None:
        conn.cancel()
        receiver.fail(ErrorKind.UPSTREAM_TIMEOUT)


def schedule_writes(job: Job, pacer: Pacer | None) -> list[ScheduledWrite]:
    """Reserve bytes for head and buffered body, and return the writes."""
    body = job.body or b""
    if pacer is None:
        return [ScheduledWrite(0.0, body)]
    size = max(MIN_PIECE_BYTES, pacer.piece_bytes() - ESTIMATED_HEAD_BYTES)
    pieces = [body[at : at + size] for at in range(0, len(body), size)] or [b""]
    head_sizes = [ESTIMATED_HEAD_BYTES, *[0] * (len(pieces) - 1)]
    return [
        ScheduledWrite(pacer(len(piece) + head_size), piece)
        for piece, head_size in zip(pieces, head_sizes, strict=True)
    ]


def _parse_response(
    head: ResponseHead | None, response: BufferedResponse | StreamedResponse
) -> RelayResponse:
    """Return the response with the outcome and the error in its headers."""
    header = head.header if head is not None else {}
    kind_text = header.get(b"error-kind", b"").decode("latin-1")
    outcome_text = header.get(b"request-outcome", b"").decode("latin-1")
    try:
        outcome = Outcome(outcome_text)
        kind = ErrorKind(kind_text) if kind_text else None
    except ValueError:
        # Every relay states an outcome, so this response is not from a relay.
        return RelayResponse(response, Outcome.UNKNOWN, ErrorKind.WRONG_ANSWER)
    free_slots = header.get(b"relay-free", b"")
    return RelayResponse(
        response, outcome, kind, int(free_slots) if free_slots.isdigit() else None
    )
