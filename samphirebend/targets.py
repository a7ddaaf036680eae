"""Chooses the target of each attempt: a slot of an upstream, or a peer.

An upstream target is a reserved slot of an upstream whose shard this host
holds. A peer target is a host that reported free slots. `dispatch` asks for a
target before each attempt and releases the slot after it.

Requests queue here for a slot. Requests suspected of crashing upstreams
(suspects) wait here for an upstream on which they can run alone.
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

# Maximum number of relays of one request. It does not limit relays of a
# suspect to the host that must run it.
MAX_RELAYS: Final = 2
# Maximum time in seconds for which a waiting suspect keeps other requests from
# an upstream. With 1 s, suspects that took turns on a busy service were
# refused.
SUSPECT_WAIT_S: Final = 3.0
# Interval in seconds at which a waiting suspect checks for an idle upstream.
SUSPECT_RECHECK_S: Final = 0.01


class UpstreamTarget:
    """A reserved slot at an upstream."""

    __slots__ = ("alone", "slot", "upstream")

    def __init__(self, upstream: Upstream, slot: Slot, alone: bool) -> None:
        self.upstream = upstream
        self.slot = slot
        # Whether no other request may be in flight at the upstream meanwhile.
        self.alone = alone


class PeerTarget:
    """A peer that probably has a free slot, or that must run a suspect."""

    __slots__ = ("alone", "host")

    def __init__(self, host: str, alone: bool = False) -> None:
        self.host = host
        self.alone = alone  # whether the request is a suspect


class SlotQueue:
    """FIFO queues of requests that wait for a slot, one for each service."""

    __slots__ = ("_reactor", "_wait_s", "_waiting")

    def __init__(self, reactor: Any, wait_s: float) -> None:
        self._reactor = reactor
        self._wait_s = wait_s
        # Fired with True when a slot may be free and with False on timeout,
        # keyed by service.
        self._waiting: dict[str, deque[Deferred[bool]]] = {}

    def length(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        return len(self._waiting.get(service, ()))

    async def wait(self, service: str, started: float) -> bool:
        """Wait for a slot; return False if the wait timed out.

        The timeout counts from the start of the request, because a refused
        relay followed by a full wait would exceed the time limit for refusals.
        """
        wait_s = started + self._wait_s - self._reactor.seconds()
        if wait_s <= 0.0:
            return False
        wakeup: Deferred[bool] = Deferred()
        waiting = self._waiting.setdefault(service, deque())
        waiting.append(wakeup)
        timer = self._reactor.callLater(wait_s, wakeup.callback, False)
        got_slot = await wakeup
        if timer.active():
            timer.cancel()
        else:
            waiting.remove(wakeup)
        return got_slot

    def wake(self, service: str) -> None:
        """Wake the request that has waited longest."""
        waiting = self._waiting.get(service)
        if waiting:
            waiting.popleft().callback(True)


class TargetFinder:
    """Chooses targets and releases their slots; one per daemon."""

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
        self.shards: dict[str, str] = {}  # keyed by upstream

    def apply(self, manifest: Manifest, shards: dict[str, str]) -> None:
        """Use the manifest in force and the shards of its upstreams."""
        self._manifest = manifest
        self.shards = shards

    def find(self, job: Job, waited: bool) -> UpstreamTarget | PeerTarget | ErrorKind:
        """Return a target for the job, or the error kind if there is none now.

        `waited` is whether the job has waited in the queue or for a trial.
        """
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
            trial_host = self._router.host_for_suspect(job, now)
            if trial_host != self._host:
                # The host may have been tried before the crash made the
                # request a suspect. It is asked once more, because no other
                # host may run the request.
                if trial_host in job.trial_hosts:
                    return ErrorKind.CAP_REACHED
                job.overflow = False
                return PeerTarget(trial_host, alone=True)
        must_queue = not alone and not waited and not job.attempts
        if must_queue and self._queue.length(job.service.name):
            # Queued requests have priority for the slots of this host.
            return self._choose_peer(job, 0, now) or ErrorKind.CAP_REACHED
        if alone:
            return self._choose_upstream(job, alone, now)
        own_free = self._router.own_free(job.service.name, now)
        if own_free and not waited:
            peer = self._choose_peer(job, own_free, now)
            if peer is not None:
                return peer
        target = self._choose_upstream(job, alone, now)
        if isinstance(target, UpstreamTarget):
            return target
        return self._choose_peer(job, 0, now) or target

    def _choose_peer(self, job: Job, own_free: int, now: float) -> PeerTarget | None:
        if not job.relay_allowed or job.relays >= MAX_RELAYS:
            return None
        job.overflow = own_free == 0
        host = self._router.peer_for(job, own_free, now)
        return PeerTarget(host) if host is not None else None

    def _choose_upstream(
        self, job: Job, alone: bool, now: float
    ) -> UpstreamTarget | ErrorKind:
        manifest = self._manifest
        if manifest is None:
            return ErrorKind.NO_MANIFEST
        slot_usages = self._limits.slot_usages(job.service.name)
        if not slot_usages:
            return ErrorKind.LEASE_LAPSED
        leases: dict[str, bool] = {}  # whether usable, keyed by shard
        candidates = [
            usage
            for usage in slot_usages
            if self._is_candidate(job, usage, leases, now)
        ]
        if not candidates:
            return ErrorKind.NO_UPSTREAM
        is_available = self._quarantine.idle if alone else self._accepts_requests
        usable = [usage for usage in candidates if is_available(usage.upstream)]
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
            self._router.reservation.record_begin(service, now)
        # Recorded before a suspect's claim of the upstream is released: a
        # request woken by the release must see that a trial is running.
        self._quarantine.record_connect(job.fingerprint, name, now)
        return UpstreamTarget(manifest.upstreams[name], reserved.ok_value, alone)

    def _accepts_requests(self, upstream: str) -> bool:
        return not self._quarantine.held_for_trial(upstream)

    def _is_candidate(
        self, job: Job, usage: SlotUsage, leases: dict[str, bool], now: float
    ) -> bool:
        """Return whether the job may go to an upstream once it has a slot.

        Lower the limit of `usage` to what the upstream's state allows now.
        `leases` caches whether each lease can be used, keyed by shard.
        """
        name = usage.upstream
        if name in job.tried:
            return False
        usage.limit = self._states.limit(name, usage.limit, now)
        shard = self.shards.get(name, "")
        if shard not in leases:
            leases[shard] = self._keeper.may_dispatch(shard, now)
        return usage.limit > 0 and leases[shard]

    def runs_trial(self, job: Job) -> bool:
        """Return whether this host must run the job alone, as a suspect."""
        now = self._reactor.seconds()
        verdict = self._quarantine.verdict(job.fingerprint, now)
        if verdict not in (Verdict.ALONE, Verdict.WAIT):
            return False
        return (
            not job.relay_allowed
            or self._router.host_for_suspect(job, now) == self._host
        )

    async def wait_for_trial(self, job: Job) -> UpstreamTarget | PeerTarget | ErrorKind:
        """Wait until the suspect can run alone; return its target.

        Return an error kind if the time or the caller's connection ends
        first, or if this host no longer has to run the suspect and there is no
        target.
        """
        until = min(job.deadline, self._reactor.seconds() + SUSPECT_WAIT_S)
        claimed: str | None = None
        try:
            while True:
                claimed = self._update_claim(job, claimed)
                await deferLater(self._reactor, SUSPECT_RECHECK_S)
                target = self.find(job, waited=True)
                if not isinstance(target, ErrorKind) or not self.runs_trial(job):
                    return target
                if self._reactor.seconds() >= until or job.req.closed:
                    return target
        finally:
            if claimed is not None:
                self._release_claim(job, claimed)

    def _update_claim(self, job: Job, claimed: str | None) -> str | None:
        """Claim an upstream for the suspect and return it.

        Return None if no claim is needed or no upstream can be used. A claimed
        upstream gets no other requests, so that it becomes idle. The previous
        claim is kept while its upstream can be used. Upstreams that other
        suspects have claimed are preferred, so that few are withheld from
        other requests.
        """
        now = self._reactor.seconds()
        slot_usages: list[SlotUsage] = []
        if self._quarantine.verdict(job.fingerprint, now) is Verdict.ALONE:
            slot_usages = [
                usage
                for usage in self._limits.slot_usages(job.service.name)
                if self._is_candidate(job, usage, {}, now)
                and self._will_have_free_slot(usage)
            ]
        if claimed is not None:
            if any(usage.upstream == claimed for usage in slot_usages):
                return claimed
            self._release_claim(job, claimed)
        if not slot_usages:
            return None
        best = min(
            slot_usages,
            key=lambda usage: (
                not self._quarantine.claimed(usage.upstream),
                usage.in_flight,
            ),
        )
        self._quarantine.claim(best.upstream)
        return best.upstream

    def _will_have_free_slot(self, usage: SlotUsage) -> bool:
        """Return whether a slot will be free once the upstream is idle.

        After a crash, the requests that were in flight may keep their slots
        until their deadline although the upstream is idle. A suspect would
        wait there in vain.
        """
        return usage.in_flight < usage.limit or not self._quarantine.idle(
            usage.upstream
        )

    def _release_claim(self, job: Job, upstream: str) -> None:
        self._quarantine.release_claim(upstream)
        self._wake_for(upstream, job.service.name)

    async def wait_for_slot(self, job: Job, started: float) -> bool:
        """Wait in the queue for a slot; return whether to try again."""
        service = job.service.name
        # The host that relayed the request has a queue of its own. Waiting in
        # both would exceed the time limit for refusals.
        if not job.relay_allowed:
            return False
        # With more waiting requests than slots, the last could not be served
        # in time.
        if self._queue.length(service) >= self._limits.total(service):
            return False
        return await self._queue.wait(service, started)

    def release(self, slot: Slot, upstream: Upstream) -> None:
        """Release a slot and wake a request that waits for one."""
        if slot.in_use and not slot.overflow:
            now = self._reactor.seconds()
            self._router.reservation.record_end(upstream.service, now)
        self._limits.release(slot)
        self._wake_for(upstream.name, upstream.service)

    def _wake_for(self, upstream: str, service: str) -> None:
        """Wake a waiting request if the upstream accepts new requests."""
        if self._accepts_requests(upstream):
            self._queue.wake(service)
