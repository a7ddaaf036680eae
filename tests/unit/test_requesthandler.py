"""Guards the request path against decisions on too little news of its cluster."""

from __future__ import annotations

from typing import Any, cast
from unittest.mock import Mock

import pytest
from result import Err
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


class Asked:
    """A request without headers and body, and its answer."""

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
@pytest.mark.parametrize("hears", [True, False])
def test_no_decision_before_the_manifest_is_fresh(target: str, hears: bool) -> None:
    clock = Clock()
    fresh = False
    lookup = Mock()
    parts: list[Any] = [Mock(), Mock(), Mock(), lookup, Mock(), Mock()]
    make_handler: Any = RequestHandler
    hooks = [lambda _: None, lambda _: None, lambda _, __: 0]
    entry = make_handler("host", clock, *parts, lambda _: fresh, *hooks)
    entry.apply(cast(Any, Mock(services={})))
    asked = Asked(target)
    entry.handle(cast(Any, asked))
    clock.advance(FRESHNESS_WAIT_S / 2)
    assert not asked.status
    assert not lookup.answer.called
    fresh = hears
    clock.pump([FRESHNESS_WAIT_S / 10] * 10)
    assert entry.in_flight == 0
    if not hears:
        assert (asked.status, asked.kind) == (503, b"HOST_ISOLATED")
    elif target.startswith("/v1/lookup"):
        assert lookup.answer.called
    else:
        assert asked.kind == b"UNKNOWN_SERVICE"


class AskedAgain(Asked):
    """A repeat of a keyed request without a body."""

    def __init__(self) -> None:
        super().__init__("/v1/services/write/a")
        self.method = "POST"
        self.header = {b"idempotency-key": KEY.encode()}
        self.headers: list[tuple[bytes, bytes]] = []
        self.content_length = None
        self.has_body = False
        self.response_started = False

    def header_text(self, name: bytes) -> Any:
        value = self.header.get(name)
        return None if value is None else value.decode()


class RelayStandIn:
    """Keeps the names of the hosts that requests are relayed to."""

    def __init__(self) -> None:
        self.sent_to: list[str] = []

    async def send(self, job: Any, host: Any, mode: Any) -> Any:
        self.sent_to.append(host.name)
        return Err(ErrorKind.UPSTREAM_TIMEOUT)


class Repeated:
    """An entry that gets a repeat of a request which another host owns."""

    def __init__(self, hosts: list[str]) -> None:
        self.clock = Clock()
        self.relay = RelayStandIn()
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
        parts: list[Any] = [Mock(), self.relay, ledger, Mock(), self.membership, Mock()]
        hooks = [lambda _: None, lambda _: None, lambda _, __: 0]
        entry = make_handler("here", self.clock, *parts, lambda _: True, *hooks)
        entry.apply(manifest)
        self.asked = AskedAgain()
        entry.handle(self.asked)

    def hear(self, incarnation: int) -> None:
        """Hear an incarnation of the owner."""
        reply = HeartbeatReply("owner", incarnation, 1)
        self.membership.note_reply(reply, self.clock.seconds())


def test_repeat_waits_for_an_owner_that_was_not_heard_yet() -> None:
    """Guards a repeat at a host that has just started against an unknown outcome."""
    repeated = Repeated(["owner"])
    repeated.clock.advance(EXECUTOR_WAIT_S / 2)
    assert not repeated.asked.status
    repeated.hear(incarnation=7)
    repeated.clock.advance(0.1)
    assert repeated.relay.sent_to == ["owner"]


def test_repeat_for_a_silent_owner_is_answered_in_bounded_time() -> None:
    repeated = Repeated(["owner"])
    repeated.clock.pump([EXECUTOR_WAIT_S / 10] * 11)
    assert (repeated.asked.status, repeated.asked.kind) == (502, b"EXECUTOR_GONE")
    assert not repeated.relay.sent_to


def test_repeat_for_an_unknown_owner_is_answered_at_once() -> None:
    """Guards against made-up keys that would hold requests open."""
    repeated = Repeated([])
    assert repeated.asked.kind == b"EXECUTOR_GONE"


def test_repeat_for_a_replaced_owner_is_answered_at_once() -> None:
    repeated = Repeated(["owner"])
    repeated.hear(incarnation=7)
    repeated.hear(incarnation=8)
    repeated.clock.advance(0.1)
    assert repeated.asked.status
