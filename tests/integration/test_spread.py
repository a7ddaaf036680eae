"""Guards acceptance and spreading of manifests against races and outages.

The table service is the stand-in in a process of its own. Hosts are
`ManifestSync`s of this process that reach each other over loopback TCP, and for
deltas also daemons in processes of their own.
"""

from __future__ import annotations

import copy
import time
import zlib
from collections.abc import Iterator

import msgspec
import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from samphirebend.addresses import Address
from samphirebend.deltas import DeltaLog, make_delta_steps
from samphirebend.manifestsync import ManifestSync
from samphirebend.manifesttable import CommitFaultKind, ManifestTable
from samphirebend.options import Options
from samphirebend.peers import PeerService
from samphirebend.tablestore import TableStore, make_store
from samphirebend.timeslices import run_all
from samphirebend.wire import ManifestDelta, TextEdit

from ..cluster import Cluster, Data, small_manifest
from ..reactor import on_reactor, reactor, until
from ..sample_manifest import manifest_text
from ..standins.launch import TableService


@pytest.fixture
def service() -> Iterator[TableService]:
    with TableService() as running:
        yield running


class HostUnderTest:
    """Store, peers and spread of one host."""

    def __init__(
        self, name: str, service: TableService, seeds: list[Address] | None = None
    ) -> None:
        cfg = Options()
        cfg.host = name
        cfg.peer_address = Address("127.0.0.1", 0)
        cfg.seeds = seeds or []
        cfg.table_url = service.url
        cfg.heartbeat_s = 0.05
        cfg.table_poll_s = 0.1
        cfg.table_timeout_s = 0.5
        self.store: TableStore = make_store(cfg, reactor)
        self.peers = PeerService(cfg, hash(name) & 0xFFFF, reactor)
        self.spread = ManifestSync(cfg, self.store, self.peers, reactor)
        self.peers.start()
        self.spread.start()

    def is_fresh(self) -> bool:
        return self.spread.is_fresh(time.monotonic())

    async def stop(self) -> None:
        self.spread.stop()
        await self.peers.stop()
        await self.store.stop()


@on_reactor
async def test_lost_answer_on_commit_is_accepted_once(service: TableService) -> None:
    host = HostUnderTest("a", service)
    text = manifest_text({"a": host.peers.address()})
    service.control(lose_answers=1)
    assert await host.spread.commit(text, 0, "c1") == Ok(1)
    assert await host.spread.commit(text, 0, "c1") == Ok(1)
    changed = manifest_text({"a": host.peers.address()}, "changed")
    assert await host.spread.commit(changed, 1, "c2") == Ok(2)
    assert await host.spread.commit(text, 0, "c1") == Ok(1)  # a very late repeat
    reused = await host.spread.commit(changed, 0, "c1")
    assert reused.unwrap_err().kind is CommitFaultKind.CONFLICT
    entries = (await host.spread.history()).unwrap()
    assert [(e.version, e.commit_id) for e in entries] == [(2, "c2"), (1, "c1")]
    assert entries[0].text == changed
    await host.stop()


@on_reactor
async def test_one_of_two_racing_commits_wins(service: TableService) -> None:
    """The loser is told the version that it knew and the one that won."""
    hosts = [HostUnderTest("a", service), HostUnderTest("b", service)]
    addresses = {"a": hosts[0].peers.address(), "b": hosts[1].peers.address()}
    for base in range(3):
        commits = [
            Deferred.fromCoroutine(
                host.spread.commit(
                    manifest_text(addresses, f"{base}{index}"), base, f"{base}{index}"
                )
            )
            for index, host in enumerate(hosts)
        ]
        results = await gatherResults(commits)
        assert [r.ok_value for r in results if isinstance(r, Ok)] == [base + 1]
        (fault,) = [r.err_value for r in results if isinstance(r, Err)]
        assert fault.kind is CommitFaultKind.CONFLICT
        assert (fault.base_version, fault.current_version) == (base, base + 1)
        await until(lambda: {h.spread.version() for h in hosts} == {base + 1})  # noqa: B023
    for host in hosts:
        await host.stop()


@on_reactor
async def test_outage_right_after_acceptance(service: TableService) -> None:
    """A peer supplies the version; a commit in the outage is told as unsent."""
    first = HostUnderTest("a", service)
    second = HostUnderTest("b", service, seeds=[first.peers.address()])
    hosts = {"a": first.peers.address(), "b": second.peers.address()}
    await until(lambda: second.peers.connected_hosts() == ["a"])
    second.spread.stop()  # no polls, so that only the peer can supply it
    assert await first.spread.commit(manifest_text(hosts), 0, "c1") == Ok(1)
    service.control(down=True)
    await until(lambda: second.spread.version() == 1)
    assert second.spread.counts.from_peers == 1
    assert second.spread.counts.from_table == 0
    await until(lambda: first.is_fresh() and second.is_fresh())
    fault = (await first.spread.commit(manifest_text(hosts), 1, "c2")).unwrap_err()
    assert fault.kind is CommitFaultKind.UNAVAILABLE
    assert not fault.may_be_accepted
    await first.stop()
    await second.stop()


@on_reactor
async def test_poll_supplies_the_version(service: TableService) -> None:
    """A host without peers follows the table and reads each text once."""
    first = HostUnderTest("a", service)
    text = manifest_text({"a": first.peers.address()})
    assert await first.spread.commit(text, 0, "c1") == Ok(1)
    await first.stop()
    second = HostUnderTest("z", service)
    await until(lambda: second.spread.version() == 1 and second.is_fresh())
    polls = service.counts()["GetItem"]
    await until(lambda: service.counts()["GetItem"] > polls + 3)
    assert second.spread.counts.from_table == 1
    await second.stop()


class TwoHosts:
    """A host that commits, and one without polls that follows it."""

    def __init__(self, service: TableService) -> None:
        self.first = HostUnderTest("a", service)
        seeds = [self.first.peers.address()]
        self.second = HostUnderTest("b", service, seeds)
        self.second.spread.stop()
        self.addresses = {"a": seeds[0], "b": self.second.peers.address()}

    async def commit(self, base: int, organisation: str) -> str:
        """Commit a manifest, wait until the second host has it; return its text."""
        text = manifest_text(self.addresses, organisation)
        accepted = await self.first.spread.commit(text, base, f"c{base}")
        assert accepted == Ok(base + 1)
        await until(lambda: self.second.spread.version() == base + 1)
        in_force = self.second.spread.current()
        assert in_force is not None
        assert in_force.text == text
        return text

    async def stop(self) -> None:
        await self.first.stop()
        await self.second.stop()


@on_reactor
async def test_peer_sends_a_change_as_delta(service: TableService) -> None:
    """Guards the bytes of control, and the chain for a host that was cut off."""
    hosts = TwoHosts(service)
    await until(lambda: hosts.second.peers.connected_hosts() == ["a"])
    await hosts.commit(0, "one")
    await hosts.commit(1, "two")
    counts = hosts.second.spread.counts
    assert (counts.applied, counts.from_deltas, counts.refused_deltas) == (2, 1, 0)
    await hosts.second.stop()
    third = HostUnderTest("b", service, [hosts.first.peers.address()])
    await until(lambda: third.spread.version() == 2)
    assert third.spread.counts.from_deltas == 0  # it held no version
    await hosts.first.stop()
    await third.stop()


@on_reactor
async def test_wrong_delta_of_a_peer_is_followed_by_the_whole_text(
    service: TableService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a text that no commit had, and against a lost version."""
    hosts = TwoHosts(service)
    await until(lambda: hosts.second.peers.connected_hosts() == ["a"])
    await hosts.commit(0, "one")
    kept = DeltaLog.since

    def wrong(log: DeltaLog, base: int) -> list[ManifestDelta]:
        deltas = kept(log, base)
        for delta in deltas:
            delta.edits = [TextEdit(0, 0, b" ")]
        return deltas

    with monkeypatch.context() as patch:
        patch.setattr(DeltaLog, "since", wrong)
        await hosts.commit(1, "two")
    counts = hosts.second.spread.counts
    assert (counts.from_deltas, counts.refused_deltas, counts.from_peers) == (0, 1, 3)
    await hosts.commit(2, "three")  # deltas are asked for again
    assert counts.from_deltas == 1
    await hosts.stop()


@on_reactor
async def test_table_supplies_deltas_to_a_host_without_peers(
    service: TableService,
) -> None:
    """Guards the table's reads: a host that no peer answers must stay cheap too."""
    first = HostUnderTest("a", service)
    addresses = {"a": first.peers.address()}
    assert await first.spread.commit(manifest_text(addresses), 0, "c0") == Ok(1)
    alone = HostUnderTest("z", service)
    await until(lambda: alone.spread.version() == 1)
    alone.spread.stop()
    await deferLater(reactor, 0.2)  # a poll that had begun
    for base in (1, 2):
        text = manifest_text(addresses, f"change {base}")
        assert await first.spread.commit(text, base, f"c{base}") == Ok(base + 1)
    alone.spread.start()
    await until(lambda: alone.spread.version() == 3)
    in_force = alone.spread.current()
    assert in_force is not None
    assert in_force.text == text
    counts = alone.spread.counts
    assert (counts.from_deltas, counts.refused_deltas, counts.from_table) == (1, 0, 2)
    await first.stop()
    await alone.stop()


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    manifest = small_manifest({"north": 2, "south": 2})
    with Cluster(tmp_path_factory.mktemp("deltas"), manifest) as running:
        running.start()
        yield running


def spread_counts(cluster: Cluster, name: str) -> dict[str, int]:
    """Return an event's count on each daemon."""
    found = {}
    for host in cluster.hosts:
        status, data = cluster.admin(host, "/v1/dump")
        assert status == 200
        found[host] = int(data["services"]["spread"]["counts"][name])
    return found


def in_force(cluster: Cluster, host: str) -> Data:
    status, data = cluster.admin(host, "/v1/manifest")
    assert status == 200
    return {"version": data["version"], "text": data["text"]}


def changed_slots(cluster: Cluster, slots: int) -> Data:
    manifest = copy.deepcopy(cluster.manifest)
    manifest["services"][0]["upstreams"][0]["slots"] = slots
    return manifest


def test_change_reaches_daemons_as_delta(cluster: Cluster) -> None:
    """Guards the bytes of control: one change must not send the whole text."""
    base = in_force(cluster, "north-0")["version"]
    before = spread_counts(cluster, "from_deltas")
    manifest = changed_slots(cluster, 7)
    status, answer = cluster.commit(manifest, base, "delta", "north-0")
    assert status == 200, answer
    for host in cluster.hosts:
        cluster.wait_version(host, base + 1)
        text = msgspec.json.encode(manifest).decode()
        assert in_force(cluster, host) == {"version": base + 1, "text": text}
    after = spread_counts(cluster, "from_deltas")
    assert {host: after[host] - before[host] for host in cluster.hosts} == {
        host: int(host != "north-0") for host in cluster.hosts
    }
    assert not any(spread_counts(cluster, "refused_deltas").values())


@on_reactor
async def test_wrong_delta_in_the_table_is_followed_by_the_whole_text(
    cluster: Cluster,
) -> None:
    """Guards against daemons that stay behind or apply a text no commit had."""
    cfg = Options()
    cfg.table_url = f"http://{cluster.table}"
    store = make_store(cfg, reactor)
    table = ManifestTable(store)
    current = (await table.current()).unwrap()
    base = current.number("version")
    old = in_force(cluster, "north-0")
    assert old["version"] == base
    text = msgspec.json.encode(changed_slots(cluster, 8))
    delta = run_all(make_delta_steps(base, old["text"].encode(), base + 1, text))
    assert delta is not None
    delta.edits[0].inserted = b"9"  # a valid manifest, but not the accepted one
    body = zlib.compress(text)
    accepted = await table.accept(current, "wrong", text.decode(), body, delta)
    assert accepted == Ok(base + 1)
    for host in cluster.hosts:
        cluster.wait_version(host, base + 1)
        expected = {"version": base + 1, "text": text.decode()}
        assert in_force(cluster, host) == expected
    assert sum(spread_counts(cluster, "refused_deltas").values()) >= 1
    await store.stop()
