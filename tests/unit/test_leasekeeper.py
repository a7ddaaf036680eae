"""Tests for the lease service, with simulated peers and table."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.leasekeeper import LeaseKeeper
from samphirebend.limits import Limits
from samphirebend.manifest import Manifest
from samphirebend.shards import assign_upstreams
from samphirebend.wire import Heartbeat, HeartbeatReply, decode, encode

from .small_manifest import REGIONS, make_manifest

MANIFEST = make_manifest()
LEASE_S = 3.0


class FakeRow:
    def __init__(self, key: str, revision: int, attributes: dict[str, Any]) -> None:
        self.key, self.revision, self.attributes = key, revision, attributes


class FakeTable:
    """Table with conditional writes, outages and lost responses to writes."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.rows: dict[str, FakeRow] = {}
        self.up = True
        self.loss = 0.0
        self.writes = 0

    async def _pause(self) -> None:
        done: Deferred[None] = Deferred()
        self.cluster.clock.callLater(0.01, done.callback, None)
        await done

    async def get(self, key: str) -> Result[FakeRow | None, str]:
        await self._pause()
        return Ok(self.rows.get(key)) if self.up else Err("UNAVAILABLE")

    async def put(self, row: FakeRow, expected_revision: int) -> Result[None, str]:
        await self._pause()
        stored = self.rows.get(row.key)
        if not self.up:
            return Err("UNAVAILABLE")
        if (stored.revision if stored else 0) != expected_revision:
            return Err("CONFLICT")
        self.rows[row.key] = row
        self.writes += 1
        lost = self.cluster.rng.random() < self.loss
        return Err("UNAVAILABLE") if lost else Ok(None)


class Node:
    """One process with its lease service, limits and a fake peer service."""

    def __init__(self, cluster: SimulatedCluster, host: str, incarnation: int) -> None:
        self.cluster, self.host, self.incarnation = cluster, host, incarnation
        self.frozen = self.stopping = False
        self.handlers: dict[type, Callable[[Any, Any], None]] = {}
        self.heartbeat_fillers: list[Callable[[Heartbeat], None]] = []
        self.heartbeat_listeners: list[Callable[[Heartbeat, float], object]] = []
        self.reply_fillers: list[Callable[..., None]] = []
        self.reply_listeners: list[
            Callable[[HeartbeatReply, float, float], object]
        ] = []
        self.limits = Limits()
        self.limits.apply(1, MANIFEST, 0.0)
        self.keeper = LeaseKeeper(
            host,
            incarnation,
            LEASE_S,
            self,
            cluster.table,
            FakeRow,
            self.limits,
            cluster.clock,
            cluster.clock.seconds,
        )
        self.keeper.apply_manifest(1, MANIFEST)

    def apply(self, version: int, manifest: Manifest) -> None:
        self.limits.apply(version, manifest, self.cluster.clock.seconds())
        self.keeper.apply_manifest(version, manifest)

    def on_message(self, kind: type, handler: Callable[[Any, Any], None]) -> None:
        self.handlers[kind] = handler

    def send(self, host: str, message: Any) -> None:
        def answer(reply: Any) -> None:
            self.cluster.post(host, self.host, lambda node: node.receive(reply, None))

        self.cluster.post(self.host, host, lambda node: node.receive(message, answer))

    def receive(self, message: Any, respond: Any) -> None:
        message = decode(encode(message))
        self.handlers[type(message)](message, respond)

    def send_heartbeats(self) -> None:
        heartbeat = Heartbeat(self.host, self.incarnation, 1)
        heartbeat.stopping = self.stopping
        for fill in self.heartbeat_fillers:
            fill(heartbeat)
        sent_at = self.cluster.clock.seconds()
        for host in self.cluster.nodes:
            if host != self.host:
                self.cluster.post(
                    self.host,
                    host,
                    lambda n: n.handle_heartbeat(heartbeat, self, sent_at),
                )

    def handle_heartbeat(
        self, heartbeat: Heartbeat, sender: Node, sent_at: float
    ) -> None:
        now = self.cluster.clock.seconds
        for listen in self.heartbeat_listeners:
            listen(heartbeat, now())
        reply = HeartbeatReply(self.host, self.incarnation, 1)
        for fill in self.reply_fillers:
            fill(heartbeat, reply, now())

        def receive(node: Node) -> None:
            if node is sender:
                for listen in node.reply_listeners:
                    listen(reply, sent_at, now())

        self.cluster.post(self.host, sender.host, receive)


class SimulatedCluster:
    """Simulation of all hosts of the manifest on one clock."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.table = FakeTable(self)
        self.nodes: dict[str, Node] = {}
        self.down: set[str] = set()
        self.loss = 0.0
        self.incarnations = 0
        for host in MANIFEST.hosts:
            self.start(host)

    def start(self, host: str) -> None:
        if host in self.nodes:
            self.nodes[host].keeper.stop()
        self.incarnations += 1
        self.nodes[host] = Node(self, host, self.incarnations)
        self.nodes[host].keeper.start()
        self.down.discard(host)

    def kill(self, host: str) -> None:
        self.nodes[host].keeper.stop()
        self.down.add(host)

    def post(self, sender: str, host: str, action: Callable[[Node], None]) -> None:
        def arrive() -> None:
            if not {sender, host} & self.down:
                action(self.nodes[host])

        if self.rng.random() >= self.loss:
            self.clock.callLater(0.005 + self.rng.random() * 0.03, arrive)

    def run(self, seconds: float) -> None:
        for step in range(round(seconds * 10)):
            if step % 5 == 0:
                for host, node in self.nodes.items():
                    if host not in self.down:
                        node.send_heartbeats()
            self.clock.advance(0.1)
            self.check()

    def check(self) -> None:
        """Fail if two hosts may dispatch for one shard."""
        shards = [s for host in self.nodes for s in self.held(host)]
        assert len(shards) == len(set(shards)), shards

    def held(self, host: str) -> frozenset[str]:
        if host in self.down:
            return frozenset()
        return self.nodes[host].keeper.held(self.clock.seconds())

    def can_dispatch(self, host: str, shard: str) -> bool:
        """Return whether the host gets a slot at an upstream of the shard."""
        limits = self.nodes[host].limits
        names = (
            name
            for name, held_by in assign_upstreams(MANIFEST).items()
            if held_by == shard
        )
        upstream = next(name for name in names if name.startswith("write"))
        reserved = limits.reserve(upstream, self.clock.seconds())
        if isinstance(reserved, Ok):
            limits.release(reserved.ok_value)
        return reserved.is_ok()

    def all_own(self) -> bool:
        """Return whether each host holds its own shard and no other."""
        return all(self.held(host) == {host} for host in self.nodes)


def test_steady_state_writes_nothing_and_outlives_the_table() -> None:
    """Guards against constant table writes and leases lost in outages."""
    cluster = SimulatedCluster()
    cluster.run(8)
    assert cluster.all_own()
    assert all(n.limits.active_version() == 1 for n in cluster.nodes.values())
    writes = cluster.table.writes
    cluster.run(20)
    assert cluster.table.writes == writes
    cluster.table.up = False
    cluster.run(30)
    assert cluster.all_own()


def test_silent_hosts_shard_is_taken_over_and_returned() -> None:
    """Guards against a shard that stays unused after its host is killed.

    The host must get the shard back after its restart.
    """
    cluster = SimulatedCluster()
    cluster.run(8)
    cluster.kill("s1")
    cluster.run(6.5)
    assert cluster.held("s2") == {"s1", "s2"}
    # Requests of the killed host may still be running.
    assert not cluster.can_dispatch("s2", "s1")
    cluster.run(10)
    assert cluster.can_dispatch("s2", "s1")
    cluster.start("s1")
    cluster.run(3)
    assert cluster.all_own()


def test_planned_stop_hands_over_at_once() -> None:
    """Guards against a planned stop that is as disruptive as a crash."""
    cluster = SimulatedCluster()
    cluster.run(8)
    cluster.nodes["w1"].stopping = True
    cluster.run(1)
    Deferred.fromCoroutine(cluster.nodes["w1"].keeper.release_all())
    cluster.run(1.5)
    assert cluster.held("w2") == {"w1", "w2"}
    assert cluster.can_dispatch("w2", "w1")


def test_restarted_region_gets_its_shards_back() -> None:
    """Guards against two restarted hosts that wait for each other's grants."""
    cluster = SimulatedCluster()
    cluster.run(8)
    cluster.start("s1")
    cluster.start("s2")
    cluster.run(12)
    assert cluster.all_own()
    assert cluster.nodes["s1"].keeper.generation("s1") == 2


def test_abandoned_takeover_does_not_cause_lasting_writes() -> None:
    """Guards against a holder that depends on renewals in the table for ever.

    Witnesses that have voted to release a generation no longer grant it.
    """
    cluster = SimulatedCluster()
    cluster.run(8)
    generation = cluster.nodes["n1"].keeper.generation("n1")
    cluster.down.add("n1")
    cluster.run(4)
    cluster.down.discard("n1")
    cluster.run(20)
    assert cluster.all_own()
    assert cluster.nodes["n1"].keeper.generation("n1") != generation
    writes = cluster.table.writes
    cluster.run(10)
    assert cluster.table.writes == writes


@pytest.mark.parametrize("dead", [False, True])
def test_manifest_change_waits_for_every_holder(dead: bool) -> None:
    """Guards against using a removed host's upstreams before it releases them.

    The row must also get the witnesses of the new manifest.
    """
    cluster = SimulatedCluster()
    cluster.run(8)
    smaller = make_manifest(REGIONS | {"south": ["s1"]})
    moved = next(u for u, s in assign_upstreams(MANIFEST).items() if s == "s2")
    for host in MANIFEST.hosts:
        if host != "s2":
            cluster.nodes[host].apply(2, smaller)
    cluster.run(6)
    limits = cluster.nodes["s1"].limits
    assert limits.active_version() == 1
    assert not isinstance(limits.reserve(moved, cluster.clock.seconds()), Ok)
    if dead:
        cluster.kill("s2")
    else:
        cluster.nodes["s2"].apply(2, smaller)
    # The removed host may release its shard before its next heartbeat.
    cluster.clock.pump([0.1] * 5)
    cluster.run(9)
    assert cluster.held("s2") == frozenset()
    assert cluster.held("s1") == {"s1"}
    assert limits.active_version() == 2
    assert isinstance(limits.reserve(moved, cluster.clock.seconds()), Ok)
    witnesses = str(cluster.table.rows["shard#s1"].attributes["witnesses"])
    assert set(witnesses.split("\n")) == set(smaller.hosts)


@pytest.mark.parametrize("removed", REGIONS["north"])
def test_every_host_uses_the_upstreams_of_a_removed_one(removed: str) -> None:
    """Guards against hosts that never activate the new version.

    Only one host is the candidate for the removed host's shard. The others
    must also see that it is released.
    """
    cluster = SimulatedCluster()
    cluster.run(8)
    remaining = [host for host in REGIONS["north"] if host != removed]
    smaller = make_manifest(REGIONS | {"north": remaining})
    for node in cluster.nodes.values():
        node.apply(2, smaller)
    # The removed host releases its shard before its next heartbeat.
    cluster.clock.pump([0.1] * 5)
    cluster.run(6)
    versions = {h: cluster.nodes[h].limits.active_version() for h in smaller.hosts}
    assert versions == dict.fromkeys(smaller.hosts, 2)


@settings(max_examples=15)
@given(st.integers(0, 2**32))
def test_recovers_from_any_disturbance_without_overlap(seed: int) -> None:
    """Guards against a shard with two holders or with none."""
    cluster = SimulatedCluster(seed)
    hosts = sorted(host for region in REGIONS.values() for host in region)
    for _ in range(8):
        cluster.loss = cluster.rng.choice([0.0, 0.1, 0.5])
        cluster.table.loss = cluster.rng.choice([0.0, 0.3])
        cluster.table.up = cluster.rng.random() < 0.8
        event, host = cluster.rng.random(), cluster.rng.choice(hosts)
        if event < 0.4:
            cluster.kill(host)
        elif event < 0.8:
            cluster.start(host)
        cluster.run(cluster.rng.choice([0.5, 2.0, 4.0]))
    cluster.loss = cluster.table.loss = 0.0
    cluster.table.up = True
    for host in sorted(cluster.down):
        cluster.start(host)
    cluster.run(40)
    assert cluster.all_own()
