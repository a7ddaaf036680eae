"""Service that acquires, renews, takes over and releases shard leases.

Connects the lease protocol in `leases` to the peers and the table. Heartbeats
carry the leases held, their replies carry grants, and the replies to release
requests carry votes. The table has one row for each shard. The service tells
`limits` which shards are usable and when to activate a manifest version.
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
STEP_INTERVAL_S: Final = 0.25  # minimum time between table steps of one shard
MAX_LEASES_PER_HEARTBEAT: Final = 256  # further leases get no grant
MAX_STEPS_PER_TICK: Final = 8  # table steps started, over all shards
# The generation field of release messages carries the round in its upper bits,
# so that a late vote for an earlier round does not count.
ROUND_SHIFT: Final = 32
GENERATION_MASK: Final = (1 << ROUND_SHIFT) - 1


class Peers(Protocol):
    """The part of `PeerService` that leases use."""

    heartbeat_fillers: list[Callable[[Heartbeat], None]]
    heartbeat_listeners: list[Callable[[Heartbeat, float], object]]
    reply_fillers: list[Callable[[Heartbeat, HeartbeatReply, float], None]]
    reply_listeners: list[Callable[[HeartbeatReply, float, float], object]]

    def send(self, host: str, message: Any) -> object: ...

    def on_message(self, kind: Any, handler: Callable[[Any, Any], None]) -> object: ...


class LeaseKeeper:
    """Acquires, renews, takes over and releases shard leases."""

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
        """Create the service and register its hooks with the peer service.

        `clock` must be the clock that the peer service passes to the hooks.
        The reactor only drives the ticks: by default its clock is the wall
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
        self._takeovers: dict[str, Takeover] = {}  # keyed by shard
        # Start of the last table step, keyed by shard.
        self._step_started_at: dict[str, float] = {}
        # Generation that must not be used again, keyed by shard.
        self._dropped_generations: dict[str, int] = {}
        # Start of the drain of each shard that is to be released.
        self._draining_since: dict[str, float] = {}
        # Shards with a table step in progress.
        self._busy_shards: set[str] = set()
        self._version = 0  # version of the manifest in force
        self._manifest: Manifest | None = None
        self._own_region_shards: frozenset[str] = frozenset()
        # Quorum under the manifest in force, keyed by shard.
        self._configured_quorums: dict[str, Quorum] = {}
        # Shards of earlier manifests, until the version in force is activated.
        self._old_shards: frozenset[str] = frozenset()
        self._stopping = False
        # Time at which each lease was acquired, keyed by shard.
        self._acquired_at: dict[str, float] = {}
        self._loop = LoopingCall(self._tick_safely)
        self._loop.clock = reactor
        peers.heartbeat_fillers.append(self._fill_heartbeat)
        peers.heartbeat_listeners.append(self._record_heartbeat)
        peers.reply_fillers.append(self._fill_reply)
        peers.reply_listeners.append(self._record_reply)
        peers.on_message(ReleaseRequest, self._answer_release)
        peers.on_message(ReleaseReply, self._record_vote)

    def start(self) -> None:
        """Start the periodic tick."""
        self._loop.start(TICK_S, now=True)

    def stop(self) -> None:
        """Stop the periodic tick, so that leases not yet released expire."""
        if self._loop.running:
            self._loop.stop()

    def apply_manifest(self, version: int, manifest: Manifest) -> None:
        """Use a newer manifest, which `limits` must have applied before."""
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
        """Return whether the lease is valid and the shard is not draining."""
        return self._held_leases.valid(shard, now) and shard not in self._draining_since

    def generation(self, shard: str) -> int | None:
        """Return the generation of a lease held, valid or not."""
        return self._held_leases.shards().get(shard)

    async def release_all(self) -> None:
        """Release all leases in the table and acquire none afterwards.

        Must be called when no request is in flight. If a row cannot be
        written, the next holder needs votes for a takeover.
        """
        self._stopping = True
        shards = sorted(self._held_leases.shards())
        for shard in shards:
            await self._release(shard)

    def tick(self) -> None:
        """Update the limits, start due table steps, activate a version."""
        now = self._clock()
        self._limits.set_held(self.held(now), now)
        if self._manifest is None or self._stopping:
            return
        self._update_draining(now)
        started = 0
        for shard, step in self._due_steps(now):
            due = now >= self._step_started_at.get(shard, NEVER) + STEP_INTERVAL_S
            if due and shard not in self._busy_shards and started < MAX_STEPS_PER_TICK:
                started += 1
                self._step_started_at[shard] = now
                self._run(shard, step(shard))
        self._activate(now)

    def _tick_safely(self) -> None:
        """Run a tick; log its failure, which would otherwise stop the loop."""
        try:
            self.tick()
        except Exception:
            logger.exception("periodic lease update failed")

    def _run(self, shard: str, step: Coroutine[Any, Any, None]) -> None:
        self._busy_shards.add(shard)

        def finish(outcome: object) -> None:
            self._busy_shards.discard(shard)
            if outcome is not None:
                logger.error("table step of shard {} failed: {}", shard, outcome)

        Deferred.fromCoroutine(step).addBoth(finish)

    def _due_steps(
        self, now: float
    ) -> list[tuple[str, Callable[[str], Coroutine[Any, Any, None]]]]:
        """Return the due table step of each shard, most urgent first."""
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

    # Selection of the leases that this host should hold.

    def _region_shards(self) -> frozenset[str]:
        """Return the shards of this host's region, if it is configured."""
        return self._own_region_shards

    def _is_live(self, host: str, now: float) -> bool:
        """Return whether a peer or this host is live and not stopping."""
        if host == self._host:
            return not self._stopping
        return self._peer_leases.is_live(host, now)

    def _should_hold(self, shard: str, now: float) -> bool:
        """Return whether this host should try to acquire a shard.

        It should acquire its own shard. It should also acquire a shard whose
        configured host is silent, stopping or removed, if no live peer holds
        it and this host has the highest score for it among the live hosts of
        the region. It acquires none while a peer reports a newer manifest.
        """
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
        """Return whether only the row can show that a shard is released.

        This concerns shards that were removed from the manifest. The host of
        the region that is the candidate for the shard reads the row anyway.
        The others must also see the release before they use the shard's
        upstreams.
        """
        if shard in self._region_shards():
            return False
        if self._limits.active_version() >= self._version:
            return False
        return not self._holder_applies(
            shard, now
        ) and shard not in self._peer_leases.shards_of_live_peers(now)

    def _update_draining(self, now: float) -> None:
        """Update the set of shards that are drained to be released.

        These are the shards whose configured host is live again or was removed
        from the manifest.
        """
        for shard in self._held_leases.shards():
            removed = shard not in self._region_shards()
            if removed or self._peer_leases.configured_host_lacks(shard, now):
                self._draining_since.setdefault(shard, now)
            else:
                self._draining_since.pop(shard, None)

    def _is_drained(self, shard: str, now: float) -> bool:
        if shard not in self._draining_since:
            return False
        return self._limits.shard_in_flight(shard) == 0

    def _quorum(self, shard: str) -> Quorum:
        """Return the quorum of a shard under the manifest in force."""
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
        """Activate the newest version once all holders apply it."""
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
        """Return whether no holder of a shard exceeds the newest limits.

        Either the shard was removed and is released, or its holder has drained
        to exactly the version in force.
        """
        if shard in self._held_leases.shards():
            return self._limits.drained_version() == self._version
        row = self._table.last_seen(shard)
        if shard not in self._region_shards() and row is not None and row.released():
            return True
        return self._peer_leases.holder_applies(shard, self._version, now)

    # Table steps. Each reads and writes its row at most once, except that
    # `_release` tries twice.

    async def _read(self, shard: str) -> ShardRow | None:
        """Read a row; return None if it is missing or the read failed."""
        fetched = await self._table.find(shard)
        row: ShardRow | None = fetched.unwrap_or(None)
        if row is not None:
            self._witness.learn(shard, row.generation)
        return row

    async def _own_row(self, shard: str) -> ShardRow | None:
        """Return a held lease's row; drop the lease if it was taken over."""
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
        self._draining_since.pop(shard, None)
        now = self._clock()
        self._limits.set_held(self.held(now), now)

    async def _renew(self, shard: str) -> None:
        """Renew a lease in the table with the configured quorum."""
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
            self._held_leases.record_renewal(shard, generation, sent_at)

    def _needs_new_generation(self, shard: str, now: float) -> bool:
        """Return whether the witnesses seem to refuse this generation.

        Witnesses that voted in a takeover that was then abandoned never grant
        the generation again. Without a new one, the holder would depend on
        renewals in the table indefinitely.
        """
        age = now - self._acquired_at.get(shard, now)
        return age > 2 * self._lease_s and not self._held_leases.granted_by_peers(
            shard, now
        )

    async def _release(self, shard: str) -> None:
        """Give up a lease, then release it in the table."""
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
        """Read the row of a shard to see whether it is released."""
        await self._read(shard)

    async def _acquire(self, shard: str) -> None:
        """Create the row, acquire a released shard, or continue a takeover."""
        if self._stopping:
            return
        fetched = await self._table.find(shard)
        if not isinstance(fetched, Ok):
            return
        row = fetched.ok_value
        if row is None:
            now = self._clock()
            silent = self._peer_leases.is_silent_for(shard, self._lease_s, now)
            if shard == self._host or silent or shard not in self._region_shards():
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
        """Acquire a lease after a write whose result was not known."""
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
        # yet. A vote would prevent all later grants of its generation.
        silent = self._peer_leases.is_silent_for(row.holder, self._lease_s, now)
        if not (silent or takeover.waited(now) or row.holder == self._host):
            return
        round_and_generation = takeover.round << ROUND_SHIFT | row.generation
        for host in takeover.missing():
            if host != self._host:
                self._peers.send(
                    host, ReleaseRequest(shard, round_and_generation, self._host)
                )
            elif self._witness.vote(shard, row.generation, now):
                takeover.record_vote(host, row.generation, takeover.round)

    async def _write_and_acquire(
        self, shard: str, revision: int, generation: int, delay_dispatch: bool
    ) -> None:
        """Write a new generation; hold the lease if the write is confirmed."""
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
            self._limits.record_takeover(shard, now)
        self._limits.set_held(self.held(now), now)
        logger.info("shard {} acquired, generation {}", shard, generation)

    async def _fence(self, shard: str) -> None:
        """Raise a row's revision, to void earlier votes of this host."""
        row = await self._read(shard)
        if row is None:
            self._witness.forget(shard)
            return
        fence = f"{self._host}.{self._incarnation}"
        attributes = row.attributes | {"fence": fence}
        if await self._table.write(shard, row.revision, attributes):
            self._witness.record_fenced(shard, row.generation)

    # Hooks of the peer service.

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.shards = [
            ShardLease(shard, generation)
            for shard, generation in sorted(self._held_leases.shards().items())
        ]
        heartbeat.drained_version = self._limits.drained_version()

    def _record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._peer_leases.record_heartbeat(heartbeat, now)

    def _fill_reply(
        self, heartbeat: Heartbeat, reply: HeartbeatReply, now: float
    ) -> None:
        if heartbeat.host == self._host:
            return
        for lease in heartbeat.shards[:MAX_LEASES_PER_HEARTBEAT]:
            if self._witness.grant(lease.name, lease.generation, now):
                reply.grants.append(lease)

    def _record_reply(self, reply: HeartbeatReply, sent_at: float, now: float) -> None:
        self._peer_leases.record_version(reply.manifest_version)
        for lease in reply.grants:
            self._held_leases.record_grant(
                lease.name, lease.generation, reply.host, sent_at
            )

    def _answer_release(
        self, request: ReleaseRequest, respond: Callable[[Any], object]
    ) -> None:
        generation = request.generation & GENERATION_MASK
        granted = self._witness.vote(request.shard, generation, self._clock())
        respond(ReleaseReply(request.shard, request.generation, granted, self._host))

    def _record_vote(self, reply: ReleaseReply, respond: object) -> None:
        takeover = self._takeovers.get(reply.shard)
        if takeover is not None and reply.granted:
            generation = reply.generation & GENERATION_MASK
            takeover.record_vote(
                reply.host, generation, reply.generation >> ROUND_SHIFT
            )
