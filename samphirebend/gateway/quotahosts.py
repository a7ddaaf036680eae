"""Hosts that have a share of the fleet-wide limits, and whether this host has one.

Shares are divided among the listed hosts, in contact or not. `sharelease` decides
until when this host may use its share. A share passes to the other hosts when the
registration of its host is deleted, which this module allows only once the host has
certainly ceased to use it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from .quotareports import QuotaReport
from .registrations import Registration, Registrations
from .sharelease import (
    CAUTION_S,
    GOSSIP_LEASE_S,
    LEASE_S,
    MAX_LATENCY_S,
    ShareLease,
)
from .silences import GOSSIP_SILENT_S, SILENT_S, Silences

# Age at which a process begins to use the tokens that are released to it.
RELEASE_AFTER_S: Final = 1.0
# Time between two updates from which this host takes itself for suspended, and
# what it has not heard in that time for no sign of silence.
SUSPENDED_S: Final = 1.0
# Time for which a host that has renewed its registration is not suspected again.
SUSPECT_AGAIN_S: Final = 1.0
# Silence after which an established host of another region, which may be cut off and
# not know of this learner, has ceased to use its share. It outlasts a partition of
# an hour.
CEASE_DISTANT_S: Final = 3900.0
# Divisor of what a host uses that others may have removed, of limits with a margin
# for it.
REMOVED_FACTOR: Final = 4


@unique
class Removal(Enum):
    """Why a registration may be deleted."""

    STOPPED = "stopped"  # the host has stated that it stops, and did not return
    NOT_RENEWED = "not-renewed"  # it is silent and does not renew its registration


class QuotaHosts:
    """Tracks the hosts that have a share of the fleet-wide limits."""

    __slots__ = (
        "_digest",
        "_digests",
        "_host",
        "_is_known",
        "_is_released",
        "_listed_at",
        "_start_delay_s",
        "_suspected",
        "_updated_at",
        "_usable_from",
        "_weights",
        "_window_s",
        "divides_by_contact",
        "is_list_outdated",
        "is_stopped",
        "lease",
        "names",
        "registrations",
        "silences",
        "version",
    )

    def __init__(self, host: str, window_s: float, lifetime_s: float) -> None:
        self._host = host
        self.set_window(window_s, lifetime_s)
        self._usable_from = math.inf
        self._updated_at = -math.inf
        self._is_known = False  # whether the list of all hosts was read
        self._listed_at = math.inf  # time at which it was read
        # Whether tokens of the share are released before `_usable_from`.
        self._is_released = True
        # Digests of the lists that other hosts have reported.
        self._digests: dict[str, int] = {}
        # Weights of the hosts whose capacity is known.
        self._weights: dict[str, float] = {}
        # Hosts whose registrations may be deleted, by their fingerprints, as of the
        # last confirmation by the list. It may be newer than this host's copy.
        self._suspected: frozenset[int] = frozenset()
        self._digest = 0  # of the registrations at the last update
        self.names: set[str] = {host}  # hosts with a share
        self.version = 0  # changes with `names`
        self.lease = ShareLease()
        self.registrations = Registrations(host)
        self.silences = Silences(host)
        # Whether another host has told of a newer list of hosts.
        self.is_list_outdated = False
        # Whether this host has given up its share for good.
        self.is_stopped = False
        # Whether each heartbeat reaches all hosts.
        self.divides_by_contact = True

    def update(self, heard_at: Mapping[str, float], complete: bool, now: float) -> None:
        """Update from the hosts that are known, by when each was heard last.

        `complete` tells whether the list of all hosts has been read.
        """
        meshed = self.divides_by_contact
        self.silences.silent_s = SILENT_S if meshed else GOSSIP_SILENT_S
        self.lease.lease_s = LEASE_S if meshed else GOSSIP_LEASE_S
        self.lease.has_list = self.registrations.is_read
        self._forget_absent(heard_at)
        if now - self._updated_at >= SUSPENDED_S:
            self.silences.restart(now)
            self.registrations.restart_observation(now)
        for host, at in heard_at.items():
            if host != self._host:
                self.silences.record_heard(host, at, now)
        self._set_names(heard_at)
        was_suspended = now - self._updated_at >= self.lease.lease_s
        self._updated_at = now
        if complete and not self._is_known:
            self._is_known = True
            self._listed_at = now
        elif complete and was_suspended and not self.registrations.is_read:
            self._is_released = False
            self._usable_from = now + self._start_delay_s
        if self._is_known:
            self._update_lease(now)
            self._update_start(now)

    def set_window(self, window_s: float, lifetime_s: float) -> None:
        """Set the window of quotas, and the longest lifetime of a given token."""
        self._window_s = window_s  # in which requests count against a share
        # Time for which requests count that this host may have sent before it
        # was restarted, or others before they knew of this host.
        self._start_delay_s = window_s + lifetime_s

    def record_capacity(self, host: str, capacity_per_s: float) -> None:
        """Record how many requests a host sustains, as it says at first.

        Callers are sent to hosts by their capacity, so shares follow it. Later
        changes do not count, since hosts that differ in the weights could together
        exceed a quota.
        """
        weight = weight_of(capacity_per_s)
        if host not in self._weights and weight:
            self._weights[host] = weight
            self.version += 1

    def weights(self) -> dict[str, float]:
        """Return the weights of all hosts with a share.

        The one in the registration counts, which all hosts know alike. One whose
        capacity is not known yet counts as the largest, so that the others leave
        it at least what it takes itself.
        """
        known = self._weights | self.registrations.weights()
        largest = max(known.values(), default=1.0)
        return {host: known.get(host, largest) for host in self.names}

    # Reports.

    def record_report(
        self, host: str, report: QuotaReport, extra_s: float | None, now: float
    ) -> None:
        """Record what a host says of the others and of the list.

        `extra_s` is the delay of the heartbeat, beyond the usual one, or None if
        it is not known.
        """
        registrations = self.registrations
        if registrations.is_newer(report.digest):
            self.is_list_outdated = True
            is_current = False
        else:
            is_current = extra_s is not None
        at = now - (extra_s or 0.0)
        self.silences.record_report(host, report.silent, is_current, at, now)
        self._digests[host] = report.digest
        if report.digest == registrations.digest:
            self._record_list_age(report, extra_s, now)

    def confirm_by_list(self, started_at: float) -> None:
        """Record that this host has read the list, and when it began to."""
        own = self.registrations.own
        if own is not None and own.is_safe:
            unsafe = map(self.silences.fingerprint, self.registrations.unsafe())
            self._confirm_by_list(started_at, frozenset(unsafe))

    def _confirm_by_list(self, at: float, suspected: frozenset[int]) -> None:
        if at > self.lease.list_at:
            self._suspected = suspected
            self.lease.confirm_by_list(at)

    def _record_list_age(
        self, report: QuotaReport, extra_s: float | None, now: float
    ) -> None:
        """Record that another host has found this host's list to be current."""
        own = self.registrations.own
        if extra_s is None or own is None:
            return
        at = now - (extra_s + MAX_LATENCY_S + report.list_age_s)
        if report.suspected and self.silences.own_number in report.suspected:
            # The row has to be read before it can be renewed.
            self.is_list_outdated |= own.is_safe
        elif at > self.lease.list_at and own.is_safe:
            self._confirm_by_list(at, report.suspected)

    def fill_report(self, report: QuotaReport, now: float) -> None:
        """State what `record_report` of other hosts expects.

        A host that reports itself as silent has no share.
        """
        silences = self.silences
        report.digest = self.registrations.digest
        report.list_age_s = self.lease.list_age_s(now)
        report.silent = frozenset(silences.silent(now))
        if self._is_known and not self.lease.is_valid(now):
            report.silent |= {silences.own_number}
        report.suspected = self._suspected

    # Shares.

    def has_share(self, now: float) -> bool:
        """Return whether this host may use its share."""
        if self.is_stopped or now < self._usable_from:
            return False
        if self.registrations.is_read and self.registrations.own is None:
            return False
        return self.lease.is_valid(now)

    def may_give(self, lifetime_s: float, now: float) -> bool:
        """Return whether this host has its share for the lifetime of a token."""
        return self.lease.is_valid(now + lifetime_s)

    def is_removed(self, now: float) -> bool:
        """Return whether others may soon divide this host's share.

        The budgets that ask for it are counted over a longer time than quotas.
        """
        return self.lease.age_s(now) >= min(CAUTION_S, self.lease.lease_s)

    def without_share(self) -> frozenset[str]:
        """Return the hosts that have no share, as they say and the list shows."""
        if not self.registrations.is_read:
            return frozenset()
        return self.silences.lapsed - self.registrations.hosts

    def contact_fraction(self, now: float) -> float:
        """Return which part of the hosts with a share is in contact.

        At a host that others may have removed, it is the part to use.
        """
        fraction = 1.0
        if self.divides_by_contact:
            in_contact = len(self.names & self.silences.confirming(now))
            fraction = (1 + in_contact) / len(self.names)
        return fraction / REMOVED_FACTOR if self.is_removed(now) else fraction

    def release_age_s(self, now: float) -> float | None:
        """Return the age by which tokens are released to a process that started.

        None stands for a process that has its share, or no part of it.
        """
        age_s = now - self._listed_at
        if not self._is_released or self.is_stopped or now >= self._usable_from:
            return None
        if age_s < RELEASE_AFTER_S or not self.lease.is_valid(now):
            return None
        if self.registrations.is_read and self._is_learner:
            return None  # others may not know it yet
        return age_s

    # Registrations.

    def begin_as_learner(self) -> None:
        """Begin without a share, as other hosts do not know this one."""
        self._is_released = False
        self._usable_from = math.inf
        self._digests.clear()
        self.registrations.has_departed = False

    @property
    def awaits_others(self) -> bool:
        """Return whether this host has no share until others know it."""
        return self._is_learner and math.isinf(self._usable_from)

    def is_promotable(self) -> bool:
        """Return whether this host may become established."""
        return self._is_learner and self._updated_at >= self._usable_from

    def suspects(self, now: float) -> list[str]:
        """Return the hosts whose registrations are to be marked."""
        if not self.silences.has_silent(now):
            return []
        return [
            row.host
            for row in self.registrations.others()
            if row.is_safe
            and not row.is_stopped
            and self.silences.is_silent(row.host, now)
            and now - row.unchanged_since >= SUSPECT_AGAIN_S
        ]

    def removable(self, now: float) -> dict[str, Removal]:
        """Return the hosts whose registrations this host may delete, and why."""
        if self.registrations.own is None or not self.silences.has_silent(now):
            return {}
        found = {}
        for row in self.registrations.others():
            removal = None
            if not row.is_lost and self.silences.is_silent(row.host, now):
                removal = self._find_removal(row, now)
            if removal is not None:
                found[row.host] = removal
        return found

    def _find_removal(self, row: Registration, now: float) -> Removal | None:
        if row.is_stopped and now - row.stopped_since >= self._start_delay_s:
            return Removal.STOPPED
        # Requests that it has sent count for a window.
        ceased = self._has_ceased(row, now - self._window_s)
        return Removal.NOT_RENEWED if ceased else None

    def _has_ceased(self, row: Registration, at: float) -> bool:
        """Return whether a host had certainly ceased to use its share at a time."""
        is_silent = self.silences.silence_s(row.host, at) >= self._cease_after_s(row)
        is_marked = row.is_suspected and (
            at - row.unchanged_since >= self.lease.lease_s
        )
        return is_silent and is_marked

    def _cease_after_s(self, row: Registration) -> float:
        """Return the silence after which another host has ceased to use its share.

        The last heartbeat that the other one has received from this host may be by
        `silent_s` younger than the last one that it has sent to it.
        """
        if self._may_be_unknown_to(row):
            return CEASE_DISTANT_S
        return self.silences.silent_s + MAX_LATENCY_S + self.lease.lease_s

    def _may_be_unknown_to(self, row: Registration) -> bool:
        """Return whether a host may use its share without knowing of this one.

        It has read the list, as others in contact with it have, unless its region is
        cut off. If an established host has gone, it misses that one.
        """
        if not row.is_established or not self._is_learner:
            return False
        registrations = self.registrations
        is_neighbour = row.region == registrations.own_region
        return not is_neighbour and not registrations.has_departed

    # Contact.

    @property
    def _is_learner(self) -> bool:
        """Return whether other hosts may not know this one."""
        own = self.registrations.own
        if own is None:
            return self.registrations.is_read
        return not own.is_established

    def _listed_others(self) -> frozenset[str] | set[str]:
        """Return the other hosts with a share."""
        return self.names - {self._host}

    def _set_names(self, heard_at: Mapping[str, float]) -> None:
        """Set the hosts with a share; without a list, those that are known."""
        listed = self.registrations.hosts
        known = listed if self.registrations.is_read else heard_at.keys()
        names = {self._host, *known}
        if names != self.names or self.registrations.digest != self._digest:
            self._digest = self.registrations.digest
            self.names = names
            self.version += 1

    def _forget_absent(self, heard_at: Mapping[str, float]) -> None:
        """Forget hosts that are not members any more."""
        for host in self.silences.forget_absent(heard_at.keys()):
            self._weights.pop(host, None)
            self._digests.pop(host, None)

    def _update_lease(self, now: float) -> None:
        """Record the confirmations by other hosts.

        Hosts that this one does not know may suspect a learner.
        """
        others = self._listed_others()
        if not (self.registrations.is_read and self._is_learner):
            if self.divides_by_contact:
                at = self.silences.confirmed_at(others, now)
            else:
                at = self.silences.heard_at(others, now)
            self.lease.confirm_by_peers(at, now)
        if not self.lease.is_valid(now):
            # All hosts may have lost their shares for want of the store.
            self.silences.restart_lapsed(now)

    def _update_start(self, now: float) -> None:
        """Decide from when on this host may use its share.

        If it is new, other hosts may use larger shares until they know of it. A host
        that has read the new list does not confirm one that has not, which therefore
        has to read it, too, or ceases to use its share.
        """
        if not self._is_learner:
            if math.isinf(self._usable_from):
                self._usable_from = now + self._start_delay_s
            return
        registrations = self.registrations
        if registrations.own is None:
            return
        told = registrations.answered | {
            host for host, digest in self._digests.items() if digest == self._digest
        }
        rows = registrations.others()
        registrations.has_departed |= any(
            row.is_established and self._has_ceased(row, now) for row in rows
        )
        is_told = any(row.is_established and row.host in told for row in rows)
        if all(row.host in told or self._has_ceased(row, now) for row in rows):
            usable_from = now + self._start_delay_s
        elif is_told or not registrations.has_established:
            lease_s = self.lease.lease_s + MAX_LATENCY_S
            usable_from = now + lease_s + self._start_delay_s
        else:
            return
        self._usable_from = min(self._usable_from, usable_from)


def weight_of(capacity_per_s: float) -> float:
    """Return the weight for a capacity, rounded to a power of two; 0: unknown.

    >>> weight_of(700.0), weight_of(0.0)
    (512.0, 0.0)
    """
    if not 0.0 < capacity_per_s < math.inf:
        return 0.0
    return 2.0 ** math.floor(math.log2(capacity_per_s))
