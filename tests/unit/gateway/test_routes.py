"""Tests the choice of a route and the distribution over its services.

Guards against requests that go to the wrong service, and against weights that
hold only on a long average.
"""

from __future__ import annotations

from samphirebend.gateway.config import Backend, Config, RequestKind, Route
from samphirebend.gateway.routes import BackendPicker, RouteTable


def make_table() -> RouteTable:
    config = Config(1)
    for name, prefix in (("long", "/a/b/"), ("short", "/a/")):
        config.routes.append(Route(name, "h", prefix, RequestKind.IDEMPOTENT))
    return RouteTable(config)


def test_longest_prefix_wins_and_ends_at_a_slash() -> None:
    table = make_table()
    for path, name in (("/a/b/c", "long"), ("/a/bc", "short"), ("/a/", "short")):
        route = table.match("h", path)
        assert route is not None
        assert route.name == name
    assert table.match("h", "/b/") is None
    assert table.match("other", "/a/") is None


def test_services_get_their_share_in_every_window() -> None:
    route = Route("r", "h", "/", RequestKind.IDEMPOTENT)
    route.backends = [Backend("a", 90), Backend("b", 10)]
    picker = BackendPicker()
    picked = [picker.pick(route) for _ in range(300)]
    for start in range(0, 300, 50):
        assert picked[start : start + 50].count("b") == 5
