"""The manifest version in force on this host, and the commit of new ones.

A version is accepted by one transaction in the table service. Hosts learn of
it from the table and from heartbeats and replies of peers, fetch the deltas to
it from a peer or the table, or its whole text where these cannot be had or
don't apply, check the text and apply it. A lower version is never applied.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Final, TypeVar

from loguru import logger
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .deltas import DeltaLog, apply_steps, encoded_size, make_delta_steps
from .jsonfile import Fault
from .manifest import Manifest, read_manifest_steps
from .manifesttable import (
    CommitFault,
    CommitFaultKind,
    HistoryEntry,
    ManifestTable,
    deflate_steps,
    inflate,
    make_unavailable_fault,
)
from .options import Options
from .peers import PeerService, Respond
from .tablestore import StoreFault, TableStore
from .timeslices import Steps, run_all, run_in_slices
from .wire import (
    Heartbeat,
    HeartbeatReply,
    ManifestDelta,
    ManifestReply,
    ManifestRequest,
)

MAX_CONFIRMATION_AGE_S: Final = 3.0
PEER_FETCH_TIMEOUT_S: Final = 1.0
# Wait after a fetch that brought nothing usable; without it, every heartbeat of
# every peer would fetch a version that this host cannot read.
FETCH_RETRY_DELAY_S: Final = 0.5
# Table polls of all hosts together. The table serves about two thousand reads
# a second, and takeovers and starts of daemons need most of them.
MAX_POLLS_PER_S: Final = 500
# Half of the 12 s within which a change must be in force everywhere.
MAX_POLL_INTERVAL_S: Final = 6.0
# Shorter texts are checked in one go, which takes at most about 15 ms.
MIN_SLICED_CHARS: Final = 64 * 1024
CHECK_POLL_INTERVAL_S: Final = 0.05

T = TypeVar("T")


class AppliedManifest:
    """A manifest version that is in force."""

    __slots__ = ("manifest", "text", "version")

    def __init__(self, version: int, manifest: Manifest, text: str) -> None:
        self.version = version
        self.manifest = manifest
        self.text = text


class ManifestSyncCounts:
    """Events since the start, for metrics."""

    __slots__ = (
        "applied",
        "from_deltas",
        "from_peers",
        "from_table",
        "refused",
        "refused_deltas",
    )

    def __init__(self) -> None:
        self.applied = 0  # versions applied, from any source
        self.from_deltas = 0  # versions applied by deltas, from any source
        self.from_peers = 0  # texts or deltas received from peers
        self.from_table = 0  # texts or deltas read from the table
        self.refused = 0  # texts that were unreadable or invalid
        self.refused_deltas = 0  # deltas that did not give a version's text


class ManifestSync:
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
        self.counts = ManifestSyncCounts()
        self._store = store
        self._table = ManifestTable(store)
        self._peers = peers
        self._reactor = reactor
        self._now = now
        self._rng = rng or random.Random()
        self._min_poll_interval_s = cfg.table_poll_s
        self._current: AppliedManifest | None = None
        # Deflated text of the version in force; empty after a delta until a
        # peer asks for the whole text.
        self._body = b""
        self._full_text_waiters: list[Respond] = []  # peers that wait for the body
        self._deltas = DeltaLog()  # that lead to the version in force
        self._highest_known = 0
        self._peer_versions: dict[str, int] = {}  # peer to the version it reported
        self._confirmed_at = -math.inf
        self._confirmed_by_peer_at = -math.inf  # of replies alone
        self._reported_invalid: set[int] = set()  # versions already reported as invalid
        self._subscribers: list[Callable[[AppliedManifest], None]] = []
        # Versions whose text is being checked.
        self._versions_in_check: set[int] = set()
        self._fetching = False
        self._next_fetch_at = -math.inf
        self._reply_wait: Deferred[None] | None = None  # waits for a peer's text
        self._polling = False
        self._timer: Any = None
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._handle_heartbeat)
        peers.reply_fillers.append(self._fill_reply)
        peers.reply_listeners.append(self._handle_heartbeat_reply)
        peers.on_message(ManifestRequest, self._handle_manifest_request)
        peers.on_message(ManifestReply, self._handle_manifest_reply)

    def start(self) -> None:
        """Begin to poll the table."""
        self._polling = True
        self._timer = self._reactor.callLater(0, self._start_poll)

    def stop(self) -> None:
        """End the polls."""
        self._polling = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def current(self) -> AppliedManifest | None:
        """Return the version in force, or None before the first."""
        return self._current

    def version(self) -> int:
        """Return the version number in force; 0 before the first."""
        return self._current.version if self._current else 0

    def subscribe(self, subscriber: Callable[[AppliedManifest], None]) -> None:
        """Call a function with every version applied from now on."""
        self._subscribers.append(subscriber)

    def is_fresh(self, now: float) -> bool:
        """Tell whether decisions may rely on the version in force.

        They may if a peer or the table has answered a message that was sent at
        most `MAX_CONFIRMATION_AGE_S` ago. Unsolicited messages do not count:
        after a freeze they may have waited in the receive buffer.
        """
        recent = now - self._confirmed_at <= MAX_CONFIRMATION_AGE_S
        return recent and self.version() >= self._highest_known

    async def commit(
        self, text: str, base_version: int, commit_id: str
    ) -> Result[int, CommitFault]:
        """Replace a version; return the number of the accepted one.

        A repeat with the same text, base version and commit id returns the
        version that was accepted the first time.
        """
        checked = await self._check(text)
        if isinstance(checked, Err):
            fault = CommitFault(CommitFaultKind.INVALID, base_version)
            fault.faults = checked.err_value
            return Err(fault)
        read = await self._table.current()
        if isinstance(read, Err):
            return Err(make_unavailable_fault(base_version, may_be_accepted=False))
        current = read.ok_value
        if current.number("version") != base_version:
            return await self._table.resolve_conflict(
                text, base_version, commit_id, may_be_accepted=False
            )
        body = await self._run_steps(text, deflate_steps(text))
        delta = await self._make_delta(base_version + 1, text)
        if delta is not None and delta.base != base_version:
            delta = None  # this host is behind the version that is replaced
        accepted = await self._table.accept(current, commit_id, text, body, delta)
        if isinstance(accepted, Ok):
            self._apply(accepted.ok_value, checked.ok_value, text, body, [delta])
        return accepted

    async def history(self) -> Result[list[HistoryEntry], StoreFault]:
        """Return the accepted versions, newest first."""
        return await self._table.history()

    def _start_poll(self) -> None:
        Deferred.fromCoroutine(self._poll()).addErrback(_log_failure)

    async def _poll(self) -> None:
        """Read the accepted version and schedule the next read."""
        asked_at = self._now()
        try:
            read = await self._table.current()
            if isinstance(read, Ok):
                self._confirmed_at = max(self._confirmed_at, asked_at)
                self._note_version(read.ok_value.number("version"))
            self._fetch_if_behind()
        finally:
            if self._polling:
                wait_s = self.poll_interval_s() * self._rng.uniform(0.9, 1.1)
                self._timer = self._reactor.callLater(wait_s, self._start_poll)

    def poll_interval_s(self) -> float:
        """Return the interval of table polls, longer with many hosts.

        Versions also come with heartbeats, so the polls of all hosts together
        may stay below a rate that the table serves. A host that no peer
        answers keeps the short interval: the table is its only source.
        """
        if self._now() - self._confirmed_by_peer_at > MAX_CONFIRMATION_AGE_S / 2:
            return self._min_poll_interval_s
        hosts = len(self._current.manifest.hosts) if self._current else 0
        return max(
            self._min_poll_interval_s, min(hosts / MAX_POLLS_PER_S, MAX_POLL_INTERVAL_S)
        )

    def _note_version(self, version: int) -> None:
        self._highest_known = max(self._highest_known, version)

    def _note_peer_version(self, host: str, version: int) -> None:
        self._peer_versions.pop(host, None)
        self._peer_versions[host] = version  # the last entry was heard last
        self._note_version(version)
        self._fetch_if_behind()

    def _fetch_if_behind(self) -> None:
        if self._fetching or self._now() < self._next_fetch_at:
            return
        if self.version() < self._highest_known:
            self._fetching = True
            fetch = Deferred.fromCoroutine(self._fetch())
            fetch.addErrback(_log_failure)
            fetch.addBoth(self._end_fetch)

    def _end_fetch(self, _result: object) -> None:
        self._fetching = False
        if self.version() < self._highest_known:
            self._next_fetch_at = self._now() + FETCH_RETRY_DELAY_S

    async def _fetch(self) -> None:
        """Try the peer heard last, the table and then the other peers.

        A peer that has just become unreachable costs a time-out, so the table
        comes before a second peer.
        """
        wanted = self._highest_known
        offers = reversed(self._peer_versions.items())
        hosts = [host for host, version in offers if version >= wanted]
        for host in hosts[:1]:
            await self._fetch_from_peer(host, wanted)
        if self.version() < wanted:
            await self._fetch_from_table(wanted)
        for host in hosts[1:]:
            if self.version() < wanted:
                await self._fetch_from_peer(host, wanted)

    async def _fetch_from_table(self, version: int) -> None:
        base = self.version()
        deltas = await self._table.deltas(base, version) if base else []
        if deltas:
            self.counts.from_table += 1
            await self._handle_deltas(version, deltas)
        if self.version() >= version:
            return
        body = await self._table.body(version)
        if body:
            self.counts.from_table += 1
            await self._handle_full_text(version, body)

    async def _fetch_from_peer(self, host: str, version: int) -> None:
        """Ask for deltas, and for the whole text if these don't apply."""
        refused = self.counts.refused_deltas
        await self._ask_peer(host, version, self.version())
        if self.counts.refused_deltas > refused and self.version() < version:
            await self._ask_peer(host, version, 0)

    async def _ask_peer(self, host: str, version: int, base: int) -> None:
        if not self._peers.send(host, ManifestRequest(version, base)):
            return
        waiting: Deferred[None] = Deferred()
        self._reply_wait = waiting
        timer = self._reactor.callLater(
            PEER_FETCH_TIMEOUT_S, self._end_reply_wait, waiting
        )
        await waiting
        self._reply_wait = None
        if timer.active():
            timer.cancel()
        while self._versions_in_check:
            await deferLater(self._reactor, CHECK_POLL_INTERVAL_S)

    def _end_reply_wait(self, waiting: Deferred[None] | None) -> None:
        if waiting is not None and not waiting.called:
            waiting.callback(None)

    def _handle_manifest_request(
        self, request: ManifestRequest, respond: Respond
    ) -> None:
        in_force = self._current
        if in_force is None or in_force.version < request.version:
            respond(ManifestReply(request.version, b""))
            return
        deltas = self._deltas.since(request.base) if request.base else []
        if deltas and not 0 < len(self._body) < sum(map(encoded_size, deltas)):
            respond(ManifestReply(in_force.version, b"", deltas))
            return
        if self._body:
            respond(ManifestReply(in_force.version, self._body))
            return
        self._full_text_waiters.append(respond)
        if len(self._full_text_waiters) == 1:
            sent = Deferred.fromCoroutine(self._send_full_text(in_force))
            sent.addErrback(_log_failure)

    async def _send_full_text(self, in_force: AppliedManifest) -> None:
        """Deflate the text once for all peers that ask meanwhile.

        Many hosts that start together would otherwise each cost a deflation.
        """
        try:
            body = await self._run_steps(in_force.text, deflate_steps(in_force.text))
        finally:
            waiting, self._full_text_waiters = self._full_text_waiters, []
        if in_force is self._current:
            self._body = body
        for respond in waiting:
            respond(ManifestReply(in_force.version, body))

    def _handle_manifest_reply(self, reply: ManifestReply, respond: Respond) -> None:
        """Apply a peer's text or deltas, also after the wait for them."""
        version = reply.version
        if (reply.body or reply.deltas) and version > self.version():
            self.counts.from_peers += 1
            if reply.body:
                taken = Deferred.fromCoroutine(
                    self._handle_full_text(version, reply.body)
                )
            else:
                taken = Deferred.fromCoroutine(
                    self._handle_deltas(version, reply.deltas)
                )
            taken.addErrback(_log_failure)
        self._end_reply_wait(self._reply_wait)

    async def _run_steps(self, text: str, steps: Steps[T]) -> T:
        """Run the steps of a check, in slices if the text is long."""
        if len(text) <= MIN_SLICED_CHARS:
            return run_all(steps)
        return await run_in_slices(steps, lambda: deferLater(self._reactor, 0))

    async def _check(self, text: str) -> Result[Manifest, list[Fault]]:
        known = self._current.manifest if self._current else None
        return await self._run_steps(text, read_manifest_steps(text, known))

    async def _handle_full_text(self, version: int, body: bytes) -> None:
        if version in self._versions_in_check:
            return
        self._versions_in_check.add(version)
        try:
            await self._apply_full_text(version, body)
        finally:
            self._versions_in_check.discard(version)

    async def _apply_full_text(self, version: int, body: bytes) -> None:
        text = inflate(body)
        checked = None
        if text is not None:
            checked = await self._check(text)
        if text is None or checked is None or isinstance(checked, Err):
            self.counts.refused += 1
            if version not in self._reported_invalid:
                self._reported_invalid.add(version)
                faults = checked.err_value if isinstance(checked, Err) else []
                listed = "; ".join(map(str, faults)) or "unreadable body"
                logger.error("manifest version {} refused: {}", version, listed)
            return
        delta = await self._make_delta(version, text)
        self._apply(version, checked.ok_value, text, body, [delta])

    async def _make_delta(self, version: int, text: str) -> ManifestDelta | None:
        """Return the delta from the version in force, for peers that hold it."""
        old = self._current
        if old is None or old.version >= version:
            return None
        steps = make_delta_steps(old.version, old.text.encode(), version, text.encode())
        return await self._run_steps(text, steps)

    async def _handle_deltas(self, version: int, deltas: list[ManifestDelta]) -> None:
        if version in self._versions_in_check:
            return
        self._versions_in_check.add(version)
        try:
            fault = await self._apply_deltas(version, deltas)
        finally:
            self._versions_in_check.discard(version)
        if fault is not None:
            self.counts.refused_deltas += 1
            what = f"deltas to manifest version {version}"
            logger.warning("{} refused, asking for the text: {}", what, fault)

    async def _apply_deltas(
        self, version: int, deltas: list[ManifestDelta]
    ) -> str | None:
        """Apply deltas; return why they were refused, or None."""
        old = self._current
        if old is None:
            return "no version is in force"
        steps = apply_steps(old.text.encode(), old.version, deltas, version)
        made = await self._run_steps(old.text, steps)
        if isinstance(made, Err):
            return made.err_value
        try:
            text = made.ok_value.decode()
        except UnicodeDecodeError:
            return "the result is not UTF-8"
        checked = await self._check(text)
        if isinstance(checked, Err):
            return "; ".join(map(str, checked.err_value))
        if version > self.version():
            self.counts.from_deltas += 1
        kept: list[ManifestDelta | None] = [
            d for d in deltas if d.version > old.version
        ]
        self._apply(version, checked.ok_value, text, b"", kept)
        return None

    def _apply(
        self,
        version: int,
        manifest: Manifest,
        text: str,
        body: bytes,
        deltas: Sequence[ManifestDelta | None],
    ) -> None:
        if version <= self.version():
            return
        self._note_version(version)
        self._current = AppliedManifest(version, manifest, text)
        self._body = body
        for delta in deltas:
            self._deltas.append(delta)
        self.counts.applied += 1
        logger.info("manifest version {} in force", version)
        hosts = list(manifest.hosts.values())
        names = {host.name for host in hosts}
        self._peer_versions = {
            k: v for k, v in self._peer_versions.items() if k in names
        }
        self._peers.set_peers(hosts)
        for subscriber in list(self._subscribers):
            try:
                subscriber(self._current)
            except Exception:
                logger.exception("subscriber failed on manifest version {}", version)
        # Peers learn of the version now instead of with the next heartbeat.
        self._peers.send_heartbeats()

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.manifest_version = self.version()
        age_ms = (self._now() - self._store.last_answer_at()) * 1000
        heartbeat.table_age_ms = int(min(max(age_ms, 0), 0xFFFFFFFF))

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._note_peer_version(heartbeat.host, heartbeat.manifest_version)

    def _fill_reply(
        self, heartbeat: Heartbeat, reply: HeartbeatReply, now: float
    ) -> None:
        reply.manifest_version = self.version()

    def _handle_heartbeat_reply(
        self, reply: HeartbeatReply, sent_at: float, now: float
    ) -> None:
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._confirmed_by_peer_at = max(self._confirmed_by_peer_at, sent_at)
        self._note_peer_version(reply.host, reply.manifest_version)


def make_manifest_sync(
    cfg: Options, store: TableStore, peers: PeerService, reactor: Any
) -> ManifestSync:
    """Return the service that keeps the manifest; it registers with the peers."""
    return ManifestSync(cfg, store, peers, reactor)


def _log_failure(failure: Any) -> None:
    logger.error("manifest task failed: {}", failure.getTraceback())
