"""Replication of the manifest: commits new versions and applies accepted ones.

A version is accepted by one transaction in the table service. Hosts learn its
number from polls of the table and from heartbeats and their replies. They then
fetch the deltas to it from a peer or the table, or the full text if there are
no deltas or they cannot be applied, validate the text and apply it. A version
lower than the current one is never applied.
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

# Decisions may rely on the current version if a peer or the table answered a
# request that was sent at most this long ago.
MAX_CONFIRMATION_AGE_S: Final = 3.0
PEER_FETCH_TIMEOUT_S: Final = 1.0
# Delay after a fetch that returned nothing usable. Without it, every heartbeat
# of every peer would trigger a fetch of a version that this host cannot read.
FETCH_RETRY_DELAY_S: Final = 0.5
# Limit on the table polls of all hosts together. The table serves about 2,000
# reads per second, most of which takeovers and starts of daemons need.
MAX_POLLS_PER_S: Final = 500
# Half of the 12 s within which every host must have applied a new version.
MAX_POLL_INTERVAL_S: Final = 6.0
# Texts up to this length are validated without returning to the event loop.
# This takes at most about 15 ms.
MAX_UNSLICED_CHARS: Final = 64 * 1024
# Interval at which a fetch tests whether the validation of its text has ended.
CHECK_POLL_INTERVAL_S: Final = 0.05

T = TypeVar("T")


class AppliedManifest:
    """A validated manifest version that this host applies."""

    __slots__ = ("manifest", "text", "version")

    def __init__(self, version: int, manifest: Manifest, text: str) -> None:
        self.version = version
        self.manifest = manifest
        self.text = text


class ManifestSyncCounts:
    """Counts of replication events since the start of the daemon."""

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
        self.from_deltas = 0  # versions made from deltas of any source
        self.from_peers = 0  # texts or lists of deltas received from peers
        self.from_table = 0  # texts or lists of deltas read from the table
        self.refused = 0  # texts that could not be inflated or are invalid
        self.refused_deltas = 0  # lists of deltas that gave no valid text


class ManifestSync:
    """Keeps this host at the highest accepted manifest version it knows of."""

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
        # Deflated text of the current version. A version that was made from
        # deltas has none until a peer asks for the full text.
        self._deflated_text = b""
        # Responders for the peers that wait for the deflated text.
        self._full_manifest_waiters: list[Respond] = []
        self._deltas = DeltaLog()  # latest deltas, up to the current version
        self._highest_known = 0  # highest version that any source reported
        # Version that each host reported; the latest report is the last entry.
        self._peer_versions: dict[str, int] = {}
        # Send time of the latest request that a peer or the table answered.
        self._confirmed_at = -math.inf
        # Send time of the latest request that a peer answered.
        self._confirmed_by_peer_at = -math.inf
        # Invalid versions that were logged; each is logged once.
        self._reported_invalid: set[int] = set()
        self._subscribers: list[Callable[[AppliedManifest], None]] = []
        # Versions whose text is being validated.
        self._versions_in_check: set[int] = set()
        self._fetching = False
        self._next_fetch_at = -math.inf
        # Fires when a peer answers the request in progress, or on a timeout.
        self._reply_wait: Deferred[None] | None = None
        self._polling = False
        self._timer: Any = None
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._handle_heartbeat)
        peers.reply_fillers.append(self._fill_reply)
        peers.reply_listeners.append(self._handle_heartbeat_reply)
        peers.on_message(ManifestRequest, self._handle_manifest_request)
        peers.on_message(ManifestReply, self._handle_manifest_reply)

    def start(self) -> None:
        """Start polling the table."""
        self._polling = True
        self._timer = self._reactor.callLater(0, self._start_poll)

    def stop(self) -> None:
        """Stop polling the table."""
        self._polling = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def current(self) -> AppliedManifest | None:
        """Return the version that this host applies; None before the first."""
        return self._current

    def version(self) -> int:
        """Return the number of the current version; 0 before the first."""
        return self._current.version if self._current else 0

    def subscribe(self, subscriber: Callable[[AppliedManifest], None]) -> None:
        """Register a function to be called with each version applied later."""
        self._subscribers.append(subscriber)

    def is_fresh(self, now: float) -> bool:
        """Return whether decisions may rely on the current version.

        They may if no higher version is known and if a peer or the table has
        answered a request that was sent at most `MAX_CONFIRMATION_AGE_S` ago.
        Unsolicited messages do not count: after a freeze of the process they
        may have waited in the receive buffer.
        """
        recent = now - self._confirmed_at <= MAX_CONFIRMATION_AGE_S
        return recent and self.version() >= self._highest_known

    async def commit(
        self, text: str, base_version: int, commit_id: str
    ) -> Result[int, CommitFault]:
        """Replace the base version; return the number of the new version.

        Repeating a commit with the same text, base version and commit id
        returns the version that the first attempt created.
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
            delta = None  # the version applied here is older than the base
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
        """Read the accepted version's number and schedule the next poll."""
        sent_at = self._now()
        try:
            read = await self._table.current()
            if isinstance(read, Ok):
                self._confirmed_at = max(self._confirmed_at, sent_at)
                self._record_version(read.ok_value.number("version"))
            self._fetch_if_behind()
        finally:
            if self._polling:
                wait_s = self.poll_interval_s() * self._rng.uniform(0.9, 1.1)
                self._timer = self._reactor.callLater(wait_s, self._start_poll)

    def poll_interval_s(self) -> float:
        """Return the interval of table polls, which grows with the host count.

        Heartbeats also announce versions, so the polls can be spaced out to
        keep their total rate below what the table serves. A host that gets no
        replies from peers keeps the short interval: the table is its only
        source.
        """
        if self._now() - self._confirmed_by_peer_at > MAX_CONFIRMATION_AGE_S / 2:
            return self._min_poll_interval_s
        hosts = len(self._current.manifest.hosts) if self._current else 0
        return max(
            self._min_poll_interval_s, min(hosts / MAX_POLLS_PER_S, MAX_POLL_INTERVAL_S)
        )

    def _record_version(self, version: int) -> None:
        self._highest_known = max(self._highest_known, version)

    def _record_peer_version(self, host: str, version: int) -> None:
        self._peer_versions.pop(host, None)
        self._peer_versions[host] = version
        self._record_version(version)
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
        """Try the peer that reported last, then the table and the other peers.

        A peer that has just become unreachable costs a timeout, so the table
        is tried before a second peer.
        """
        wanted_version = self._highest_known
        latest_first = reversed(self._peer_versions.items())
        hosts = [host for host, version in latest_first if version >= wanted_version]
        for host in hosts[:1]:
            await self._fetch_from_peer(host, wanted_version)
        if self.version() < wanted_version:
            await self._fetch_from_table(wanted_version)
        for host in hosts[1:]:
            if self.version() < wanted_version:
                await self._fetch_from_peer(host, wanted_version)

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
        """Request deltas from a peer, or the full text if they are refused."""
        refused_before = self.counts.refused_deltas
        await self._request_from_peer(host, version, self.version())
        if self.counts.refused_deltas > refused_before and self.version() < version:
            await self._request_from_peer(host, version, 0)

    async def _request_from_peer(self, host: str, version: int, base: int) -> None:
        if not self._peers.send(host, ManifestRequest(version, base)):
            return
        reply_wait: Deferred[None] = Deferred()
        self._reply_wait = reply_wait
        timer = self._reactor.callLater(
            PEER_FETCH_TIMEOUT_S, self._end_reply_wait, reply_wait
        )
        await reply_wait
        self._reply_wait = None
        if timer.active():
            timer.cancel()
        while self._versions_in_check:
            await deferLater(self._reactor, CHECK_POLL_INTERVAL_S)

    def _end_reply_wait(self, reply_wait: Deferred[None] | None) -> None:
        if reply_wait is not None and not reply_wait.called:
            reply_wait.callback(None)

    def _handle_manifest_request(
        self, request: ManifestRequest, respond: Respond
    ) -> None:
        current = self._current
        if current is None or current.version < request.version:
            respond(ManifestReply(request.version, b""))
            return
        deltas = self._deltas.since(request.base) if request.base else []
        # Send the deltas, unless the deflated text is available and smaller.
        if deltas and not 0 < len(self._deflated_text) < sum(map(encoded_size, deltas)):
            respond(ManifestReply(current.version, b"", deltas))
            return
        if self._deflated_text:
            respond(ManifestReply(current.version, self._deflated_text))
            return
        self._full_manifest_waiters.append(respond)
        if len(self._full_manifest_waiters) == 1:
            sending = Deferred.fromCoroutine(self._send_full_text(current))
            sending.addErrback(_log_failure)

    async def _send_full_text(self, current: AppliedManifest) -> None:
        """Deflate the text and send it to all peers that have asked by then.

        Otherwise the text would be deflated once for each of many hosts that
        start together.
        """
        try:
            body = await self._run_steps(current.text, deflate_steps(current.text))
        finally:
            responders, self._full_manifest_waiters = self._full_manifest_waiters, []
        if current is self._current:
            self._deflated_text = body
        for respond in responders:
            respond(ManifestReply(current.version, body))

    def _handle_manifest_reply(self, reply: ManifestReply, respond: Respond) -> None:
        """Apply a peer's text or deltas, even if the request has timed out."""
        version = reply.version
        if (reply.body or reply.deltas) and version > self.version():
            self.counts.from_peers += 1
            if reply.body:
                handling = Deferred.fromCoroutine(
                    self._handle_full_text(version, reply.body)
                )
            else:
                handling = Deferred.fromCoroutine(
                    self._handle_deltas(version, reply.deltas)
                )
            handling.addErrback(_log_failure)
        self._end_reply_wait(self._reply_wait)

    async def _run_steps(self, text: str, steps: Steps[T]) -> T:
        """Run the steps; for a long text, in slices between other events."""
        if len(text) <= MAX_UNSLICED_CHARS:
            return run_all(steps)
        return await run_in_slices(steps, lambda: deferLater(self._reactor, 0))

    async def _check(self, text: str) -> Result[Manifest, list[Fault]]:
        previous = self._current.manifest if self._current else None
        return await self._run_steps(text, read_manifest_steps(text, previous))

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
                reason = "; ".join(map(str, faults)) or "the text cannot be inflated"
                logger.error("refused manifest version {}: {}", version, reason)
            return
        delta = await self._make_delta(version, text)
        self._apply(version, checked.ok_value, text, body, [delta])

    async def _make_delta(self, version: int, text: str) -> ManifestDelta | None:
        """Return the delta to a version from the current one.

        The result is None if there is no older current version or the delta
        would be too large.
        """
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
            subject = f"deltas to manifest version {version}"
            logger.warning("refused {}, requesting the full text: {}", subject, fault)

    async def _apply_deltas(
        self, version: int, deltas: list[ManifestDelta]
    ) -> str | None:
        """Apply deltas; return the reason if they are refused, else None."""
        old = self._current
        if old is None:
            return "this host has no manifest version yet"
        steps = apply_steps(old.text.encode(), old.version, deltas, version)
        patched = await self._run_steps(old.text, steps)
        if isinstance(patched, Err):
            return patched.err_value
        try:
            text = patched.ok_value.decode()
        except UnicodeDecodeError:
            return "the result is not UTF-8"
        checked = await self._check(text)
        if isinstance(checked, Err):
            return "; ".join(map(str, checked.err_value))
        if version > self.version():
            self.counts.from_deltas += 1
        new_deltas: list[ManifestDelta | None] = [
            d for d in deltas if d.version > old.version
        ]
        self._apply(version, checked.ok_value, text, b"", new_deltas)
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
        self._record_version(version)
        self._current = AppliedManifest(version, manifest, text)
        self._deflated_text = body
        for delta in deltas:
            self._deltas.append(delta)
        self.counts.applied += 1
        logger.info("applied manifest version {}", version)
        hosts = list(manifest.hosts.values())
        host_names = {host.name for host in hosts}
        self._peer_versions = {
            k: v for k, v in self._peer_versions.items() if k in host_names
        }
        self._peers.set_peers(hosts)
        for subscriber in list(self._subscribers):
            try:
                subscriber(self._current)
            except Exception:
                logger.exception("subscriber raised on manifest version {}", version)
        # Announce the version now, not only with the next periodic heartbeat.
        self._peers.send_heartbeats()

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.manifest_version = self.version()
        # The field has 32 bits; the age is infinite before the first response.
        age_ms = (self._now() - self._store.last_answer_at()) * 1000
        heartbeat.table_age_ms = int(min(max(age_ms, 0), 0xFFFFFFFF))

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._record_peer_version(heartbeat.host, heartbeat.manifest_version)

    def _fill_reply(
        self, heartbeat: Heartbeat, reply: HeartbeatReply, now: float
    ) -> None:
        reply.manifest_version = self.version()

    def _handle_heartbeat_reply(
        self, reply: HeartbeatReply, sent_at: float, now: float
    ) -> None:
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._confirmed_by_peer_at = max(self._confirmed_by_peer_at, sent_at)
        self._record_peer_version(reply.host, reply.manifest_version)


def make_manifest_sync(
    cfg: Options, store: TableStore, peers: PeerService, reactor: Any
) -> ManifestSync:
    """Return the manifest replication, registered with the peer service."""
    return ManifestSync(cfg, store, peers, reactor)


def _log_failure(failure: Any) -> None:
    logger.error("manifest replication failed: {}", failure.getTraceback())
