"""Keeps this host's registration in the store, and knows those of the others.

Starting hosts discover the others there. Hosts found are added to `members`, which
heartbeats keep up to date. `quotahosts` decides which registrations may be deleted
and when this host has to renew its own; this module makes the calls.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec
from loguru import logger
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..addresses import parse_address
from .credentials import boot_clock
from .eraversion import era_of
from .invalidrows import InvalidRows
from .members import Member, Members
from .quotahosts import QuotaHosts, Removal, weight_of
from .registrations import Registration
from .replica import Row
from .rowstore import Page, RowChange, RowStore, StoreFault
from .updates import InvalidRow

HOSTS_TABLE: Final = "hosts"
CALL_TIMEOUT_S: Final = 1.5  # limit for one call to the store
RETRY_DELAY_S: Final = 1.0  # delay after a failed call
# Times between two readings of the list: usually, after another host has told of
# a newer list, while a host is silent, and while the list is to be changed.
REFRESH_S: Final = 60.0
REFRESH_SPREAD: Final = (0.8, 1.2)  # factors on it, as hosts start together
REFRESH_OUTDATED_S: Final = 10.0
REFRESH_SILENT_S: Final = 5.0
REFRESH_CHANGE_S: Final = 2.0
CHECK_INTERVAL_S: Final = 1.0  # time between two checks whether one is due
# Time for which a host leaves a deletion to each host that is before it in the
# order of the row.
DELETION_STEP_S: Final = 4.0
MAX_DELETION_RANK: Final = 2


class ListedHost(msgspec.Struct):
    """Row of one host in the host list."""

    zone: str
    region: str
    front: str
    peer: str
    # Rows of earlier releases are those of hosts that count in majorities.
    voter: bool = True
    stopped: bool = False
    weight: float = 0.0  # see `Registration`


class HostList:
    """Registers this host and learns the others from the list."""

    __slots__ = (
        "_checked_at",
        "_clock",
        "_has_failed",
        "_hosts",
        "_invalid_rows",
        "_is_calling",
        "_is_joined",
        "_is_stopping",
        "_members",
        "_reactor",
        "_removable_since",
        "_rng",
        "_spread",
        "_store",
        "_synced_at",
    )

    def __init__(
        self,
        store: RowStore,
        members: Members,
        invalid_rows: InvalidRows,
        reactor: Any,
        hosts: QuotaHosts | None = None,
        clock: Callable[[], float] = boot_clock,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._members = members
        self._invalid_rows = invalid_rows
        self._reactor = reactor
        self._hosts = hosts or QuotaHosts(members.own.host, 0.0)
        self._clock = clock
        self._rng = rng or random.Random()
        self._is_joined = False
        self._is_calling = False  # a synchronization is in progress
        self._is_stopping = False
        self._checked_at = 0.0  # last check whether a synchronization is due
        self._synced_at = 0.0  # end of the last synchronization
        self._has_failed = False  # the last synchronization could not read the list
        self._spread = 1.0  # factor on the usual interval, drawn for each one
        # When registrations were first found to be removable, keyed by host.
        self._removable_since: dict[str, float] = {}

    async def join(self, stopping: Callable[[], bool]) -> None:
        """Register this host, then read all rows; retry until both succeed.

        Of two hosts that start together, the one whose row is written last
        reads the other's row. If they read first, both could read before
        either has written, and miss each other.
        """
        while not stopping():
            if await self._register():
                self._is_joined = True
                self._synced_at = self._clock()
                return
            await deferLater(self._reactor, RETRY_DELAY_S)

    def register_again(self) -> None:
        """Begin to register again, since the store was restored from a backup."""
        if self._is_joined:
            joining = self.join(lambda: self._is_stopping)
            Deferred.fromCoroutine(joining).addErrback(_log_bug)

    def check(self) -> None:
        """Start a synchronization with the store if one is due."""
        if not self._is_joined or self._is_calling or self._is_stopping:
            return
        now = self._clock()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        if now - self._synced_at >= self._interval_s(now):
            self._is_calling = True
            done = Deferred.fromCoroutine(self._synchronize())
            done.addErrback(_log_bug)
            done.addBoth(self._end_synchronization)

    async def mark_stopped(self) -> None:
        """State in the list that this host stops and uses no share any more."""
        self._is_stopping = True
        self._hosts.is_stopped = True
        own = self._hosts.registrations.own
        if not self._is_joined or own is None:
            return
        marked = await self._replace_own(own.version, own.is_voter, is_stopped=True)
        if isinstance(marked, Err) and marked.err_value is StoreFault.CONFLICT:
            # The version has changed since it was read, as by a renewal.
            await self._refresh()
            own = self._hosts.registrations.own
            if own is not None:
                await self._replace_own(own.version, own.is_voter, is_stopped=True)

    # Synchronization.

    def _interval_s(self, now: float) -> float:
        """Return the time after the last synchronization at which one is due."""
        hosts = self._hosts
        own = hosts.registrations.own
        if self._has_failed:
            return REFRESH_SILENT_S
        if own is None and not hosts.contact.is_reachable(now):
            return REFRESH_OUTDATED_S
        is_wrong = own is None or own.is_stopped or hosts.awaits_list
        if is_wrong or hosts.is_promotable() or hosts.contact.needs_renewal(now):
            return REFRESH_CHANGE_S
        if hosts.is_list_outdated:
            usual_s = REFRESH_OUTDATED_S
        else:
            usual_s = REFRESH_S * self._spread
        if not hosts.has_news(now):
            return usual_s
        if self._due_removals(now):
            return REFRESH_CHANGE_S
        return REFRESH_SILENT_S if self._watches_silent(now) else usual_s

    def _watches_silent(self, now: float) -> bool:
        """Return whether this host is among the first to delete a silent one's row."""
        return any(
            self._hosts.silences.is_silent(row.host, now) and self._rank(row.host) == 0
            for row in self._hosts.registrations.others()
        )

    def _rank(self, host: str) -> int:
        """Return this host's rank among those that would delete a row."""
        position = self._members.live_position(host, self._reactor.seconds())
        return min(position, MAX_DELETION_RANK)

    def _due_removals(self, now: float) -> dict[str, Removal]:
        """Return the registrations that this host is to delete now."""
        removable = self._hosts.removable(now)
        self._removable_since = {
            host: self._removable_since.get(host, now) for host in removable
        }
        return {
            host: removal
            for host, removal in removable.items()
            if now - self._removable_since[host] >= DELETION_STEP_S * self._rank(host)
        }

    def _end_synchronization(self, _result: object) -> None:
        self._is_calling = False
        self._synced_at = self._clock()
        self._spread = self._rng.uniform(*REFRESH_SPREAD)

    async def _synchronize(self) -> None:
        """Read changes of the list, then make those that are due."""
        self._has_failed = not await self._refresh()
        if self._has_failed:
            return
        registrations = self._hosts.registrations
        if registrations.own is None:
            await self._replace_missing()
            return
        if not registrations.own.is_stopped:
            self._hosts.confirm_list(self._clock())
        await self._update_own(registrations.own)
        for host, removal in self._due_removals(self._clock()).items():
            await self._delete(host, removal)

    async def _replace_missing(self) -> None:
        """Register again: others have removed this host, or a restore lost its row.

        A host that is still cut off waits, as a share would be reserved for it.
        """
        if not self._hosts.contact.is_reachable(self._clock()):
            return
        logger.warning(
            "registration of this host is missing",
            event="registration_missing",
            version=self._hosts.registrations.version,
        )
        await self._register()

    async def _update_own(self, own: Registration) -> None:
        """Renew this host's registration, or promote it, if that is due."""
        is_promoted = self._hosts.is_promotable()
        started_at = self._clock()
        needs_renewal = self._hosts.contact.needs_renewal(started_at)
        if not (is_promoted or needs_renewal or own.is_stopped):
            return
        written = await self._replace_own(own.version, own.is_voter or is_promoted)
        if not isinstance(written, Err):
            self._hosts.contact.record_renewal(started_at)

    async def _delete(self, host: str, removal: Removal) -> None:
        """Delete the registration of a host that is lost or has stopped."""
        row = self._hosts.registrations.get(host)
        if row is None:
            return
        change = RowChange(host, None, row.version)
        deleted = await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)
        if isinstance(deleted, Err):
            return  # the host has renewed it, or another host has deleted it
        self._hosts.registrations.delete(host)
        self._update_members()
        logger.warning(
            "registration of a host deleted",
            event="host_removed",
            peer=host,
            why=removal.value,
            hosts=len(self._hosts.registrations.hosts),
        )

    # Calls to the store.

    async def _register(self) -> bool:
        """Write this host's row and read the list; return whether that succeeded.

        A host that is registered stays a voter.
        """
        started_at = self._clock()
        own = self._hosts.registrations.own
        row = self._encode_own(own is not None and own.is_voter)
        change = RowChange(self._members.own.host, row, 0)
        written = await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)
        is_known = isinstance(written, Err) and written.err_value is StoreFault.CONFLICT
        if isinstance(written, Err) and not is_known:
            return False
        if not await self._read_all():
            return False
        if is_known and not await self._take_over_row():
            return False
        self._hosts.contact.record_renewal(started_at)
        return True

    async def _take_over_row(self) -> bool:
        """Replace the row that an earlier process of this host has left.

        A late call of that process then finds another version. A row that cannot be
        read is overwritten.
        """
        own = self._hosts.registrations.own
        if own is None:
            replaced = await self._replace_own(None, is_voter=False)
        else:
            replaced = await self._replace_own(own.version, own.is_voter)
        return not isinstance(replaced, Err)

    async def _replace_own(
        self, version: int | None, is_voter: bool, is_stopped: bool = False
    ) -> Result[None, StoreFault]:
        """Replace this host's row if it has a version; None stands for any."""
        value = self._encode_own(is_voter, is_stopped)
        change = RowChange(self._members.own.host, value, version)
        return await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)

    def _encode_own(self, is_voter: bool, is_stopped: bool = False) -> bytes:
        own = self._members.own
        row = ListedHost(own.zone, own.region, str(own.front), str(own.peer))
        row.voter, row.stopped = is_voter, is_stopped
        registered = self._hosts.registrations.own
        row.weight = weight_of(own.capacity_per_s)
        if registered is not None:
            row.weight = registered.weight
        return msgspec.json.encode(row)

    async def _refresh(self) -> bool:
        """Read the changes of the list; return whether that succeeded."""
        registrations = self._hosts.registrations
        started_at = self._reactor.seconds()
        read = await self._store.follow(HOSTS_TABLE, registrations.version, 0.0)
        if isinstance(read, Err):
            if read.err_value is StoreFault.HISTORY_LOST:
                return await self._read_all()
            return False
        page = read.ok_value
        if page.era != era_of(registrations.version):
            return await self._read_all()
        now = self._clock()
        deleted = [row.key for row in page.rows if row.value is None]
        changed = self._decode_page(page)
        registrations.update(changed, deleted, page.version, now)
        self._hosts.is_list_outdated = page.is_limited
        registrations.drop_lost(now)
        self._update_members(started_at)
        return True

    async def _read_all(self) -> bool:
        """Read the whole list; return whether that succeeded."""
        started_at = self._reactor.seconds()
        read = await self._store.read(HOSTS_TABLE, CALL_TIMEOUT_S)
        if isinstance(read, Err):
            return False
        page, now = read.ok_value, self._clock()
        registrations = self._hosts.registrations
        registrations.replace(self._decode_page(page), page.version, now)
        registrations.drop_lost(now)
        self._hosts.is_list_outdated = False
        self._members.host_list_read = True
        self._update_members(started_at)
        return True

    def _update_members(self, as_of: float | None = None) -> None:
        """Tell `members` which hosts are registered."""
        as_of = self._reactor.seconds() if as_of is None else as_of
        self._members.set_registered(self._hosts.registrations.hosts, as_of)

    def _decode_page(self, page: Page) -> list[Registration]:
        """Return the rows that are present, and add their hosts to the members."""
        for invalid in page.invalid:
            self._invalid_rows.record(invalid)
        decoded = [self._decode_row(row) for row in page.rows if row.value is not None]
        return [row.ok_value for row in decoded if isinstance(row, Ok)]

    def _decode_row(self, row: Row) -> Result[Registration, InvalidRow]:
        host, value = row.key, row.value or b""
        try:
            listed = msgspec.json.decode(value, type=ListedHost)
        except (msgspec.DecodeError, RecursionError) as exc:
            return self._reject(host, str(exc))
        front, peer = parse_address(listed.front), parse_address(listed.peer)
        if front is None or peer is None:
            return self._reject(host, "front or peer is not IP:PORT")
        member = Member(host, listed.zone, listed.region)
        member.front, member.peer = front, peer
        self._members.add_listed(member)
        weight = listed.weight if 0.0 < listed.weight < math.inf else 0.0
        return Ok(
            Registration(
                host,
                listed.region,
                row.version,
                listed.voter,
                listed.stopped,
                weight,
            )
        )

    def _reject(self, host: str, fault: str) -> Err[InvalidRow]:
        invalid = InvalidRow(HOSTS_TABLE, host, fault)
        self._invalid_rows.record(invalid)
        return Err(invalid)


def _log_bug(failure: Any) -> None:
    logger.opt(exception=failure.value).error(
        "unexpected error while reading or writing the host list", event="bug"
    )
