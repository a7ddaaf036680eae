"""HTTP/1.1 connections of callers, with streamed bodies and pipelining.

Messages are parsed with h11 over Twisted transports. Request bodies are passed
to a sink as they arrive and are never stored on disk; while a sink is paused,
nothing is read from the socket. A server may read further requests of a
connection before it has responded to the first; responses keep the order of
the requests. The module is independent of services and routing: it passes each
request to a handler.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import h11
from loguru import logger
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from .headers import Headers
from .serverrequest import ServerRequest, unsent_bytes, write_now

if TYPE_CHECKING:
    from .httpserver import HttpServer

# After a response that precedes the end of the request's body, the rest of the
# body is read and dropped for up to this long. The response would be lost if
# the connection were closed with unread bytes.
DISCARD_TIMEOUT_S: Final = 1.0
# Time after `DISCARD_TIMEOUT_S` for a caller to read the rest of the response.
FLUSH_TIMEOUT_S: Final = 10.0
# Bytes of earlier responses that a caller has not read, above which no further
# request of its connection is read.
MAX_UNSENT_BYTES: Final = 64 * 1024
# Methods of pipelined requests that may start before the responses to earlier
# requests are complete.
SAFE_METHODS: Final = frozenset(("GET", "HEAD", "OPTIONS"))


class HttpServerProtocol(Protocol, TimeoutMixin):
    """A connection of a caller or of another host's relay.

    Pipelined requests are read up to the server's limit, and their responses
    are sent in the order of the requests. A request that may not run twice
    starts only when all earlier responses are complete: after a response that
    closes the connection, a caller repeats the requests that followed.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = self._make_parser()
        # Requests whose responses are not complete, in order of arrival.
        self._queue: deque[ServerRequest] = deque()
        # The request whose body is being read.
        self._receiving: ServerRequest | None = None
        self._no_more_requests = False  # no request follows on this connection
        self._parsing = False  # prevents recursion of `parse_available`
        self._reading = True  # False: the transport is paused
        self._discarding = False  # further bytes of the caller are dropped
        self._closing = False  # closes as soon as the written bytes are sent
        # Parts of a body that were parsed and not delivered yet. They are
        # delivered together, because a caller may send chunks of a few bytes.
        self._body = bytearray()
        # Notified when the written bytes are sent; None while not waited for.
        self._output_watch: _OutputWatch | None = None
        self.peer_ip = ""

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._server.max_header_bytes
        )

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.peer_ip = self.transport.getPeer().host
        self._server.connections.add(self)
        self.setTimeout(self._server.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:
        if self._discarding:
            return
        if not self._queue and not self._parser.trailing_data[0]:
            # Set once for each head, so that a caller that sends the head byte
            # by byte does not extend the timeout.
            self.setTimeout(self._server.header_timeout_s)
        self._parser.receive_data(data)
        self.parse_available()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.setTimeout(None)
        self._server.connections.discard(self)
        queue, self._queue = self._queue, deque()
        for req in queue:
            req.mark_closed()

    def timeoutConnection(self) -> None:
        if not self._discarding or self._closing:
            self.transport.abortConnection()
            return
        # A reset now would discard the end of the response if the caller reads
        # it slowly.
        self.close()
        self.setTimeout(FLUSH_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection after the written responses are sent."""
        self._closing = True
        self.transport.loseConnection()

    @property
    def idle(self) -> bool:
        """Return whether no request is being handled."""
        return not self._queue

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being handled."""
        if self.idle:
            self.close()

    def parse_available(self) -> None:
        """Parse the available bytes as far as flow control allows."""
        if self._parsing or self._discarding:
            return
        self._parsing = True
        try:
            may_continue = True
            while may_continue:
                while self._step():
                    pass
                may_continue = self._deliver_body()
        except h11.RemoteProtocolError as exc:
            self._reject(exc)
        finally:
            self._parsing = False

    def _step(self) -> bool:
        """Handle one event of the parser; return whether to go on."""
        req = self._receiving
        if req is not None and req.upload_blocked and not req.fully_received:
            self._set_reading(False)
            return False
        if req is None and (self._no_more_requests or self._must_wait()):
            # While no unparsed bytes wait, reading goes on, so that a closed
            # connection is detected.
            self._set_reading(not self._parser.trailing_data[0])
            return False
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            self._send_continue()
            self._set_reading(True)
            return False
        if event is h11.PAUSED:
            self._set_reading(False)
            return False
        if isinstance(event, h11.Request):
            self._receive(event)
        elif isinstance(event, h11.Data) and req is not None:
            self._body += event.data
        elif isinstance(event, h11.EndOfMessage) and req is not None:
            self._end_body(req)
        return not isinstance(event, h11.ConnectionClosed) and not self._discarding

    def _deliver_body(self) -> bool:
        """Pass the parsed parts of a body to its request; return if there were any."""
        req, data = self._receiving, bytes(self._body)
        self._body.clear()
        if req is None or not data:
            return False
        req.deliver_body(data)
        return True

    def _must_wait(self) -> bool:
        """Return whether the next request may not be read at the moment."""
        return self._is_full() or self._output_is_full()

    def _output_is_full(self) -> bool:
        """Return whether the caller has to read earlier responses first."""
        if unsent_bytes(self.transport) <= MAX_UNSENT_BYTES:
            return False
        # A response that is being streamed continues to parse at its end.
        if self._output_watch is None and self.transport.producer is None:
            self._output_watch = _OutputWatch(self)
            self.transport.registerProducer(self._output_watch, False)
        return True

    def end_output_watch(self) -> None:
        """Stop waiting until the written bytes are sent."""
        if self._output_watch is not None:
            self._output_watch = None
            self.transport.unregisterProducer()

    def resume_after_output(self) -> None:
        """Read further requests, since the written bytes are sent."""
        self.end_output_watch()
        # A request that is read while the connection closes would be passed on
        # and lose its response.
        if not self._closing:
            self.parse_available()

    @property
    def held_bytes(self) -> int:
        """Return the size of unread responses and of waiting requests."""
        held = unsent_bytes(self.transport)
        held += sum(len(req.pending_output) for req in self._queue)
        if not self._reading:
            held += len(self._parser.trailing_data[0])
        return held

    def _is_full(self) -> bool:
        """Return whether no further request may be read at the moment."""
        if len(self._queue) >= self._server.max_pipelined:
            return True
        return bool(self._queue) and not self._queue[-1].handler_started

    def _receive(self, event: h11.Request) -> None:
        self.setTimeout(None)
        # h11 limits the size of a head only while it is incomplete.
        if head_bytes(event) > self._server.max_header_bytes:
            raise h11.RemoteProtocolError("head too large", error_status_hint=431)
        req = ServerRequest(self, self._parser, event)
        if self._server.clock is not None:
            req.received_at = self._server.clock()
        self._queue.append(req)
        self._receiving = req
        if not req.has_body:
            self._parser.next_event()  # the end of a message without a body
            self._end_body(req)
        self._start_handler(req)

    def _end_body(self, req: ServerRequest) -> None:
        self._deliver_body()
        if self._discarding:
            return  # the request was rejected for its size
        self._receiving = None
        self._replace_parser()
        req.finish_body()
        self._pop_completed()

    def _replace_parser(self) -> None:
        """Make a parser for the next request, with the unparsed bytes."""
        if self._parser.their_state is not h11.DONE:
            self._no_more_requests = True
            return
        rest, closed = self._parser.trailing_data
        self._parser = self._make_parser()
        if rest:
            self._parser.receive_data(rest)
        if closed:
            self._parser.receive_data(b"")

    def _start_handler(self, req: ServerRequest) -> None:
        """Call the handler, unless the request must wait for earlier ones."""
        if req.handler_started or (
            req is not self._queue[0] and req.method not in SAFE_METHODS
        ):
            return
        req.handler_started = True
        try:
            self._server.handler(req)
        except Exception:
            logger.exception("unexpected error in a request handler")
            if not req.answered:
                req.respond(500, [(b"Error-Kind", b"INTERNAL_ERROR")], b"")

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue and not self._discarding:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._parser.send(response))

    def _set_reading(self, reading: bool) -> None:
        if reading != self._reading:
            self._reading = reading
            if reading:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def _reject(self, exc: h11.RemoteProtocolError) -> None:
        """Close the connection after a malformed request.

        An error response is sent, unless the response to this request has
        begun or earlier responses are not complete, which it may not overtake.
        """
        is_first = not self._queue or self._queue[0] is self._receiving
        if is_first and self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            # A request whose body is malformed may already have been
            # dispatched.
            outcome = b"did-not-run" if self._receiving is None else b"unknown"
            headers = [
                (b"Error-Kind", b"BAD_REQUEST"),
                (b"Request-Outcome", outcome),
                (b"Content-Length", b"0"),
                (b"Connection", b"close"),
            ]
            status = exc.error_status_hint or 400
            head = h11.Response(status_code=status, headers=headers)
            self.transport.write(self._parser.send(head))
        self._discarding = True
        self.transport.loseConnection()

    # Responses.

    def _close_after(self, req: ServerRequest) -> bool:
        """Return whether the connection closes after this response."""
        if not req.fully_received:
            return True
        # Requests that were read after this one still get their responses.
        return self._server.draining and req is self._queue[-1]

    def _encode_head(self, req: ServerRequest, status: int, headers: Headers) -> bytes:
        if self._close_after(req):
            headers = [*headers, (b"Connection", b"close")]
            self._no_more_requests = True
        head: bytes = req.h11.send(h11.Response(status_code=status, headers=headers))
        return head

    def _write_or_queue(self, req: ServerRequest, data: bytes) -> None:
        if self._queue and req is self._queue[0]:
            self.transport.write(data)
        else:
            req.pending_output += data

    def send_whole(
        self, req: ServerRequest, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send head and body in one write."""
        message = self._encode_head(req, status, headers)
        if body and req.method != "HEAD":
            message += req.h11.send(h11.Data(data=body))
        message += req.h11.send(h11.EndOfMessage())
        if req is self._queue[0]:
            write_now(self.transport, message)
        else:
            req.pending_output += message
        self._finish(req)

    def send_head(self, req: ServerRequest, status: int, headers: Headers) -> None:
        """Send the head and start flow control of the body."""
        self._write_or_queue(req, self._encode_head(req, status, headers))
        if req is self._queue[0]:
            self._register_producer(req)
        else:
            req.pauseProducing()  # resumes when the earlier responses are sent

    def send_data(self, req: ServerRequest, data: bytes) -> None:
        """Send a part of the body."""
        self._write_or_queue(req, req.h11.send(h11.Data(data=data)))

    def end_response(self, req: ServerRequest) -> None:
        """Send the end of a streamed body."""
        try:
            end = req.h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # Fewer bytes were sent than announced. Only a reset of the
            # connection tells the caller that the response is incomplete.
            self.abort()
            return
        if req is self._queue[0]:
            self.transport.unregisterProducer()
        self._write_or_queue(req, end)
        self._finish(req)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    def break_off(self, req: ServerRequest) -> None:
        """End the connection at a response that stays incomplete.

        The responses before it are sent first, and those after it never are.
        """
        if not self._queue or req is self._queue[0] or req not in self._queue:
            self.abort()
            return
        self._no_more_requests = True
        req.is_broken = True
        req.pending_output.clear()
        while self._queue[-1] is not req:
            behind = self._queue.pop()
            if behind is self._receiving:
                self._receiving = None
            behind.mark_closed()

    def _finish(self, req: ServerRequest) -> None:
        req.finished = True
        if not req.fully_received and req is self._queue[0]:
            self._discard_rest()
        else:
            self._pop_completed()

    def _pop_completed(self) -> None:
        """Remove completed requests and send the next response."""
        while self._queue and self._queue[0].finished:
            req = self._queue[0]
            if not req.fully_received:
                if self._receiving is req and req.answered:
                    self._discard_rest()
                return
            self._queue.popleft()
            if req.h11.our_state is h11.MUST_CLOSE:
                self._discard_rest()
                return
            self._send_next()
        if not self._queue and self.timeOut is None:
            self.setTimeout(self._server.idle_timeout_s)
        self.parse_available()

    def _send_next(self) -> None:
        """Start the first request in the queue and send its queued output."""
        if not self._queue:
            return
        req = self._queue[0]
        if req.is_broken:
            self._discard_rest()
            return
        self._start_handler(req)
        if not self._queue or req is not self._queue[0] or not req.pending_output:
            return
        data = bytes(req.pending_output)
        req.pending_output.clear()
        write_now(self.transport, data)
        if req.streaming and not req.finished:
            self._register_producer(req)
            req.resumeProducing()

    def _register_producer(self, req: ServerRequest) -> None:
        self.end_output_watch()
        self.transport.registerProducer(req, True)

    def _discard_rest(self) -> None:
        """Close the output; drop the input for up to `DISCARD_TIMEOUT_S`."""
        self._discarding = True
        self._receiving = None
        self._body.clear()
        queue, self._queue = self._queue, deque()
        for req in queue:
            req.mark_closed()
        self._set_reading(True)
        self.transport.loseWriteConnection()
        self.setTimeout(DISCARD_TIMEOUT_S)


class _OutputWatch:
    """Pull producer that resumes the parsing of a connection."""

    __slots__ = ("_conn",)

    def __init__(self, conn: HttpServerProtocol) -> None:
        self._conn = conn

    def resumeProducing(self) -> None:
        if unsent_bytes(self._conn.transport) == 0:
            self._conn.resume_after_output()

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost."""


def head_bytes(event: h11.Request) -> int:
    """Return the approximate size of the head of a request in bytes."""
    headers_size = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return headers_size + len(event.method) + len(event.target) + 12
