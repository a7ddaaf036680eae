"""Measures look-ups, requests, leases and heartbeats by system size.

`bench.slopes` calls these functions, which use the daemon's own classes in one
process.
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

from .fixtures import HOST, REGION, DaemonState, heartbeat_of, manifest_of
from .harness import format_cost_us


class FakeLookupRequest:
    """Look-up request that discards its response."""

    target: Final = "/v1/lookup?service=service0"
    peer_ip: Final = "20.0.7.7"

    def respond(self, status: int, headers: object, body: bytes) -> None:
        assert status == 200


def lookups() -> None:
    """Measure prepared and new responses by hosts, services and regions."""
    for hosts, regions, services, blocks in (
        (7, 3, 3, 0),
        (290, 35, 3, 100_000),
        (2900, 35, 3, 100_000),
        (2900, 35, 12, 100_000),
        (2900, 104, 3, 100_000),
    ):
        manifest = manifest_of(hosts, 1200, blocks, regions=regions, services=services)
        state = DaemonState(manifest)
        router = state.router
        lookup = Lookup(
            HOST, 2.0, router, router.region_of_caller, Metrics(), lambda: 0.0
        )
        lookup.apply(manifest)
        request: Any = FakeLookupRequest()
        prepared = format_cost_us(lookup.respond, request)
        service = manifest.services["service0"]
        built = format_cost_us(lookup._build, service, REGION, 0.0)
        print(
            f"look-up, {hosts} hosts, {regions} regions, {services} services, "
            f"{blocks} blocks: prepared answer {prepared}, new answer each 200 ms "
            f"{built}"
        )


def requests() -> None:
    """Measure the choice of an upstream and of a peer by sites and hosts."""
    for hosts, sites in ((7, 42), (290, 400), (2900, 1200)):
        state = DaemonState(manifest_of(hosts, sites, regions=3 if hosts == 7 else 35))
        usages = format_cost_us(state.limits.slot_usages, "service0")
        choice = format_cost_us(choose_own_upstream, state)
        peer = format_cost_us(choose_relay, state)
        free = format_cost_us(state.limits.free, "service0")
        print(
            f"request, {hosts} hosts, {sites} sites: slot usages {usages}, with choice "
            f"of upstream {choice}, choice of peer over all live hosts {peer}, "
            f"free slots of a service {free}"
        )


def choose_own_upstream(state: DaemonState) -> None:
    """Choose an upstream as the dispatcher does for a request."""
    state.router.upstream_for(state.limits.slot_usages("service0"), 0.0)


def choose_relay(state: DaemonState) -> None:
    """Choose a peer as the router does for a request without a free slot."""
    candidates = state.router._find_relay_candidates(
        state.manifest, "service0", True, 0.0
    )
    request = RelayRequest("service0", 1000, True, REGION, 0, 3, 0, 9, 0.1)
    choose_peer(
        request,
        candidates,
        RelayHistory(),
        state.manifest.measure,
        0.0,
        random.Random(1),
    )


class FakePeers:
    """Peer service that accepts callbacks of the lease keeper only.

    It sends no messages.
    """

    def __init__(self) -> None:
        self.heartbeat_fillers: list[Any] = []
        self.heartbeat_listeners: list[Any] = []
        self.reply_fillers: list[Any] = []
        self.reply_listeners: list[Any] = []

    def send(self, host: str, message: Any) -> None:
        """Discard a message."""

    def on_message(self, kind: Any, handler: Any) -> None:
        """Ignore a handler."""


def handle_heartbeat(peers: Any, heartbeat: Heartbeat, reply: HeartbeatReply) -> None:
    """Handle a heartbeat and fill in the grants of its reply."""
    peers.heartbeat_listeners[0](heartbeat, 100.0)
    peers.reply_fillers[0](heartbeat, reply, 100.0)


def leases() -> None:
    """Measure the lease keeper by hosts and regions, and link shares.

    Of the lease keeper, its tick and the handling of a heartbeat are measured.
    """
    for hosts, regions, silent in (
        (7, 3, 0),
        (290, 35, 0),
        (2900, 35, 0),
        (2900, 35, 28),
    ):
        manifest = manifest_of(hosts, 1200, regions=regions)
        peers: Any = FakePeers()
        limits = Limits()
        limits.apply(1, manifest, 0.0)
        unused: Any = None
        keeper = LeaseKeeper(
            HOST, 1, 3.0, peers, unused, unused, limits, unused, lambda: 100.0
        )
        keeper.apply_manifest(1, manifest)
        silent_hosts = manifest.hosts_of(REGION)[1 : silent + 1]
        for name in manifest.hosts:
            heartbeat = heartbeat_of(name, 3)
            heartbeat.shards = [ShardLease(name, 7)]
            heard_at = 98.0 if name in silent_hosts else 100.0
            peers.heartbeat_listeners[0](heartbeat, heard_at)
        keeper._step_started_at = dict.fromkeys(manifest.hosts, 100.0)
        received = heartbeat_of("host0001", 3)
        reply = HeartbeatReply(HOST, 1, 1)
        tick = format_cost_us(keeper.tick)
        heartbeat_cost = format_cost_us(handle_heartbeat, peers, received, reply)
        shares = format_cost_us(
            LinkBudgets(REGION, link_shares).apply, manifest, {HOST}, 0.0
        )
        print(
            f"leases, {hosts} hosts, {regions} regions, {hosts // regions} shards in "
            f"the region, {silent} hosts silent: tick (10/s) {tick}, "
            f"heartbeat with reply {heartbeat_cost}, link shares {shares}"
        )


def heartbeats() -> None:
    """Measure the size and cost of heartbeats by services and shards."""
    for services, shards in ((3, 1), (3, 8), (12, 1), (50, 1)):
        heartbeat = heartbeat_of(HOST, services, shards)
        data = encode(heartbeat)
        reply = HeartbeatReply(HOST, 1, 1)
        reply.grants = heartbeat.shards
        membership = Membership("other")
        cost = [
            format_cost_us(encode, heartbeat),
            format_cost_us(decode, data),
            format_cost_us(membership.record_heartbeat, heartbeat, 0.0),
        ]
        print(
            f"heartbeat, {services} services, {shards} shards: {len(data)} bytes, "
            f"reply {len(encode(reply))} bytes; encode {cost[0]}, decode {cost[1]}, "
            f"take {cost[2]}"
        )
