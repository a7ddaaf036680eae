"""Ledger of idempotency keys, which runs non-idempotent requests at most once.

A key names the only process that may execute its request. The ledger in the
memory of that process is therefore authoritative, and the table service is not
needed. A request is never executed if the ledger may have forgotten its key:
keys contain the epoch in which they were issued, and keys from before the
previous epoch get the outcome "unknown".

`requesthandler` calls `begin` before it dispatches a request and `finish` when
the outcome is known.
"""

from __future__ import annotations

import secrets
from typing import Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from .errorcodes import ErrorKind, Outcome
from .headers import Headers

EPOCH_S: Final = 300.0
MAX_ENTRIES: Final = 200_000  # keys of the two epochs together
# Maximum size of a response body that is stored for repeats of the request.
# Responses to registrations are small. Repeats of a request with a larger one
# get only its outcome.
MAX_ANSWER_BYTES: Final = 64 * 1024
# Limit on the bodies of all stored responses together.
MAX_STORED_BYTES: Final = 8 * 1024 * 1024
NONCE_BYTES: Final = 16


class RequestKey:
    """A parsed idempotency key."""

    __slots__ = ("epoch", "host", "incarnation", "nonce")

    def __init__(self, host: str, incarnation: int, epoch: int, nonce: str) -> None:
        self.host = host
        # Process of the host that may execute the request.
        self.incarnation = incarnation
        self.epoch = epoch  # epoch of that process in which the key was issued
        self.nonce = nonce

    def __str__(self) -> str:
        return f"{self.host}.{self.incarnation:016x}.{self.epoch}.{self.nonce}"


def parse_key(text: str) -> RequestKey | None:
    """Parse an idempotency key; return None if the text is not a valid key.

    >>> text = "entry-1.00000000000000ff.3." + "ab" * 16
    >>> str(parse_key(text)) == text
    True
    >>> parse_key("abc") is None
    True
    """
    parts = text.rsplit(".", 3)
    if len(parts) != 4 or len(parts[3]) != 2 * NONCE_BYTES:
        return None
    try:
        int(parts[3], 16)
        return RequestKey(parts[0], int(parts[1], 16), int(parts[2]), parts[3])
    except ValueError:
        return None


def key_prefix(host: str, incarnation: int, epoch: int) -> str:
    """Return the part that all keys of an epoch have in common.

    Look-up responses are prepared with it and completed by `make_nonce`.
    """
    return f"{host}.{incarnation:016x}.{epoch}."


def make_nonce() -> str:
    """Return the random part of a new key, in hexadecimal."""
    return secrets.token_hex(NONCE_BYTES)


class BufferedResponse:
    """A whole response of an upstream, held in memory."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class LedgerEntry:
    """The state of one idempotency key."""

    __slots__ = ("answer", "fingerprint", "kind", "outcome", "waiters")

    def __init__(self, fingerprint: int) -> None:
        # Fingerprint of the first request with the key.
        self.fingerprint = fingerprint
        self.outcome: Outcome | None = None  # None while in flight
        self.kind: ErrorKind | None = None  # error that was sent to the caller
        # Stored response. None if there is none, or if it was too large or
        # evicted.
        self.answer: BufferedResponse | None = None
        # Fired for repeats of the request that wait for its outcome.
        self.waiters: list[Deferred[None]] = []


class BeginResult:
    """Result of `Ledger.begin`: the key's entry and whether it is new.

    The request must be executed if and only if the entry is new.
    """

    __slots__ = ("entry", "is_new")

    def __init__(self, entry: LedgerEntry, is_new: bool) -> None:
        self.entry = entry
        self.is_new = is_new


class Ledger:
    """The idempotency keys of one process; times are in monotonic seconds."""

    __slots__ = (
        "_entries",
        "_entries_with_answer",
        "_started_at",
        "_stored_bytes",
        "host",
        "incarnation",
    )

    def __init__(self, host: str, incarnation: int, started_at: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self._started_at = started_at
        # Entries, keyed by epoch and nonce.
        self._entries: dict[int, dict[str, LedgerEntry]] = {}
        # Entries with a stored response, keyed by identity, oldest first.
        self._entries_with_answer: dict[int, LedgerEntry] = {}
        self._stored_bytes = 0

    def epoch(self, now: float) -> int:
        """Return the number of the current epoch."""
        return int((now - self._started_at) / EPOCH_S)

    def issue(self, now: float) -> str:
        """Return a new key whose request this process executes."""
        prefix = key_prefix(self.host, self.incarnation, self.epoch(now))
        return prefix + make_nonce()

    def owns(self, key: RequestKey) -> bool:
        """Return whether this process executes the key's request."""
        return key.host == self.host and key.incarnation == self.incarnation

    def begin(
        self, key: RequestKey, fingerprint: int, now: float
    ) -> Result[BeginResult, ErrorKind]:
        """Return the entry of a key, which is created if the key is new.

        The errors are KEY_MALFORMED, KEY_EXPIRED, KEY_MISMATCH and
        LEDGER_FULL.
        """
        epoch = self.epoch(now)
        self._forget_before(epoch - 1)
        if key.epoch > epoch:
            return Err(ErrorKind.KEY_MALFORMED)
        if key.epoch < epoch - 1:
            return Err(ErrorKind.KEY_EXPIRED)
        entries = self._entries.setdefault(key.epoch, {})
        entry = entries.get(key.nonce)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return Err(ErrorKind.KEY_MISMATCH)
            return Ok(BeginResult(entry, is_new=False))
        if self.size() >= MAX_ENTRIES:
            return Err(ErrorKind.LEDGER_FULL)
        entry = entries[key.nonce] = LedgerEntry(fingerprint)
        return Ok(BeginResult(entry, is_new=True))

    def finish(
        self,
        entry: LedgerEntry,
        outcome: Outcome,
        kind: ErrorKind | None,
        response: BufferedResponse | None,
    ) -> None:
        """Record the final outcome of an entry and wake its waiters."""
        entry.outcome = outcome
        entry.kind = kind
        if response is not None and len(response.body) <= MAX_ANSWER_BYTES:
            self._store_response(entry, response)
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            if not waiter.called:  # called already if the repeat timed out
                waiter.callback(None)

    def size(self) -> int:
        """Return the number of keys in the ledger."""
        return sum(len(entries) for entries in self._entries.values())

    def _store_response(self, entry: LedgerEntry, response: BufferedResponse) -> None:
        """Store a response, and drop the oldest ones beyond the limit."""
        entry.answer = response
        self._entries_with_answer[id(entry)] = entry
        self._stored_bytes += len(response.body)
        while self._stored_bytes > MAX_STORED_BYTES:
            self._drop_response(next(iter(self._entries_with_answer.values())))

    def _drop_response(self, entry: LedgerEntry) -> None:
        if (
            self._entries_with_answer.pop(id(entry), None) is not None
            and entry.answer is not None
        ):
            self._stored_bytes -= len(entry.answer.body)
            entry.answer = None

    def _forget_before(self, epoch: int) -> None:
        for old in [number for number in self._entries if number < epoch]:
            for entry in self._entries.pop(old).values():
                self._drop_response(entry)
