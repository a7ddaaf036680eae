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
from .sharelease import LEASE_S
from .updates import InvalidRow

HOSTS_TABLE: Final = "hosts"
REGISTRATION_BITS: Final = 32  # of the number of a registration
CALL_TIMEOUT_S: Final = 1.5  # limit for one call to the store
RETRY_DELAY_S: Final = 1.0  # delay after a failed call
CHECK_INTERVAL_S: Final = 0.2  # time between two checks whether one is due
# Times between two readings of the list: while there is something to change, or
# another host has told of a newer list; and after one has failed.
REFRESH_CHANGE_S: Final = 0.4
REFRESH_FAILED_S: Final = 1.0
# The same while no host's share depends on it, and while this host has none.
REFRESH_FAILED_CALM_S: Final = 5.0
REFRESH_MISSING_S: Final = 1.0
# Delay after which an outdated list is read in fleets in which heartbeats reach a
# few hosts only, so that the hosts do not all call at once.
GOSSIP_OUTDATED_S: Final = 5.0
# Ages of the confirmation of this host's share at which the list is read: by the
# first live host, which tells the others, and by the others.
RENEW_S: Final = 1.5
RENEW_UNTOLD_S: Final = 2.75
# Ages of the last reading by any host at which the list is read, so that all hosts
# soon know of new ones, and of marks of their rows.
REFRESH_S: Final = 3.0
REFRESH_UNTOLD_S: Final = 6.0
REFRESH_SPREAD: Final = (0.8, 1.2)  # factors on it, as hosts start together
# Key whose order of live hosts decides which one reads the list for all.
READER_KEY: Final = "reader of the host list"
# Time for which a host leaves a change of another's row to each host that is before
# it in the order of the row.
CHANGE_STEP_S: Final = 1.0
MAX_CHANGE_RANK: Final = 2


class ListedHost(msgspec.Struct):
    """Row of one host in the host list."""

    zone: str
    region: str
    front: str
    peer: str
    voter: bool = True  # whether it is established; see `registrations`
    stopped: bool = False
    suspected: bool = False
    number: int = 0  # see `Registration`
    weight: float = 0.0  # see `Registration`


class _Changes:
    """Changes of other hosts' rows that are due."""

    __slots__ = ("removals", "suspects")

    def __init__(self, suspects: list[str], removals: dict[str, Removal]) -> None:
        self.suspects = suspects  # hosts whose rows are to be marked
        self.removals = removals  # hosts whose rows are to be deleted, and why

    @property
    def any(self) -> bool:
        """Return whether a change is due."""
        return bool(self.suspects or self.removals)


class HostList:
    """Registers this host and learns the others from the list."""

    __slots__ = (
        "_checked_at",
        "_clock",
        "_due_since",
        "_has_failed",
        "_hosts",
        "_invalid_rows",
        "_is_calling",
        "_is_joined",
        "_is_stopping",
        "_listed",
        "_members",
        "_reactor",
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
        self._hosts = hosts or QuotaHosts(members.own.host, 0.0, 0.0)
        self._clock = clock
        self._rng = rng or random.Random()
        self._is_joined = False
        self._is_calling = False  # a synchronization is in progress
        self._is_stopping = False
        self._checked_at = 0.0  # last check whether a synchronization is due
        self._synced_at = 0.0  # end of the last synchronization
        self._has_failed = False  # the last synchronization could not read the list
        self._spread = 1.0  # factor on the usual interval, drawn for each one
        self._listed: dict[str, ListedHost] = {}  # rows, keyed by host
        # When it was found that rows are to be changed, keyed by host.
        self._due_since: dict[str, float] = {}

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
        lease = self._hosts.lease
        if now - self._checked_at < CHECK_INTERVAL_S * lease.lease_s / LEASE_S:
            return
        self._checked_at = now
        if self._is_due(now):
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
        marked = await self._replace_own(
            own.version, own.is_established, is_stopped=True
        )
        if isinstance(marked, Err) and marked.err_value is StoreFault.CONFLICT:
            # The version has changed since it was read, as by a renewal.
            await self._refresh()
            own = self._hosts.registrations.own
            if own is not None:
                await self._replace_own(
                    own.version, own.is_established, is_stopped=True
                )

    # Synchronization.

    def _is_due(self, now: float) -> bool:
        """Return whether the list is to be read, or changed, now."""
        hosts = self._hosts
        since_s = now - self._synced_at
        part = hosts.lease.lease_s / LEASE_S
        if since_s < REFRESH_CHANGE_S:
            return False
        if self._has_failed and since_s < REFRESH_FAILED_S * part:
            return False
        if hosts.registrations.own is None:
            return since_s >= REFRESH_MISSING_S
        if self._needs_confirmation(now) or hosts.awaits_others:
            return True
        if self._has_failed:
            return since_s >= REFRESH_FAILED_CALM_S
        if hosts.is_list_outdated:
            is_meshed = hosts.divides_by_contact
            return is_meshed or since_s >= GOSSIP_OUTDATED_S * self._spread
        if self._must_replace_own() or self._due_changes(now).any:
            return True
        age_s = min(since_s, hosts.lease.list_age_s(now)) / self._spread
        return age_s >= REFRESH_UNTOLD_S or (age_s >= REFRESH_S and self._is_reader())

    def _needs_confirmation(self, now: float) -> bool:
        """Return whether this host's share depends on a reading of the list."""
        lease = self._hosts.lease
        age_s = lease.age_s(now) * LEASE_S / lease.lease_s
        return age_s >= RENEW_UNTOLD_S or (age_s >= RENEW_S and self._is_reader())

    def _is_reader(self) -> bool:
        """Return whether this host reads the list for the others."""
        return self._rank(READER_KEY) == 0

    def _must_replace_own(self) -> bool:
        """Return whether this host has to write its row again."""
        own = self._hosts.registrations.own
        if own is None:
            return False
        return own.is_stopped or own.is_suspected or self._hosts.is_promotable()

    def _due_changes(self, now: float) -> _Changes:
        """Return the changes of other rows that this host is to make now.

        Each host leaves them for some time to those before it in the order of the
        row.
        """
        suspects, removals = self._hosts.suspects(now), self._hosts.removable(now)
        self._due_since = {
            host: self._due_since.get(host, now) for host in (*suspects, *removals)
        }
        mine = {
            host
            for host, since in self._due_since.items()
            if now - since >= CHANGE_STEP_S * self._rank(host)
        }
        return _Changes(
            [host for host in suspects if host in mine],
            {host: removal for host, removal in removals.items() if host in mine},
        )

    def _rank(self, key: str) -> int:
        """Return this host's rank among those that would change a row.

        Hosts that may not use their shares may lack the store.
        """
        lapsed, now = self._hosts.silences.lapsed, self._reactor.seconds()
        position = self._members.live_position(key, now, but=lapsed)
        return min(position, MAX_CHANGE_RANK)

    def _end_synchronization(self, _result: object) -> None:
        self._is_calling = False
        self._synced_at = self._clock()
        self._spread = self._rng.uniform(*REFRESH_SPREAD)

    async def _synchronize(self) -> None:
        """Read changes of the list, then make those that are due."""
        self._has_failed = not await self._refresh()
        if self._has_failed:
            return
        if self._hosts.registrations.own is None:
            await self._replace_missing()
            return
        if self._must_replace_own():
            await self._renew_own()
        changes = self._due_changes(self._clock())
        for host in changes.suspects:
            await self._mark_suspected(host)
        if changes.suspects:
            await self._refresh()
        for host, removal in changes.removals.items():
            await self._delete(host, removal)

    async def _replace_missing(self) -> None:
        """Register again: others have removed this host, or a restore lost its row."""
        logger.warning(
            "registration of this host is missing",
            event="registration_missing",
            version=self._hosts.registrations.version,
        )
        await self._register()

    async def _renew_own(self) -> None:
        """Write this host's row without marks, and as established if it may be."""
        own = self._hosts.registrations.own
        if own is None:
            return
        is_established = own.is_established or self._hosts.is_promotable()
        if own.is_suspected:
            logger.warning(
                "suspected by another host", event="host_suspected", version=own.version
            )
        await self._replace_own(own.version, is_established)
        await self._refresh()

    async def _mark_suspected(self, host: str) -> None:
        """Mark the row of a silent host, which is deleted unless it is renewed."""
        row, listed = self._hosts.registrations.get(host), self._listed.get(host)
        if row is None or listed is None:
            return
        marked = msgspec.structs.replace(listed, suspected=True)
        change = RowChange(host, msgspec.json.encode(marked), row.version)
        written = await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)
        if not isinstance(written, Err):
            logger.info(
                "a silent host is marked as suspected",
                event="host_marked",
                peer=host,
                silent_s=round(self._hosts.silences.silence_s(host, self._clock()), 1),
            )

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

        A host that is registered stays established.
        """
        own = self._hosts.registrations.own
        row = self._encode_own(own is not None and own.is_established)
        change = RowChange(self._members.own.host, row, 0)
        written = await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)
        is_known = isinstance(written, Err) and written.err_value is StoreFault.CONFLICT
        if isinstance(written, Err) and not is_known:
            return False
        if own is None and not is_known:
            self._hosts.begin_as_learner()
        if not await self._read_all():
            return False
        return not is_known or await self._take_over_row()

    async def _take_over_row(self) -> bool:
        """Replace the row that an earlier process of this host has left.

        A late call of that process then finds another version. A row that cannot be
        read is overwritten.
        """
        own = self._hosts.registrations.own
        if own is None:
            replaced = await self._replace_own(None, is_established=False)
        else:
            replaced = await self._replace_own(own.version, own.is_established)
        if isinstance(replaced, Err):
            return False
        return await self._refresh()

    async def _replace_own(
        self, version: int | None, is_established: bool, is_stopped: bool = False
    ) -> Result[None, StoreFault]:
        """Replace this host's row if it has a version; None stands for any."""
        value = self._encode_own(is_established, is_stopped)
        change = RowChange(self._members.own.host, value, version)
        return await self._store.change(HOSTS_TABLE, change, CALL_TIMEOUT_S)

    def _encode_own(self, is_established: bool, is_stopped: bool = False) -> bytes:
        own = self._members.own
        row = ListedHost(own.zone, own.region, str(own.front), str(own.peer))
        row.voter, row.stopped = is_established, is_stopped
        registered = self._hosts.registrations.own
        row.weight = weight_of(own.capacity_per_s)
        row.number = self._rng.getrandbits(REGISTRATION_BITS)
        if registered is not None:
            row.weight, row.number = registered.weight, registered.number
        return msgspec.json.encode(row)

    async def _refresh(self) -> bool:
        """Read the changes of the list; return whether that succeeded."""
        registrations = self._hosts.registrations
        started_at, as_of = self._clock(), self._reactor.seconds()
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
        for host in deleted:
            self._listed.pop(host, None)
        registrations.update(self._decode_page(page), deleted, page.version, now)
        registrations.drop_lost(now)
        self._hosts.is_list_outdated = page.is_limited
        if not page.is_limited:
            self._hosts.confirm_by_list(started_at)
        self._update_members(as_of)
        return True

    async def _read_all(self) -> bool:
        """Read the whole list; return whether that succeeded."""
        started_at, as_of = self._clock(), self._reactor.seconds()
        read = await self._store.read(HOSTS_TABLE, CALL_TIMEOUT_S)
        if isinstance(read, Err):
            return False
        page, now = read.ok_value, self._clock()
        registrations = self._hosts.registrations
        self._listed.clear()
        registrations.replace(self._decode_page(page), page.version, now)
        registrations.drop_lost(now)
        self._hosts.is_list_outdated = False
        self._hosts.confirm_by_list(started_at)
        self._members.host_list_read = True
        self._update_members(as_of)
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
        self._listed[host] = listed
        weight = listed.weight if 0.0 < listed.weight < math.inf else 0.0
        return Ok(
            Registration(
                host,
                listed.region,
                row.version,
                listed.voter,
                listed.stopped,
                weight,
                listed.suspected,
                listed.number,
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
