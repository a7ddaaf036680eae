"""One outgoing link to a peer: its connection and its state machine.

`peers` owns the links, decides which hosts they connect to and processes the
received messages. A link connects, retries with growing delays after failures,
and closes its connection if the peer does not read.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final, Protocol

from automat import TypeMachineBuilder
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from .addresses import Address
from .wire import HeartbeatReply, Message, decode

MAX_MESSAGE_BYTES: Final = 32 * 1024 * 1024
# Limit on the bytes that are queued while the send buffer is full. Beyond it,
# the connection is closed.
MAX_UNSENT_BYTES: Final = 1024 * 1024
CONNECT_TIMEOUT_S: Final = 1.0
MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 2.0
# Number of heartbeats that a late reply can be matched with; the send times of
# older ones are dropped.
MAX_UNANSWERED_HEARTBEATS: Final = 64


class LinkOwner(Protocol):
    """The part of `PeerService` that a link uses."""

    reactor: Any
    now: Callable[[], float]

    def address(self) -> Address: ...

    def link_up(self, link: PeerLink) -> None: ...

    def link_down(self, link: PeerLink) -> None: ...

    def handle_reply(self, link: PeerLink, reply: HeartbeatReply) -> None: ...

    def dispatch(self, connection: PeerConnection, message: Message) -> None: ...


@implementer(IPushProducer)
class _SendBufferMonitor:
    """Tracks whether a transport's send buffer is full, as its producer."""

    __slots__ = ("full", "queued_bytes")

    def __init__(self) -> None:
        self.full = False
        self.queued_bytes = 0  # written since the buffer became full

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        self.queued_bytes = 0

    def stopProducing(self) -> None:
        """Do nothing: the connection reports its end."""


class PeerConnection(Int32StringReceiver):
    """An incoming or outgoing TCP connection that carries messages."""

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
        self._monitor = _SendBufferMonitor()
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
        logger.warning("incoming message of {} bytes exceeds the limit", length)
        self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._on_lost(self)

    def send(self, data: bytes) -> bool:
        """Queue an encoded message; abort if too much is unsent.

        Return False if the message was not queued.
        """
        if self._aborted:
            return False
        if len(data) > MAX_MESSAGE_BYTES:
            logger.error("outgoing message of {} bytes exceeds the limit", len(data))
            return False
        if self._monitor.queued_bytes > MAX_UNSENT_BYTES:
            logger.warning("closed peer connection: the peer does not read")
            self.abort()
            return False
        if self._monitor.full:
            self._monitor.queued_bytes += len(data)
        self.sendString(data)
        return True

    def abort(self) -> None:
        """Close the connection at once and drop unsent data."""
        self._aborted = True
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class _LinkEvents(Protocol):
    """Inputs of a link's state machine."""

    def start(self) -> None: ...

    def connected(self, connection: PeerConnection) -> None: ...

    def lost(self) -> None: ...

    def retry_due(self) -> None: ...

    def close(self) -> None: ...


class PeerLink:
    """The outgoing link to one peer address."""

    __slots__ = (
        "_attempt",
        "_retry_delay_s",
        "_rng",
        "_timer",
        "address",
        "connection",
        "events",
        "host",
        "owner",
        "unanswered",
    )

    def __init__(
        self, owner: LinkOwner, address: Address, host: str, rng: random.Random
    ) -> None:
        self.owner = owner
        self.address = address
        self.host = host  # empty for a seed address until its first reply
        self.connection: PeerConnection | None = None  # None unless connected
        # Send times of the heartbeats without a reply, by sequence number.
        self.unanswered: dict[int, float] = {}
        self._rng = rng
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._timer: Any = None  # timer of the next retry
        self._attempt: Deferred[Any] | None = None  # last connection attempt
        self.events: _LinkEvents = _make_link_events(self)

    def connect(self) -> None:
        """Start a connection attempt."""
        endpoint = TCP4ClientEndpoint(
            self.owner.reactor,
            self.address.ip,
            self.address.port,
            CONNECT_TIMEOUT_S,
            bindAddress=(self.owner.address().ip, 0),
        )
        factory: Any = Factory.forProtocol(self._make_connection)
        self._attempt = endpoint.connect(factory)
        self._attempt.addCallbacks(
            lambda connection: self.events.connected(connection),
            lambda _failure: self.events.lost(),
        )

    def attach(self, connection: PeerConnection) -> None:
        """Use a connection that has been established."""
        self.connection = connection
        self.owner.link_up(self)

    def detach(self) -> None:
        """Drop the connection and close it if it is still open."""
        connection, self.connection = self.connection, None
        self.unanswered.clear()
        if connection is not None:
            connection.abort()
        self.owner.link_down(self)

    def schedule_retry(self) -> None:
        """Schedule the next attempt with jitter and exponential backoff."""
        wait_s = self._retry_delay_s * self._rng.uniform(0.5, 1.0)
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)
        self._timer = self.owner.reactor.callLater(wait_s, self.events.retry_due)

    def cancel(self) -> None:
        """Cancel the connection attempt or the retry timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()

    def reset_retry_delay(self) -> None:
        """Reset the backoff, as the peer has replied."""
        self._retry_delay_s = MIN_RETRY_DELAY_S

    def is_up(self) -> bool:
        """Return whether messages can be sent."""
        return self.connection is not None

    def send_heartbeat(self, sequence: int, data: bytes, now: float) -> None:
        """Send a heartbeat and record its time of sending."""
        self.unanswered[sequence] = now
        while len(self.unanswered) > MAX_UNANSWERED_HEARTBEATS:
            del self.unanswered[next(iter(self.unanswered))]
        if self.connection is not None:
            self.connection.send(data)

    def _make_connection(self) -> PeerConnection:
        return PeerConnection(
            self.owner.now, self._handle_message, self._connection_lost
        )

    def _handle_message(self, connection: PeerConnection, message: Message) -> None:
        if connection is not self.connection:
            return
        if isinstance(message, HeartbeatReply):
            self.owner.handle_reply(self, message)
        else:
            self.owner.dispatch(connection, message)

    def _connection_lost(self, connection: PeerConnection) -> None:
        if connection is self.connection:
            self.events.lost()


def _make_link_builder() -> Callable[[PeerLink], _LinkEvents]:
    """Return a function that creates the state machine of a link."""
    builder = TypeMachineBuilder(_LinkEvents, PeerLink)
    closed = builder.state("closed")
    connecting = builder.state("connecting")
    up = builder.state("up")
    waiting = builder.state("waiting")

    @closed.upon(_LinkEvents.start).to(connecting)
    def connect(events: _LinkEvents, link: PeerLink) -> None:
        link.connect()

    @closed.upon(_LinkEvents.connected).loop()
    def abort_late_connection(
        events: _LinkEvents, link: PeerLink, connection: PeerConnection
    ) -> None:
        # The link was closed during the connection attempt.
        connection.abort()

    @connecting.upon(_LinkEvents.connected).to(up)
    def attach(events: _LinkEvents, link: PeerLink, connection: PeerConnection) -> None:
        link.attach(connection)

    @connecting.upon(_LinkEvents.lost).to(waiting)
    def schedule_retry(events: _LinkEvents, link: PeerLink) -> None:
        link.schedule_retry()

    @up.upon(_LinkEvents.lost).to(waiting)
    def reconnect(events: _LinkEvents, link: PeerLink) -> None:
        link.detach()
        link.schedule_retry()

    @waiting.upon(_LinkEvents.retry_due).to(connecting)
    def retry(events: _LinkEvents, link: PeerLink) -> None:
        link.connect()

    @up.upon(_LinkEvents.close).to(closed)
    def detach(events: _LinkEvents, link: PeerLink) -> None:
        link.detach()

    @connecting.upon(_LinkEvents.close).to(closed)
    def cancel_attempt(events: _LinkEvents, link: PeerLink) -> None:
        link.cancel()

    @waiting.upon(_LinkEvents.close).to(closed)
    def cancel_retry(events: _LinkEvents, link: PeerLink) -> None:
        link.cancel()

    for state in (closed, waiting):
        state.upon(_LinkEvents.lost).loop().returns(None)
    closed.upon(_LinkEvents.close).loop().returns(None)
    return builder.build()


_make_link_events: Final = _make_link_builder()
