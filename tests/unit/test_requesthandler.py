"""Tests waits for a newer manifest and for the host that owns a key."""

from __future__ import annotations

from typing import Any, cast
from unittest.mock import Mock

import pytest
from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.errorcodes import ErrorKind
from samphirebend.membership import Membership
from samphirebend.requesthandler import (
    EXECUTOR_WAIT_S,
    FRESHNESS_WAIT_S,
    RequestHandler,
)
from samphirebend.wire import HeartbeatReply

KEY = "owner.0000000000000007.1." + "ab" * 16


class FakeRequest:
    """A request without headers and body; records the response."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.method = "GET"
        self.header: dict[bytes, bytes] = {}
        self.status = 0
        self.kind = b""

    def header_text(self, name: bytes) -> None:
        return None

    def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.status = status
        self.kind = dict(headers).get(b"Error-Kind", b"")


@pytest.mark.parametrize("target", ["/v1/services/added/a", "/v1/lookup?service=added"])
@pytest.mark.parametrize("becomes_fresh", [True, False])
def test_no_response_before_the_manifest_is_fresh(
    target: str, becomes_fresh: bool
) -> None:
    """Guards against "unknown service" for one that a newer manifest adds.

    After a limited wait, the request is refused as HOST_ISOLATED instead.
    """
    clock = Clock()
    fresh = False
    lookup = Mock()
    collaborators: list[Any] = [Mock(), Mock(), Mock(), lookup, Mock(), Mock()]
    make_handler: Any = RequestHandler
    callbacks = [lambda _: None, lambda _: None, lambda _, __: 0]
    handler = make_handler("host", clock, *collaborators, lambda _: fresh, *callbacks)
    handler.apply(cast(Any, Mock(services={})))
    req = FakeRequest(target)
    handler.handle(cast(Any, req))
    clock.advance(FRESHNESS_WAIT_S / 2)
    assert not req.status
    assert not lookup.respond.called
    fresh = becomes_fresh
    clock.pump([FRESHNESS_WAIT_S / 10] * 10)
    assert handler.in_flight == 0
    if not becomes_fresh:
        assert (req.status, req.kind) == (503, b"HOST_ISOLATED")
    elif target.startswith("/v1/lookup"):
        assert lookup.respond.called
    else:
        assert req.kind == b"UNKNOWN_SERVICE"


class FakeKeyedRequest(FakeRequest):
    """A request that is repeated with its key; records the response."""

    def __init__(self) -> None:
        super().__init__("/v1/services/write/a")
        self.method = "POST"
        self.header = {b"idempotency-key": KEY.encode()}
        self.headers: list[tuple[bytes, bytes]] = []
        self.content_length = None
        self.has_body = False
        self.answered = False

    def header_text(self, name: bytes) -> Any:
        value = self.header.get(name)
        return None if value is None else value.decode()


class FakeRelayClient:
    """Records the hosts to which it relays."""

    def __init__(self) -> None:
        self.sent_to: list[str] = []

    async def send(self, job: Any, host: Any, mode: Any) -> Any:
        self.sent_to.append(host.name)
        return Err(ErrorKind.UPSTREAM_TIMEOUT)


class RepeatAtOtherHost:
    """A repeated request at a host that does not own its key.

    `hosts` are the names of the hosts in the manifest.
    """

    def __init__(self, hosts: list[str]) -> None:
        self.clock = Clock()
        self.relay = FakeRelayClient()
        self.membership = Membership("here")
        service = Mock(idempotent=False, timeout_s=5.0, max_body_bytes=0)
        service.name = "write"
        manifest = Mock(services={"write": service}, hosts={})
        for name in hosts:
            manifest.hosts[name] = Mock()
            manifest.hosts[name].name = name
        ledger = Mock()
        ledger.owns.return_value = False
        make_handler: Any = RequestHandler
        collaborators: list[Any] = [
            Mock(),
            self.relay,
            ledger,
            Mock(),
            self.membership,
            Mock(),
        ]
        callbacks = [lambda _: None, lambda _: None, lambda _, __: 0]
        handler = make_handler(
            "here", self.clock, *collaborators, lambda _: True, *callbacks
        )
        handler.apply(manifest)
        self.req = FakeKeyedRequest()
        handler.handle(self.req)

    def receive_reply(self, incarnation: int) -> None:
        """Receive a heartbeat reply from an incarnation of the owner."""
        reply = HeartbeatReply("owner", incarnation, 1)
        self.membership.record_reply(reply, self.clock.seconds())


def test_repeat_waits_for_an_owner_that_was_not_heard_yet() -> None:
    """Guards against the outcome "unknown" at a host that has just started.

    The host relays the repeat once it receives the owner's first heartbeat.
    """
    repeat = RepeatAtOtherHost(["owner"])
    repeat.clock.advance(EXECUTOR_WAIT_S / 2)
    assert not repeat.req.status
    repeat.receive_reply(incarnation=7)
    repeat.clock.advance(0.1)
    assert repeat.relay.sent_to == ["owner"]


def test_repeat_for_a_silent_owner_is_refused_in_bounded_time() -> None:
    """Guards callers against an endless wait for an owner that is down."""
    repeat = RepeatAtOtherHost(["owner"])
    repeat.clock.pump([EXECUTOR_WAIT_S / 10] * 11)
    assert (repeat.req.status, repeat.req.kind) == (502, b"EXECUTOR_GONE")
    assert not repeat.relay.sent_to


def test_repeat_for_an_unknown_owner_is_refused_at_once() -> None:
    """Guards against open requests that wait for the owner of a forged key."""
    repeat = RepeatAtOtherHost([])
    assert repeat.req.kind == b"EXECUTOR_GONE"


def test_repeat_for_a_replaced_owner_is_refused_at_once() -> None:
    """Guards callers against a wait for a process that has ended."""
    repeat = RepeatAtOtherHost(["owner"])
    repeat.receive_reply(incarnation=7)
    repeat.receive_reply(incarnation=8)
    repeat.clock.advance(0.1)
    assert repeat.req.status


@pytest.mark.parametrize("is_paced", [False, True])
def test_body_that_does_not_end_is_refused_at_the_deadline(is_paced: bool) -> None:
    """Guards against callers, and memory, kept for a body that stops."""
    clock = Clock()
    service = Mock(idempotent=False, timeout_s=5.0, max_body_bytes=100)
    service.name = "write"
    pacer = Mock() if is_paced else None
    callbacks = [lambda _: pacer, lambda _: pacer, lambda _, __: 0]
    make_handler: Any = RequestHandler
    collaborators = [Mock(), Mock(), Mock(), Mock(), Mock(), Mock()]
    handler = make_handler("here", clock, *collaborators, lambda _: True, *callbacks)
    handler.apply(cast(Any, Mock(services={"write": service}, hosts={})))
    req: Any = FakeKeyedRequest()
    req.has_body, req.content_length = True, 10
    req.read_all = lambda *_args: Deferred()
    handler.handle(req)
    clock.advance(4.9)
    assert not req.status
    clock.advance(0.2)
    assert (req.status, req.kind) == (504, b"DEADLINE_PASSED")
    assert handler.in_flight == 0
