"""Guards freshness and the order of versions, with a fake clock and table."""

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
from samphirebend.slices import Steps, finish
from samphirebend.tablestore import Row, StoreFault
from samphirebend.wire import (
    Heartbeat,
    HeartbeatReply,
    ManifestDelta,
    ManifestReply,
    ManifestRequest,
    TextEdit,
)

from ..sample_manifest import manifest_text

TEXT = manifest_text({"a": Address("127.0.0.1", 1234)})
BODY = zlib.compress(TEXT.encode())


class FakeStore:
    """A table that is down, or whose writes have no answer."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.reads_answered = False
        self.gets = 0

    async def get(self, key: str) -> Result[Row | None, StoreFault]:
        self.gets += 1
        return Ok(self.row) if self.reads_answered else Err(StoreFault.UNAVAILABLE)

    async def commit_rows(self, writes: object) -> Result[None, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    def last_answer_at(self) -> float:
        return 0.0


class Scene:
    """A spread service whose peers and table are driven by the test."""

    def __init__(self) -> None:
        self.clock = Clock()
        cfg = Options()
        cfg.host = "a"
        self.store = FakeStore()
        store: Any = self.store
        self.peers = PeerService(cfg, 1, self.clock, self.clock.seconds)
        now = self.clock.seconds
        self.spread = ManifestSync(cfg, store, self.peers, self.clock, now)

    def reply(self, version: int, sent_at: float) -> None:
        reply = HeartbeatReply("b", 1, 1)
        reply.manifest_version = version
        self.peers.reply_listeners[0](reply, sent_at, self.clock.seconds())

    def heartbeat(self, version: int, host: str = "b") -> None:
        heartbeat = Heartbeat(host, 1, 1)
        heartbeat.manifest_version = version
        self.peers.heartbeat_listeners[0](heartbeat, self.clock.seconds())

    def manifest(self, version: int, body: bytes = BODY) -> None:
        message = ManifestReply(version, body)
        self.spread._handle_manifest_reply(message, lambda response: None)

    def fresh(self) -> bool:
        return self.spread.is_fresh(self.clock.seconds())


def test_freshness_needs_a_recent_question() -> None:
    """After a freeze, buffered replies and heartbeats must not count."""
    scene = Scene()
    assert not scene.fresh()
    scene.reply(0, sent_at=0.0)
    assert scene.fresh()
    scene.clock.advance(3.5)
    scene.reply(0, sent_at=0.1)
    scene.heartbeat(0)
    assert not scene.fresh()
    scene.reply(0, sent_at=3.4)
    assert scene.fresh()


def test_not_fresh_until_the_highest_version_is_applied() -> None:
    scene = Scene()
    scene.reply(0, sent_at=0.0)
    scene.heartbeat(4)
    assert not scene.fresh()
    scene.manifest(3)
    assert not scene.fresh()
    scene.manifest(4)
    assert scene.fresh()


def test_unusable_texts_are_refused_and_not_fetched_at_once_again() -> None:
    scene = Scene()
    scene.manifest(2, b"junk")
    scene.manifest(2, zlib.compress(b"{}"))
    scene.manifest(2, b"")
    assert scene.spread.current() is None
    scene.heartbeat(2)
    for _ in range(5):
        scene.heartbeat(2)
    assert scene.store.gets == 1
    scene.clock.advance(0.6)
    scene.heartbeat(2)
    assert scene.store.gets == 2


def test_silent_peer_is_followed_by_the_table_and_other_peers() -> None:
    """A peer that does not answer must not keep the version from this host."""
    scene = Scene()
    asked: list[str] = []

    def send(host: str, message: ManifestRequest) -> bool:
        asked.append(host)
        return True

    peers: Any = scene.peers
    peers.send = send
    scene.heartbeat(2, "b")
    scene.heartbeat(2, "c")
    assert (asked, scene.store.gets) == (["b"], 0)
    scene.clock.advance(1.0)
    assert (asked, scene.store.gets) == (["b"], 1)
    scene.heartbeat(2, "c")  # the wait after the failed fetch has not passed
    scene.clock.advance(0.5)
    scene.heartbeat(2, "c")
    assert asked == ["b", "c"]
    scene.clock.advance(1.0)
    assert (asked, scene.store.gets) == (["b", "c", "b"], 2)
    scene.store.reads_answered = True
    scene.store.row = Row("manifest#0000000002", {"body": BODY})
    scene.clock.advance(1.0)
    scene.clock.advance(0.5)
    scene.heartbeat(2, "b")
    scene.clock.advance(1.0)
    assert scene.spread.version() == 2


def test_request_for_an_unknown_version_is_answered_empty() -> None:
    scene = Scene()
    scene.manifest(2)
    responses: list[Any] = []
    scene.spread._handle_manifest_request(ManifestRequest(1), responses.append)
    scene.spread._handle_manifest_request(ManifestRequest(3), responses.append)
    assert [(r.version, bool(r.body)) for r in responses] == [(2, True), (3, False)]


def test_commit_tells_whether_it_may_have_been_accepted() -> None:
    scene = Scene()

    def commit(text: str) -> CommitFault:
        results: list[Result[int, CommitFault]] = []
        waiting = Deferred.fromCoroutine(scene.spread.commit(text, 0, "c"))
        waiting.addCallback(results.append)
        return results[0].unwrap_err()

    assert commit("{}").kind is CommitFaultKind.INVALID
    assert not commit(TEXT).may_be_accepted
    scene.store.reads_answered = True
    fault = commit(TEXT)
    assert fault.kind is CommitFaultKind.UNAVAILABLE
    assert fault.may_be_accepted


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=20))
@settings(derandomize=True, deadline=None)
def test_version_never_decreases(texts: list[tuple[int, bool]]) -> None:
    """Texts arrive in any order from peers (checked twice) and the table."""
    scene = Scene()
    applied: list[int] = []
    scene.spread.subscribe(lambda in_force: applied.append(in_force.version))
    for version, from_peer in texts:
        if from_peer:
            scene.manifest(version)
        else:
            Deferred.fromCoroutine(scene.spread._handle_full_text(version, BODY))
        assert scene.spread.version() == max(applied)
    assert applied == sorted(set(applied))


def test_poll_interval_grows_with_the_hosts_only_while_peers_answer() -> None:
    """2,900 hosts that poll each second would use up the table's reads."""

    def interval_s(hosts: int, replied: bool) -> float:
        scene = Scene()
        names = {f"h{i}": Address("127.0.0.2", i + 1) for i in range(hosts)}
        manifest: Any = SimpleNamespace(hosts=names)
        scene.spread._current = AppliedManifest(1, manifest, "")
        scene.clock.advance(10.0)
        if replied:
            scene.reply(0, sent_at=9.0)
        return scene.spread.poll_interval_s()

    assert interval_s(7, replied=True) == Options().table_poll_s
    assert interval_s(500, replied=True) == 1.0
    assert interval_s(2900, replied=True) == 5.8
    assert interval_s(2900, replied=False) == 1.0
    assert interval_s(20_000, replied=True) == 6.0


def test_large_texts_are_checked_in_slices_and_applied_once() -> None:
    """The loop must run during the check, and no version is checked twice."""
    scene = Scene()
    applied: list[int] = []
    scene.spread.subscribe(lambda in_force: applied.append(in_force.version))
    padded = TEXT + " " * MAX_UNSLICED_CHARS
    body = zlib.compress(padded.encode())
    scene.manifest(5, body)
    scene.manifest(5, body)
    for _ in range(100):
        scene.clock.advance(0)
    assert applied == [5]
    assert scene.spread.version() == 5
    scene.manifest(4, body)
    for _ in range(100):
        scene.clock.advance(0)
    assert applied == [5]


def test_whole_text_is_sent_after_a_delta() -> None:
    """Guards a peer that has just started: the deflated text was never received."""
    scene = Scene()
    scene.manifest(1)
    changed = manifest_text({"a": Address("127.0.0.1", 1234)}, "changed")
    delta = finish(make_delta_steps(1, TEXT.encode(), 2, changed.encode()))
    assert delta is not None
    reply = ManifestReply(2, b"", [delta])
    scene.spread._handle_manifest_reply(reply, lambda response: None)
    in_force = scene.spread.current()
    assert in_force is not None
    assert (in_force.version, in_force.text) == (2, changed)
    responses: list[Any] = []
    for base in (0, 1, 7):
        scene.spread._handle_manifest_request(
            ManifestRequest(2, base), responses.append
        )
    whole, by_delta, unknown_base = responses
    assert zlib.decompress(whole.body).decode() == changed
    assert [d.version for d in by_delta.deltas] == [2]
    assert unknown_base.body == whole.body


def test_text_is_deflated_once_for_all_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the processor when many hosts start at once after a failure."""
    deflations: list[str] = []

    def counted(text: str) -> Steps[bytes]:
        deflations.append(text)
        return (yield from deflate_steps(text))

    monkeypatch.setattr(manifestsync, "deflate_steps", counted)
    scene = Scene()
    # Random texts take several slices to deflate.
    padding = random.Random(1).randbytes(2_000_000).hex()
    scene.manifest(1, zlib.compress(f"{TEXT}//{padding}".encode()))
    for _ in range(100):
        scene.clock.advance(0)
    assert scene.spread.version() == 1
    scene.spread._deflated_text = b""  # as after a delta
    responses: list[Any] = []
    for _ in range(3):
        scene.spread._handle_manifest_request(ManifestRequest(1), responses.append)
    assert not responses
    for _ in range(100):
        scene.clock.advance(0)
    assert len(deflations) == 1
    assert len({id(response.body) for response in responses}) == 1
    assert len(responses) == 3
    scene.spread._handle_manifest_request(ManifestRequest(1), responses.append)
    assert (len(deflations), len(responses)) == (1, 4)


def test_refused_delta_changes_nothing_and_the_whole_text_is_asked_for() -> None:
    """Guards the version in force against a delta on another text."""
    scene = Scene()
    scene.manifest(1)
    asked: list[tuple[int, int]] = []
    delta = ManifestDelta(1, 2, bytes(32), [TextEdit(0, 1, b" ")])

    def send(host: str, request: ManifestRequest) -> bool:
        asked.append((request.base, scene.spread.version()))
        reply = ManifestReply(2, b"", [delta])
        if request.base == 0:
            reply = ManifestReply(2, BODY)
        scene.clock.callLater(
            0, scene.spread._handle_manifest_reply, reply, lambda response: None
        )
        return True

    peers: Any = scene.peers
    peers.send = send
    scene.heartbeat(2)
    scene.clock.advance(0)
    scene.clock.advance(0)
    assert asked == [(1, 1), (0, 1)]
    assert scene.spread.counts.refused_deltas == 1
    assert scene.spread.version() == 2


def test_reply_to_an_older_daemon_is_whole() -> None:
    """Guards daemons that know no deltas: their request has no base."""
    scene = Scene()
    scene.manifest(1)
    scene.manifest(2)
    responses: list[Any] = []
    scene.spread._handle_manifest_request(ManifestRequest(2), responses.append)
    assert responses[0].body
    assert not responses[0].deltas
