"""TCP links to the other daemons, with heartbeats and their replies.

Every daemon connects to the peer address of each other one, sends heartbeats
on that connection and reads the replies from it. Other modules add their part
to heartbeats and replies, and take what peers report, through the hooks of
`PeerService`; this module knows no more of the messages than their kind.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Iterable
from typing import Any, Final, Protocol

from automat import TypeMachineBuilder
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from .addresses import Address
from .manifest import Host
from .options import Options
from .wire import Heartbeat, HeartbeatReply, Message, decode, encode

MAX_MESSAGE_BYTES: Final = 32 * 1024 * 1024
# Bytes that may queue behind a full send buffer before the link is closed.
MAX_UNSENT_BYTES: Final = 1024 * 1024
# Time without any byte from the peer after which a link counts as stalled. Any
# byte counts, because a long manifest may delay the reply behind it.
STALL_S: Final = 2.0
# Incoming connections are closed later than the peer's own stall limit, so
# that the peer, which can reopen the link, normally acts first.
IDLE_S: Final = 10.0
CONNECT_TIMEOUT_S: Final = 1.0
FIRST_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 2.0
# Heartbeats whose reply a link waits for; older ones are forgotten.
MAX_UNANSWERED: Final = 64

Respond = Callable[[Message], None]
MessageHandler = Callable[[Any, Respond], None]
HeartbeatFiller = Callable[[Heartbeat], None]
HeartbeatListener = Callable[[Heartbeat, float], object]
ReplyFiller = Callable[[Heartbeat, HeartbeatReply, float], None]
ReplyListener = Callable[[HeartbeatReply, float, float], object]


@implementer(IPushProducer)
class _SendMonitor:
    """Follows whether a transport's send buffer is full."""

    __slots__ = ("full", "queued_bytes")

    def __init__(self) -> None:
        self.full = False
        self.queued_bytes = 0  # written since the buffer was full

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        self.queued_bytes = 0

    def stopProducing(self) -> None:
        pass


class PeerConnection(Int32StringReceiver):
    """One TCP connection of either direction, carrying messages."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(
        self,
        now: Callable[[], float],
        on_message: Callable[[PeerConnection, Message], None],
        on_lost: Callable[[PeerConnection], None],
    ) -> None:
        self._now = now
        self._on_message = on_message
        self._on_lost = on_lost
        self._monitor = _SendMonitor()
        self._aborted = False
        self.last_data_at = now()

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self._monitor, True)
        self.last_data_at = self._now()

    def dataReceived(self, data: bytes) -> None:
        self.last_data_at = self._now()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        message = decode(string)
        if message is not None:
            self._on_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        logger.warning("peer message of {} bytes exceeds the limit", length)
        self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._on_lost(self)

    def send(self, data: bytes) -> bool:
        """Queue an encoded message; close the connection if it is clogged."""
        if self._aborted:
            return False
        if len(data) > MAX_MESSAGE_BYTES:
            logger.error("message of {} bytes exceeds the limit", len(data))
            return False
        if self._monitor.queued_bytes > MAX_UNSENT_BYTES:
            logger.warning("peer connection closed: it does not take data")
            self.abort()
            return False
        if self._monitor.full:
            self._monitor.queued_bytes += len(data)
        self.sendString(data)
        return True

    def abort(self) -> None:
        """Close at once; unsent data is dropped."""
        self._aborted = True
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class _LinkEvents(Protocol):
    """Inputs of a link's life cycle."""

    def start(self) -> None: ...

    def connected(self, connection: PeerConnection) -> None: ...

    def lost(self) -> None: ...

    def retry_due(self) -> None: ...

    def close(self) -> None: ...


class Link:
    """The outgoing link to one peer address."""

    __slots__ = (
        "_attempt",
        "_retry_s",
        "_rng",
        "_timer",
        "address",
        "connection",
        "events",
        "host",
        "sent",
        "service",
    )

    def __init__(
        self, service: PeerService, address: Address, host: str, rng: random.Random
    ) -> None:
        self.service = service
        self.address = address
        self.host = host  # empty until a seed's first reply names it
        self.connection: PeerConnection | None = None  # only while up
        self.sent: dict[int, float] = {}  # sequence to time of sending
        self._rng = rng
        self._retry_s = FIRST_RETRY_S
        self._timer: Any = None
        self._attempt: Deferred[Any] | None = None
        self.events: _LinkEvents = _make_link_events(self)

    def connect(self) -> None:
        """Begin one attempt to connect."""
        endpoint = TCP4ClientEndpoint(
            self.service.reactor,
            self.address.ip,
            self.address.port,
            CONNECT_TIMEOUT_S,
            bindAddress=(self.service.address().ip, 0),
        )
        factory: Any = Factory.forProtocol(self._make_connection)
        self._attempt = endpoint.connect(factory)
        self._attempt.addCallbacks(
            lambda connection: self.events.connected(connection),
            lambda _failure: self.events.lost(),
        )

    def attach(self, connection: PeerConnection) -> None:
        """Use a new connection."""
        self.connection = connection
        self.service.link_up(self)

    def detach(self) -> None:
        """Forget the connection, closing it if it is still open."""
        connection, self.connection = self.connection, None
        self.sent.clear()
        if connection is not None:
            connection.abort()
        self.service.link_down(self)

    def schedule_retry(self) -> None:
        """Wait before the next attempt, longer after each failure."""
        wait_s = self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        self._timer = self.service.reactor.callLater(wait_s, self.events.retry_due)

    def cancel(self) -> None:
        """Give up the attempt or the wait in progress."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()

    def note_working(self) -> None:
        """Reset the wait before the next attempt: the peer has replied."""
        self._retry_s = FIRST_RETRY_S

    def is_up(self) -> bool:
        """Tell whether messages can be sent."""
        return self.connection is not None

    def send_heartbeat(self, sequence: int, data: bytes, now: float) -> None:
        """Send a heartbeat and remember when."""
        self.sent[sequence] = now
        while len(self.sent) > MAX_UNANSWERED:
            del self.sent[next(iter(self.sent))]
        if self.connection is not None:
            self.connection.send(data)

    def _make_connection(self) -> PeerConnection:
        return PeerConnection(self.service.now, self._take, self._connection_lost)

    def _take(self, connection: PeerConnection, message: Message) -> None:
        if connection is not self.connection:
            return
        if isinstance(message, HeartbeatReply):
            self.service.take_reply(self, message)
        else:
            self.service.dispatch(connection, message)

    def _connection_lost(self, connection: PeerConnection) -> None:
        if connection is self.connection:
            self.events.lost()


def _make_link_builder() -> Callable[[Link], _LinkEvents]:
    builder = TypeMachineBuilder(_LinkEvents, Link)
    closed = builder.state("closed")
    connecting = builder.state("connecting")
    up = builder.state("up")
    waiting = builder.state("waiting")

    @closed.upon(_LinkEvents.start).to(connecting)
    def begin(events: _LinkEvents, link: Link) -> None:
        link.connect()

    @closed.upon(_LinkEvents.connected).loop()
    def refuse(events: _LinkEvents, link: Link, connection: PeerConnection) -> None:
        connection.abort()

    @connecting.upon(_LinkEvents.connected).to(up)
    def use(events: _LinkEvents, link: Link, connection: PeerConnection) -> None:
        link.attach(connection)

    @connecting.upon(_LinkEvents.lost).to(waiting)
    def wait(events: _LinkEvents, link: Link) -> None:
        link.schedule_retry()

    @up.upon(_LinkEvents.lost).to(waiting)
    def reconnect(events: _LinkEvents, link: Link) -> None:
        link.detach()
        link.schedule_retry()

    @waiting.upon(_LinkEvents.retry_due).to(connecting)
    def retry(events: _LinkEvents, link: Link) -> None:
        link.connect()

    @up.upon(_LinkEvents.close).to(closed)
    def drop(events: _LinkEvents, link: Link) -> None:
        link.detach()

    @connecting.upon(_LinkEvents.close).to(closed)
    def give_up(events: _LinkEvents, link: Link) -> None:
        link.cancel()

    @waiting.upon(_LinkEvents.close).to(closed)
    def stop_waiting(events: _LinkEvents, link: Link) -> None:
        link.cancel()

    for state in (closed, waiting):
        state.upon(_LinkEvents.lost).loop().returns(None)
    closed.upon(_LinkEvents.close).loop().returns(None)
    return builder.build()


_make_link_events: Final = _make_link_builder()


class _Notification:
    """Waits for the replies of several links to one heartbeat."""

    __slots__ = ("done", "pending", "sequence")

    def __init__(self, sequence: int, links: Iterable[Link]) -> None:
        self.sequence = sequence
        self.pending = set(links)
        self.done: Deferred[bool] = Deferred()

    def discard(self, link: Link) -> None:
        """Stop waiting for a link."""
        self.pending.discard(link)
        self.finish_if_complete()

    def finish_if_complete(self) -> None:
        """Report success if no link is waited for."""
        if not self.pending and not self.done.called:
            self.done.callback(True)

    def expire(self) -> None:
        """Report that the time has passed."""
        if not self.done.called:
            self.done.callback(False)


class PeerService:
    """Links to all peers and the listener for theirs."""

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
        self._links: dict[Address, Link] = {}
        self._incoming: set[PeerConnection] = set()
        self._notifications: list[_Notification] = []
        self._sequence = 0
        self._port: Any = None
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor

    def start(self) -> None:
        """Listen and connect to the seeds."""
        factory: Any = Factory.forProtocol(self._make_incoming)
        factory.noisy = False
        address = self._own_address
        self._port = self.reactor.listenTCP(address.port, factory, interface=address.ip)
        self._own_address = Address(address.ip, self._port.getHost().port)
        if not self._links:
            self._connect_to(dict.fromkeys(self._seeds, ""))
        self._ticker.start(self._heartbeat_s, now=False)

    async def stop(self) -> None:
        """Close all connections."""
        if self._ticker.running:
            self._ticker.stop()
        self._connect_to({})
        for connection in list(self._incoming):
            connection.abort()
        if self._port is not None:
            await self._port.stopListening()

    def address(self) -> Address:
        """Return the address on which peers connect."""
        return self._own_address

    def set_peers(self, hosts: Collection[Host]) -> None:
        """Link to exactly these hosts; without any, keep the present links."""
        if hosts:
            self._connect_to({host.peer: host.name for host in hosts})

    def on_message(self, kind: type, handler: MessageHandler) -> None:
        """Call a function with each message of a kind and a way to respond."""
        if kind in self._handlers:
            raise ValueError(f"{kind.__name__} has a handler already")
        self._handlers[kind] = handler

    def send(self, host: str, message: Message) -> bool:
        """Send a message to a host; return False if there is no link to it."""
        for link in self._links.values():
            if link.host == host and link.connection is not None:
                return link.connection.send(encode(message))
        return False

    def connected_hosts(self) -> list[str]:
        """Return the names of the hosts to which messages can be sent."""
        links = self._links.values()
        return sorted(link.host for link in links if link.is_up() and link.host)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers at once."""
        self._send_heartbeats([link for link in self._links.values() if link.is_up()])

    async def notify_now(self, timeout_s: float) -> bool:
        """Send a heartbeat and wait for the replies of all live peers.

        Return False if the time passed first. A peer whose link is lost
        meanwhile is not waited for.
        """
        links = [link for link in self._links.values() if link.is_up()]
        oldest = self.now() - STALL_S
        live = [
            link
            for link in links
            if link.connection is not None and link.connection.last_data_at >= oldest
        ]
        notification = _Notification(self._send_heartbeats(links), live)
        self._notifications.append(notification)
        timer = self.reactor.callLater(timeout_s, notification.expire)
        # A link that was closed while sending is no longer up.
        notification.pending = {link for link in live if link.is_up()}
        notification.finish_if_complete()
        try:
            return await notification.done
        finally:
            self._notifications.remove(notification)
            if timer.active():
                timer.cancel()

    def link_up(self, link: Link) -> None:
        """Greet a peer whose link has opened."""
        self._send_heartbeats([link])

    def link_down(self, link: Link) -> None:
        """Stop waiting for replies on a link."""
        for notification in list(self._notifications):
            notification.discard(link)

    def take_reply(self, link: Link, reply: HeartbeatReply) -> None:
        """Pass a reply on if it answers a heartbeat that was sent on the link."""
        sent_at = link.sent.pop(reply.sequence, None)
        if sent_at is None or reply.host == self._host:
            return
        if not link.host:
            link.host = reply.host
        if link.host != reply.host:
            logger.warning(
                "{} answered at {}, expected {}", reply.host, link.address, link.host
            )
            return
        link.note_working()
        now = self.now()
        for listener in self.reply_listeners:
            _guarded(listener, reply, sent_at, now)
        for notification in list(self._notifications):
            if notification.sequence <= reply.sequence:
                notification.discard(link)

    def dispatch(self, connection: PeerConnection, message: Message) -> None:
        """Give a message to the handler of its kind."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return

        def respond(response: Message) -> None:
            connection.send(encode(response))

        _guarded(handler, message, respond)

    def _connect_to(self, wanted: dict[Address, str]) -> None:
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
            link = Link(self, address, host, self._rng)
            self._links[address] = link
            link.events.start()

    def _make_incoming(self) -> PeerConnection:
        connection = PeerConnection(
            self.now, self._take_incoming, self._incoming.discard
        )
        self._incoming.add(connection)
        return connection

    def _take_incoming(self, connection: PeerConnection, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            self.dispatch(connection, message)
            return
        if message.host == self._host:
            return
        now = self.now()
        for listener in self.heartbeat_listeners:
            _guarded(listener, message, now)
        reply = HeartbeatReply(self._host, self._incarnation, message.sequence)
        for filler in self.reply_fillers:
            _guarded(filler, message, reply, now)
        connection.send(encode(reply))

    def _tick(self) -> None:
        now = self.now()
        for link in list(self._links.values()):
            connection = link.connection
            if connection is not None and now - connection.last_data_at > STALL_S:
                logger.warning("link to {} stalled", link.host or link.address)
                link.events.lost()
        for connection in list(self._incoming):
            if now - connection.last_data_at > IDLE_S:
                connection.abort()
        self.send_heartbeats()

    def _send_heartbeats(self, links: Collection[Link]) -> int:
        self._sequence += 1
        if not links:
            return self._sequence
        heartbeat = Heartbeat(self._host, self._incarnation, self._sequence)
        for filler in self.heartbeat_fillers:
            _guarded(filler, heartbeat)
        data = encode(heartbeat)
        now = self.now()
        for link in links:
            link.send_heartbeat(heartbeat.sequence, data, now)
        return heartbeat.sequence


def _guarded(function: Callable[..., object], *arguments: Any) -> None:
    """Call a hook; a fault in one must not close the link or skip the others."""
    try:
        function(*arguments)
    except Exception:
        logger.exception("peer message hook failed")


def make_peers(cfg: Options, incarnation: int, reactor: Any) -> PeerService:
    """Return the service that links this host to its peers."""
    return PeerService(cfg, incarnation, reactor)
