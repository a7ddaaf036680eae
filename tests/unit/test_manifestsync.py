"""Tests manifest replication with a fake clock, a fake table and fake peers.

Guards against decisions on an outdated version, against going back to a lower
version, and against hosts that fail to get a version.
"""

from __future__ import annotations

import random
import zlib
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend import manifestsync
from samphirebend.addresses import Address
from samphirebend.deltas import make_delta_steps
from samphirebend.manifestsync import MAX_UNSLICED_CHARS, AppliedManifest, ManifestSync
from samphirebend.manifesttable import CommitFault, CommitFaultKind, deflate_steps
from samphirebend.options import Options
from samphirebend.peers import PeerService
from samphirebend.tablestore import Row, StoreFault
from samphirebend.timeslices import Steps, run_all
from samphirebend.wire import (
    Heartbeat,
    HeartbeatReply,
    ManifestDelta,
    ManifestReply,
    ManifestRequest,
    TextEdit,
)

from ..sample_manifest import manifest_text

MANIFEST_TEXT = manifest_text({"a": Address("127.0.0.1", 1234)})
DEFLATED_TEXT = zlib.compress(MANIFEST_TEXT.encode())


class FakeStore:
    """A table that responds to no write and only on demand to reads."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.reads_answered = False
        self.gets = 0  # number of reads

    async def get(self, key: str) -> Result[Row | None, StoreFault]:
        self.gets += 1
        return Ok(self.row) if self.reads_answered else Err(StoreFault.UNAVAILABLE)

    async def commit_rows(self, writes: object) -> Result[None, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    def last_answer_at(self) -> float:
        return 0.0


class Harness:
    """A `ManifestSync` whose peers and table the test controls."""

    def __init__(self) -> None:
        self.clock = Clock()
        cfg = Options()
        cfg.host = "a"
        self.store = FakeStore()
        store: Any = self.store
        self.peers = PeerService(cfg, 1, self.clock, self.clock.seconds)
        now = self.clock.seconds
        self.sync = ManifestSync(cfg, store, self.peers, self.clock, now)

    def receive_reply(self, version: int, sent_at: float) -> None:
        reply = HeartbeatReply("b", 1, 1)
        reply.manifest_version = version
        self.peers.reply_listeners[0](reply, sent_at, self.clock.seconds())

    def receive_heartbeat(self, version: int, host: str = "b") -> None:
        heartbeat = Heartbeat(host, 1, 1)
        heartbeat.manifest_version = version
        self.peers.heartbeat_listeners[0](heartbeat, self.clock.seconds())

    def receive_manifest(self, version: int, body: bytes = DEFLATED_TEXT) -> None:
        message = ManifestReply(version, body)
        self.sync._handle_manifest_reply(message, lambda response: None)

    def is_fresh(self) -> bool:
        return self.sync.is_fresh(self.clock.seconds())


def test_freshness_needs_a_reply_to_a_recent_request() -> None:
    """Guards against counting messages that were buffered during a freeze."""
    harness = Harness()
    assert not harness.is_fresh()
    harness.receive_reply(0, sent_at=0.0)
    assert harness.is_fresh()
    harness.clock.advance(3.5)
    harness.receive_reply(0, sent_at=0.1)
    harness.receive_heartbeat(0)
    assert not harness.is_fresh()
    harness.receive_reply(0, sent_at=3.4)
    assert harness.is_fresh()


def test_not_fresh_until_the_highest_version_is_applied() -> None:
    """Guards against decisions on a version that is known to be replaced."""
    harness = Harness()
    harness.receive_reply(0, sent_at=0.0)
    harness.receive_heartbeat(4)
    assert not harness.is_fresh()
    harness.receive_manifest(3)
    assert not harness.is_fresh()
    harness.receive_manifest(4)
    assert harness.is_fresh()


def test_unusable_texts_are_refused_and_not_refetched_at_once() -> None:
    """Guards against a fetch with each heartbeat if no text is usable."""
    harness = Harness()
    harness.receive_manifest(2, b"junk")
    harness.receive_manifest(2, zlib.compress(b"{}"))
    harness.receive_manifest(2, b"")
    assert harness.sync.current() is None
    harness.receive_heartbeat(2)
    for _ in range(5):
        harness.receive_heartbeat(2)
    assert harness.store.gets == 1
    harness.clock.advance(0.6)
    harness.receive_heartbeat(2)
    assert harness.store.gets == 2


def test_after_a_peer_timeout_the_table_and_other_peers_are_tried() -> None:
    """Guards against a host that stays behind because one peer is silent."""
    harness = Harness()
    requested: list[str] = []

    def send(host: str, message: ManifestRequest) -> bool:
        requested.append(host)
        return True

    peers: Any = harness.peers
    peers.send = send
    harness.receive_heartbeat(2, "b")
    harness.receive_heartbeat(2, "c")
    assert (requested, harness.store.gets) == (["b"], 0)
    harness.clock.advance(1.0)
    assert (requested, harness.store.gets) == (["b"], 1)
    # This heartbeat arrives within the delay after the failed fetch.
    harness.receive_heartbeat(2, "c")
    harness.clock.advance(0.5)
    harness.receive_heartbeat(2, "c")
    assert requested == ["b", "c"]
    harness.clock.advance(1.0)
    assert (requested, harness.store.gets) == (["b", "c", "b"], 2)
    harness.store.reads_answered = True
    harness.store.row = Row("manifest#0000000002", {"body": DEFLATED_TEXT})
    harness.clock.advance(1.0)
    harness.clock.advance(0.5)
    harness.receive_heartbeat(2, "b")
    harness.clock.advance(1.0)
    assert harness.sync.version() == 2


def test_request_for_an_unknown_version_is_answered_empty() -> None:
    """Guards against a peer that waits for a reply until its timeout."""
    harness = Harness()
    harness.receive_manifest(2)
    responses: list[Any] = []
    harness.sync._handle_manifest_request(ManifestRequest(1), responses.append)
    harness.sync._handle_manifest_request(ManifestRequest(3), responses.append)
    assert [(r.version, bool(r.body)) for r in responses] == [(2, True), (3, False)]


def test_commit_fault_says_whether_it_may_have_been_accepted() -> None:
    """Guards against reporting a write without a response as not accepted."""
    harness = Harness()

    def commit(text: str) -> CommitFault:
        results: list[Result[int, CommitFault]] = []
        commit_done = Deferred.fromCoroutine(harness.sync.commit(text, 0, "c"))
        commit_done.addCallback(results.append)
        return results[0].unwrap_err()

    assert commit("{}").kind is CommitFaultKind.INVALID
    assert not commit(MANIFEST_TEXT).may_be_accepted
    harness.store.reads_answered = True
    fault = commit(MANIFEST_TEXT)
    assert fault.kind is CommitFaultKind.UNAVAILABLE
    assert fault.may_be_accepted


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=20))
@settings(derandomize=True, deadline=None)
def test_version_never_decreases(texts: list[tuple[int, bool]]) -> None:
    """Guards against a return to a lower version.

    Texts arrive in any order, through replies of peers and directly.
    """
    harness = Harness()
    applied: list[int] = []
    harness.sync.subscribe(lambda current: applied.append(current.version))
    for version, from_peer in texts:
        if from_peer:
            harness.receive_manifest(version)
        else:
            Deferred.fromCoroutine(
                harness.sync._handle_full_text(version, DEFLATED_TEXT)
            )
        assert harness.sync.version() == max(applied)
    assert applied == sorted(set(applied))


def test_poll_interval_grows_with_the_hosts_only_while_peers_reply() -> None:
    """Guards against polls that use up the table's read capacity.

    2,900 hosts that poll each second would do so. A host without replies from
    peers must keep the short interval, as the table is its only source.
    """

    def interval_s(hosts: int, replied: bool) -> float:
        harness = Harness()
        names = {f"h{i}": Address("127.0.0.2", i + 1) for i in range(hosts)}
        manifest: Any = SimpleNamespace(hosts=names)
        harness.sync._current = AppliedManifest(1, manifest, "")
        harness.clock.advance(10.0)
        if replied:
            harness.receive_reply(0, sent_at=9.0)
        return harness.sync.poll_interval_s()

    assert interval_s(7, replied=True) == Options().table_poll_s
    assert interval_s(500, replied=True) == 1.0
    assert interval_s(2900, replied=True) == 5.8
    assert interval_s(2900, replied=False) == 1.0
    assert interval_s(20_000, replied=True) == 6.0


def test_large_texts_are_validated_in_slices_and_applied_once() -> None:
    """Guards against blocking the event loop and validating a text twice."""
    harness = Harness()
    applied: list[int] = []
    harness.sync.subscribe(lambda current: applied.append(current.version))
    padded = MANIFEST_TEXT + " " * MAX_UNSLICED_CHARS
    body = zlib.compress(padded.encode())
    harness.receive_manifest(5, body)
    harness.receive_manifest(5, body)
    for _ in range(100):
        harness.clock.advance(0)
    assert applied == [5]
    assert harness.sync.version() == 5
    harness.receive_manifest(4, body)
    for _ in range(100):
        harness.clock.advance(0)
    assert applied == [5]


def test_full_text_is_sent_after_a_delta() -> None:
    """Guards against a peer that has just started and gets no full text.

    This host made the version from a delta and never received its text.
    """
    harness = Harness()
    harness.receive_manifest(1)
    changed = manifest_text({"a": Address("127.0.0.1", 1234)}, "changed")
    delta = run_all(make_delta_steps(1, MANIFEST_TEXT.encode(), 2, changed.encode()))
    assert delta is not None
    reply = ManifestReply(2, b"", [delta])
    harness.sync._handle_manifest_reply(reply, lambda response: None)
    current = harness.sync.current()
    assert current is not None
    assert (current.version, current.text) == (2, changed)
    responses: list[Any] = []
    for base in (0, 1, 7):
        harness.sync._handle_manifest_request(
            ManifestRequest(2, base), responses.append
        )
    full_text, by_delta, unknown_base = responses
    assert zlib.decompress(full_text.body).decode() == changed
    assert [d.version for d in by_delta.deltas] == [2]
    assert unknown_base.body == full_text.body


def test_text_is_deflated_once_for_all_waiting_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a CPU peak when many hosts start after an outage."""
    deflations: list[str] = []

    def counting_deflate(text: str) -> Steps[bytes]:
        deflations.append(text)
        return (yield from deflate_steps(text))

    monkeypatch.setattr(manifestsync, "deflate_steps", counting_deflate)
    harness = Harness()
    # A random text takes several slices to deflate.
    padding = random.Random(1).randbytes(2_000_000).hex()
    harness.receive_manifest(1, zlib.compress(f"{MANIFEST_TEXT}//{padding}".encode()))
    for _ in range(100):
        harness.clock.advance(0)
    assert harness.sync.version() == 1
    harness.sync._deflated_text = b""  # state of a version made from a delta
    responses: list[Any] = []
    for _ in range(3):
        harness.sync._handle_manifest_request(ManifestRequest(1), responses.append)
    assert not responses
    for _ in range(100):
        harness.clock.advance(0)
    assert len(deflations) == 1
    assert len({id(response.body) for response in responses}) == 1
    assert len(responses) == 3
    harness.sync._handle_manifest_request(ManifestRequest(1), responses.append)
    assert (len(deflations), len(responses)) == (1, 4)


def test_refused_delta_changes_nothing_and_the_full_text_is_requested() -> None:
    """Guards against applying a delta that was made from a different text."""
    harness = Harness()
    harness.receive_manifest(1)
    requested: list[tuple[int, int]] = []
    delta = ManifestDelta(1, 2, bytes(32), [TextEdit(0, 1, b" ")])

    def send(host: str, request: ManifestRequest) -> bool:
        requested.append((request.base, harness.sync.version()))
        reply = ManifestReply(2, b"", [delta])
        if request.base == 0:
            reply = ManifestReply(2, DEFLATED_TEXT)
        harness.clock.callLater(
            0, harness.sync._handle_manifest_reply, reply, lambda response: None
        )
        return True

    peers: Any = harness.peers
    peers.send = send
    harness.receive_heartbeat(2)
    harness.clock.advance(0)
    harness.clock.advance(0)
    assert requested == [(1, 1), (0, 1)]
    assert harness.sync.counts.refused_deltas == 1
    assert harness.sync.version() == 2


def test_reply_to_a_request_without_a_base_has_the_full_text() -> None:
    """Guards against sending deltas to daemons of older releases.

    These do not support deltas, and their requests have no base version.
    """
    harness = Harness()
    harness.receive_manifest(1)
    harness.receive_manifest(2)
    responses: list[Any] = []
    harness.sync._handle_manifest_request(ManifestRequest(2), responses.append)
    assert responses[0].body
    assert not responses[0].deltas
