"""Ledger of idempotency keys: makes each non-idempotent request run once.

A key names the only process that may execute its request, so one ledger in
that process's memory decides alone and the table service is not needed. A key
that the ledger may have forgotten is never executed: keys carry the epoch of
their issue, and those older than the previous epoch are answered "unknown".
`requesthandler` calls `begin` before it dispatches and `finish` when the outcome is
known.
"""

from __future__ import annotations

import secrets
from typing import Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from .errorcodes import ErrorKind, Outcome
from .headers import Headers

EPOCH_S: Final = 300.0
MAX_ENTRIES: Final = 200_000
# Answers of registrations are small; larger ones are answered once only.
MAX_ANSWER_BYTES: Final = 64 * 1024
MAX_STORED_BYTES: Final = 8 * 1024 * 1024
NONCE_BYTES: Final = 16


class RequestKey:
    """An idempotency key in parts."""

    __slots__ = ("epoch", "host", "incarnation", "nonce")

    def __init__(self, host: str, incarnation: int, epoch: int, nonce: str) -> None:
        self.host = host
        self.incarnation = incarnation  # process that may execute the request
        self.epoch = epoch  # of that process, at the time of issue
        self.nonce = nonce

    def __str__(self) -> str:
        return f"{self.host}.{self.incarnation:016x}.{self.epoch}.{self.nonce}"


def parse_key(text: str) -> RequestKey | None:
    """Return the key in a text, or None if the text is no key.

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
    """Return the part of a key that look-up answers can prepare in advance."""
    return f"{host}.{incarnation:016x}.{epoch}."


def make_nonce() -> str:
    """Return the random part of a new key."""
    return secrets.token_hex(NONCE_BYTES)


class BufferedAnswer:
    """A whole answer of an upstream."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class LedgerEntry:
    """What is known of one key."""

    __slots__ = ("answer", "fingerprint", "kind", "outcome", "waiters")

    def __init__(self, fingerprint: int) -> None:
        self.fingerprint = fingerprint  # of the request that used the key first
        self.outcome: Outcome | None = None  # None while in flight
        self.kind: ErrorKind | None = None  # failure that the caller was told
        self.answer: BufferedAnswer | None = None  # None if too large or evicted
        self.waiters: list[Deferred[None]] = []  # repeats that came meanwhile


class BeginResult:
    """Result of `begin`: the entry, and whether the caller must execute it."""

    __slots__ = ("entry", "is_new")

    def __init__(self, entry: LedgerEntry, is_new: bool) -> None:
        self.entry = entry
        self.is_new = is_new


class Ledger:
    """Keys of one process and their outcomes; times in seconds, monotonic."""

    __slots__ = (
        "_entries",
        "_kept",
        "_kept_bytes",
        "_started_at",
        "host",
        "incarnation",
    )

    def __init__(self, host: str, incarnation: int, started_at: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self._started_at = started_at
        self._entries: dict[int, dict[str, LedgerEntry]] = {}  # by epoch, nonce
        self._kept: dict[int, LedgerEntry] = {}  # with answers, oldest first
        self._kept_bytes = 0

    def epoch(self, now: float) -> int:
        """Return the number of the current epoch."""
        return int((now - self._started_at) / EPOCH_S)

    def issue(self, now: float) -> str:
        """Return a new key that this process executes."""
        prefix = key_prefix(self.host, self.incarnation, self.epoch(now))
        return prefix + make_nonce()

    def owns(self, key: RequestKey) -> bool:
        """Tell whether this process executes the key's request."""
        return key.host == self.host and key.incarnation == self.incarnation

    def begin(
        self, key: RequestKey, fingerprint: int, now: float
    ) -> Result[BeginResult, ErrorKind]:
        """Enter a key; return its entry, KEY_EXPIRED, KEY_MISMATCH or LEDGER_FULL."""
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
        answer: BufferedAnswer | None,
    ) -> None:
        """Record the final outcome of an entry and release its repeats."""
        entry.outcome = outcome
        entry.kind = kind
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            self._keep(entry, answer)
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            if not waiter.called:  # called: the repeat's own time was up first
                waiter.callback(None)

    def size(self) -> int:
        """Return the number of keys that are remembered."""
        return sum(len(entries) for entries in self._entries.values())

    def _keep(self, entry: LedgerEntry, answer: BufferedAnswer) -> None:
        entry.answer = answer
        self._kept[id(entry)] = entry
        self._kept_bytes += len(answer.body)
        while self._kept_bytes > MAX_STORED_BYTES:
            self._drop_answer(next(iter(self._kept.values())))

    def _drop_answer(self, entry: LedgerEntry) -> None:
        if self._kept.pop(id(entry), None) is not None and entry.answer is not None:
            self._kept_bytes -= len(entry.answer.body)
            entry.answer = None

    def _forget_before(self, epoch: int) -> None:
        for old in [number for number in self._entries if number < epoch]:
            for entry in self._entries.pop(old).values():
                self._drop_answer(entry)
