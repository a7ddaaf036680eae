"""Tests that outdated reports of peers do not replace newer ones."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from samphirebend.membership import Membership
from samphirebend.wire import Heartbeat, HeartbeatReply, ServiceLoad


def beat(incarnation: int, sequence: int, free: int = 0) -> Heartbeat:
    heartbeat = Heartbeat("b", incarnation, sequence)
    heartbeat.loads = [ServiceLoad("s", free, 9, free)]
    return heartbeat


def test_older_sequence_is_ignored() -> None:
    members = Membership("a")
    assert members.note_heartbeat(beat(1, 5, free=3), 1.0)
    assert not members.note_heartbeat(beat(1, 4, free=7), 1.1)
    view = members.peer("b")
    assert view is not None
    assert view.free("s") == 3


def test_replaced_incarnation_stays_replaced() -> None:
    members = Membership("a")
    members.note_heartbeat(beat(1, 50), 1.0)
    members.note_heartbeat(beat(2, 1), 1.1)
    assert not members.note_heartbeat(beat(1, 51), 1.2)
    assert not members.note_reply(HeartbeatReply("b", 1, 3), 1.3)
    assert members.was_replaced("b", 1)
    view = members.peer("b")
    assert view is not None
    assert view.heard_at == 1.1


def test_live_ends_after_silence_and_own_messages_do_not_count() -> None:
    members = Membership("a")
    members.note_heartbeat(Heartbeat("a", 1, 1), 1.0)
    members.note_reply(HeartbeatReply("b", 1, 1), 1.0)
    assert [view.host for view in members.live(2.5)] == ["b"]
    assert members.live(2.51) == []


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 5)), max_size=40))
@settings(derandomize=True, deadline=None)
def test_accepted_reports_never_go_back(reports: list[tuple[int, int]]) -> None:
    """Guards against replaced incarnations and repeated sequence numbers."""
    members = Membership("a")
    seen: list[tuple[int, int]] = []
    for incarnation, sequence in reports:
        if members.note_heartbeat(beat(incarnation, sequence), 0.0):
            seen.append((incarnation, sequence))
    order = list(dict.fromkeys(incarnation for incarnation, _ in seen))
    assert sorted(seen, key=lambda x: (order.index(x[0]), x[1])) == seen
    assert len(set(seen)) == len(seen)
