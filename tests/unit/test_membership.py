"""Tests that outdated reports of peers do not replace newer ones."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from samphirebend.membership import Membership
from samphirebend.wire import Heartbeat, HeartbeatReply, ServiceLoad


def make_heartbeat(incarnation: int, sequence: int, free: int = 0) -> Heartbeat:
    heartbeat = Heartbeat("b", incarnation, sequence)
    heartbeat.loads = [ServiceLoad("s", free, 9, free)]
    return heartbeat


def test_older_sequence_is_ignored() -> None:
    # Heartbeats may arrive out of order after a reconnection.
    membership = Membership("a")
    assert membership.record_heartbeat(make_heartbeat(1, 5, free=3), 1.0)
    assert not membership.record_heartbeat(make_heartbeat(1, 4, free=7), 1.1)
    view = membership.peer("b")
    assert view is not None
    assert view.free("s") == 3


def test_replaced_incarnation_stays_replaced() -> None:
    # A frozen process may resume after its host was restarted.
    membership = Membership("a")
    membership.record_heartbeat(make_heartbeat(1, 50), 1.0)
    membership.record_heartbeat(make_heartbeat(2, 1), 1.1)
    assert not membership.record_heartbeat(make_heartbeat(1, 51), 1.2)
    assert not membership.record_reply(HeartbeatReply("b", 1, 3), 1.3)
    assert membership.was_replaced("b", 1)
    view = membership.peer("b")
    assert view is not None
    assert view.heard_at == 1.1


def test_live_ends_after_silence_and_own_messages_do_not_count() -> None:
    # Guards against relays to a host that may be down, or to this host itself.
    membership = Membership("a")
    membership.record_heartbeat(Heartbeat("a", 1, 1), 1.0)
    membership.record_reply(HeartbeatReply("b", 1, 1), 1.0)
    assert [view.host for view in membership.live(2.5)] == ["b"]
    assert membership.live(2.51) == []


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 5)), max_size=40))
@settings(derandomize=True, deadline=None)
def test_accepted_reports_never_go_back(reports: list[tuple[int, int]]) -> None:
    """Guards against replaced incarnations and repeated sequence numbers."""
    membership = Membership("a")
    seen: list[tuple[int, int]] = []
    for incarnation, sequence in reports:
        if membership.record_heartbeat(make_heartbeat(incarnation, sequence), 0.0):
            seen.append((incarnation, sequence))
    order = list(dict.fromkeys(incarnation for incarnation, _ in seen))
    assert sorted(seen, key=lambda x: (order.index(x[0]), x[1])) == seen
    assert len(set(seen)) == len(seen)
