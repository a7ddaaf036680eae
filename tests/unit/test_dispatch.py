"""Tests the check before a write, limits on retries and trials of suspects.

A suspect is a request that may have crashed an upstream. In a trial, it runs
alone on one upstream of one host.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.dispatch import MAX_ATTEMPTS, MAX_UNSENT_ATTEMPTS, Dispatcher
from samphirebend.errorcodes import ErrorKind, Outcome
from samphirebend.job import Job
from samphirebend.limits import Slot
from samphirebend.quarantine import Quarantine, Verdict
from samphirebend.retries import RetryBudget
from samphirebend.suspects import Suspect
from samphirebend.targets import (
    SUSPECT_RECHECK_S,
    SUSPECT_WAIT_S,
    PeerTarget,
    SlotQueue,
    TargetFinder,
    UpstreamTarget,
)

PEER_TARGET = PeerTarget("north-1")
UPSTREAM_TARGET = UpstreamTarget(Mock(), Mock(), alone=False)


def make_dispatcher(**overrides: Any) -> Dispatcher:
    """Return a dispatcher; collaborators that are not given are None."""
    names = ["limits", "keeper", "states", "peers", "quarantine", "pool"]
    collaborators: Any = dict.fromkeys([*names, "relay", "router", "metrics"])
    collaborators["reactor"] = Clock()
    collaborators |= overrides
    shared = ("reactor", "limits", "keeper", "states", "quarantine", "router")
    make_finder: Any = TargetFinder
    finder = make_finder("north-0", *(collaborators[name] for name in shared), 0.03)
    del collaborators["limits"]
    return Dispatcher("north-0", target_finder=finder, **collaborators)


def make_spent_budget() -> RetryBudget:
    """Return a budget that allows no retry, not even after a crash."""
    budget = RetryBudget()
    while budget.take(0.0, after_crash=True):
        pass
    return budget


def make_job(relay_allowed: bool) -> Job:
    """Return the job of an idempotent request that may be sent again."""
    req: Any = SimpleNamespace(method="GET", headers=[], answered=False)
    job = Job(req, Any, "/", "id", 1.0)  # type: ignore[arg-type]
    job.service = SimpleNamespace(name="read", idempotent=True)  # type: ignore[assignment]
    job.body = b""
    job.relay_allowed = relay_allowed
    return job


@pytest.mark.parametrize(
    ("kind", "target", "relay_allowed", "may_retry"),
    [
        (ErrorKind.CAP_REACHED, PEER_TARGET, True, True),
        (ErrorKind.UPSTREAM_REFUSED, PEER_TARGET, True, False),
        (ErrorKind.CAP_REACHED, PEER_TARGET, False, False),
        (ErrorKind.CONNECT_FAILED, UPSTREAM_TARGET, True, True),
        # A peer tries its other upstreams too: no other host may run a
        # suspect.
        (ErrorKind.CONNECT_FAILED, UPSTREAM_TARGET, False, True),
        (ErrorKind.UPSTREAM_REFUSED, UPSTREAM_TARGET, True, False),
        (ErrorKind.UPSTREAM_REFUSED, UPSTREAM_TARGET, False, False),
        (ErrorKind.UPSTREAM_BROKEN, UPSTREAM_TARGET, True, False),
        (ErrorKind.UPSTREAM_BROKEN, UPSTREAM_TARGET, False, False),
    ],
)
def test_only_attempts_that_reached_no_upstream_need_no_budget(
    kind: ErrorKind,
    target: UpstreamTarget | PeerTarget,
    relay_allowed: bool,
    may_retry: bool,
) -> None:
    """Guards against retries that load upstreams but spend no retry budget."""
    job, spent_budget = make_job(relay_allowed), make_spent_budget()
    assert (
        make_dispatcher()._may_retry_job(job, Err(kind), target, spent_budget)
        is may_retry
    )


@pytest.mark.parametrize(
    ("attempts", "unsent", "may_retry"),
    [
        (MAX_ATTEMPTS - 1, 0, True),
        (MAX_ATTEMPTS, 0, False),
        (MAX_ATTEMPTS, 1, True),
        (MAX_UNSENT_ATTEMPTS, MAX_UNSENT_ATTEMPTS, False),
    ],
)
def test_attempts_are_bounded_also_without_a_connection(
    attempts: int, unsent: int, may_retry: bool
) -> None:
    """Guards against endless attempts while connections are refused."""
    job, spent_budget = make_job(relay_allowed=True), make_spent_budget()
    job.attempts, job.unsent_attempts = attempts, unsent
    result: Any = Err(ErrorKind.CONNECT_FAILED)
    assert (
        make_dispatcher()._may_retry_job(job, result, UPSTREAM_TARGET, spent_budget)
        is may_retry
    )


def test_suspect_is_relayed_once_to_a_host_that_failed_before() -> None:
    """Guards against a request that no host may run after an upstream crashed.

    The only host that may run a suspect is asked for a trial, although an
    earlier relay to it failed. It is asked only once.
    """
    quarantine, router = Mock(), Mock()
    quarantine.verdict.return_value = Verdict.ALONE
    router.host_for_suspect.return_value = "north-1"
    dispatcher = make_dispatcher(quarantine=quarantine, router=router)
    job = make_job(relay_allowed=True)
    job.tried.add("north-1")  # its upstream crashed with the request in flight
    # Set by the first relay; with it, the peer would keep its reserved slots.
    job.overflow = True
    target = dispatcher._target_finder.find(job, waited=False)
    assert isinstance(target, PeerTarget)
    assert target.host == "north-1"
    assert not job.overflow
    Deferred.fromCoroutine(dispatcher._relay_to(job, target))
    assert dispatcher._target_finder.find(job, waited=False) is ErrorKind.CAP_REACHED


def test_nothing_is_written_if_the_lease_ends_while_connecting() -> None:
    """Guards against dispatches by a host that was suspended past its lease.

    The lease ends between the selection of the upstream and the connection.
    """
    names = ("limits", "keeper", "states", "peers", "quarantine", "pool")
    collaborators: dict[str, Any] = {
        name: Mock() for name in (*names, "relay", "router")
    }
    limits, keeper, pool = (
        collaborators["limits"],
        collaborators["keeper"],
        collaborators["pool"],
    )
    upstream, usage = Mock(), Mock(upstream="upstream-1", limit=1)
    upstream.name = usage.upstream
    limits.slot_usages.return_value, limits.free.return_value = [usage], 1
    slot = Slot("u", "r", "s")
    limits.reserve.return_value = Ok(slot)
    keeper.may_dispatch.return_value = True
    collaborators["states"].limit.return_value = 1
    collaborators["quarantine"].verdict.return_value = Verdict.CLEAR
    collaborators["quarantine"].held_for_trial.return_value = False
    collaborators["router"].peer_for.return_value = None
    collaborators["router"].upstream_for.return_value = upstream.name
    connected: Deferred[Any] = Deferred()
    pool.acquire.return_value = connected
    dispatcher = make_dispatcher(**collaborators, metrics=Mock())
    dispatcher.apply(Mock(upstreams={upstream.name: upstream}), {})
    service = Mock(idempotent=False, timeout_s=2.0)
    job = Job(Mock(headers=[], answered=False), service, "/", "id", 2.0)
    job.body = b""
    done = Deferred.fromCoroutine(dispatcher.run(job))
    # The process is suspended here, and its lease ends before it is resumed.
    keeper.may_dispatch.return_value = False
    conn = Mock()
    connected.callback(Ok(conn))
    results: list[Any] = []
    done.addBoth(results.append)
    assert not conn.send.called
    assert results == [Err(ErrorKind.LEASE_LAPSED)]
    assert job.lifecycle.outcome() is Outcome.DID_NOT_RUN
    limits.release.assert_called_once_with(slot)


class WaitingSuspect:
    """A suspect on the host of its trial, whose two upstreams are in use."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.quarantine = Quarantine()
        self.quarantine.merge([Suspect(1, 1)], 0.0)
        slot_usages = {"busy": Mock(in_flight=3), "less-busy": Mock(in_flight=1)}
        self.slot_usages = slot_usages
        for name, usage in slot_usages.items():
            usage.upstream, usage.limit = name, 4
            self.quarantine.record_dispatch(9, name, 0.0)
        limits, keeper, states, router = Mock(), Mock(), Mock(), Mock()
        limits.slot_usages.return_value = list(slot_usages.values())
        limits.reserve.return_value = Ok(Slot("u", "r", "s"))
        keeper.may_dispatch.return_value = True
        states.limit.side_effect = lambda name, slots, now: slots
        router.host_for_suspect.return_value = "north-0"
        router.upstream_for.side_effect = lambda usable, now: next(
            (usage.upstream for usage in usable if usage.in_flight < usage.limit), None
        )
        limits.total.return_value = 8
        self.dispatcher = make_dispatcher(
            reactor=self.clock,
            limits=limits,
            keeper=keeper,
            states=states,
            router=router,
            quarantine=self.quarantine,
        )
        upstreams = {
            name: SimpleNamespace(name=name, service="read") for name in slot_usages
        }
        self.dispatcher.apply(Mock(upstreams=upstreams), {})
        self.job = make_job(relay_allowed=True)
        self.job.fingerprint, self.job.deadline = 1, 100.0
        self.job.req.closed = False
        self.router = router
        self.results: list[Any] = []

    def start(self, work: Any) -> None:
        """Start a coroutine of the dispatcher and keep its result."""
        Deferred.fromCoroutine(work).addBoth(self.results.append)

    def wait_until_timeout(self) -> None:
        """Advance the clock past the longest wait for a trial."""
        self.clock.pump([SUSPECT_RECHECK_S] * int(SUSPECT_WAIT_S / SUSPECT_RECHECK_S))
        self.clock.advance(SUSPECT_RECHECK_S)


def test_suspect_waits_until_one_upstream_is_idle_and_runs_there() -> None:
    """Guards against a trial that never begins because new requests arrive.

    The suspect claims the upstream with the fewest requests in flight, so that
    it gets no new ones.
    """
    suspect = WaitingSuspect()
    suspect.start(suspect.dispatcher._target_finder.wait_for_trial(suspect.job))
    assert suspect.quarantine.held_for_trial("less-busy")
    assert not suspect.quarantine.held_for_trial("busy")
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert not suspect.results, "a request is still in flight on the upstream"
    suspect.quarantine.record_end(9, "less-busy")
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert suspect.results[0].upstream.name == "less-busy"
    assert not suspect.quarantine.claimed("less-busy")


def test_no_queued_request_joins_a_trial_that_is_about_to_begin() -> None:
    """Guards against a request that runs beside a trial and is crashed by it.

    The request waits for a slot and is woken when the claim of the trial ends.
    """
    suspect = WaitingSuspect()
    target_finder = suspect.dispatcher._target_finder
    suspect.start(target_finder.wait_for_trial(suspect.job))
    other = make_job(relay_allowed=True)
    other.fingerprint, other.deadline = 2, 100.0
    joined: list[Any] = []
    queued = Deferred.fromCoroutine(target_finder.wait_for_slot(other, 0.0))
    queued.addCallback(lambda _: joined.append(target_finder.find(other, waited=True)))
    suspect.router.own_free.return_value = 0
    suspect.router.peer_for.return_value = None
    suspect.slot_usages["busy"].in_flight = 4
    suspect.quarantine.record_end(9, "less-busy")
    suspect.slot_usages["less-busy"].in_flight = 0
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert suspect.results[0].upstream.name == "less-busy"
    suspect.clock.advance(1.0)
    assert joined == [ErrorKind.CAP_REACHED]


def test_suspect_gives_up_an_upstream_that_crashed() -> None:
    """Guards against a wait for slots that do not become free in time.

    The slots of a crashed upstream stay in use until the deadlines of its
    requests, so the suspect waits for another upstream.
    """
    suspect = WaitingSuspect()
    suspect.start(suspect.dispatcher._target_finder.wait_for_trial(suspect.job))
    suspect.quarantine.record_crash("less-busy", 0.0)
    # Its limit is lowered after the crash, and the one slot is in use.
    suspect.slot_usages["less-busy"].limit = 1
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert not suspect.quarantine.held_for_trial("less-busy")
    assert suspect.quarantine.held_for_trial("busy")
    suspect.quarantine.record_end(9, "busy")
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert suspect.results[0].upstream.name == "busy"


def test_suspect_releases_its_claim_after_a_wait_without_a_trial() -> None:
    """Guards against an upstream that stays claimed after the wait."""
    suspect = WaitingSuspect()
    suspect.start(suspect.dispatcher._target_finder.wait_for_trial(suspect.job))
    suspect.wait_until_timeout()
    assert suspect.results == [ErrorKind.CAP_REACHED]
    assert not suspect.quarantine.held_for_trial("less-busy")
    assert not suspect.quarantine.held_for_trial("busy")


def test_suspect_waits_once() -> None:
    """Guards against a second wait, which would prolong the claim."""
    suspect = WaitingSuspect()
    suspect.start(suspect.dispatcher.run(suspect.job))
    suspect.wait_until_timeout()
    suspect.dispatcher._target_finder._queue.wake("read")
    suspect.clock.advance(SUSPECT_RECHECK_S)
    assert suspect.results == [Err(ErrorKind.CAP_REACHED)]
    assert not suspect.quarantine.held_for_trial("less-busy")


def test_wait_for_a_slot_counts_from_the_start_of_the_request() -> None:
    """Guards callers against a refusal after a relay and another full wait."""
    clock = Clock()
    queue = SlotQueue(clock, 0.02)
    clock.advance(0.015)
    results: list[bool] = []
    Deferred.fromCoroutine(queue.wait("read", 0.0)).addCallback(results.append)
    assert queue.length("read") == 1
    clock.advance(0.006)
    assert results == [False]
    # The time has already passed, as after a long relay.
    Deferred.fromCoroutine(queue.wait("read", 0.0)).addCallback(results.append)
    assert results == [False, False]
    assert queue.length("read") == 0
