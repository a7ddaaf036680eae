"""Finds a place for a request.

A place is a slot of an upstream whose shard this host holds, or else a peer
that reported free slots. Requests wait here for a slot, and suspects for an
upstream on which they can run alone. `dispatch` asks before each attempt and
gives the slot back after it.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Final

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .errorcodes import ErrorKind
from .job import Job
from .leasekeeper import LeaseKeeper
from .limits import Limits, Slot
from .manifest import Manifest, Upstream
from .quarantine import Quarantine, Verdict
from .router import Router
from .slotusage import SlotUsage
from .upstreamstate import UpstreamStates

MAX_RELAYS: Final = 2
# Bounds the time for which a waiting suspect keeps an upstream from other work.
# With 1 s, suspects that ran in turn on a busy service were refused.
SUSPECT_WAIT_S: Final = 3.0
SUSPECT_RECHECK_S: Final = 0.01


class UpstreamTarget:
    """A reserved slot at an upstream."""

    __slots__ = ("alone", "slot", "upstream")

    def __init__(self, upstream: Upstream, slot: Slot, alone: bool) -> None:
        self.upstream = upstream
        self.slot = slot
        self.alone = alone


class PeerTarget:
    """A peer that is expected to have a free slot, or is to run a suspect."""

    __slots__ = ("alone", "host")

    def __init__(self, host: str, alone: bool = False) -> None:
        self.host = host
        self.alone = alone


class SlotQueue:
    """Requests that wait a short time for a slot, oldest first, by service."""

    __slots__ = ("_reactor", "_wait_s", "_waiting")

    def __init__(self, reactor: Any, wait_s: float) -> None:
        self._reactor = reactor
        self._wait_s = wait_s
        self._waiting: dict[str, deque[Deferred[bool]]] = {}

    def length(self, service: str) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting.get(service, ()))

    async def wait(self, service: str, started: float) -> bool:
        """Wait for a slot; the result is false when the time has passed.

        It counts from the request's start: a refused relay and a whole wait would
        together take longer than a refusal may.
        """
        wait_s = started + self._wait_s - self._reactor.seconds()
        if wait_s <= 0.0:
            return False
        turn: Deferred[bool] = Deferred()
        waiting = self._waiting.setdefault(service, deque())
        waiting.append(turn)
        timer = self._reactor.callLater(wait_s, turn.callback, False)
        got_slot = await turn
        if timer.active():
            timer.cancel()
        else:
            waiting.remove(turn)
        return got_slot

    def wake(self, service: str) -> None:
        """Let the oldest request try again."""
        waiting = self._waiting.get(service)
        if waiting:
            waiting.popleft().callback(True)


class TargetFinder:
    """Finds and frees places; one per daemon."""

    __slots__ = (
        "_host",
        "_keeper",
        "_limits",
        "_manifest",
        "_quarantine",
        "_queue",
        "_reactor",
        "_router",
        "_states",
        "shards",
    )

    def __init__(
        self,
        host: str,
        reactor: Any,
        limits: Limits,
        keeper: LeaseKeeper,
        states: UpstreamStates,
        quarantine: Quarantine,
        router: Router,
        queue_wait_s: float,
    ) -> None:
        self._host = host
        self._reactor = reactor
        self._limits = limits
        self._keeper = keeper
        self._states = states
        self._quarantine = quarantine
        self._router = router
        self._queue = SlotQueue(reactor, queue_wait_s)
        self._manifest: Manifest | None = None
        self.shards: dict[str, str] = {}  # upstream to shard

    def apply(self, manifest: Manifest, shards: dict[str, str]) -> None:
        """Follow the manifest in force."""
        self._manifest = manifest
        self.shards = shards

    def find(self, job: Job, waited: bool) -> UpstreamTarget | PeerTarget | ErrorKind:
        """Return a place for the job now, or why there is none."""
        now = self._reactor.seconds()
        if now >= job.deadline:
            return ErrorKind.DEADLINE_PASSED
        verdict = self._quarantine.verdict(job.fingerprint, now)
        if verdict is Verdict.BLOCKED:
            return ErrorKind.REQUEST_QUARANTINED
        if verdict is Verdict.WAIT:
            return ErrorKind.CAP_REACHED
        alone = verdict is Verdict.ALONE
        if alone and job.relay_allowed:
            runner = self._router.host_for_suspect(job, now)
            if runner != self._host:
                # The runner may have been tried before the crash; it is asked
                # once more, since no other host may run the suspect.
                if runner in job.trial_hosts:
                    return ErrorKind.CAP_REACHED
                job.overflow = False
                return PeerTarget(runner, alone=True)
        must_queue = not alone and not waited and not job.attempts
        if must_queue and self._queue.length(job.service.name):
            # Those that wait come first.
            return self._choose_peer(job, 0, now) or ErrorKind.CAP_REACHED
        if alone:
            return self._own_place(job, alone, now)
        own_free = self._router.own_free(job.service.name, now)
        if own_free and not waited:
            peer = self._choose_peer(job, own_free, now)
            if peer is not None:
                return peer
        place = self._own_place(job, alone, now)
        if isinstance(place, UpstreamTarget):
            return place
        return self._choose_peer(job, 0, now) or place

    def _choose_peer(self, job: Job, own_free: int, now: float) -> PeerTarget | None:
        if not job.relay_allowed or job.relays >= MAX_RELAYS:
            return None
        job.overflow = own_free == 0
        host = self._router.peer_for(job, own_free, now)
        return PeerTarget(host) if host is not None else None

    def _own_place(
        self, job: Job, alone: bool, now: float
    ) -> UpstreamTarget | ErrorKind:
        manifest = self._manifest
        if manifest is None:
            return ErrorKind.NO_MANIFEST
        slot_usages = self._limits.slot_usages(job.service.name)
        if not slot_usages:
            return ErrorKind.LEASE_LAPSED
        leases: dict[str, bool] = {}  # shard to whether its lease is valid
        open_rooms = [
            room for room in slot_usages if self._is_open(job, room, leases, now)
        ]
        if not open_rooms:
            return ErrorKind.NO_UPSTREAM
        joinable = self._quarantine.idle if alone else self._takes_work
        usable = [room for room in open_rooms if joinable(room.upstream)]
        if not usable:
            return ErrorKind.CAP_REACHED
        name = self._router.upstream_for(usable, now)
        if name is None:
            return ErrorKind.CAP_REACHED
        overflow = not job.relay_allowed and self._router.is_overflow(job.req)
        service = job.service.name
        if overflow and not self._router.overflow_free(service, now):
            return ErrorKind.CAP_REACHED
        reserved = self._limits.reserve(name, now)
        if isinstance(reserved, Err):
            kind: ErrorKind = reserved.err_value
            return kind
        reserved.ok_value.overflow = overflow
        if not overflow:
            self._router.reservation.note_begin(service, now)
        # Before a claim ends: a request that is woken then must find the trial.
        self._quarantine.note_connect(job.fingerprint, name, now)
        return UpstreamTarget(manifest.upstreams[name], reserved.ok_value, alone)

    def _takes_work(self, upstream: str) -> bool:
        return not self._quarantine.held_for_trial(upstream)

    def _is_open(
        self, job: Job, room: SlotUsage, leases: dict[str, bool], now: float
    ) -> bool:
        """Tell whether the job may go to an upstream, however busy that is."""
        name = room.upstream
        if name in job.tried:
            return False
        room.limit = self._states.limit(name, room.limit, now)
        shard = self.shards.get(name, "")
        if shard not in leases:
            leases[shard] = self._keeper.may_dispatch(shard, now)
        return room.limit > 0 and leases[shard]

    def runs_trial(self, job: Job) -> bool:
        """Tell whether this host is to run the job alone on an upstream."""
        now = self._reactor.seconds()
        verdict = self._quarantine.verdict(job.fingerprint, now)
        if verdict not in (Verdict.ALONE, Verdict.WAIT):
            return False
        return (
            not job.relay_allowed
            or self._router.host_for_suspect(job, now) == self._host
        )

    async def wait_for_trial(self, job: Job) -> UpstreamTarget | PeerTarget | ErrorKind:
        """Wait until an upstream is idle or another trial has ended."""
        until = min(job.deadline, self._reactor.seconds() + SUSPECT_WAIT_S)
        claimed: str | None = None
        try:
            while True:
                claimed = self._move_claim(job, claimed)
                await deferLater(self._reactor, SUSPECT_RECHECK_S)
                place = self.find(job, waited=True)
                if not isinstance(place, ErrorKind) or not self.runs_trial(job):
                    return place
                if self._reactor.seconds() >= until or job.req.closed:
                    return place
        finally:
            if claimed is not None:
                self._release_claim(job, claimed)

    def _move_claim(self, job: Job, claimed: str | None) -> str | None:
        """Claim an upstream for the suspect; return it, or None if it needs none.

        An upstream that another suspect has claimed comes first, so that few
        are kept from other work.
        """
        now = self._reactor.seconds()
        slot_usages: list[SlotUsage] = []
        if self._quarantine.verdict(job.fingerprint, now) is Verdict.ALONE:
            slot_usages = [
                room
                for room in self._limits.slot_usages(job.service.name)
                if self._is_open(job, room, {}, now) and self._drains(room)
            ]
        if claimed is not None:
            if any(room.upstream == claimed for room in slot_usages):
                return claimed
            self._release_claim(job, claimed)
        if not slot_usages:
            return None
        best = min(
            slot_usages,
            key=lambda room: (
                not self._quarantine.claimed(room.upstream),
                room.in_flight,
            ),
        )
        self._quarantine.claim(best.upstream)
        return best.upstream

    def _drains(self, room: SlotUsage) -> bool:
        """Tell whether a suspect can run at the upstream once its work has ended.

        After a crash the slots of what was in flight stay in use until its
        deadline, though the upstream is idle; a suspect may wait in vain there.
        """
        return room.in_flight < room.limit or not self._quarantine.idle(room.upstream)

    def _release_claim(self, job: Job, upstream: str) -> None:
        self._quarantine.release_claim(upstream)
        self._wake_for(upstream, job.service.name)

    async def wait_for_slot(self, job: Job, started: float) -> bool:
        """Wait a short time for a slot; return whether it is worth another look."""
        service = job.service.name
        # The host that relays has a queue of its own; two waits in a row take
        # longer than a refusal may.
        if not job.relay_allowed:
            return False
        # More waiting requests than slots cannot all be served in time.
        if self._queue.length(service) >= self._limits.total(service):
            return False
        return await self._queue.wait(service, started)

    def free(self, slot: Slot, upstream: Upstream) -> None:
        """Give a slot back, and wake a request that waits for one."""
        if slot.in_use and not slot.overflow:
            now = self._reactor.seconds()
            self._router.reservation.note_end(upstream.service, now)
        self._limits.release(slot)
        self._wake_for(upstream.name, upstream.service)

    def _wake_for(self, upstream: str, service: str) -> None:
        """Wake a request that waits, unless the upstream takes no new work."""
        if self._takes_work(upstream):
            self._queue.wake(service)
