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

from .scene import make_book


def test_observations_come_back_as_they_were() -> None:
    recent = Observations()
    recent.note(Observation(1, 2, 3))
    recent.note(Observation(2**32 - 1, 0, None))
    back = [
        (o.upstream_fingerprint, o.object_fingerprint, o.load)
        for o in decode(recent.take())
    ]
    assert back == [(1, 2, 3), (2**32 - 1, 0, None)]
    assert recent.take() == b""


def test_a_heartbeat_stays_small_under_load() -> None:
    """Guards heartbeats against datagrams that grow with the load."""
    recent = Observations()
    for number in range(10_000):
        recent.note(Observation(number, number, 1000))
    data = recent.take()
    assert len(data) <= 9 * MAX_SHARED
    assert next(item.load for item in decode(data)) == 254


def test_a_part_of_an_observation_and_unknown_upstreams_are_ignored() -> None:
    book = make_book(2)
    learned = Learned(book)
    upstream = next(iter(book.all()))
    learned.note_answer(upstream, fingerprint("1"), 2)
    data = learned.take_observed()
    learned.merge(9.0, b"\0" * 9 + data + b"\1\2", [], 1.0)
    assert upstream.knows(fingerprint("1"))
    assert not upstream.knows(fingerprint("2"))
