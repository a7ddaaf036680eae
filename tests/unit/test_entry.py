"""Guards against decisions by an outdated manifest in the request path."""

from __future__ import annotations

from typing import Any, cast
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from samphirebend.entry import FRESH_WAIT_S, Entry


class Asked:
    """A request without headers and body, and its answer."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.method = "GET"
        self.header: dict[bytes, bytes] = {}
        self.status = 0
        self.kind = b""

    def text(self, name: bytes) -> None:
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
    make_entry: Any = Entry
    hooks = [lambda _: None, lambda _: None, lambda _, __: 0]
    entry = make_entry("host", clock, *parts, lambda _: fresh, *hooks)
    entry.apply(cast(Any, Mock(services={})))
    asked = Asked(target)
    entry.handle(cast(Any, asked))
    clock.advance(FRESH_WAIT_S / 2)
    assert not asked.status
    assert not lookup.answer.called
    fresh = hears
    clock.pump([FRESH_WAIT_S / 10] * 10)
    assert entry.in_flight == 0
    if not hears:
        assert (asked.status, asked.kind) == (503, b"HOST_ISOLATED")
    elif target.startswith("/v1/lookup"):
        assert lookup.answer.called
    else:
        assert asked.kind == b"UNKNOWN_SERVICE"
