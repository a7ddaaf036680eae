"""Simulated hosts that share a customer's quota and register in a store.

Quotas, members and the host list are the real code on a simulated clock. Hosts may
stop, be killed, frozen or cut off, and be replaced; the store may be away.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.addresses import Address
from samphirebend.gateway.budgets import ColdLimit
from samphirebend.gateway.eraversion import pack, store_version
from samphirebend.gateway.hostlist import HostList
from samphirebend.gateway.invalidrows import InvalidRows
from samphirebend.gateway.members import Member, Members
from samphirebend.gateway.quotagate import QuotaGate
from samphirebend.gateway.quotas import QuotaLimit, Quotas
from samphirebend.gateway.ratelimits import (
    RateLimits,
    decode_reports,
    encode_reports,
)
from samphirebend.gateway.replica import Row
from samphirebend.gateway.rowstore import Page, RowChange, StoreFault

CUSTOMER: Final = "c1"
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20.0
RATE_PER_S, BURST = 40.0, 10.0
ALLOWED: Final = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
# An upstream that names a limit, and what it takes in a window.
UPSTREAM, LIMIT_PER_S, LIMIT_WINDOW_S = 7, 20.0, 4.0
LIMITED_ALLOWED: Final = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
COLD_PER_S: Final = 2.5
COLD_ALLOWED: Final = COLD_PER_S * 1.5 + 5.0  # requests to a cold upstream in 1 s
HEARTBEAT_S: Final = 0.5
MAINTENANCE_S: Final = 0.2
# Time from the statement that a host stops to the end of its process.
STOP_S: Final = 1.0


class Store:
    """Rows of the host list, and which hosts it refuses."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes | None, int]] = {}
        self.version = 0
        self.era = 0
        self.refused: set[str] = set()
        self.calls = 0
        self._backup: tuple[dict[str, tuple[bytes | None, int]], int] = ({}, 0)

    def present(self) -> set[str]:
        """Return the hosts that have a row."""
        return {key for key, (value, _) in self.rows.items() if value is not None}

    def back_up(self) -> None:
        self._backup = dict(self.rows), self.version

    def restore(self) -> None:
        rows, self.version = self._backup
        self.rows = dict(rows)
        self.era += 1

    def page(self, after: int) -> Page:
        rows = [
            Row("hosts", key, value, pack(self.era, version))
            for key, (value, version) in self.rows.items()
            if version > after and (after >= 0 or value is not None)
        ]
        rows.sort(key=lambda row: row.version)
        return Page(rows, pack(self.era, self.version))


class StoreClient:
    """One host's calls to the store; each takes a moment."""

    def __init__(self, store: Store, host: str, clock: Clock) -> None:
        self.store, self.host, self.clock = store, host, clock

    async def _reach(self) -> bool:
        self.store.calls += 1
        done: Deferred[None] = Deferred()
        self.clock.callLater(0.02, done.callback, None)
        await done
        return self.host not in self.store.refused

    async def read(self, table: str, timeout_s: float) -> Result[Page, StoreFault]:
        if not await self._reach():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self.store.page(-1))

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Result[Page, StoreFault]:
        if not await self._reach():
            return Err(StoreFault.UNAVAILABLE)
        if store_version(after) > self.store.version:
            return Err(StoreFault.HISTORY_LOST)
        return Ok(self.store.page(store_version(after)))

    async def change(
        self, table: str, change: RowChange, timeout_s: float
    ) -> Result[None, StoreFault]:
        if not await self._reach():
            return Err(StoreFault.UNAVAILABLE)
        value, version = self.store.rows.get(change.key, (None, 0))
        present = 0 if value is None else pack(self.store.era, version)
        if change.expected_version not in (None, present):
            return Err(StoreFault.CONFLICT)
        self.store.version += 1
        self.store.rows[change.key] = change.value, self.store.version
        return Ok(None)


class Host:
    """A gateway process, as far as quotas and the host list go."""

    def __init__(self, fleet: Fleet, name: str, region: str, number: int) -> None:
        self.name, self.region, self.fleet = name, region, fleet
        self.number = number  # unique among all processes
        self.is_up = True
        self.is_frozen = False
        clock = fleet.clock
        own = Member(name, region + "1", region)
        own.front = own.peer = Address("127.0.0.1", 1000 + number)
        own.incarnation = number + 1
        own.capacity_per_s = fleet.capacity_per_s.get(name, 100.0)
        own.ready = True
        self.members = Members(own, random.Random(number))
        quotas = Quotas(name, WINDOW_S, OVER, SLACK)
        quotas.set_limits({CUSTOMER: QuotaLimit(RATE_PER_S, BURST)}, clock.seconds())
        self.gate = QuotaGate(quotas, clock.seconds)
        self.hosts = quotas.hosts
        self.limits = RateLimits(name)
        self.cold_limit = ColdLimit(1.5, 5.0)
        self.host_list = HostList(
            StoreClient(fleet.store, name, clock),
            self.members,
            InvalidRows(),
            clock,
            quotas.hosts,
            clock.seconds,
        )
        joining = self.host_list.join(lambda: not self.is_up)
        Deferred.fromCoroutine(joining)
        self._maintain()
        clock.callLater(fleet.rng.uniform(0.0, HEARTBEAT_S), self._beat)

    @property
    def runs(self) -> bool:
        return self.is_up and not self.is_frozen

    def _maintain(self) -> None:
        if not self.is_up:
            return
        self.fleet.clock.callLater(MAINTENANCE_S, self._maintain)
        if self.runs:
            self.gate.update(self.members, self.fleet.clock.seconds())
            self.limits.host_count = self.members.count()
            self.limits.contact_fraction = self.members.contact_fraction
            self.host_list.check()

    def _beat(self) -> None:
        if not self.is_up:
            return
        delay_s = HEARTBEAT_S * self.fleet.rng.uniform(0.9, 1.1)
        self.fleet.clock.callLater(delay_s, self._beat)
        if not self.runs:
            return
        now = self.fleet.clock.seconds()
        own = self.members.own
        own.sequence += 1
        data = self.gate.encode_report()
        limits = encode_reports(self.limits.reports(now))
        self.members.drop_silent(now)
        for host in list(self.fleet.hosts.values()):
            # A host that is heard first is answered at once.
            is_known = self.knows(host) or host.knows(self)
            if is_known and self.fleet.delivers(self, host):
                self.fleet.clock.callLater(
                    0.03, host.receive, self, own.sequence, data, limits
                )

    def knows(self, host: Host) -> bool:
        return any(member.host == host.name for member in self.members.others())

    def receive(self, sender: Host, sequence: int, data: bytes, limits: bytes) -> None:
        if not self.runs:
            return
        own = sender.members.own
        member = Member(own.host, own.zone, own.region)
        member.front = member.peer = own.peer
        member.incarnation, member.sequence = own.incarnation, sequence
        member.ready, member.capacity_per_s = own.ready, own.capacity_per_s
        if self.members.record_heartbeat(member, self.fleet.clock.seconds()):
            self.gate.merge(own.host, own.incarnation, data)
            if own.host not in self.members.without_share:
                reports = decode_reports(limits)
                self.limits.merge(own.host, reports, self.fleet.clock.seconds())

    def ask(self) -> None:
        """Ask for a token; count the request if it may be sent."""
        is_due = self.name not in self.fleet.lost
        self.fleet.asked += is_due
        if not self.gate.take(CUSTOMER).wait_s:
            self.fleet.served += is_due
            self.fleet.record_served()
        self._ask_limited()

    def _ask_limited(self) -> None:
        """Send a request to the limited upstream, if its limit allows it."""
        now = self.fleet.clock.seconds()
        self.limits.record_demand(UPSTREAM, now)
        if self.limits.allows(UPSTREAM, now):
            self.limits.take(UPSTREAM, now)
            self.limits.record_response(UPSTREAM, LIMIT_PER_S, now)
            self.fleet.record_limited()

    def cold_requests(self, upstream: str) -> int:
        """Return how many requests this host may send to a cold upstream at once."""
        now, count = self.fleet.clock.seconds(), 0
        hosts, position = self.members.count(), self.members.share_position(upstream)
        while self.cold_limit.allows(upstream, COLD_PER_S, hosts, position, now):
            self.cold_limit.record_sent(upstream, now)
            count += 1
        return count


class Fleet:
    """Hosts by their names, and how they are connected."""

    def __init__(self, regions: str, demand_per_s: float, seed: int = 1) -> None:
        """Start a host for each letter of `regions`, the region of the host."""
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.rng = random.Random(seed)
        self.store = Store()
        self.loss = 0.02
        self.demand_per_s = demand_per_s
        self.hosts: dict[str, Host] = {}
        self.capacity_per_s: dict[str, float] = {}  # if not the usual, by host
        self.sides: dict[str, int] = {}  # sides of a partition, by host
        # Hosts that the others do not hear, and hosts that do not hear the others.
        self.muted: set[str] = set()
        self.deaf: set[str] = set()
        # Hosts that are frozen or cut off: callers ask them, but nothing is due.
        self.lost: set[str] = set()
        self.most = 0.0  # largest part of the allowed requests in any window
        self.asked = self.served = 0  # requests
        self._window: deque[float] = deque()
        self.limited_at: deque[float] = deque()  # requests to the limited upstream
        self.most_limited = 0.0  # as `most`, of its limit
        self._processes = 0
        for number, region in enumerate(regions):
            self.start(f"h{number}", region)
        self.clock.callLater(0.0, self._ask)

    def start(self, name: str, region: str) -> Host:
        """Start a process of a host."""
        self._processes += 1
        self.hosts[name] = host = Host(self, name, region, self._processes)
        return host

    def delivers(self, sender: Host, receiver: Host) -> bool:
        """Return whether a heartbeat arrives."""
        if sender is receiver or self.rng.random() < self.loss:
            return False
        if sender.name in self.muted and receiver.name not in self.muted:
            return False
        if receiver.name in self.deaf and sender.name not in self.deaf:
            return False
        return self.sides.get(sender.name, 0) == self.sides.get(receiver.name, 0)

    def kill(self, *names: str) -> None:
        for name in names:
            self.hosts.pop(name).is_up = False

    def stop(self, *names: str) -> None:
        """End hosts that state that they stop."""
        for name in names:
            host = self.hosts[name]
            host.members.own.ready = False
            Deferred.fromCoroutine(host.host_list.mark_stopped())
        self.run(STOP_S)
        self.kill(*names)

    def restart(self, *names: str) -> None:
        """Kill hosts and start them again."""
        regions = {name: self.hosts[name].region for name in names}
        self.kill(*names)
        self.run(0.3)
        for name, region in regions.items():
            self.start(name, region)

    def freeze(self, *names: str) -> None:
        for name in names:
            self.hosts[name].is_frozen = True

    def thaw(self, *names: str) -> None:
        for name in names:
            self.hosts[name].is_frozen = False

    def cut(self, *names: str, store: bool = True) -> None:
        """Cut hosts off from the others, and from the store unless it is left."""
        for name in names:
            self.sides[name] = 1
        if not store:
            self.store.refused |= set(names)

    def heal(self) -> None:
        self.sides.clear()
        self.muted.clear()
        self.deaf.clear()
        self.store.refused.clear()

    def run(self, for_s: float) -> None:
        end = self.clock.seconds() + for_s
        # Each call at its own time, as it may schedule others.
        while (at := self.clock.calls[0].getTime()) < end:
            self.clock.advance(max(0.0, at - self.clock.seconds()))
        self.clock.advance(end - self.clock.seconds())

    def _ask(self) -> None:
        self.clock.callLater(self.rng.expovariate(self.demand_per_s), self._ask)
        running = [host for host in self.hosts.values() if host.runs]
        for is_lost in (False, True):
            hosts = [host for host in running if (host.name in self.lost) is is_lost]
            if hosts:
                self.rng.choice(hosts).ask()

    def record_served(self) -> None:
        now = self.clock.seconds()
        self._window.append(now)
        while self._window[0] <= now - WINDOW_S:
            self._window.popleft()
        self.most = max(self.most, len(self._window) / ALLOWED)

    def record_limited(self) -> None:
        now = self.clock.seconds()
        self.limited_at.append(now)
        while self.limited_at[0] <= now - LIMIT_WINDOW_S:
            self.limited_at.popleft()
        part = len(self.limited_at) / LIMITED_ALLOWED
        self.most_limited = max(self.most_limited, part)

    def served_share(self, for_s: float) -> float:
        """Run for a time; return the part of what is due that is served.

        Due is the demand, or the rate of the quota if that is less.
        """
        asked, served = self.asked, self.served
        self.run(for_s)
        due = min(self.asked - asked, RATE_PER_S * for_s)
        return (self.served - served) / due

    def await_share(self, least: float, limit_s: float) -> float:
        """Run until a part of what is due is served; return after how long."""
        started_at = self.clock.seconds()
        while self.clock.seconds() - started_at < limit_s:
            if self.served_share(5.0) >= least:
                break
        return self.clock.seconds() - started_at
