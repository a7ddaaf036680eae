"""Tests that at most one process at a time holds the lease of a shard."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings, strategies as st

from samphirebend.leases import HeldLeases, Quorum, Takeover, Witness

LEASE_S = 3.0
SHARD = "a1"


class SharedRow:
    """The row of the shard in the table.

    A write may take effect long after it was sent.
    """

    def __init__(self) -> None:
        self.holder = ""
        self.process = 0
        self.generation = 0
        self.revision = 0
        self.quorum = Quorum(frozenset(), frozenset())
        self.released = False


class Process:
    """One process of a host, driven step by step on its own clock."""

    def __init__(self, sim: Simulation, host: str, number: int, rate: float) -> None:
        self.sim, self.host, self.number, self.rate = sim, host, number, rate
        self.offset = sim.rng.uniform(0, 1000)
        self.frozen_until = 0.0
        self.held_leases = HeldLeases(host, LEASE_S)
        self.witness = Witness(self.now(), LEASE_S)
        self.takeover = Takeover(LEASE_S)
        self.writing = False

    def now(self) -> float:
        return self.offset + self.sim.now * self.rate

    def valid(self) -> bool:
        return self.held_leases.valid(SHARD, self.now())

    def send_heartbeats(self) -> None:
        generation = self.held_leases.shards().get(SHARD)
        if generation is None:
            return
        sent_at = self.now()
        for host in self.sim.hosts:
            self.sim.deliver(host, self._ask_grant(generation, sent_at))

    def _ask_grant(self, generation: int, sent_at: float) -> Callable[[Process], None]:
        def receive(peer: Process) -> None:
            if peer.witness.grant(SHARD, generation, peer.now()):
                self.sim.later(
                    self,
                    lambda: self.held_leases.record_grant(
                        SHARD, generation, peer.host, sent_at
                    ),
                )

        return receive

    def request_votes(self) -> None:
        takeover = self.takeover
        generation, round_ = takeover.generation, takeover.round

        def receive(peer: Process) -> None:
            if peer.witness.vote(SHARD, generation, peer.now()):
                self.sim.later(
                    self,
                    lambda: takeover.record_vote(peer.host, generation, round_),
                )

        for host in self.takeover.missing():
            self.sim.deliver(host, receive)

    def read_row(self) -> None:
        """Read the row, and continue when the response arrives."""
        row = self.sim.row
        seen = (row.holder, row.generation, row.revision, row.quorum)
        process, released = row.process, row.released
        self.sim.later(self, lambda: self._handle_row(seen, process, released))

    def _handle_row(
        self, seen: tuple[str, int, int, Quorum], process: int, released: bool
    ) -> None:
        holder, generation, revision, quorum = seen
        self.witness.learn(SHARD, generation)
        if process == self.number or self.writing:
            return
        self.takeover.observe(holder, generation, revision, quorum, self.now())
        if revision == 0 or released or self.takeover.may_write(self.now()):
            self._acquire(revision, generation + 1)

    def _acquire(self, revision: int, generation: int) -> None:
        quorum = self.sim.draw_quorum()
        sent_at = self.now()
        self.writing = True

        def change(row: SharedRow) -> None:
            row.holder, row.process, row.quorum = self.host, self.number, quorum
            row.generation, row.released = generation, False

        def done(took_effect: bool) -> None:
            self.writing = False
            if took_effect:
                self.held_leases.acquire(SHARD, generation, quorum, sent_at)

        self.sim.write(self, revision, change, done)

    def renew(self) -> None:
        """Renew the row, sometimes with another quorum."""
        row, generation = self.sim.row, self.held_leases.shards().get(SHARD)
        if generation is None or self.writing or row.process != self.number:
            return
        quorum = self.sim.draw_quorum()
        self.held_leases.propose_quorum(SHARD, quorum)
        sent_at = self.now()
        self.writing = True

        def change(row: SharedRow) -> None:
            row.quorum = quorum

        def done(took_effect: bool) -> None:
            self.writing = False
            if self.sim.row.process != self.number:
                self.held_leases.drop(SHARD)
            elif SHARD in self.held_leases.shards():
                self.held_leases.confirm_quorum(SHARD, self.sim.row.quorum)
            if took_effect:
                self.held_leases.record_renewal(SHARD, generation, sent_at)

        self.sim.write(self, row.revision, change, done)

    def release(self) -> None:
        row, generation = self.sim.row, self.held_leases.shards().get(SHARD)
        if generation is None or self.writing or row.process != self.number:
            return
        self.held_leases.drop(SHARD)

        def change(row: SharedRow) -> None:
            row.released = True

        self.sim.write(self, row.revision, change, lambda took_effect: None)

    def fence(self) -> None:
        row = self.sim.row
        if not self.witness.to_fence() or not row.revision:
            return
        generation = row.generation
        self.sim.write(
            self,
            row.revision,
            lambda row: None,
            lambda ok: self.witness.record_fenced(SHARD, generation) if ok else None,
        )


class Simulation:
    """Runs processes, messages and writes in random order, with losses."""

    def __init__(self, seed: int, layout: tuple[int, int]) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.row = SharedRow()
        self.region_hosts = [f"a{index + 1}" for index in range(layout[0])]
        self.hosts = self.region_hosts + [f"b{index + 1}" for index in range(layout[1])]
        self.table_up = True
        self.cut: set[str] = set()  # hosts that receive nothing
        self.events: list[tuple[float, Callable[[], None]]] = []
        # All processes. Replaced ones may resume after a freeze.
        self.processes: list[Process] = []
        # Process that receives the messages to each host, keyed by host.
        self.serving: dict[str, Process] = {}
        self.takeovers = 0
        for host in self.hosts:
            self.start(host)

    def start(self, host: str) -> None:
        rate = self.rng.choice([0.99, 1.0, 1.01])
        process = Process(self, host, len(self.processes) + 1, rate)
        self.processes.append(process)
        self.serving[host] = process

    def draw_quorum(self) -> Quorum:
        """Return the usual quorum, or sometimes that of another manifest."""
        size = len(self.hosts)
        if self.rng.random() < 0.6 or size < 4:
            return Quorum(frozenset(self.hosts), frozenset(self.region_hosts))
        witnesses = ["a1", *self.rng.sample(self.hosts[1:], size - 3)]
        return Quorum(frozenset(witnesses), frozenset(self.region_hosts[:2]))

    def delay(self) -> float:
        return self.rng.choice([0.001, 0.02, 0.02, 0.3, 2.0])

    def later(self, process: Process, action: Callable[[], None]) -> None:
        """Run an action after a delay and the process's freeze, or lose it."""

        def run() -> None:
            if process.frozen_until > self.now:
                self.events.append((process.frozen_until, run))
            else:
                action()

        if self.rng.random() > 0.1 and process.host not in self.cut:
            self.events.append((self.now + self.delay(), run))

    def deliver(self, host: str, action: Callable[[Process], None]) -> None:
        """Deliver a message to the process that serves the host by then."""
        self.later(self.serving[host], lambda: action(self.serving[host]))

    def write(
        self,
        process: Process,
        revision: int,
        change: Callable[[SharedRow], None],
        done: Callable[[bool], None],
    ) -> None:
        """Write the row if it has the revision, after a delay.

        The response is delayed in addition.
        """

        def apply() -> None:
            took_effect = self.row.revision == revision
            if took_effect:
                before = self.row.generation
                change(self.row)
                self.row.revision += 1
                self.takeovers += self.row.generation > max(1, before)
            self.events.append((self.now + self.delay(), lambda: respond(took_effect)))

        def respond(took_effect: bool) -> None:
            if process.frozen_until > self.now:
                self.events.append((process.frozen_until, lambda: respond(took_effect)))
            else:
                done(took_effect)

        if self.table_up:
            delay = self.rng.choice([0.001, 0.02, 0.02, 4.0])
            self.events.append((self.now + delay, apply))
        else:
            self.events.append((self.now + 1.0, lambda: respond(False)))

    def disturb(self) -> None:
        """Sometimes cause a restart, freeze, partition, outage or release."""
        rng = self.rng
        host = rng.choice(self.hosts)
        event = rng.random()
        if event < 0.02:
            self.start(host)
        elif event < 0.04:
            holders = [p for p in self.processes if p.valid()] or self.processes
            process = rng.choice(holders)
            process.frozen_until = self.now + rng.choice([1.0, 3.5, 8.0])
            if rng.random() < 0.5:
                self.start(process.host)
        elif event < 0.06:
            self.cut = set(rng.sample(self.hosts, rng.randint(0, len(self.hosts))))
        elif event < 0.09:
            self.cut = set()
        elif event < 0.11:
            self.table_up = rng.random() < 0.8
        elif event < 0.115:
            rng.choice(self.processes).release()

    def run(self, steps: int) -> None:
        """Run the steps; fail if two processes hold the lease after one."""
        for _ in range(steps):
            self.now += self.rng.choice([0.02, 0.1, 0.2])
            due = sorted(
                (e for e in self.events if e[0] <= self.now), key=lambda e: e[0]
            )
            self.events = [e for e in self.events if e[0] > self.now]
            for _, action in due:
                action()
            self.disturb()
            for process in self.processes:
                if process.frozen_until <= self.now:
                    self.step(process)
            valid = [(p.host, p.number) for p in self.processes if p.valid()]
            assert len(valid) < 2, (round(self.now, 2), valid, self.row.generation)

    def step(self, process: Process) -> None:
        """Let a process do some of its periodic work, at random."""
        rng = self.rng
        if rng.random() < 0.5:
            process.send_heartbeats()
        if process.takeover.revision and rng.random() < 0.4:
            process.request_votes()
        current = self.serving[process.host] is process
        if current and process.host in self.region_hosts and rng.random() < 0.4:
            process.read_row()
        needed = process.held_leases.needs_renewal(SHARD, process.now())
        if rng.random() < (0.3 if needed else 0.05):
            process.renew()
        if rng.random() < 0.3:
            process.fence()


LAYOUTS = st.sampled_from([(1, 0), (1, 2), (2, 0), (2, 1), (2, 3), (2, 5), (3, 4)])


@settings(max_examples=100)
@given(st.integers(0, 2**32), LAYOUTS)
def test_two_processes_never_hold_a_shard(seed: int, layout: tuple[int, int]) -> None:
    """Guards against two hosts that dispatch to the same slots.

    Covers lost, late and reordered messages, late table writes and responses,
    table outages, restarts, freezes, replaced processes that resume, changes
    of the quorum and clock rates within 1%.
    """
    Simulation(seed, layout).run(400)


QUORUM = Quorum(frozenset({"a1", "a2", "b1", "b2", "b3"}), frozenset({"a1", "a2"}))


def test_new_witness_neither_votes_nor_grants_at_once() -> None:
    """Guards against a restarted witness that contradicts its predecessor.

    It does not know the grants and votes that were given before the restart.
    """
    witness = Witness(10.0, LEASE_S)
    assert not witness.vote(SHARD, 1, 13.1)
    assert not witness.grant(SHARD, 1, 13.1)
    assert witness.to_fence() == [SHARD]
    witness.record_fenced(SHARD, 1)
    assert witness.grant(SHARD, 1, 13.2)
    assert not witness.vote(SHARD, 1, 13.2 + LEASE_S * 1.01 / 0.99)
    assert witness.vote(SHARD, 1, 17.0)
    assert not witness.grant(SHARD, 1, 17.0)
    assert witness.grant(SHARD, 2, 17.0)


def test_votes_count_only_in_their_round_and_not_from_the_holders_host() -> None:
    """Guards against counting a vote of a process that has restarted since."""
    takeover = Takeover(LEASE_S)
    takeover.observe("a1", 1, 5, QUORUM, 0.0)
    for host in ("a1", "a2", "b1"):
        takeover.record_vote(host, 1, takeover.round)
    assert not takeover.may_write(9.0)
    takeover.record_vote("b2", 1, takeover.round)
    assert takeover.may_write(9.0)
    takeover.observe("a1", 1, 6, QUORUM, 9.0)
    for host in ("a2", "b1", "b2"):
        takeover.record_vote(host, 1, takeover.round - 1)
    assert not takeover.may_write(20.0)


def test_holder_needs_old_and_new_quorum_while_a_write_is_pending() -> None:
    """Guards against two majorities of witnesses that do not intersect."""
    held_leases = HeldLeases("a1", LEASE_S)
    held_leases.acquire(SHARD, 1, QUORUM, -100.0)
    for witness in ("b1", "b2"):
        held_leases.record_grant(SHARD, 1, witness, 0.0)
    assert held_leases.valid(SHARD, 1.0)
    others = Quorum(frozenset({"a1", "c1", "c2"}), frozenset({"a1", "a2"}))
    held_leases.propose_quorum(SHARD, others)
    assert not held_leases.valid(SHARD, 1.0)
    held_leases.record_grant(SHARD, 1, "c1", 0.0)
    assert held_leases.valid(SHARD, 1.0)
    assert not held_leases.valid(SHARD, LEASE_S)
