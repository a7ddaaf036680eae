"""Guards the links between hosts against stalls, restarts and wrong peers.

All hosts run in this process and connect over loopback TCP.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from samphirebend.addresses import Address
from samphirebend.manifest import Host
from samphirebend.options import Options
from samphirebend.peerlink import MAX_MESSAGE_BYTES
from samphirebend.peers import PeerService
from samphirebend.wire import ReleaseReply, ReleaseRequest

from ..reactor import on_reactor, reactor, until


class AdjustableClock:
    """A monotonic clock that tests can move forward."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.offset_s


class SilentListener(Protocol):
    """Accepts connections and never replies; counts connections and losses."""

    made = 0
    lost = 0

    def connectionMade(self) -> None:
        SilentListener.made += 1

    def connectionLost(self, reason: object = None) -> None:
        SilentListener.lost += 1


def make_service(name: str, port: int = 0, now: Any = time.monotonic) -> PeerService:
    cfg = Options()
    cfg.host = name
    cfg.peer_address = Address("127.0.0.1", port)
    cfg.heartbeat_s = 0.05
    service = PeerService(cfg, 7, reactor, now)
    service.start()
    return service


def make_host(name: str, peer: Address) -> Host:
    unused = Address("127.0.0.1", 1)
    return Host(name, "r", "d", unused, unused, peer, unused)


@on_reactor
async def test_replies_match_heartbeats_and_requests_are_answered() -> None:
    """Guards against replies to another heartbeat, and unanswered requests."""
    first, second = make_service("a"), make_service("b")
    received: list[tuple[str, int, bool]] = []
    released: list[ReleaseReply] = []
    second.reply_fillers.append(
        lambda heartbeat, reply, now: setattr(reply, "key_epoch", heartbeat.key_epoch)
    )
    first.heartbeat_fillers.append(lambda beat: setattr(beat, "key_epoch", 5))
    first.reply_listeners.append(
        lambda reply, sent, now: received.append(
            (reply.host, reply.key_epoch, sent < now)
        )
    )
    second.on_message(
        ReleaseRequest,
        lambda request, respond: respond(ReleaseReply(request.shard, 3, True, "b")),
    )
    first.on_message(ReleaseReply, lambda reply, respond: released.append(reply))
    first.set_peers([make_host("a", first.address()), make_host("b", second.address())])
    await until(lambda: ("b", 5, True) in received)
    assert first.connected_hosts() == ["b"]  # no link to itself
    assert first.send("b", ReleaseRequest("s", 3, "a"))
    assert not first.send("c", ReleaseRequest("s", 3, "a"))
    await until(lambda: [reply.granted for reply in released] == [True])
    await first.stop()
    await second.stop()


@on_reactor
async def test_notify_peers_waits_for_live_peers_only() -> None:
    """Guards against a reported success before every live peer has replied."""
    now = AdjustableClock()
    first, second = make_service("a", now=now), make_service("b")
    assert await first.notify_peers(1.0)  # there are no peers yet
    SilentListener.made = 0
    silent = reactor.listenTCP(0, Factory.forProtocol(SilentListener))
    silent_address = Address("127.0.0.1", silent.getHost().port)
    first.set_peers([make_host("b", second.address())])
    await until(lambda: first.connected_hosts() == ["b"])
    assert await first.notify_peers(1.0)
    first.set_peers([make_host("b", second.address()), make_host("c", silent_address)])
    await until(lambda: first.connected_hosts() == ["b", "c"])
    # The silent host c counts as live until its link stalls.
    assert not await first.notify_peers(0.1)
    await first.stop()
    await second.stop()
    await silent.stopListening()


@on_reactor
async def test_stalled_link_is_closed_and_reopened() -> None:
    """Guards against a link that stays open to a peer that never replies."""
    now = AdjustableClock()
    first = make_service("a", now=now)
    SilentListener.made = SilentListener.lost = 0
    silent = reactor.listenTCP(0, Factory.forProtocol(SilentListener))
    first.set_peers([make_host("c", Address("127.0.0.1", silent.getHost().port))])
    await until(lambda: SilentListener.made == 1)
    now.offset_s += 2.1
    await until(lambda: SilentListener.lost == 1 and SilentListener.made == 2)
    await first.stop()
    await silent.stopListening()


@on_reactor
async def test_link_with_too_many_unsent_messages_is_closed() -> None:
    """Guards memory against messages for a peer that does not read."""
    first = make_service("a")
    SilentListener.made = SilentListener.lost = 0
    silent = reactor.listenTCP(0, Factory.forProtocol(NotReadingListener))
    first.set_peers([make_host("c", Address("127.0.0.1", silent.getHost().port))])
    await until(lambda: first.connected_hosts() == ["c"])
    request = ReleaseRequest("s" * 1_000_000, 1, "a")
    sent = [first.send("c", request) for _ in range(40)]
    assert sent.count(True) < 20
    await until(lambda: SilentListener.made >= 2)
    await first.stop()
    await silent.stopListening()


class NotReadingListener(SilentListener):
    """Accepts connections but reads nothing from them."""

    def connectionMade(self) -> None:
        super().connectionMade()
        transport: Any = self.transport
        transport.pauseProducing()


@on_reactor
async def test_link_survives_a_restart_of_the_peer() -> None:
    """Guards against hosts that stay disconnected from a restarted peer."""
    first, second = make_service("a"), make_service("b")
    replies: list[str] = []
    first.reply_listeners.append(lambda reply, sent, now: replies.append(reply.host))
    first.set_peers([make_host("b", second.address())])
    await until(lambda: bool(replies))
    port = second.address().port
    await second.stop()
    await until(lambda: first.connected_hosts() == [])
    second = make_service("b", port)
    replies.clear()
    await until(lambda: bool(replies))
    await first.stop()
    await second.stop()


@on_reactor
async def test_replies_of_another_host_are_ignored() -> None:
    """Guards against grants by a different host at a reused address."""
    first, second = make_service("a"), make_service("b")
    replies: list[str] = []
    first.reply_listeners.append(lambda reply, sent, now: replies.append(reply.host))
    heartbeats: list[int] = []
    second.heartbeat_listeners.append(lambda heartbeat, now: heartbeats.append(1))
    first.set_peers([make_host("x", second.address())])
    await until(lambda: len(heartbeats) > 3)
    assert replies == []
    await first.stop()
    await second.stop()


@on_reactor
async def test_link_is_reopened_after_oversized_and_malformed_messages() -> None:
    """Guards against a broken link that stays open, or is not replaced."""
    first, second = make_service("a"), make_service("b")
    first.set_peers([make_host("b", second.address())])
    await until(lambda: first.connected_hosts() == ["b"])
    (link,) = first._links.values()
    before: Any = link.connection
    before.send(b"junk")
    before.transport.write((MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"))
    await until(lambda: link.connection is not None and link.connection is not before)
    await first.stop()
    await second.stop()
