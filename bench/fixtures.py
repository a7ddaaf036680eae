"""Creates manifests of given sizes and the daemon state for benchmarks."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from samphirebend.ledger import Ledger
from samphirebend.limits import Limits
from samphirebend.links import LinkBudgets
from samphirebend.manifest import Manifest, read_manifest
from samphirebend.membership import Membership
from samphirebend.router import Router
from samphirebend.shards import link_shares
from samphirebend.upstreamstate import UpstreamStates
from samphirebend.wire import Heartbeat, ServiceLoad, ShardLease
from tests.cluster import Data

from .harness import large_manifest

HOST: Final = "host0000"
REGION: Final = "r0"


def text_of(data: Data) -> str:
    """Return the text of a manifest given as plain data."""
    return msgspec.json.encode(data).decode()


def sized_manifests(
    sizes: Iterable[tuple[int, int, int]],
) -> Iterator[tuple[str, Data]]:
    """Yield a description and a manifest for each (hosts, sites, blocks)."""
    for hosts, sites, blocks in sizes:
        regions = 3 if hosts == 7 else 35
        data = large_manifest(hosts, sites, blocks, regions=regions)
        yield f"{hosts} hosts, {sites} sites, {blocks} blocks", data


def manifest_of(
    hosts: int, sites: int, blocks: int = 0, regions: int = 35, services: int = 3
) -> Manifest:
    data = large_manifest(hosts, sites, blocks, regions, services)
    checked = read_manifest(text_of(data))
    return checked.expect("invalid benchmark manifest")


def heartbeat_of(host: str, services: int, shards: int = 1) -> Heartbeat:
    """Return a heartbeat of a host that has free slots of every service."""
    heartbeat = Heartbeat(host, 0x123456789ABCDEF0, 1)
    heartbeat.loads = [ServiceLoad(f"service{i}", 10, 30, 10) for i in range(services)]
    heartbeat.shards = [ShardLease(f"host{i:04d}", 7) for i in range(shards)]
    return heartbeat


class DaemonState:
    """Routing state of one daemon, with all other hosts live."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.membership = Membership(HOST)
        for name in manifest.hosts:
            heartbeat = heartbeat_of(name, len(manifest.services))
            self.membership.record_heartbeat(heartbeat, 0.0)
        self.limits = Limits()
        self.limits.apply(1, manifest, 0.0)
        self.limits.activate(1)
        self.limits.set_held(frozenset({HOST}), 0.0)
        self.states = UpstreamStates(REGION)
        self.states.apply(manifest, 0.0)
        self.budgets = LinkBudgets(REGION, link_shares)
        self.budgets.apply(manifest, {HOST}, 0.0)
        self.router = Router(
            HOST,
            REGION,
            self.membership,
            self.limits,
            self.states,
            self.budgets,
            Ledger(HOST, 1, 0.0),
            lambda: 0.0,
            random.Random(1),
        )
        self.router.apply(manifest)
