"""Connections to the other daemons, with heartbeats and their replies.

Every daemon connects to the peer address of every other daemon, sends
heartbeats on that connection and reads the replies from it. Other modules
register hooks at `PeerService` that fill in fields of heartbeats and replies
and that process the fields that peers report. This module only uses the
fields that identify the sender and match replies to heartbeats.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Iterable
from typing import Any, Final

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from .addresses import Address
from .manifest import Host
from .options import Options
from .peerlink import PeerConnection, PeerLink
from .wire import Heartbeat, HeartbeatReply, Message, encode

# A link counts as stalled after this time without any byte from the peer. Any
# byte counts, because a long manifest may delay the heartbeat reply behind it.
STALL_TIMEOUT_S: Final = 2.0
# Incoming connections are closed after this time without data. It exceeds the
# stall timeout, so that normally the peer, which can reconnect, closes first.
IDLE_TIMEOUT_S: Final = 10.0

Respond = Callable[[Message], None]
MessageHandler = Callable[[Any, Respond], None]
HeartbeatFiller = Callable[[Heartbeat], None]
HeartbeatListener = Callable[[Heartbeat, float], object]
ReplyFiller = Callable[[Heartbeat, HeartbeatReply, float], None]
ReplyListener = Callable[[HeartbeatReply, float, float], object]


class _Notification:
    """Waits for the replies to one heartbeat on several links."""

    __slots__ = ("done", "pending", "sequence")

    def __init__(self, sequence: int, links: Iterable[PeerLink]) -> None:
        self.sequence = sequence
        self.pending = set(links)
        self.done: Deferred[bool] = Deferred()

    def discard(self, link: PeerLink) -> None:
        """Stop waiting for a link."""
        self.pending.discard(link)
        self.finish_if_complete()

    def finish_if_complete(self) -> None:
        """Report success if all replies have arrived."""
        if not self.pending and not self.done.called:
            self.done.callback(True)

    def expire(self) -> None:
        """Report that the time limit has passed."""
        if not self.done.called:
            self.done.callback(False)


class PeerService:
    """Outgoing links to all peers and the listener for incoming ones."""

    def __init__(
        self,
        cfg: Options,
        incarnation: int,
        reactor: Any,
        now: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.heartbeat_fillers: list[HeartbeatFiller] = []
        self.heartbeat_listeners: list[HeartbeatListener] = []
        self.reply_fillers: list[ReplyFiller] = []
        self.reply_listeners: list[ReplyListener] = []
        self._host = cfg.host
        self._incarnation = incarnation
        self._own_address = cfg.peer_address
        self._seeds = cfg.seeds
        self._heartbeat_s = cfg.heartbeat_s
        self._rng = rng or random.Random()
        self._handlers: dict[type, MessageHandler] = {}
        self._links: dict[Address, PeerLink] = {}
        self._incoming: set[PeerConnection] = set()
        self._notifications: list[_Notification] = []
        self._sequence = 0
        self._port: Any = None
        self._heartbeat_loop = LoopingCall(self._tick)
        self._heartbeat_loop.clock = reactor

    def start(self) -> None:
        """Listen and connect to the seeds."""
        factory: Any = Factory.forProtocol(self._make_incoming)
        factory.noisy = False
        address = self._own_address
        self._port = self.reactor.listenTCP(address.port, factory, interface=address.ip)
        self._own_address = Address(address.ip, self._port.getHost().port)
        if not self._links:
            self._connect_to(dict.fromkeys(self._seeds, ""))
        self._heartbeat_loop.start(self._heartbeat_s, now=False)

    async def stop(self) -> None:
        """Close all connections."""
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        self._connect_to({})
        for connection in list(self._incoming):
            connection.abort()
        if self._port is not None:
            await self._port.stopListening()

    def address(self) -> Address:
        """Return the address on which peers connect."""
        return self._own_address

    def set_peers(self, hosts: Collection[Host]) -> None:
        """Link to exactly these hosts; without any, keep the current links."""
        if hosts:
            self._connect_to({host.peer: host.name for host in hosts})

    def on_message(self, kind: type, handler: MessageHandler) -> None:
        """Register the handler of a message type.

        The handler is called with the message and a function that sends a
        response on the same connection.
        """
        if kind in self._handlers:
            raise ValueError(f"message type {kind.__name__} already has a handler")
        self._handlers[kind] = handler

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; return False if that is not possible."""
        for link in self._links.values():
            if link.host == host and link.connection is not None:
                return link.connection.send(encode(message))
        return False

    def connected_hosts(self) -> list[str]:
        """Return the names of the hosts to which a link is up, sorted."""
        links = self._links.values()
        return sorted(link.host for link in links if link.is_up() and link.host)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all connected peers now."""
        self._send_heartbeats([link for link in self._links.values() if link.is_up()])

    async def notify_peers(self, timeout_s: float) -> bool:
        """Send a heartbeat and wait for the replies of all live peers.

        Return False on a timeout. A peer is live if its link has not stalled.
        A peer whose link is lost meanwhile is no longer waited for.
        """
        links = [link for link in self._links.values() if link.is_up()]
        live_since = self.now() - STALL_TIMEOUT_S
        live = [
            link
            for link in links
            if link.connection is not None
            and link.connection.last_data_at >= live_since
        ]
        notification = _Notification(self._send_heartbeats(links), live)
        self._notifications.append(notification)
        timer = self.reactor.callLater(timeout_s, notification.expire)
        # Sending closes a link whose peer does not read.
        notification.pending = {link for link in live if link.is_up()}
        notification.finish_if_complete()
        try:
            return await notification.done
        finally:
            self._notifications.remove(notification)
            if timer.active():
                timer.cancel()

    def link_up(self, link: PeerLink) -> None:
        """Send a heartbeat on a link that has opened."""
        self._send_heartbeats([link])

    def link_down(self, link: PeerLink) -> None:
        """Stop waiting for replies on a link that was lost."""
        for notification in list(self._notifications):
            notification.discard(link)

    def handle_reply(self, link: PeerLink, reply: HeartbeatReply) -> None:
        """Pass on a reply to a heartbeat that was sent on this link."""
        sent_at = link.unanswered.pop(reply.sequence, None)
        if sent_at is None or reply.host == self._host:
            return
        if not link.host:
            link.host = reply.host
        if link.host != reply.host:
            logger.warning(
                "host {} replied at {}, expected {}",
                reply.host,
                link.address,
                link.host,
            )
            return
        link.reset_retry_delay()
        now = self.now()
        for listener in self.reply_listeners:
            _call_hook(listener, reply, sent_at, now)
        for notification in list(self._notifications):
            if notification.sequence <= reply.sequence:
                notification.discard(link)

    def dispatch(self, connection: PeerConnection, message: Message) -> None:
        """Pass a message to the handler of its type, if there is one."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return

        def respond(response: Message) -> None:
            connection.send(encode(response))

        _call_hook(handler, message, respond)

    def _connect_to(self, wanted: dict[Address, str]) -> None:
        """Open and close links, so that they lead to these addresses.

        The values are host names, empty for the seeds.
        """
        wanted = {
            address: host
            for address, host in wanted.items()
            if address != self._own_address and host != self._host
        }
        for address, link in list(self._links.items()):
            if address in wanted and link.host in ("", wanted[address]):
                link.host = wanted.pop(address) or link.host
            else:
                del self._links[address]
                link.events.close()
        for address, host in wanted.items():
            link = PeerLink(self, address, host, self._rng)
            self._links[address] = link
            link.events.start()

    def _make_incoming(self) -> PeerConnection:
        connection = PeerConnection(
            self.now, self._handle_incoming, self._incoming.discard
        )
        self._incoming.add(connection)
        return connection

    def _handle_incoming(self, connection: PeerConnection, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            self.dispatch(connection, message)
            return
        if message.host == self._host:
            return
        now = self.now()
        for listener in self.heartbeat_listeners:
            _call_hook(listener, message, now)
        reply = HeartbeatReply(self._host, self._incarnation, message.sequence)
        for filler in self.reply_fillers:
            _call_hook(filler, message, reply, now)
        connection.send(encode(reply))

    def _tick(self) -> None:
        """Close stalled and idle connections, then send heartbeats."""
        now = self.now()
        for link in list(self._links.values()):
            connection = link.connection
            if (
                connection is not None
                and now - connection.last_data_at > STALL_TIMEOUT_S
            ):
                logger.warning("link to {} has stalled", link.host or link.address)
                link.events.lost()
        for connection in list(self._incoming):
            if now - connection.last_data_at > IDLE_TIMEOUT_S:
                connection.abort()
        self.send_heartbeats()

    def _send_heartbeats(self, links: Collection[PeerLink]) -> int:
        """Send a heartbeat on these links and return its sequence number."""
        self._sequence += 1
        if not links:
            return self._sequence
        heartbeat = Heartbeat(self._host, self._incarnation, self._sequence)
        for filler in self.heartbeat_fillers:
            _call_hook(filler, heartbeat)
        data = encode(heartbeat)
        now = self.now()
        for link in links:
            link.send_heartbeat(heartbeat.sequence, data, now)
        return heartbeat.sequence


def _call_hook(function: Callable[..., object], *arguments: Any) -> None:
    """Call a hook or handler and log its exceptions.

    An exception must neither close the connection nor skip the other hooks.
    """
    try:
        function(*arguments)
    except Exception:
        logger.exception("unexpected error in a hook or handler of peer messages")


def make_peers(cfg: Options, incarnation: int, reactor: Any) -> PeerService:
    """Return the peer service of this host."""
    return PeerService(cfg, incarnation, reactor)
