"""One request on its way through a host, and the headers that belong to it.

`requesthandler` makes a `Job` from a caller's request, `dispatch` works it off and
`relay` passes it to another host.
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

# Headers that only this system sets; those of callers and upstreams are
# dropped, so that neither can pass for a statement of the system.
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
_REQUEST_DROPPED: Final = SYSTEM_HEADERS | {
    b"content-length",
    b"expect",
    b"host",
    b"idempotency-key",
}


class Job:
    """A request with its deadline and what has become of it."""

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
            item for item in end_to_end(req.headers) if item[0] not in _REQUEST_DROPPED
        ]
        self.body: bytes | None = None  # None: streamed from the caller
        self.body_consumed = False  # a streamed body cannot be sent twice
        self.fingerprint = 0
        self.key: str | None = None  # idempotency key of the caller
        self.lifecycle: RequestLifecycle = make_request_lifecycle()
        self.relay_allowed = True
        self.attempts = 0  # at upstreams of this host
        self.unsent_attempts = 0  # of these, the ones that wrote nothing
        self.relays = 0  # to peers
        self.overflow = False  # relayed for want of an own slot
        self.avoid_far_relays = False  # no more relays over long links
        self.tried: set[str] = set()  # upstreams and hosts that failed
        self.trial_hosts: set[str] = set()  # hosts asked to run it as a suspect

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent again."""
        return self.body is not None or not self.body_consumed

    @property
    def size_hint(self) -> int:
        """Return the bytes of the body, 0 if not known."""
        return len(self.body) if self.body is not None else self.req.content_length or 0

    def body_headers(self) -> Headers:
        """Return the headers that frame the body."""
        if self.body is not None:
            if not self.body and not self.req.has_body:
                return []
            return [(b"Content-Length", str(len(self.body)).encode())]
        if self.req.content_length is not None:
            return [(b"Content-Length", str(self.req.content_length).encode())]
        return [(b"Transfer-Encoding", b"chunked")]

    def body_digest(self) -> bytes:
        """Return a digest of a held body, or what is known of a streamed one.

        Without the announced length and digest, one upload that crashes
        upstreams would block all other uploads to the same target.
        """
        if self.body is not None:
            return hashlib.sha256(self.body).digest() if self.body else b""
        length = str(self.req.content_length).encode()
        return length + b"/" + self.req.header.get(b"content-digest", b"")


def unix_ms_after(seconds: float) -> int:
    """Return the Unix time in milliseconds that lies some seconds ahead."""
    return int((time.time() + seconds) * 1000)


def response_headers(headers: Headers, request_id: str, host: str) -> Headers:
    """Return the headers of an upstream's answer as the caller gets them."""
    kept = [
        item
        for item in end_to_end(headers)
        if item[0] not in SYSTEM_HEADERS and item[0] != b"content-length"
    ]
    return [
        *kept,
        (b"Request-Outcome", Outcome.DONE.value.encode()),
        (b"Request-Id", request_id.encode("latin-1")),
        (b"Served-By", host.encode()),
    ]


def failure_headers(
    kind: ErrorKind, outcome: Outcome, request_id: str, host: str
) -> Headers:
    """Return the headers that tell a caller of a failure."""
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
