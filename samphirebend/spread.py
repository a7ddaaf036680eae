"""The manifest version in force on this host, and the commit of new ones.

A version is accepted by one transaction in the table service. Hosts learn of
it from the table and from heartbeats and replies of peers, fetch its text from
a peer or the table, check it and apply it. A lower version is never applied.
"""

from __future__ import annotations

import math
import random
import time
import zlib
from collections.abc import Callable
from enum import Enum, unique
from typing import Any, Final, TypeVar

from loguru import logger
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .jsonfile import Fault
from .manifest import MAX_MANIFEST_BYTES, Manifest, read_manifest_steps
from .options import Options
from .peers import PeerService, Respond
from .slices import Steps, finish, finish_in_slices
from .store import Row, RowWrite, StoreFault, TableStore
from .wire import Heartbeat, HeartbeatReply, ManifestReply, ManifestRequest

# Row with the highest accepted version and its commit id, without the text,
# so that the frequent polls stay small.
CURRENT_KEY: Final = "manifest#current"
FRESH_S: Final = 3.0
PEER_FETCH_TIMEOUT_S: Final = 1.0
# Wait after a fetch that brought nothing usable; without it, every heartbeat of
# every peer would fetch a version that this host cannot read.
FETCH_RETRY_S: Final = 0.5
MAX_HISTORY: Final = 20
# Table polls of all hosts together. The table serves about two thousand reads
# a second, and takeovers and starts of daemons need most of them.
POLLS_PER_S: Final = 500
# Half of the 12 s within which a change must be in force everywhere.
MAX_POLL_S: Final = 6.0
# Shorter texts are checked in one go, which takes at most about 15 ms.
SLICED_CHARS: Final = 64 * 1024
COMPRESS_CHARS: Final = 128 * 1024
CHECK_WAIT_S: Final = 0.05

T = TypeVar("T")


class InForce:
    """A manifest version that is in force."""

    __slots__ = ("manifest", "text", "version")

    def __init__(self, version: int, manifest: Manifest, text: str) -> None:
        self.version = version
        self.manifest = manifest
        self.text = text


@unique
class CommitFaultKind(Enum):
    """Why a commit was not confirmed."""

    INVALID = "INVALID"
    CONFLICT = "CONFLICT"
    UNAVAILABLE = "UNAVAILABLE"


class CommitFault:
    """A commit that was refused, or whose acceptance is not known."""

    __slots__ = (
        "base_version",
        "current_version",
        "faults",
        "kind",
        "may_be_accepted",
    )

    def __init__(self, kind: CommitFaultKind, base_version: int) -> None:
        self.kind = kind
        self.base_version = base_version  # that the commit was to replace
        self.current_version = 0  # on a conflict, the accepted version
        self.faults: list[Fault] = []  # of an invalid manifest
        # True if this call may have been accepted or may still be. Repeating
        # it with the same commit id and base version is safe in any case.
        self.may_be_accepted = False

    def __str__(self) -> str:
        if self.kind is CommitFaultKind.INVALID:
            return "; ".join(str(fault) for fault in self.faults)
        if self.kind is CommitFaultKind.CONFLICT:
            return (
                f"the commit replaces version {self.base_version}, but version "
                f"{self.current_version} is current"
            )
        if self.may_be_accepted:
            return "table service unavailable; the commit may have been accepted"
        return "table service unavailable; the commit was not sent"


class HistoryEntry:
    """An accepted version."""

    __slots__ = ("commit_id", "committed_unix_ms", "text", "version")

    def __init__(
        self, version: int, commit_id: str, committed_unix_ms: int, text: str
    ) -> None:
        self.version = version
        self.commit_id = commit_id
        self.committed_unix_ms = committed_unix_ms  # clock of the committing host
        self.text = text


class SpreadCounts:
    """Events since the start, for metrics."""

    __slots__ = ("applied", "from_peers", "from_table", "refused")

    def __init__(self) -> None:
        self.applied = 0  # versions applied, from any source
        self.from_peers = 0  # texts received from peers
        self.from_table = 0  # texts read from the table
        self.refused = 0  # texts that were unreadable or invalid


class SpreadService:
    """Keeps the highest accepted manifest version in force on this host."""

    def __init__(
        self,
        cfg: Options,
        store: TableStore,
        peers: PeerService,
        reactor: Any,
        now: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.counts = SpreadCounts()
        self._store = store
        self._peers = peers
        self._reactor = reactor
        self._now = now
        self._rng = rng or random.Random()
        self._poll_s = cfg.table_poll_s
        self._in_force: InForce | None = None
        self._body = b""  # deflated text of the version in force
        self._highest_heard = 0
        self._offers: dict[str, int] = {}  # peer to the version it reported
        self._evidence_at = -math.inf
        self._peer_evidence_at = -math.inf  # of replies alone
        self._refused: set[int] = set()  # versions already reported as invalid
        self._subscribers: list[Callable[[InForce], None]] = []
        self._checking: set[int] = set()  # versions whose text is being checked
        self._fetching = False
        self._next_fetch_at = -math.inf
        self._applied: Deferred[None] | None = None  # waits for a peer's text
        self._polling = False
        self._timer: Any = None
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._take_heartbeat)
        peers.reply_fillers.append(self._fill_reply)
        peers.reply_listeners.append(self._take_reply)
        peers.on_message(ManifestRequest, self._take_request)
        peers.on_message(ManifestReply, self._take_manifest)

    def start(self) -> None:
        """Begin to poll the table."""
        self._polling = True
        self._timer = self._reactor.callLater(0, self._run_poll)

    def stop(self) -> None:
        """End the polls."""
        self._polling = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def current(self) -> InForce | None:
        """Return the version in force, or None before the first."""
        return self._in_force

    def version(self) -> int:
        """Return the version number in force; 0 before the first."""
        return self._in_force.version if self._in_force else 0

    def subscribe(self, subscriber: Callable[[InForce], None]) -> None:
        """Call a function with every version applied from now on."""
        self._subscribers.append(subscriber)

    def is_fresh(self, now: float) -> bool:
        """Tell whether decisions may rely on the version in force.

        The evidence is a reply of a peer or an answer of the table to a
        question sent within `FRESH_S`. Messages that were not asked for don't
        count: after a freeze they may have waited in the receive buffer.
        """
        recent = now - self._evidence_at <= FRESH_S
        return recent and self.version() >= self._highest_heard

    async def commit(
        self, text: str, base_version: int, commit_id: str
    ) -> Result[int, CommitFault]:
        """Replace a version; return the number of the accepted one.

        A repeat with the same text, base version and commit id returns the
        version that was accepted the first time.
        """
        checked = await self._run(text, read_manifest_steps(text))
        if isinstance(checked, Err):
            fault = CommitFault(CommitFaultKind.INVALID, base_version)
            fault.faults = checked.err_value
            return Err(fault)
        read = await self._store.get(CURRENT_KEY)
        if isinstance(read, Err):
            return Err(_unavailable(base_version, may_be_accepted=False))
        current = read.ok_value or Row(CURRENT_KEY, {})
        if current.number("version") != base_version:
            return await self._explain_conflict(
                text, base_version, commit_id, may_be_accepted=False
            )
        version = base_version + 1
        body = await self._run(text, _deflate(text))
        written = await self._store.commit_rows(
            [
                RowWrite(
                    Row(CURRENT_KEY, {"version": version, "commit_id": commit_id}),
                    current.revision,
                ),
                RowWrite(_make_version_row(version, commit_id, body), 0),
            ]
        )
        if isinstance(written, Ok):
            self._apply(version, checked.ok_value, text, body)
            return Ok(version)
        if written.err_value is StoreFault.CONFLICT:
            return await self._explain_conflict(
                text, base_version, commit_id, may_be_accepted=True
            )
        return Err(_unavailable(base_version, may_be_accepted=True))

    async def history(self) -> Result[list[HistoryEntry], StoreFault]:
        """Return the accepted versions, newest first, at most `MAX_HISTORY`."""
        read = await self._store.get(CURRENT_KEY)
        if isinstance(read, Err):
            return read
        newest = read.ok_value.number("version") if read.ok_value else 0
        entries = []
        for version in range(newest, max(0, newest - MAX_HISTORY), -1):
            row = await self._store.get(_version_key(version))
            if isinstance(row, Err):
                return row
            if row.ok_value is not None:
                entries.append(_read_entry(version, row.ok_value))
        return Ok(entries)

    async def _explain_conflict(
        self, text: str, base_version: int, commit_id: str, may_be_accepted: bool
    ) -> Result[int, CommitFault]:
        """Tell a repeat of an accepted commit from the loser of a race.

        A commit on a base version can only become the next version, whose row
        never changes, so that row decides.
        """
        unavailable = _unavailable(base_version, may_be_accepted)
        read = await self._store.get(_version_key(base_version + 1))
        if isinstance(read, Err):
            return Err(unavailable)
        row = read.ok_value
        if row is not None:
            entry = _read_entry(base_version + 1, row)
            if entry.commit_id == commit_id and entry.text == text:
                return Ok(entry.version)
        current = await self._store.get(CURRENT_KEY)
        if isinstance(current, Err):
            unavailable.may_be_accepted = False
            return Err(unavailable)
        fault = CommitFault(CommitFaultKind.CONFLICT, base_version)
        if current.ok_value is not None:
            fault.current_version = current.ok_value.number("version")
        return Err(fault)

    def _run_poll(self) -> None:
        Deferred.fromCoroutine(self._poll()).addErrback(_log_failure)

    async def _poll(self) -> None:
        """Read the accepted version and schedule the next read."""
        asked_at = self._now()
        try:
            read = await self._store.get(CURRENT_KEY)
            if isinstance(read, Ok):
                self._evidence_at = max(self._evidence_at, asked_at)
                if read.ok_value is not None:
                    self._hear(read.ok_value.number("version"))
            self._fetch_if_behind()
        finally:
            if self._polling:
                wait_s = self.poll_interval_s() * self._rng.uniform(0.9, 1.1)
                self._timer = self._reactor.callLater(wait_s, self._run_poll)

    def poll_interval_s(self) -> float:
        """Return the interval of table polls, longer with many hosts.

        Versions also come with heartbeats, so the polls of all hosts together
        may stay below a rate that the table serves. A host that no peer
        answers keeps the short interval: the table is its only source.
        """
        if self._now() - self._peer_evidence_at > FRESH_S / 2:
            return self._poll_s
        hosts = len(self._in_force.manifest.hosts) if self._in_force else 0
        return max(self._poll_s, min(hosts / POLLS_PER_S, MAX_POLL_S))

    def _hear(self, version: int) -> None:
        self._highest_heard = max(self._highest_heard, version)

    def _hear_peer(self, host: str, version: int) -> None:
        self._offers.pop(host, None)
        self._offers[host] = version  # the last entry was heard last
        self._hear(version)
        self._fetch_if_behind()

    def _fetch_if_behind(self) -> None:
        if self._fetching or self._now() < self._next_fetch_at:
            return
        if self.version() < self._highest_heard:
            self._fetching = True
            fetch = Deferred.fromCoroutine(self._fetch())
            fetch.addErrback(_log_failure)
            fetch.addBoth(self._end_fetch)

    def _end_fetch(self, _result: object) -> None:
        self._fetching = False
        if self.version() < self._highest_heard:
            self._next_fetch_at = self._now() + FETCH_RETRY_S

    async def _fetch(self) -> None:
        """Try the peer heard last, the table and then the other peers.

        A peer that has just become unreachable costs a time-out, so the table
        comes before a second peer.
        """
        wanted = self._highest_heard
        offers = reversed(self._offers.items())
        hosts = [host for host, version in offers if version >= wanted]
        for host in hosts[:1]:
            await self._fetch_from_peer(host, wanted)
        if self.version() < wanted:
            await self._fetch_from_table(wanted)
        for host in hosts[1:]:
            if self.version() < wanted:
                await self._fetch_from_peer(host, wanted)

    async def _fetch_from_table(self, version: int) -> None:
        read = await self._store.get(_version_key(version))
        if isinstance(read, Ok) and read.ok_value is not None:
            self.counts.from_table += 1
            await self._take_body(version, read.ok_value.data("body"))

    async def _fetch_from_peer(self, host: str, version: int) -> None:
        if not self._peers.send(host, ManifestRequest(version)):
            return
        waiting: Deferred[None] = Deferred()
        self._applied = waiting
        timer = self._reactor.callLater(PEER_FETCH_TIMEOUT_S, self._end_wait, waiting)
        await waiting
        self._applied = None
        if timer.active():
            timer.cancel()
        while self._checking:
            await deferLater(self._reactor, CHECK_WAIT_S)

    def _end_wait(self, waiting: Deferred[None] | None) -> None:
        if waiting is not None and not waiting.called:
            waiting.callback(None)

    def _take_request(self, request: ManifestRequest, respond: Respond) -> None:
        known = self.version() >= request.version and self._in_force is not None
        if known:
            respond(ManifestReply(self.version(), self._body))
        else:
            respond(ManifestReply(request.version, b""))

    def _take_manifest(self, reply: ManifestReply, respond: Respond) -> None:
        """Apply a peer's text, also one that arrives after the wait for it."""
        if reply.body and reply.version > self.version():
            self.counts.from_peers += 1
            taken = Deferred.fromCoroutine(self._take_body(reply.version, reply.body))
            taken.addErrback(_log_failure)
        self._end_wait(self._applied)

    async def _run(self, text: str, steps: Steps[T]) -> T:
        """Run the steps of a check, in slices if the text is long."""
        if len(text) <= SLICED_CHARS:
            return finish(steps)
        return await finish_in_slices(steps, lambda: deferLater(self._reactor, 0))

    async def _take_body(self, version: int, body: bytes) -> None:
        if version in self._checking:
            return
        self._checking.add(version)
        try:
            await self._check_body(version, body)
        finally:
            self._checking.discard(version)

    async def _check_body(self, version: int, body: bytes) -> None:
        text = _inflate(body)
        checked = None
        if text is not None:
            checked = await self._run(text, read_manifest_steps(text))
        if text is None or checked is None or isinstance(checked, Err):
            self.counts.refused += 1
            if version not in self._refused:
                self._refused.add(version)
                faults = checked.err_value if isinstance(checked, Err) else []
                listed = "; ".join(map(str, faults)) or "unreadable body"
                logger.error("manifest version {} refused: {}", version, listed)
            return
        self._apply(version, checked.ok_value, text, body)

    def _apply(self, version: int, manifest: Manifest, text: str, body: bytes) -> None:
        if version <= self.version():
            return
        self._hear(version)
        self._in_force = InForce(version, manifest, text)
        self._body = body
        self.counts.applied += 1
        logger.info("manifest version {} in force", version)
        hosts = list(manifest.hosts.values())
        names = {host.name for host in hosts}
        self._offers = {k: v for k, v in self._offers.items() if k in names}
        self._peers.set_peers(hosts)
        for subscriber in list(self._subscribers):
            try:
                subscriber(self._in_force)
            except Exception:
                logger.exception("subscriber failed on manifest version {}", version)
        # Peers learn of the version now instead of with the next heartbeat.
        self._peers.send_heartbeats()

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.manifest_version = self.version()
        age_ms = (self._now() - self._store.last_answer_at()) * 1000
        heartbeat.table_age_ms = int(min(max(age_ms, 0), 0xFFFFFFFF))

    def _take_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._hear_peer(heartbeat.host, heartbeat.manifest_version)

    def _fill_reply(
        self, heartbeat: Heartbeat, reply: HeartbeatReply, now: float
    ) -> None:
        reply.manifest_version = self.version()

    def _take_reply(self, reply: HeartbeatReply, sent_at: float, now: float) -> None:
        self._evidence_at = max(self._evidence_at, sent_at)
        self._peer_evidence_at = max(self._peer_evidence_at, sent_at)
        self._hear_peer(reply.host, reply.manifest_version)


def make_spread(
    cfg: Options, store: TableStore, peers: PeerService, reactor: Any
) -> SpreadService:
    """Return the service that keeps the manifest; it registers with the peers."""
    return SpreadService(cfg, store, peers, reactor)


def _version_key(version: int) -> str:
    """Return the key of a version's row.

    >>> _version_key(7)
    'manifest#0000000007'
    """
    return f"manifest#{version:010d}"


def _make_version_row(version: int, commit_id: str, body: bytes) -> Row:
    return Row(
        _version_key(version),
        {
            "version": version,
            "commit_id": commit_id,
            "committed_unix_ms": int(time.time() * 1000),
            "body": body,
        },
    )


def _read_entry(version: int, row: Row) -> HistoryEntry:
    return HistoryEntry(
        version,
        row.text("commit_id"),
        row.number("committed_unix_ms"),
        _inflate(row.data("body")) or "",
    )


def _unavailable(base_version: int, may_be_accepted: bool) -> CommitFault:
    fault = CommitFault(CommitFaultKind.UNAVAILABLE, base_version)
    fault.may_be_accepted = may_be_accepted
    return fault


def _deflate(text: str) -> Steps[bytes]:
    """Return the deflated text, in steps.

    >>> zlib.decompress(finish(_deflate("å{}")))
    b'\xc3\xa5{}'
    """
    deflater = zlib.compressobj()
    parts = []
    for start in range(0, len(text), COMPRESS_CHARS):
        parts.append(deflater.compress(text[start : start + COMPRESS_CHARS].encode()))
        yield
    return b"".join([*parts, deflater.flush()])


def _inflate(body: bytes) -> str | None:
    """Return the text of a body; None if broken or longer than a manifest.

    >>> _inflate(zlib.compress(b"{}")), _inflate(b"junk")
    ('{}', None)
    """
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(body, MAX_MANIFEST_BYTES + 1)
        if not inflater.eof or len(data) > MAX_MANIFEST_BYTES:
            return None
        return data.decode()
    except (zlib.error, UnicodeDecodeError):
        return None


def _log_failure(failure: Any) -> None:
    logger.error("manifest task failed: {}", failure.getTraceback())
