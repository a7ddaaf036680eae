"""Tests for look-up candidates, relay targets and usable upstreams."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given, settings, strategies as st

from samphirebend.job import Job
from samphirebend.ledger import Ledger
from samphirebend.limits import Limits
from samphirebend.links import LinkBudgets
from samphirebend.manifest import Manifest
from samphirebend.membership import Membership
from samphirebend.peerchoice import SETTLING_TIME_S
from samphirebend.router import RELAY_CANDIDATES_TTL_S, Router
from samphirebend.shards import assign_upstreams, link_shares
from samphirebend.upstreamstate import UpstreamStates
from samphirebend.wire import Heartbeat, ServiceLoad

from ..manifests import small_manifest
from .small_manifest import read_data


def make_manifest(
    regions: dict[str, int], blocks: list[Any], delay_ms: int = 1
) -> Manifest:
    data = small_manifest(regions, upstreams=4, delay_ms=delay_ms)
    data["caller_blocks"] = blocks
    return read_data(data)


def make_router(
    manifest: Manifest, live: list[str], membership: Membership | None = None
) -> Router:
    membership = membership or Membership("a-0")
    for name in live:
        membership.record_heartbeat(Heartbeat(name, 7, 1), 0.0)
    router = Router(
        "a-0",
        "a",
        membership,
        Limits(),
        UpstreamStates("a"),
        LinkBudgets("a", link_shares),
        Ledger("a-0", 1, 0.0),
        lambda: 0.0,
        random.Random(1),
    )
    router.apply(manifest)
    return router


def candidate_hosts(router: Router, region: str, now: float = 0.0) -> list[str]:
    return [option.host for option in router.lookup_candidates("read", region, now)]


def test_hosts_of_the_region_come_first_and_fill_the_answer() -> None:
    # Callers must not be sent over a link while their own region has live
    # hosts.
    manifest = make_manifest({"a": 2, "b": 6}, [])
    router = make_router(manifest, [f"b-{i}" for i in range(6)])
    order = candidate_hosts(router, "b")
    assert len(order) == 4
    assert all(name.startswith("b") for name in order)
    order = candidate_hosts(router, "a")
    assert order[0] == "a-0"  # a-1 is not live
    assert len(order) == 4
    assert all(name.startswith("b") for name in order[1:])


def test_silent_hosts_are_not_returned() -> None:
    # Hosts that were not heard recently may be down.
    router = make_router(make_manifest({"a": 2, "b": 2}, []), ["a-1", "b-0", "b-1"])
    assert set(candidate_hosts(router, "a", 1.0)) == {"a-0", "a-1", "b-0", "b-1"}
    assert candidate_hosts(router, "a", 2.0) == ["a-0"]


@pytest.mark.parametrize(
    ("ip", "region"), [("10.1.2.3", "b"), ("10.2.0.1", "a"), ("not-an-ip", "a")]
)
def test_region_of_caller(ip: str, region: str) -> None:
    # Callers in a configured block of another region must not count as local.
    blocks = [{"prefix": "10.1.0.0/16", "region": "b"}]
    router = make_router(make_manifest({"a": 1, "b": 1}, blocks), [])
    assert router.region_of_caller(ip) == region


@given(st.sets(st.sampled_from(["a-0", "a-1", "b-0", "b-1", "gone"])))
@settings(derandomize=True, deadline=None)
def test_only_upstreams_of_held_shards_are_usable(held: set[str]) -> None:
    # The cache of usable upstreams must neither omit nor add one.
    manifest = make_manifest({"a": 2, "b": 2}, [])
    limits = Limits()
    limits.apply(1, manifest, 0.0)
    limits.activate(1)
    limits.set_held(frozenset(held), 0.0)
    shards = assign_upstreams(manifest)
    for service in manifest.services.values():
        names = {usage.upstream for usage in limits.slot_usages(service.name)}
        assert names == {u.name for u in service.upstreams if shards[u.name] in held}
    limits.set_held(frozenset(), 0.0)
    assert limits.slot_usages("read") == []


def test_relay_targets_follow_the_heartbeats() -> None:
    # Relays must not go to a host that was tried, is stopping or was removed.
    manifest = make_manifest({"a": 2}, [])
    membership = Membership("a-0")
    router = make_router(manifest, [], membership)
    job: Any = SimpleNamespace(
        service=manifest.services["read"],
        size_hint=0,
        body=b"",
        tried=set(),
        overflow=True,
        avoid_far_relays=False,
    )
    again: Any = SimpleNamespace(**{**vars(job), "tried": {"a-1"}})
    heartbeat = Heartbeat("a-1", 7, 1)
    heartbeat.loads = [ServiceLoad("read", 12, 12, 12)]
    membership.record_heartbeat(heartbeat, 0.0)
    assert router.peer_for(job, 0, 0.0) == "a-1"
    assert router.peer_for(again, 0, 0.0) is None
    assert router.peer_for(job, 0, 0.001) == "a-1"
    heartbeat.sequence, heartbeat.stopping = 2, True
    membership.record_heartbeat(heartbeat, 0.002)
    assert router.peer_for(job, 0, 0.002 + RELAY_CANDIDATES_TTL_S) is None
    heartbeat.sequence, heartbeat.stopping = 3, False
    membership.record_heartbeat(heartbeat, 0.1)
    assert router.peer_for(job, 0, 0.1) == "a-1"
    router.apply(make_manifest({"a": 1}, []))
    assert router.peer_for(job, 0, 0.1) is None


def test_request_is_relayed_over_a_long_link_only_once() -> None:
    # A second long relay would double the time until the caller is refused.
    manifest = make_manifest({"a": 2, "b": 2}, [], delay_ms=35)
    membership = Membership("a-0")
    router = make_router(manifest, [], membership)
    router._budgets.apply(manifest, frozenset({"a-0"}), 0.0)
    for name in ("a-1", "b-0", "b-1"):
        heartbeat = Heartbeat(name, 7, 2)
        heartbeat.loads = [ServiceLoad("read", 9, 9, 9)]
        membership.record_heartbeat(heartbeat, 0.0)
    for since_s in (4 * SETTLING_TIME_S, 2 * SETTLING_TIME_S):
        router._relay_histories[True].record_overflow("read", -since_s)
    job = Job(Mock(headers=[]), manifest.services["read"], "/", "id", 2.0)
    job.body, job.tried, job.overflow = b"", {"a-1"}, True
    far = router.peer_for(job, 0, 0.0)
    assert far in ("b-0", "b-1")
    router.record_relay_result(job, manifest.hosts[far], False, 0)
    job.tried = {far, "a-1"}
    assert router.peer_for(job, 0, 1.1) is None
    job.tried = {far}
    assert router.peer_for(job, 0, 0.0) == "a-1"


def test_reservation_applies_only_to_overflow_of_other_regions() -> None:
    # The reservation must refuse only requests of full regions. A region with
    # free slots takes its requests back if they are refused.
    manifest = make_manifest({"a": 1, "b": 1}, [])
    router = make_router(manifest, [])

    def relayed(**headers: bytes) -> Any:
        names = {name.replace("_", "-"): text for name, text in headers.items()}
        return SimpleNamespace(
            header_text=lambda name: (names.get(name.decode()) or b"").decode() or None,
            peer_ip="127.0.0.1",
        )

    assert router.is_overflow(relayed(relay_host=b"b-0", relay_overflow=b"1"))
    assert not router.is_overflow(relayed(relay_host=b"b-0"))
    assert not router.is_overflow(relayed(relay_host=b"a-0", relay_overflow=b"1"))
