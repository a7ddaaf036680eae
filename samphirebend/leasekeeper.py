"""Runs the shard leases of this process against its peers and the table.

Heartbeats and their replies carry leases and grants; release requests carry
votes; the table holds one row for each shard. `limits` is told which shards
are usable, and when a manifest version may be activated.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

from loguru import logger
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from .leases import NEVER, HeldLeases, Quorum, Takeover, Witness
from .leasetable import HELD, RELEASED, MakeRow, ShardRow, ShardTable, Table
from .limits import Limits
from .manifest import Manifest
from .peerleases import LIVENESS_S, PeerLeases
from .shards import rendezvous_score, witnesses
from .wire import Heartbeat, HeartbeatReply, ReleaseReply, ReleaseRequest, ShardLease

TICK_S: Final = 0.1
STEP_INTERVAL_S: Final = 0.25
MAX_LEASES_PER_HEARTBEAT: Final = 256
MAX_STEPS_PER_TICK: Final = 8
# The generation field of release messages carries the round in its upper half,
# because a late vote of an earlier round must not count.
ROUND_SHIFT: Final = 32
GENERATION_MASK: Final = (1 << ROUND_SHIFT) - 1


class Peers(Protocol):
    """The part of `PeerService` that is used here."""

    heartbeat_fillers: list[Callable[[Heartbeat], None]]
    heartbeat_listeners: list[Callable[[Heartbeat, float], object]]
    reply_fillers: list[Callable[[Heartbeat, HeartbeatReply, float], None]]
    reply_listeners: list[Callable[[HeartbeatReply, float, float], object]]

    def send(self, host: str, message: Any) -> object: ...

    def on_message(self, kind: Any, handler: Callable[[Any, Any], None]) -> object: ...


class LeaseKeeper:
    """Acquires, renews, takes over and returns shard leases."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        lease_s: float,
        peers: Peers,
        table: Table,
        make_row: MakeRow,
        limits: Limits,
        reactor: Any,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the service; `clock` is also the clock of the peers' hooks.

        The reactor only drives the ticks: its own clock follows the wall
        clock, which may be set back.
        """
        self._host = host
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._peers = peers
        self._limits = limits
        self._clock = clock
        self._held_leases = HeldLeases(host, lease_s)
        started_at = clock()
        self._witness = Witness(started_at, lease_s)
        self._peer_leases = PeerLeases(host, started_at)
        self._table = ShardTable(host, incarnation, table, make_row)
        self._takeovers: dict[str, Takeover] = {}
        self._step_started_at: dict[str, float] = {}  # start of the last table step
        self._dropped_generations: dict[
            str, int
        ] = {}  # generations not to be used again
        self._returning: dict[str, float] = {}  # shard to start of its drain
        self._busy_shards: set[str] = set()  # shards with a table operation under way
        self._version = 0
        self._manifest: Manifest | None = None
        self._own_region_shards: frozenset[str] = frozenset()
        self._configured_quorums: dict[str, Quorum] = {}  # of the manifest in force
        self._old_shards: frozenset[str] = frozenset()  # until activation
        self._stopping = False
        self._acquired_at: dict[str, float] = {}
        self._loop = LoopingCall(self._tick_safely)
        self._loop.clock = reactor
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._note_heartbeat)
        peers.reply_fillers.append(self._fill_reply)
        peers.reply_listeners.append(self._note_reply)
        peers.on_message(ReleaseRequest, self._answer_release)
        peers.on_message(ReleaseReply, self._note_vote)

    def start(self) -> None:
        """Start the periodic tick."""
        self._loop.start(TICK_S, now=True)

    def stop(self) -> None:
        """Stop the periodic tick; leases not released expire."""
        if self._loop.running:
            self._loop.stop()

    def note_manifest(self, version: int, manifest: Manifest) -> None:
        """Use a newer manifest in force; `limits` applies it before this call."""
        if version <= self._version:
            return
        self._old_shards |= self._region_shards()
        self._version = version
        self._manifest = manifest
        host = manifest.hosts.get(self._host)
        shards = manifest.hosts_of(host.region) if host else []
        self._own_region_shards = frozenset(shards)
        self._configured_quorums.clear()

    def held(self, now: float) -> frozenset[str]:
        """Return the shards whose slots may be used now."""
        return frozenset(
            shard
            for shard in self._held_leases.shards()
            if self.may_dispatch(shard, now)
        )

    def may_dispatch(self, shard: str, now: float) -> bool:
        """Tell whether the lease is valid and the shard is not being returned."""
        return self._held_leases.valid(shard, now) and shard not in self._returning

    def generation(self, shard: str) -> int | None:
        """Return the generation of a lease held, valid or not."""
        return self._held_leases.shards().get(shard)

    async def release_all(self) -> None:
        """Give up all leases and say so in the table; acquire none afterwards.

        To be called when no request is in flight any more. A row that cannot
        be written keeps its state, and the next holder needs votes.
        """
        self._stopping = True
        shards = sorted(self._held_leases.shards())
        for shard in shards:
            await self._release(shard)

    def tick(self) -> None:
        """Do what is due: start table steps, update limits, activate."""
        now = self._clock()
        self._limits.set_held(self.held(now), now)
        if self._manifest is None or self._stopping:
            return
        self._update_returns(now)
        started = 0
        for shard, step in self._due_steps(now):
            due = now >= self._step_started_at.get(shard, NEVER) + STEP_INTERVAL_S
            if due and shard not in self._busy_shards and started < MAX_STEPS_PER_TICK:
                started += 1
                self._step_started_at[shard] = now
                self._run(shard, step(shard))
        self._activate(now)

    def _tick_safely(self) -> None:
        """Keep the loop running after a failed tick; it would stop otherwise."""
        try:
            self.tick()
        except Exception:
            logger.exception("lease tick failed")

    def _run(self, shard: str, step: Coroutine[Any, Any, None]) -> None:
        self._busy_shards.add(shard)

        def finish(outcome: object) -> None:
            self._busy_shards.discard(shard)
            if outcome is not None:
                logger.error("lease step failed for {}: {}", shard, outcome)

        Deferred.fromCoroutine(step).addBoth(finish)

    def _due_steps(
        self, now: float
    ) -> list[tuple[str, Callable[[str], Coroutine[Any, Any, None]]]]:
        """Return shards with the step that each needs, most urgent first."""
        steps: list[tuple[str, Callable[[str], Coroutine[Any, Any, None]]]] = []
        leases = self._held_leases.shards()
        self._peer_leases.begin_tick()
        for shard in leases:
            if self._is_drained(shard, now):
                steps.append((shard, self._release))
            elif self._held_leases.needs_renewal(shard, now) or self._quorum_differs(
                shard
            ):
                steps.append((shard, self._renew))
        for shard in sorted(self._region_shards() | self._old_shards):
            if shard not in leases and self._should_hold(shard, now):
                steps.append((shard, self._acquire))
            elif shard not in leases and self._must_check_release(shard, now):
                steps.append((shard, self._check_release))
        steps.extend((shard, self._fence) for shard in self._witness.to_fence())
        return steps

    # What this host should hold

    def _region_shards(self) -> frozenset[str]:
        """Return the shards of this host's region; empty if it is not configured."""
        return self._own_region_shards

    def _is_live(self, host: str, now: float) -> bool:
        """Tell whether a host was heard lately and is not stopping."""
        if host == self._host:
            return not self._stopping
        return self._peer_leases.is_live(host, now)

    def _should_hold(self, shard: str, now: float) -> bool:
        """Tell whether this host should try to hold a shard."""
        if self._version < self._peer_leases.highest_version:
            return False
        if shard == self._host:
            return shard in self._region_shards()
        removed = shard not in self._region_shards()
        absent = self._peer_leases.is_silent_for(shard, LIVENESS_S, now)
        if not removed and not absent:
            return False
        if shard in self._peer_leases.shards_of_live_peers(now):
            return False
        live = [name for name in self._region_shards() if self._is_live(name, now)]
        return (
            max(live, key=lambda name: rendezvous_score(shard, name), default="")
            == self._host
        )

    def _must_check_release(self, shard: str, now: float) -> bool:
        """Tell whether only the table can say that a removed shard is released.

        One host of the region reads the row as a candidate for the shard; the
        others wait for the release as well before they use its upstreams.
        """
        if shard in self._region_shards():
            return False
        if self._limits.active_version() >= self._version:
            return False
        return not self._holder_applies(
            shard, now
        ) and shard not in self._peer_leases.shards_of_live_peers(now)

    def _update_returns(self, now: float) -> None:
        """Start to drain shards whose configured host is live again or removed."""
        for shard in self._held_leases.shards():
            removed = shard not in self._region_shards()
            if removed or self._peer_leases.configured_host_lacks(shard, now):
                self._returning.setdefault(shard, now)
            else:
                self._returning.pop(shard, None)

    def _is_drained(self, shard: str, now: float) -> bool:
        if shard not in self._returning:
            return False
        return self._limits.shard_in_flight(shard) == 0

    def _quorum(self, shard: str) -> Quorum:
        """Return the hosts that count under the manifest in force."""
        if self._manifest is None:
            return Quorum(frozenset(), frozenset())
        if shard not in self._configured_quorums:
            names = frozenset(witnesses(self._manifest, shard))
            self._configured_quorums[shard] = Quorum(names, self._region_shards())
        return self._configured_quorums[shard]

    def _quorum_differs(self, shard: str) -> bool:
        return shard in self._region_shards() and (
            self._held_leases.quorum(shard) != self._quorum(shard)
        )

    def _activate(self, now: float) -> None:
        """Activate the newest version when all holders in the region apply it."""
        if self._limits.active_version() >= self._version:
            return
        if self._version < self._peer_leases.highest_version:
            return
        shards = self._region_shards() | self._old_shards
        if shards and all(self._holder_applies(shard, now) for shard in shards):
            self._limits.activate(self._version)
            if self._limits.active_version() == self._version:
                self._old_shards = frozenset()

    def _holder_applies(self, shard: str, now: float) -> bool:
        """Tell whether a shard's holder has drained to exactly this version."""
        if shard in self._held_leases.shards():
            return self._limits.drained_version() == self._version
        row = self._table.last_seen(shard)
        if shard not in self._region_shards() and row is not None and row.released():
            return True
        return self._peer_leases.holder_applies(shard, self._version, now)

    # Table steps: at most one read and one write each

    async def _read(self, shard: str) -> ShardRow | None:
        """Read a row; None if it is missing or the table gave no answer."""
        found = await self._table.find(shard)
        row: ShardRow | None = found.unwrap_or(None)
        if row is not None:
            self._witness.learn(shard, row.generation)
        return row

    async def _own_row(self, shard: str) -> ShardRow | None:
        """Return the row of a lease held; drop the lease if another holds it."""
        row = self._table.last_seen(shard) or await self._read(shard)
        generation = self.generation(shard)
        if row is None or generation is None:
            return None
        if not self._table.is_own(row) or row.generation != generation:
            self._drop(shard)
            return None
        return row

    def _drop(self, shard: str) -> None:
        generation = self.generation(shard)
        if generation is not None:
            self._dropped_generations[shard] = generation
        self._held_leases.drop(shard)
        self._returning.pop(shard, None)
        now = self._clock()
        self._limits.set_held(self.held(now), now)

    async def _renew(self, shard: str) -> None:
        """Renew a lease, with the quorum of the manifest in force."""
        row = await self._own_row(shard)
        generation = self.generation(shard)
        if row is None or generation is None:
            return
        if self._table.is_newer_than_write(shard, row):
            self._held_leases.confirm_quorum(shard, row.quorum())
        quorum = self._quorum(shard)
        if shard not in self._region_shards():
            quorum = row.quorum()
        self._held_leases.propose_quorum(shard, quorum)
        sent_at = self._clock()
        renewed = generation + self._needs_new_generation(shard, sent_at)
        attributes = self._table.attributes(renewed, quorum, HELD)
        took_effect = await self._table.write(shard, row.revision, attributes)
        if not took_effect or self.generation(shard) != generation:
            return
        if renewed > generation:
            self._acquired(shard, renewed, quorum, sent_at, delay_dispatch=False)
        else:
            self._held_leases.confirm_quorum(shard, quorum)
            self._held_leases.note_renewal(shard, generation, sent_at)

    def _needs_new_generation(self, shard: str, now: float) -> bool:
        """Tell whether the witnesses seem to have released this generation.

        They never grant it again after an abandoned takeover; without a new
        generation, the holder would renew in the table for ever.
        """
        age = now - self._acquired_at.get(shard, now)
        return age > 2 * self._lease_s and not self._held_leases.granted_by_peers(
            shard, now
        )

    async def _release(self, shard: str) -> None:
        """Stop using a lease, then write that the next holder may start."""
        generation, quorum = self.generation(shard), self._held_leases.quorum(shard)
        if generation is None or quorum is None:
            return
        self._drop(shard)
        for _ in range(2):
            row = self._table.last_seen(shard) or await self._read(shard)
            if (
                row is None
                or not self._table.is_own(row)
                or row.generation != generation
            ):
                return
            attributes = self._table.attributes(generation, quorum, RELEASED)
            if await self._table.write(shard, row.revision, attributes):
                return

    async def _check_release(self, shard: str) -> None:
        """Learn whether the row of a shard says that it is released."""
        await self._read(shard)

    async def _acquire(self, shard: str) -> None:
        """Create a row, take a released shard, or go on with a takeover."""
        if self._stopping:
            return
        found = await self._table.find(shard)
        if not isinstance(found, Ok):
            return
        row = found.ok_value
        if row is None:
            now = self._clock()
            unheard = self._peer_leases.is_silent_for(shard, self._lease_s, now)
            if shard == self._host or unheard or shard not in self._region_shards():
                await self._write_and_acquire(shard, 0, 1, delay_dispatch=False)
            return
        self._witness.learn(shard, row.generation)
        if row.released() and shard not in self._region_shards():
            return
        if row.released():
            await self._write_and_acquire(
                shard, row.revision, row.generation + 1, delay_dispatch=False
            )
        elif self._table.is_own(row):
            await self._adopt(shard, row)
        elif self._peer_leases.is_holder_inactive(shard, row, self._clock()):
            await self._take_over(shard, row)

    async def _adopt(self, shard: str, row: ShardRow) -> None:
        """Use a row that this process wrote without seeing the result."""
        if row.generation <= self._dropped_generations.get(shard, 0):
            await self._write_and_acquire(
                shard, row.revision, row.generation + 1, delay_dispatch=True
            )
            return
        self._acquired(shard, row.generation, row.quorum(), NEVER, delay_dispatch=True)

    async def _take_over(self, shard: str, row: ShardRow) -> None:
        takeover = self._takeovers.get(shard)
        if takeover is None:
            takeover = Takeover(self._lease_s, self._incarnation % (1 << 30))
            self._takeovers[shard] = takeover
        now = self._clock()
        takeover.observe(row.holder, row.generation, row.revision, row.quorum(), now)
        if takeover.may_write(now):
            await self._write_and_acquire(
                shard, row.revision, row.generation + 1, delay_dispatch=True
            )
            return
        # A holder that has just written the row may not have sent a heartbeat
        # yet; a vote would keep its generation from ever being granted.
        unheard = self._peer_leases.is_silent_for(row.holder, self._lease_s, now)
        if not (unheard or takeover.waited(now) or row.holder == self._host):
            return
        tagged = takeover.round << ROUND_SHIFT | row.generation
        for host in takeover.missing():
            if host != self._host:
                self._peers.send(host, ReleaseRequest(shard, tagged, self._host))
            elif self._witness.vote(shard, row.generation, now):
                takeover.note_vote(host, row.generation, takeover.round)

    async def _write_and_acquire(
        self, shard: str, revision: int, generation: int, delay_dispatch: bool
    ) -> None:
        """Write the row with a new generation and use it once acknowledged."""
        quorum = self._quorum(shard)
        sent_at = self._clock()
        attributes = self._table.attributes(generation, quorum, HELD)
        if not await self._table.write(shard, revision, attributes):
            return
        self._acquired(shard, generation, quorum, sent_at, delay_dispatch)

    def _acquired(
        self,
        shard: str,
        generation: int,
        quorum: Quorum,
        sent_at: float,
        delay_dispatch: bool,
    ) -> None:
        now = self._clock()
        self._held_leases.acquire(shard, generation, quorum, sent_at)
        self._acquired_at[shard] = now
        self._witness.learn(shard, generation)
        if delay_dispatch:
            self._limits.note_takeover(shard, now)
        self._limits.set_held(self.held(now), now)
        logger.info("shard {} acquired, generation {}", shard, generation)

    async def _fence(self, shard: str) -> None:
        """Raise the revision of a row, so that older votes of this host are void."""
        row = await self._read(shard)
        if row is None:
            self._witness.forget(shard)
            return
        fence = f"{self._host}.{self._incarnation}"
        attributes = row.attributes | {"fence": fence}
        if await self._table.write(shard, row.revision, attributes):
            self._witness.note_fenced(shard, row.generation)

    # Hooks of the peer service

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.shards = [
            ShardLease(shard, generation)
            for shard, generation in sorted(self._held_leases.shards().items())
        ]
        heartbeat.drained_version = self._limits.drained_version()

    def _note_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._peer_leases.note_heartbeat(heartbeat, now)

    def _fill_reply(
        self, heartbeat: Heartbeat, reply: HeartbeatReply, now: float
    ) -> None:
        if heartbeat.host == self._host:
            return
        for lease in heartbeat.shards[:MAX_LEASES_PER_HEARTBEAT]:
            if self._witness.grant(lease.name, lease.generation, now):
                reply.grants.append(lease)

    def _note_reply(self, reply: HeartbeatReply, sent_at: float, now: float) -> None:
        self._peer_leases.note_version(reply.manifest_version)
        for lease in reply.grants:
            self._held_leases.note_grant(
                lease.name, lease.generation, reply.host, sent_at
            )

    def _answer_release(
        self, request: ReleaseRequest, respond: Callable[[Any], object]
    ) -> None:
        generation = request.generation & GENERATION_MASK
        granted = self._witness.vote(request.shard, generation, self._clock())
        respond(ReleaseReply(request.shard, request.generation, granted, self._host))

    def _note_vote(self, reply: ReleaseReply, respond: object) -> None:
        takeover = self._takeovers.get(reply.shard)
        if takeover is not None and reply.granted:
            generation = reply.generation & GENERATION_MASK
            takeover.note_vote(reply.host, generation, reply.generation >> ROUND_SHIFT)
