"""Guards acceptance and spreading of manifests against races and outages.

The table service is the stand-in in a process of its own; hosts are
`SpreadService`s of this process that reach each other over loopback TCP.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred, gatherResults

from samphirebend.addresses import Address
from samphirebend.options import Options
from samphirebend.peers import PeerService
from samphirebend.spread import CommitFaultKind, SpreadService
from samphirebend.store import TableStore, make_store

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
        self.spread = SpreadService(cfg, self.store, self.peers, reactor)
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
