"""Slopes of the decisions: look-ups, requests, leases and heartbeats.

Measured in this process with the daemon's own classes; `slopes` runs them.
"""

from __future__ import annotations

import random
from typing import Any, Final

from samphirebend.leasekeeper import LeaseKeeper
from samphirebend.limits import Limits
from samphirebend.links import LinkBudgets
from samphirebend.lookup import Lookup
from samphirebend.membership import Membership
from samphirebend.metrics import Metrics
from samphirebend.peerchoice import RelayRequest, choose_peer
from samphirebend.relayhistory import RelayHistory
from samphirebend.shards import link_shares
from samphirebend.wire import Heartbeat, HeartbeatReply, ShardLease, decode, encode

from .lab import cost_us
from .scene import HOST, REGION, Scene, heartbeat_of, manifest_of


class Question:
    """A look-up request whose answer is dropped."""

    target: Final = "/v1/lookup?service=service0"
    peer_ip: Final = "20.0.7.7"

    def respond(self, status: int, headers: object, body: bytes) -> None:
        assert status == 200


def lookups() -> None:
    """Prepared and new answers by hosts, services and regions."""
    for hosts, regions, services, blocks in (
        (7, 3, 3, 0),
        (290, 35, 3, 100_000),
        (2900, 35, 3, 100_000),
        (2900, 35, 12, 100_000),
        (2900, 104, 3, 100_000),
    ):
        manifest = manifest_of(hosts, 1200, blocks, regions=regions, services=services)
        scene = Scene(manifest)
        router = scene.router
        lookup = Lookup(
            HOST, 2.0, router, router.region_of_caller, Metrics(), lambda: 0.0
        )
        lookup.apply(manifest)
        question: Any = Question()
        prepared = cost_us(lookup.answer, question)
        service = manifest.services["service0"]
        built = cost_us(lookup._build, service, REGION, 0.0)
        print(
            f"look-up, {hosts} hosts, {regions} regions, {services} services, "
            f"{blocks} blocks: prepared answer {prepared}, new answer each 200 ms "
            f"{built}"
        )


def requests() -> None:
    """Choice of upstream and of peer by sites and hosts."""
    for hosts, sites in ((7, 42), (290, 400), (2900, 1200)):
        scene = Scene(manifest_of(hosts, sites, regions=3 if hosts == 7 else 35))
        usages = cost_us(scene.limits.slot_usages, "service0")
        choice = cost_us(choose_own, scene)
        peer = cost_us(choose_relay, scene)
        free = cost_us(scene.limits.free, "service0")
        print(
            f"request, {hosts} hosts, {sites} sites: rooms {usages}, with choice of "
            f"upstream {choice}, choice of peer over all live hosts {peer}, "
            f"free slots of a service {free}"
        )


def choose_own(scene: Scene) -> None:
    """Choose an upstream as the dispatcher does for a request."""
    scene.router.upstream_for(scene.limits.slot_usages("service0"), 0.0)


def choose_relay(scene: Scene) -> None:
    """Choose a peer as the router does for a request without a free slot."""
    options = scene.router._find_options(scene.manifest, "service0", True, 0.0)
    request = RelayRequest("service0", 1000, True, REGION, 0, 3, 0, 9, 0.1)
    choose_peer(
        request,
        options,
        RelayHistory(),
        scene.manifest.measure,
        0.0,
        random.Random(1),
    )


class StillPeers:
    """Takes the hooks of the lease keeper and sends nothing."""

    def __init__(self) -> None:
        self.heartbeat_fillers: list[Any] = []
        self.heartbeat_listeners: list[Any] = []
        self.reply_fillers: list[Any] = []
        self.reply_listeners: list[Any] = []

    def send(self, host: str, message: Any) -> None:
        """Drop a message."""

    def on_message(self, kind: Any, handler: Any) -> None:
        """Take no handler."""


def take_and_grant(peers: Any, heard: Heartbeat, reply: HeartbeatReply) -> None:
    """Take a heartbeat and fill the grants of its reply."""
    peers.heartbeat_listeners[0](heard, 100.0)
    peers.reply_fillers[0](heard, reply, 100.0)


def leases() -> None:
    """Tick, heartbeat and reply of the lease keeper by hosts and regions."""
    for hosts, regions, silent in (
        (7, 3, 0),
        (290, 35, 0),
        (2900, 35, 0),
        (2900, 35, 28),
    ):
        manifest = manifest_of(hosts, 1200, regions=regions)
        peers: Any = StillPeers()
        limits = Limits()
        limits.apply(1, manifest, 0.0)
        nothing: Any = None
        keeper = LeaseKeeper(
            HOST, 1, 3.0, peers, nothing, nothing, limits, nothing, lambda: 100.0
        )
        keeper.note_manifest(1, manifest)
        lost = manifest.hosts_of(REGION)[1 : silent + 1]
        for name in manifest.hosts:
            heartbeat = heartbeat_of(name, 3)
            heartbeat.shards = [ShardLease(name, 7)]
            heard_at = 98.0 if name in lost else 100.0
            peers.heartbeat_listeners[0](heartbeat, heard_at)
        keeper._step_started_at = dict.fromkeys(manifest.hosts, 100.0)
        heard = heartbeat_of("host0001", 3)
        reply = HeartbeatReply(HOST, 1, 1)
        tick = cost_us(keeper.tick)
        note = cost_us(take_and_grant, peers, heard, reply)
        shares = cost_us(LinkBudgets(REGION, link_shares).apply, manifest, {HOST}, 0.0)
        print(
            f"leases, {hosts} hosts, {regions} regions, {hosts // regions} shards in "
            f"the region, {silent} hosts silent: tick (10/s) {tick}, "
            f"heartbeat with reply {note}, link shares {shares}"
        )


def heartbeats() -> None:
    """Heartbeats by services and shards."""
    for services, shards in ((3, 1), (3, 8), (12, 1), (50, 1)):
        heartbeat = heartbeat_of(HOST, services, shards)
        data = encode(heartbeat)
        reply = HeartbeatReply(HOST, 1, 1)
        reply.grants = heartbeat.shards
        known = Membership("other")
        cost = [
            cost_us(encode, heartbeat),
            cost_us(decode, data),
            cost_us(known.note_heartbeat, heartbeat, 0.0),
        ]
        print(
            f"heartbeat, {services} services, {shards} shards: {len(data)} bytes, "
            f"reply {len(encode(reply))} bytes; encode {cost[0]}, decode {cost[1]}, "
            f"take {cost[2]}"
        )
