"""Follows the store's tables and applies changed rows to the routing state.

Each table is read once as a snapshot and then followed with long polls. A long
poll may be silent for its whole time although the store answers others, so the
age of each table is bounded by probes, which are polls without a wait (see
`freshness`). Rows that the store does not deliver in time are fetched from
peers (see `peers`), so that a host cut off from the store still learns of
changes.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any, Final

from loguru import logger
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .credentials import Credentials
from .erahold import Origin
from .eraversion import era_of
from .freshness import Freshness
from .replica import Replica, Row
from .routingstate import RoutingState
from .rowstore import Page, RowStore, StoreFault
from .updates import InvalidRow, Update

LONG_POLL_S: Final = 10.0
READ_TIMEOUT_S: Final = 1.5
RETRY_DELAY_S: Final = 0.3
# Time after the delay within which a call that is refused at once has failed.
RETRY_MARGIN_S: Final = 0.1
# Pauses after a response with rows. Calls to the store cost money and changes
# come in bursts, so a pause saves calls.
OPERATOR_PAUSE_S: Final = 0.2
ENTRIES_PAUSE_S: Final = 0.8


class Tables:
    """Names of the followed tables."""

    __slots__ = ("entries", "operator")

    def __init__(self, operator: str, entries: str) -> None:
        self.operator = operator  # configuration and evacuations
        self.entries = entries  # registrations of upstreams

    def names(self) -> tuple[str, str]:
        """Return the names of all tables."""
        return self.operator, self.entries


async def _read_from_no_neighbour(_table: str) -> bool:
    return False


class CallStart:
    """Start of a call to the store, on the clocks of two kinds of ages."""

    __slots__ = ("at", "credentials_at")

    def __init__(self, at: float, credentials_at: float) -> None:
        self.at = at
        self.credentials_at = credentials_at  # see `credentials`


class Follower:
    """Keeps the replica and the routing state up to date with the store."""

    __slots__ = (
        "_available",
        "_clock",
        "_decode",
        "_failed_at",
        "_logged_era",
        "_pauses",
        "_probed_at",
        "_reactor",
        "_restored_to",
        "_routing_state",
        "_store",
        "_tables",
        "credentials",
        "era",
        "freshness",
        "last_response_at",
        "on_change",
        "on_new_era",
        "on_probe",
        "probe_rank",
        "read_from_neighbour",
        "replica",
        "running",
    )

    def __init__(
        self,
        tables: Tables,
        store: RowStore,
        replica: Replica,
        freshness: Freshness,
        decode: Callable[[Row], Update],
        routing_state: RoutingState,
        reactor: Any,
        clock: Callable[[], float],
        credentials: Credentials | None = None,
    ) -> None:
        self.credentials = credentials or Credentials(None)
        self._pauses = {
            tables.operator: OPERATOR_PAUSE_S,
            tables.entries: ENTRIES_PAUSE_S,
        }
        self._tables = tables
        self._store = store
        self.replica = replica
        self.freshness = freshness
        self._decode = decode
        self._routing_state = routing_state
        self._reactor = reactor
        self._clock = clock
        # Whether the last call succeeded, keyed by table.
        self._available: dict[str, bool] = {}
        # Times of the last failed call other than a probe, and of the start of
        # the last probe, keyed by table.
        self._failed_at: dict[str, float] = dict.fromkeys(self._pauses, -math.inf)
        self._probed_at: dict[str, float] = dict.fromkeys(self._pauses, -math.inf)
        # Versions by which the tables entered their era (see `Replica`).
        self._restored_to = dict.fromkeys(self._pauses, 0)
        self.era = 0  # newest era of any table
        self._logged_era = 0
        self.on_change: Callable[[], None] = lambda: None
        # Called when a store that was known before has a new era.
        self.on_new_era: Callable[[], None] = lambda: None
        # Called after a probe that the store answered.
        self.on_probe: Callable[[], None] = lambda: None
        # Returns this host's rank among those that would probe a table.
        self.probe_rank: Callable[[str], int] = lambda table: 0
        # Reads the entries from a host that polls the store for this one too;
        # returns whether that was enough.
        self.read_from_neighbour: Callable[[str], Awaitable[bool]] = (
            _read_from_no_neighbour
        )
        # Time of the store's last successful response.
        self.last_response_at = 0.0
        self.running = False

    def start(self) -> None:
        """Start following all tables."""
        self.running = True
        for table in self._pauses:
            self._probed_at[table] = self._clock()
            self._start_follow(table)
            self._start_probes(table)

    def stop(self) -> None:
        """Stop following after the calls in progress."""
        self.running = False

    def connected(self) -> bool:
        """Return whether the last call for each table succeeded."""
        return all(self._available.get(table, False) for table in self._pauses)

    def confirm(self, table: str, as_of: float) -> None:
        """Record that the copy of a table is complete as of a time."""
        self.freshness.confirm(table, as_of)
        if table == self._tables.entries:
            self._routing_state.store_outage.confirm(as_of)

    def apply_rows(self, table: str, changed: list[Row]) -> None:
        """Apply changed rows to the routing state."""
        now = self._clock()
        self._note_era(table, now)
        for row in changed:
            try:
                self._routing_state.apply(self._decode(row), now, self._origin(row))
            except Exception as exc:
                # The replica has the rows behind this one, so they would not
                # be applied later.
                logger.opt(exception=exc).error(
                    "unexpected error while applying a row",
                    event="bug",
                    table=table,
                    row=row.key,
                )
        self._log_era()
        if changed:
            self.on_change()

    def _origin(self, row: Row) -> Origin:
        if not self.replica.is_restored(row):
            return Origin.WRITTEN
        removed = self.replica.was_removed(row)
        return Origin.RESTORED_REMOVED if removed else Origin.RESTORED

    def _note_era(self, table: str, now: float) -> None:
        """Begin to hold what a table lost that has entered a new era."""
        newest = era_of(self.replica.version(table))
        restored_to = self.replica.restored_to(table)
        is_new, self.era = newest > self.era, max(newest, self.era)
        if restored_to == self._restored_to[table]:
            return
        self._restored_to[table] = restored_to
        self._routing_state.store_outage.record_restore(now)
        if is_new:
            self._routing_state.era_hold.counts.clear()
            self.on_new_era()

    def _log_era(self) -> None:
        """Log a new era once all tables have entered it."""
        versions = self.replica.versions().values()
        if self.era == self._logged_era or min(map(era_of, versions)) < self.era:
            return
        self._logged_era = self.era
        if not any(self._restored_to.values()):
            return  # the host has started in this era
        logger.warning(
            "store was restored from a backup",
            event="store_era",
            era=self.era,
            held=dict(self._routing_state.era_hold.counts),
        )

    def record_invalid(self, rows: list[InvalidRow]) -> None:
        """Record rows that were left out because they failed to decode."""
        for row in rows:
            self._routing_state.invalid_rows.record(row)

    async def _follow(self, table: str) -> None:
        needs_snapshot = True
        while self.running:
            if not needs_snapshot and await self._read_shared(table):
                await deferLater(self._reactor, self._pause_s(table))
                continue
            start = self._call_start()
            if needs_snapshot:
                result = await self._read(table)
            else:
                result = await self._poll(table, LONG_POLL_S)
            if isinstance(result, Err):
                self._handle_fault(table, result.err_value)
                needs_snapshot = needs_snapshot or result.err_value in (
                    StoreFault.HISTORY_LOST,
                    StoreFault.UNREADABLE,
                )
                if result.err_value is not StoreFault.HISTORY_LOST:
                    await deferLater(self._reactor, RETRY_DELAY_S)
                continue
            self._handle_response(table)
            self._apply_page(table, result.ok_value, needs_snapshot, start)
            needs_snapshot = False
            if not result.ok_value.is_empty:
                await deferLater(self._reactor, self._pause_s(table))

    async def _read_shared(self, table: str) -> bool:
        if table != self._tables.entries:
            return False
        return await self.read_from_neighbour(table)

    def _pause_s(self, table: str) -> float:
        return min(self._pauses[table], self.freshness.max_pause_s())

    async def _keep_fresh(self, table: str) -> None:
        """Probe the store whenever a table becomes too old."""
        while self.running:
            due_in_s = self._probe_due_at(table) - self._clock()
            if due_in_s > 0:
                await deferLater(self._reactor, due_in_s)
                continue
            if await self._probe(table):
                self.on_probe()

    async def confirm_credentials(self) -> None:
        """Ask the store whether the operator's table has changed.

        While calls fail, `_follow` repeats them in short order, and its first
        success confirms the table as well; more calls would only cost money.
        """
        if self._available.get(self._tables.operator, True):
            await self._probe(self._tables.operator)

    @property
    def operator_table(self) -> str:
        """Return the name of the table with the configuration."""
        return self._tables.operator

    async def _probe(self, table: str) -> bool:
        """Poll a table without a wait; return whether the store answered."""
        start = self._call_start()
        self._probed_at[table] = start.at
        result = await self._poll(table, 0.0)
        is_snapshot = False
        if isinstance(result, Err) and result.err_value is StoreFault.HISTORY_LOST:
            result = await self._read(table)
            is_snapshot = True
        if isinstance(result, Err):
            logger.debug("probe of {} failed: {}", table, result.err_value)
            return False
        self.last_response_at = self._clock()
        self._apply_page(table, result.ok_value, is_snapshot, start)
        return True

    def _call_start(self) -> CallStart:
        return CallStart(self._clock(), self.credentials.now())

    async def _read(self, table: str) -> Result[Page, StoreFault]:
        """Read a table as a snapshot."""
        result = await self._store.read(table, READ_TIMEOUT_S)
        return result.and_then(lambda page: self._check_not_old(table, page))

    async def _poll(self, table: str, wait_s: float) -> Result[Page, StoreFault]:
        """Ask for the changes to a table; they must be of the table's era.

        The era of the table at the time of the call counts: changes after a
        version of one era are no changes after the same version of another,
        also if the table has entered the other era in the meantime.
        """
        after = self.replica.version(table)
        result = await self._store.follow(table, after, wait_s)
        if not isinstance(result, Err) and result.ok_value.era > era_of(after):
            return Err(StoreFault.HISTORY_LOST)
        return result.and_then(lambda page: self._check_not_old(table, page))

    def _check_not_old(self, table: str, page: Page) -> Result[Page, StoreFault]:
        if page.era < era_of(self.replica.version(table)):
            return Err(StoreFault.OLD_ERA)
        return Ok(page)

    def _probe_due_at(self, table: str) -> float:
        """Return when to probe unless the table is confirmed until then.

        While calls fail, `_follow` makes new ones in short order, which are as
        good as probes.
        """
        freshness = self.freshness
        return max(
            freshness.confirmed_at(table)
            + freshness.probe_age_s(self.probe_rank(table)),
            self._probed_at[table] + freshness.probe_age_s(0),
            self._failed_at[table] + RETRY_DELAY_S + RETRY_MARGIN_S,
        )

    def _apply_page(
        self, table: str, page: Page, is_snapshot: bool, start: CallStart
    ) -> None:
        if is_snapshot:
            changed = self.replica.replace(table, page.rows, page.version)
        else:
            changed = self.replica.merge(table, page.rows, page.version)
        self.confirm(table, start.at)
        if page.is_empty:
            self._confirm_unchanged(page.version, start)
        self.record_invalid(page.invalid)
        self.apply_rows(table, changed)
        # A row that failed to decode may have removed a key.
        if table == self._tables.operator and not page.invalid:
            self.credentials.confirm(start.credentials_at)

    def _confirm_unchanged(self, newest: int, start: CallStart) -> None:
        """Confirm the tables that are complete up to the store's newest version.

        A page without rows carries that version, which counts all tables. One
        with rows may be limited and carry the version of its last row.
        """
        for table, version in self.replica.versions().items():
            if version >= newest:
                self.confirm(table, start.at)
                if table == self._tables.operator:
                    self.credentials.confirm(start.credentials_at)

    def _handle_fault(self, table: str, fault: StoreFault) -> None:
        self._failed_at[table] = self._clock()
        if self._available.get(table, True):
            self._available[table] = False
            logger.warning(
                "call to the store failed",
                event="store_lost",
                table=table,
                fault=fault.value,
            )

    def _handle_response(self, table: str) -> None:
        self.last_response_at = self._clock()
        if not self._available.get(table, False):
            self._available[table] = True
            logger.info(
                "store responds to calls",
                event="store_regained",
                table=table,
                version=self.replica.version(table),
            )

    def _start_follow(self, table: str) -> None:
        done = Deferred.fromCoroutine(self._follow(table))
        done.addErrback(self._restart_after_bug, table, self._start_follow)

    def _start_probes(self, table: str) -> None:
        done = Deferred.fromCoroutine(self._keep_fresh(table))
        done.addErrback(self._restart_after_bug, table, self._start_probes)

    def _restart_after_bug(
        self, failure: Any, table: str, start: Callable[[str], None]
    ) -> None:
        logger.opt(exception=failure.value).error(
            "unexpected error while following a table", event="bug", table=table
        )
        self._reactor.callLater(RETRY_DELAY_S, self._restart, table, start)

    def _restart(self, table: str, start: Callable[[str], None]) -> None:
        if self.running:
            start(table)
