"""The state of a request on its way through a host, and its headers.

`requesthandler` makes a `Job` from a caller's request, `dispatch` sends it to
an upstream and `relay` to another host.
"""

from __future__ import annotations

import hashlib
import time
from typing import Final

from .errorcodes import ERROR_RESPONSES, ErrorKind, Outcome
from .headers import Headers, end_to_end
from .manifest import Service
from .requestlifecycle import RequestLifecycle, make_request_lifecycle
from .serverrequest import ServerRequest

# Headers that only this system sets. They are removed from the requests of
# callers and the responses of upstreams, so that neither can forge them.
SYSTEM_HEADERS: Final = frozenset(
    (
        b"error-kind",
        b"next-idempotency-key",
        b"relay-free",
        b"relay-host",
        b"relay-mode",
        b"relay-overflow",
        b"request-deadline",
        b"request-id",
        b"request-not-run",
        b"request-outcome",
        b"request-timeout-ms",
        b"retry-after-ms",
        b"served-by",
    )
)
# Headers of a caller's request that are not forwarded.
_DROPPED_REQUEST_HEADERS: Final = SYSTEM_HEADERS | {
    b"content-length",
    b"expect",
    b"host",
    b"idempotency-key",
}


class Job:
    """A request with its deadline, its life cycle and its attempts so far."""

    __slots__ = (
        "attempts",
        "avoid_far_relays",
        "body",
        "body_consumed",
        "deadline",
        "fingerprint",
        "headers",
        "key",
        "lifecycle",
        "method",
        "overflow",
        "relay_allowed",
        "relays",
        "req",
        "request_id",
        "service",
        "target",
        "trial_hosts",
        "tried",
        "unsent_attempts",
    )

    def __init__(
        self,
        req: ServerRequest,
        service: Service,
        target: str,
        request_id: str,
        deadline: float,
    ) -> None:
        self.req = req
        self.service = service
        self.method = req.method
        self.target = target  # path and query for the upstream
        self.request_id = request_id
        self.deadline = deadline  # monotonic, in seconds
        self.headers = [
            header
            for header in end_to_end(req.headers)
            if header[0] not in _DROPPED_REQUEST_HEADERS
        ]
        self.body: bytes | None = None  # None: streamed from the caller
        self.body_consumed = False  # a streamed body can be sent only once
        # Identifies the request in the quarantine and the ledger.
        self.fingerprint = 0
        self.key: str | None = None  # idempotency key of the caller
        self.lifecycle: RequestLifecycle = make_request_lifecycle()
        self.relay_allowed = True  # False: relayed here by a peer for dispatch
        self.attempts = 0  # attempts at upstreams of this host
        # Those of the attempts that failed before anything was written.
        self.unsent_attempts = 0
        self.relays = 0  # relays to peers
        self.overflow = False  # relayed because this host had no free slot
        self.avoid_far_relays = False  # no relays over links with a long delay
        # Names of upstreams that failed and of hosts that it was relayed to.
        self.tried: set[str] = set()
        # Hosts that were asked to run it alone on an upstream.
        self.trial_hosts: set[str] = set()

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.body is not None or not self.body_consumed

    @property
    def size_hint(self) -> int:
        """Return the size of the body in bytes, 0 if unknown."""
        return len(self.body) if self.body is not None else self.req.content_length or 0

    def body_headers(self) -> Headers:
        """Return the header that frames the body, if it has one."""
        if self.body is not None:
            if not self.body and not self.req.has_body:
                return []
            return [(b"Content-Length", str(len(self.body)).encode())]
        if self.req.content_length is not None:
            return [(b"Content-Length", str(self.req.content_length).encode())]
        return [(b"Transfer-Encoding", b"chunked")]

    def body_digest(self) -> bytes:
        """Return what identifies the body in the fingerprint of the request.

        For a buffered body, this is its digest. For a streamed one, it is the
        announced length and digest: without them, an upload that crashes
        upstreams would block all other uploads to the same target.
        """
        if self.body is not None:
            return hashlib.sha256(self.body).digest() if self.body else b""
        length = str(self.req.content_length).encode()
        return length + b"/" + self.req.header.get(b"content-digest", b"")


def unix_ms_after(seconds: float) -> int:
    """Return the Unix time in milliseconds, `seconds` from now."""
    return int((time.time() + seconds) * 1000)


def response_headers(headers: Headers, request_id: str, host: str) -> Headers:
    """Return the headers of an upstream's response as sent to the caller."""
    forwarded = [
        header
        for header in end_to_end(headers)
        if header[0] not in SYSTEM_HEADERS and header[0] != b"content-length"
    ]
    return [
        *forwarded,
        (b"Request-Outcome", Outcome.DONE.value.encode()),
        (b"Request-Id", request_id.encode("latin-1")),
        (b"Served-By", host.encode()),
    ]


def failure_headers(
    kind: ErrorKind, outcome: Outcome, request_id: str, host: str
) -> Headers:
    """Return the headers of an error response."""
    headers = [
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (b"Request-Outcome", outcome.value.encode()),
        (b"Error-Kind", kind.value.encode()),
        (b"Request-Id", request_id.encode("latin-1")),
        (b"Served-By", host.encode()),
    ]
    retry_after_ms = ERROR_RESPONSES[kind].retry_after_ms
    if retry_after_ms is not None and outcome is Outcome.DID_NOT_RUN:
        headers.append((b"Retry-After-Ms", str(retry_after_ms).encode()))
    return headers
