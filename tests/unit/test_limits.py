"""Tests for the limits on requests in flight at upstreams and in regions."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from hypothesis import given, strategies as st
from result import Err, Ok

from samphirebend.errorcodes import ErrorKind
from samphirebend.limits import Limits, Slot
from samphirebend.shards import assign_upstreams
from samphirebend.slotusage import SlotUsage

from .small_manifest import make_manifest

ALL = frozenset({"a", "b", "c"})


def make_limits(held: frozenset[str] = ALL, cap: int = 40) -> Limits:
    limits = Limits()
    limits.apply(1, make_manifest({"north": sorted(ALL)}, cap=cap), 0.0)
    limits.set_held(held, 0.0)
    limits.activate(1)
    return limits


def test_reserve_names_the_limit_that_is_reached() -> None:
    """Guards against more requests than slots, cap or lease allow."""
    limits = make_limits(cap=4)
    slots = [limits.reserve("read-north-0", 0.0) for _ in range(4)]
    assert [isinstance(slot, Ok) for slot in slots] == [True, True, True, False]
    assert slots[3] == Err(ErrorKind.CAP_REACHED)
    assert isinstance(limits.reserve("read-north-1", 0.0), Ok)
    assert limits.reserve("read-north-1", 0.0) == Err(ErrorKind.REGION_CAP_REACHED)
    assert limits.free("read") == 0
    first = slots[0].unwrap()
    limits.release(first)
    limits.release(first)
    assert limits.free("read") == 1
    limits.set_held(frozenset(), 1.0)
    assert limits.reserve("read-north-1", 1.0) == Err(ErrorKind.LEASE_LAPSED)
    assert limits.reserve("nothing", 1.0) == Err(ErrorKind.NO_UPSTREAM)
    assert Limits().reserve("nothing", 1.0) == Err(ErrorKind.NO_MANIFEST)


def test_takeover_waits_for_the_former_holders_requests() -> None:
    """Guards against a slot that the former and the new holder use at once."""
    limits = make_limits()
    shard = assign_upstreams(make_manifest({"north": sorted(ALL)}))["read-north-0"]
    limits.record_takeover(shard, 10.0)
    limits.set_held(ALL, 10.0)
    assert limits.reserve("read-north-0", 10.9) == Err(ErrorKind.LEASE_LAPSED)
    assert limits.reserve_connection("read-north-0") == Err(ErrorKind.LEASE_LAPSED)
    assert isinstance(limits.reserve("read-north-0", 11.1), Ok)


def test_connections_are_limited_per_upstream() -> None:
    """Guards against more connections than the limit of an upstream.

    The whole limit belongs to the upstream's shard.
    """
    limits = make_limits()
    taken = [limits.reserve_connection("read-north-0") for _ in range(31)]
    assert taken[29] == Ok(None)
    assert taken[30] == Err(ErrorKind.CAP_REACHED)
    limits.release_connection("read-north-0")
    assert limits.reserve_connection("read-north-0") == Ok(None)


@given(st.integers(0, 2**32), st.sampled_from([1, 3]), st.sampled_from([12, 40]))
def test_hosts_together_never_exceed_a_limit(seed: int, slots: int, cap: int) -> None:
    """Guards against exceeded limits during a manifest change.

    Three hosts apply versions at different times. All of them together must
    keep to the slots of each upstream and to the cap: a reduction applies at
    once, and an increase only when no host exceeds its new limits.
    """
    rng = random.Random(seed)
    names = sorted(ALL)
    # Version 2 moves all upstreams between shards; version 3 moves them back.
    first = make_manifest({"north": names}, cap=cap, slots=slots)
    second = make_manifest({"north": names[1:]}, cap=cap, slots=slots)
    manifests = {1: first, 2: second, 3: first}
    hosts = {name: Limits() for name in names}
    applied = dict.fromkeys(names, 1)
    for name, limits in hosts.items():
        limits.apply(1, first, 0.0)
        limits.set_held(frozenset({name}), 0.0)
        limits.activate(1)
    open_slots: dict[str, list[Slot]] = {name: [] for name in names}
    for step in range(150):
        name = rng.choice(names)
        limits = hosts[name]
        if step > 30 and rng.random() < 0.1 and applied[name] < 3:
            skips = rng.random() < 0.2
            applied[name] = 3 if skips else applied[name] + 1
            limits.apply(applied[name], manifests[applied[name]], 0.0)
        if all(h.drained_version() == applied[name] for h in hosts.values()):
            limits.activate(applied[name])
        if rng.random() < 0.4 and open_slots[name]:
            limits.release(open_slots[name].pop())
        got = limits.reserve(rng.choice(list(first.upstreams)), 0.0)
        if isinstance(got, Ok):
            open_slots[name].append(got.ok_value)
        used = [slot.upstream for taken in open_slots.values() for slot in taken]
        assert len(used) <= cap
        assert all(used.count(upstream) <= slots for upstream in set(used))


@given(st.integers(0, 2**32))
def test_slot_usages_follow_every_change(seed: int) -> None:
    """Guards against slot usages cached across a change of versions or shards.

    Compares limits that were queried after each change with fresh ones that
    had the same changes but were not queried before.
    """
    rng = random.Random(seed)
    names = sorted(ALL)
    hosts = [names, names[1:], names[:2]]
    manifests = [make_manifest({"north": each}, slots=3) for each in hosts]
    queried, now = Limits(), 0.0
    changes: list[Callable[[Limits], object]] = []
    for _ in range(20):
        now += rng.choice([0.1, 0.6])
        version = rng.randrange(3)
        held = ALL if rng.random() < 0.5 else frozenset(rng.sample(names, 2))
        change = rng.choice(
            [
                partial(Limits.apply, version=version + 1, now=now),
                partial(Limits.activate, version=version + 1),
                partial(Limits.set_held, shards=held, now=now),
                partial(Limits.record_takeover, shard=rng.choice(names), now=now),
            ]
        )
        if change.func is Limits.apply:
            change = partial(change, manifest=manifests[version])
        changes.append(change)
        change(queried)
        fresh = Limits()
        for each in changes:
            each(fresh)
        for service in ("read", "write"):
            assert as_tuples(queried.slot_usages(service)) == as_tuples(
                fresh.slot_usages(service)
            )
            assert queried.free(service) == fresh.free(service)


def as_tuples(slot_usages: list[SlotUsage]) -> list[tuple[str, int, int]]:
    return [(usage.upstream, usage.in_flight, usage.limit) for usage in slot_usages]
