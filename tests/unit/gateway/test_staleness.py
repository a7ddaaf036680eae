"""Tests how old a host's knowledge of the store may be when it is used.

Guards against upstreams that get requests for too long after the store has
acknowledged that they leave, and against live upstreams lost in an outage.
"""

from __future__ import annotations

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphirebend.gateway.credentials import Credentials
from samphirebend.gateway.follower import Follower, Tables
from samphirebend.gateway.freshness import Freshness
from samphirebend.gateway.registry import UpstreamRegistry
from samphirebend.gateway.replica import Replica, Row
from samphirebend.gateway.routingstate import RoutingState
from samphirebend.gateway.rowstore import Page, RowChange, StoreFault
from samphirebend.gateway.updates import Update, UpstreamRemoved, UpstreamUpdate

from .builders import REGIONS, make_entry, make_placement

TABLES = Tables("op", "servers")
MAINTENANCE_INTERVAL_S = 0.2
DRAIN_BOUND_S = 2.5  # from the store's acknowledgement to the last request
CONTACT_S = 3.0  # time after an outage from which the bound holds
STEP_S = 0.05

PageResult = Result[Page, StoreFault]


class FakeStore:
    """A store that answers at once, fails, or never answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, dict[str, Row]] = {name: {} for name in TABLES.names()}
        self._version = 0
        self._polls: list[tuple[str, int, Deferred[PageResult]]] = []
        self.failing = False
        self.silent = False  # for calls that are made from now on

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it, and answer the waiting polls."""
        self._version += 1
        self._rows[table][key] = Row(table, key, value, self._version)
        waiting, self._polls = self._polls, []
        for polled, after, answer in waiting:
            if polled == table:
                answer.callback(Ok(self._page(table, after)))
            else:
                self._polls.append((polled, after, answer))

    def cut_polls(self) -> None:
        """Fail all waiting polls."""
        waiting, self._polls = self._polls, []
        for _table, _after, answer in waiting:
            answer.callback(Err(StoreFault.UNAVAILABLE))

    def forget_polls(self) -> None:
        """Leave all waiting polls without an answer until they time out."""
        self._polls = []

    def _page(self, table: str, after: int) -> Page:
        rows = [row for row in self._rows[table].values() if row.version > after]
        return Page(sorted(rows, key=lambda row: row.version), self._version)

    async def read(self, table: str, timeout_s: float) -> PageResult:
        if self.failing:
            return Err(StoreFault.UNAVAILABLE)
        page = self._page(table, 0)
        return Ok(Page([row for row in page.rows if row.value], page.version))

    async def follow(self, table: str, after: int, wait_s: float) -> PageResult:
        if self.failing:
            return Err(StoreFault.UNAVAILABLE)
        page = self._page(table, after)
        if page.rows and not self.silent:
            return Ok(page)
        answer: Deferred[PageResult] = Deferred()
        poll = (table, after, answer)
        if self.silent:
            self._clock.callLater(wait_s + 1.0, _time_out, answer)
            return await answer
        self._polls.append(poll)
        self._clock.callLater(wait_s, self._end_poll, poll)
        self._clock.callLater(wait_s + 1.0, _time_out, answer)
        return await answer

    def _end_poll(self, poll: tuple[str, int, Deferred[PageResult]]) -> None:
        if poll in self._polls:
            self._polls.remove(poll)
            poll[2].callback(Ok(Page([], self._version)))

    async def change(
        self, table: str, change: RowChange, timeout_s: float
    ) -> Result[None, StoreFault]:
        self.write(table, change.key, change.value)
        return Ok(None)


def _time_out(answer: Deferred[PageResult]) -> None:
    if not answer.called:
        answer.callback(Err(StoreFault.UNAVAILABLE))


def decode(row: Row) -> Update:
    if row.value == b"odd":
        raise RecursionError("row that the decoder does not expect")
    if row.value is None:
        return UpstreamRemoved(row.key)
    entry = make_entry(row.key)
    entry.draining = row.value == b"draining"
    return UpstreamUpdate(entry)


class Host:
    """A host that follows the fake store; `u1` and `u2` are its upstreams."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.store.write("servers", "u1", b"ready")
        self.store.write("servers", "u2", b"ready")
        registry = UpstreamRegistry(REGIONS)
        self.routing_state = RoutingState(registry, make_placement(registry))
        self.follower = Follower(
            TABLES,
            self.store,
            Replica(TABLES.names()),
            Freshness(TABLES.names(), DRAIN_BOUND_S),
            decode,
            self.routing_state,
            self.clock,
            self.clock.seconds,
            Credentials(None, self.clock.seconds),
        )
        self.follower.start()
        self._maintain()

    def _maintain(self) -> None:
        self.routing_state.apply_held_removals(self.clock.seconds())
        self.clock.callLater(MAINTENANCE_INTERVAL_S, self._maintain)

    def run_until(self, at_s: float) -> None:
        """Advance the clock to a time."""
        while self.clock.seconds() < at_s - STEP_S / 2:
            self.clock.advance(STEP_S)

    def usable(self) -> list[str]:
        """Return the names of the upstreams that may get requests."""
        return [upstream.name for upstream in self.routing_state.registry.usable("s")]

    def used_for_s(self, name: str) -> float:
        """Return for how long from now on an upstream may get requests."""
        since = self.clock.seconds()
        while name in self.usable() and self.clock.seconds() < since + 20.0:
            self.clock.advance(STEP_S)
        return self.clock.seconds() - since


@pytest.mark.parametrize("after_s", [0.0, 0.2, 0.4, 0.6, 1.3])
def test_upstream_that_leaves_after_an_outage_is_out_within_the_bound(
    after_s: float,
) -> None:
    # After an outage up to 8 s, the store cuts calls that it left waiting.
    host = Host()
    host.run_until(8.4)
    host.store.cut_polls()
    host.run_until(8.0 + CONTACT_S + after_s)
    host.store.write("servers", "u2", b"ready")  # begins a pause of the poll
    host.run_until(8.0 + CONTACT_S + after_s + 0.2)
    host.store.write("servers", "u1", None)
    assert host.used_for_s("u1") < DRAIN_BOUND_S - 0.1
    assert host.usable() == ["u2"]


def test_short_failure_of_one_call_holds_no_removal() -> None:
    # Entries lapse after seconds of silence, not within one failed call.
    host = Host()
    host.run_until(5.0)
    host.store.cut_polls()
    host.run_until(6.0)
    host.store.write("servers", "u1", None)
    assert host.used_for_s("u1") < 1.0


@pytest.mark.parametrize("at_s", [8.0, 10.0, 12.0])
def test_removal_is_seen_within_the_bound_although_the_poll_is_silent(
    at_s: float,
) -> None:
    # A connection may go silent for good while new calls are answered.
    host = Host()
    host.run_until(5.0)
    host.store.forget_polls()
    host.run_until(at_s)
    host.store.write("servers", "u1", None)
    assert host.used_for_s("u1") < DRAIN_BOUND_S - 0.1


def test_upstreams_whose_entries_lapse_in_an_outage_are_kept() -> None:
    # Live upstreams write their entries again within two seconds after it.
    host = Host()
    host.run_until(5.0)
    host.store.failing = True
    host.store.cut_polls()
    host.run_until(12.0)
    host.store.write("servers", "u1", None)
    host.store.write("servers", "u2", None)
    host.store.failing = False
    host.run_until(13.9)
    assert sorted(host.usable()) == ["u1", "u2"]
    host.store.write("servers", "u1", b"ready")
    host.run_until(16.0)
    assert host.usable() == ["u1"]


@pytest.mark.parametrize("in_snapshot", [True, False])
def test_row_that_raises_an_error_does_not_hide_the_rows_behind_it(
    in_snapshot: bool,
) -> None:
    host = Host()
    if not in_snapshot:
        host.run_until(2.0)
    host.store.write("servers", "odd", b"odd")
    host.store.write("servers", "u3", b"ready")
    host.store.write("servers", "u1", None)
    host.run_until(4.0)
    assert sorted(host.usable()) == ["u2", "u3"]
    host.store.write("servers", "u2", None)
    host.run_until(6.0)
    assert host.usable() == ["u3"]


class LostHistoryStore(FakeStore):
    """A store that has no version asked for, and no whole snapshot."""

    calls = 0

    async def read(self, table: str, timeout_s: float) -> PageResult:
        return await self._lose()

    async def follow(self, table: str, after: int, wait_s: float) -> PageResult:
        return await self._lose()

    async def _lose(self) -> PageResult:
        self.calls += 1
        # Calls that succeed each other without a pause would never end here.
        assert self.calls < 1000
        return Err(StoreFault.HISTORY_LOST)


def test_snapshot_that_fails_at_once_is_not_read_without_a_pause() -> None:
    """Guards against a loop of calls while a store is being restored."""
    host = Host()
    host.run_until(1.0)
    host.store.cut_polls()
    host.follower._store = store = LostHistoryStore(host.clock)
    host.run_until(5.0)
    # Two tables, a call every 0.3 s, and the probes with a snapshot each.
    assert store.calls <= 2 * (4.0 / 0.3 + 1) + 2 * 2 * 4


def test_keys_are_confirmed_soon_after_an_outage() -> None:
    """Guards against keys refused while a long poll waits after an outage.

    The poll that finds the store back waits for a change, and heartbeats of
    other hosts confirm the tables, so that no probe is due, but not the keys.
    """
    host = Host()
    host.run_until(5.0)
    host.store.failing = True
    host.store.cut_polls()
    host.run_until(9.0)
    host.store.failing = False
    for tenth in range(20):
        host.run_until(9.0 + tenth / 10)
        for table in TABLES.names():
            host.follower.confirm(table, host.clock.seconds())
    Deferred.fromCoroutine(host.follower.confirm_credentials())
    host.run_until(11.1)
    assert host.clock.seconds() - host.follower.credentials.age_s() > 10.0


def test_store_that_fails_is_asked_no_more_often_for_the_keys() -> None:
    """Guards against priced calls beside those that the follower repeats."""
    host = Host()
    host.run_until(5.0)
    host.follower._store = store = LostHistoryStore(host.clock)
    host.store.cut_polls()
    host.run_until(6.0)
    calls = store.calls
    Deferred.fromCoroutine(host.follower.confirm_credentials())
    assert store.calls == calls
