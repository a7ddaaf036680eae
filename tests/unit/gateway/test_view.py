"""Guards the use of news: newest configuration, lapsed entries, taken-back zones."""

from __future__ import annotations

from samphirebend.gateway.book import UpstreamBook
from samphirebend.gateway.config import Config, RequestKind, Route, ServicePolicy
from samphirebend.gateway.news import (
    ConfigNews,
    EvacuationNews,
    UnreadableNews,
    UpstreamGone,
    UpstreamNews,
)
from samphirebend.gateway.observations import fingerprint
from samphirebend.gateway.view import LAPSE_HOLD_S, View

from .scene import REGIONS, make_entry, make_placement


def make_view() -> View:
    book = UpstreamBook(REGIONS)
    return View(book, make_placement(book))


def make_config(version: int, prefix: str) -> Config:
    config = Config(version)
    config.routes.append(Route("r", "h", prefix, RequestKind.IDEMPOTENT))
    policy = ServicePolicy("s")
    policy.cold_s, policy.cold_per_s = 3.0, 2.0
    config.services["s"] = policy
    return config


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    view = make_view()
    view.apply(ConfigNews(make_config(5, "/new/")), 0.0)
    view.apply(ConfigNews(make_config(4, "/old/")), 1.0)
    assert view.routes is not None
    assert view.routes.match("h", "/new/x") is not None
    assert view.routes.match("h", "/old/x") is None


def test_a_row_that_cannot_be_read_leaves_the_others_in_force() -> None:
    view = make_view()
    view.apply(ConfigNews(make_config(5, "/new/")), 0.0)
    view.apply(UnreadableNews("op/config", "config.version: missing"), 1.0)
    assert view.config is not None
    assert view.config.version == 5


def test_a_removed_upstream_gets_nothing_more() -> None:
    view = make_view()
    view.apply(UpstreamNews(make_entry("u1")), 0.0)
    view.apply(UpstreamGone("u1"), 1.0)
    assert view.book.usable("s") == []


def test_entries_that_vanish_around_an_outage_are_held_for_a_while() -> None:
    # Live upstreams write their entries again within two seconds of the return.
    view = make_view()
    for name in ("u1", "u2"):
        view.apply(UpstreamNews(make_entry(name)), 0.0)
    view.store_disturbed_until = 20.0
    view.apply(UpstreamGone("u1"), 10.0)
    view.apply(UpstreamGone("u2"), 10.0)
    assert len(view.book.usable("s")) == 2
    view.apply(UpstreamNews(make_entry("u1")), 11.0)
    view.expire_held(10.0 + LAPSE_HOLD_S)
    assert [item.name for item in view.book.usable("s")] == ["u1"]


def test_a_failure_domain_that_is_taken_back_counts_as_cold() -> None:
    view = make_view()
    view.apply(ConfigNews(make_config(5, "/new/")), 0.0)
    view.apply(UpstreamNews(make_entry("u1", "a1")), 0.0)
    view.apply(EvacuationNews("a1", True), 1.0)
    assert view.book.usable("s") == []
    view.apply(EvacuationNews("a1", False), 5.0)
    (upstream,) = view.book.usable("s")
    assert upstream.is_cold(7.9)
    assert not upstream.is_cold(8.1)


def test_a_new_start_under_the_same_id_knows_nothing_of_before() -> None:
    view = make_view()
    view.apply(UpstreamNews(make_entry("u1")), 0.0)
    known = view.book.get("u1")
    assert known is not None
    known.note_shared(fingerprint("1"), None)
    assert known.knows(fingerprint("1"))
    again = make_entry("u1")
    again.born_ms = 77
    view.apply(UpstreamNews(again), 5.0)
    started = view.book.get("u1")
    assert started is not None
    assert not started.knows(fingerprint("1"))
