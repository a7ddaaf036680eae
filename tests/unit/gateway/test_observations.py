"""Observations between hosts: bounded, compact, and harmless when damaged."""

from __future__ import annotations

from samphirebend.gateway.learned import Learned
from samphirebend.gateway.observations import (
    MAX_SHARED,
    Observation,
    Observations,
    decode,
    fingerprint,
)
from samphirebend.gateway.upstreams import Health

from .scene import make_book


def test_observations_come_back_as_they_were() -> None:
    recent = Observations()
    recent.note(Observation(1, 2, 3))
    recent.note(Observation(2**32 - 1, 0, None))
    recent.note(Observation(5, 0, None, failed=True))
    back = [
        (o.upstream_fingerprint, o.object_fingerprint, o.load, o.failed)
        for o in decode(recent.take())
    ]
    assert back == [
        (1, 2, 3, False),
        (2**32 - 1, 0, None, False),
        (5, 0, None, True),
    ]
    assert recent.take() == b""


def test_a_heartbeat_stays_small_under_load() -> None:
    """Guards heartbeats against datagrams that grow with the load."""
    recent = Observations()
    for number in range(10_000):
        recent.note(Observation(number, number, 1000))
    data = recent.take()
    assert len(data) <= 9 * MAX_SHARED
    assert next(item.load for item in decode(data)) == 253


def test_a_part_of_an_observation_and_unknown_upstreams_are_ignored() -> None:
    book = make_book(2)
    learned = Learned(book)
    upstream = next(iter(book.all()))
    learned.note_answer(upstream, fingerprint("1"), 2)
    data = learned.take_observed()
    learned.merge(9.0, b"\0" * 9 + data + b"\1\2", [], 1.0)
    assert upstream.knows(fingerprint("1"))
    assert not upstream.knows(fingerprint("2"))


def test_failures_at_other_hosts_make_an_upstream_doubtful() -> None:
    book = make_book(3)
    first, *_ = book.all()
    here, there = Learned(book), Learned(make_book(3))
    for _ in range(6):
        there.note_failure(first, 1.0)
    first.faulty = 0.0  # as if only the other host had seen them
    here.merge(9.0, there.take_observed(), [], 1.5)
    assert first.health(book.norm("s", 1.5), 1.5) is Health.DOUBTFUL


def test_an_own_answer_outweighs_failures_at_other_hosts() -> None:
    """Guards hosts that reach an upstream against those that are cut off from it."""
    book = make_book(3)
    first, *_ = book.all()
    for _ in range(20):
        first.note_shared_failure(0.5)
    first.note_answer(0.3, 1, False, 1.0)
    norm = book.norm("s", 1.5)
    assert first.health(norm, 1.5) is Health.GOOD
    assert first.health(norm, 9.0) is Health.DOUBTFUL
