"""Hosts that have a share of the fleet-wide limits, and whether this host has one.

Each host has a share of every limit, in contact or not, so a share may pass to
other hosts only when its owner has certainly ceased to use it. Hosts tell each
other which hosts are silent, and `contact` decides when a host gives up its share.
A host loses it if more than half of the voters report it as silent for `REMOVE_S`,
or when its registration is deleted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from .contact import (
    KEEP_SHARE_S,
    REMOVE_BY_LEARNER_S,
    REMOVE_DISTANT_BY_LEARNER_S,
    REMOVE_DISTANT_S,
    REMOVE_S,
    Contact,
)
from .registrations import Registration, Registrations
from .silences import GOSSIP_SILENT_S, MAX_REPORTED_S, SILENT_S, Silences

# Factor on REMOVE_S where most heartbeats are relayed: a host hears late from others
# that they miss it.
GOSSIP_REMOVE_FACTOR: Final = 4.0
# Age at which a process begins to use the tokens that are released to it. Hosts
# that had no share reserved for it have said so by then.
RELEASE_AFTER_S: Final = 1.0
# Time between two updates from which this host takes itself for suspended, and
# what it has not heard in that time for no sign of silence.
SUSPENDED_S: Final = 5.0
# Time after the last silence for which reports are still sent.
REPORT_CALM_S: Final = 10.0
# Divisor of what a host uses that others may have removed, of limits with a margin
# for it.
REMOVED_FACTOR: Final = 4


@unique
class Removal(Enum):
    """Why a registration may be deleted."""

    STOPPED = "stopped"  # the host has stated that it stops, and did not return
    OUTVOTED = "outvoted"  # more than half of the voters have removed it
    NOT_RENEWED = "not-renewed"  # it is silent and does not renew its registration


class QuotaHosts:
    """Tracks the hosts that have a share of the fleet-wide limits."""

    __slots__ = (
        "_added_at",
        "_confirmed_since",
        "_digest",
        "_host",
        "_is_known",
        "_is_released",
        "_listed_at",
        "_silent_at",
        "_start_delay_s",
        "_updated_at",
        "_usable_from",
        "_was_kept",
        "_weights",
        "awaits_list",
        "contact",
        "divides_by_contact",
        "is_list_outdated",
        "is_stopped",
        "names",
        "registrations",
        "silences",
        "version",
    )

    def __init__(self, host: str, start_delay_s: float) -> None:
        self._host = host
        # Time for which requests count that this host may have sent before it
        # was restarted, or others before they knew of this host.
        self._start_delay_s = start_delay_s
        self._usable_from = math.inf
        self._updated_at = -math.inf
        self._was_kept = False  # whether the share was kept at the last update
        self._is_known = False  # whether the list of all hosts was read
        self._listed_at = math.inf  # time at which it was read
        # Whether tokens of the share are released before `_usable_from`.
        self._is_released = True
        # Hosts that had no share reserved, and when they were added to `names`.
        self._added_at: dict[str, float] = {}
        # Since when other hosts have been in contact without a break.
        self._confirmed_since: dict[str, float] = {}
        self._silent_at = -math.inf  # when some host was silent last
        # Weights of the hosts whose capacity is known.
        self._weights: dict[str, float] = {}
        self._digest = 0  # of the registrations at the last update
        self.names: set[str] = {host}  # hosts with a share
        self.version = 0  # changes with `names`
        self.contact = Contact()
        self.registrations = Registrations(host)
        self.silences = Silences(host)
        # Whether another host has told of a newer list of hosts.
        self.is_list_outdated = False
        # Whether the list has to be read before this host may use its share again.
        self.awaits_list = False
        # Whether this host has given up its share for good.
        self.is_stopped = False
        # Whether shares may be lost. Not so in fleets in which a heartbeat
        # reaches only some of the hosts.
        self.divides_by_contact = True

    def update(self, heard_at: Mapping[str, float], complete: bool, now: float) -> None:
        """Update from the hosts that are known, by when each was heard last.

        `complete` tells whether the list of all hosts has been read.
        """
        meshed = self.divides_by_contact
        self.silences.silent_s = SILENT_S if meshed else GOSSIP_SILENT_S
        self._forget_absent(heard_at)
        if self.registrations.digest != self._digest:
            self._digest = self.registrations.digest
            self.version += 1
        if now - self._updated_at >= SUSPENDED_S:
            self._restart_observation(now)
        for host, at in heard_at.items():
            if host != self._host:
                self.silences.record_heard(host, at, now)
                if host not in self.names and not self.silences.is_silent(host, now):
                    self._set_names(self.names | {host})
                    if self._is_known:
                        self._added_at[host] = now
        was_suspended = now - self._updated_at >= KEEP_SHARE_S
        self._updated_at = now
        if complete and not self._is_known:
            self._is_known = True
            self._listed_at = now
            self._usable_from = now + self._start_delay_s
        elif complete and was_suspended:
            self._restart(now)
        if self._is_known:
            self._check_contact(now)
            self._remove_silent(now)

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

    def record_silences(self, host: str, silences: Mapping[int, float]) -> None:
        """Record for how long other hosts have been silent, as a host reports.

        Zero stands for a host that had no share reserved until lately.
        """
        if silences and 0 in silences.values():
            if silences.get(self.silences.own_number) == 0:
                self._is_released = False
            silences = {number: age_s for number, age_s in silences.items() if age_s}
        self.silences.record_report(host, silences)

    def record_digest(self, digest: int) -> None:
        """Record which list of hosts another host has."""
        if self.registrations.is_newer(digest):
            self.is_list_outdated = True

    def to_report(self, now: float) -> dict[int, float]:
        """Return what `record_silences` of other hosts expects.

        A host that reports itself asks not to be counted in a majority.
        """
        added = {
            self.silences.fingerprint(host): 0.0
            for host, at in self._added_at.items()
            if now - at < self._start_delay_s
        }
        if self.contact.is_uncertain(now):
            added[self.silences.own_number] = MAX_REPORTED_S
        return added | self.silences.silent(now)

    def has_news(self, now: float) -> bool:
        """Return whether other hosts need this host's reports."""
        return now - self._silent_at < REPORT_CALM_S

    # Shares.

    def has_share(self, now: float) -> bool:
        """Return whether this host may use its share."""
        if self.is_stopped or self.awaits_list or now < self._usable_from:
            return False
        if now - self._updated_at >= KEEP_SHARE_S:
            return False
        return self._was_kept and self.contact.keeps_share(now)

    def is_removed(self, now: float) -> bool:
        """Return whether others may have divided this host's share."""
        return not self.contact.keeps_share(now)

    def contact_fraction(self, now: float) -> float:
        """Return which part of the hosts with a share is in contact.

        At a host that others may have removed, it is the part to use.
        """
        fraction = 1.0
        if self.divides_by_contact:
            in_contact = len(self.names & self._confirmed_since.keys())
            fraction = (1 + in_contact) / len(self.names)
        return fraction / REMOVED_FACTOR if self.is_removed(now) else fraction

    def release_age_s(self, now: float) -> float | None:
        """Return the age by which tokens are released to a process that started.

        None stands for a process that has its share, or no part of it.
        """
        age_s = now - self._listed_at
        if not self._is_released or self.is_stopped or now >= self._usable_from:
            return None
        own = self.registrations.own
        if self.registrations.is_read and (own is None or not own.is_voter):
            return None  # others may not know it yet
        if not self.contact.keeps_share(now):
            return None
        # At least half of the hosts, and one other, have had the chance to say
        # that no share was reserved.
        reporting = len(self.names.intersection(self.silences.reporting()))
        if 2 * (1 + reporting) < len(self.names):
            return None
        if age_s < RELEASE_AFTER_S or not (reporting or len(self.names) == 1):
            return None
        return age_s

    # Registrations.

    def is_promotable(self) -> bool:
        """Return whether this host may become a voter."""
        own, voters = self.registrations.own, self.registrations.voters
        if own is None or own.is_voter:
            return False
        now = self._updated_at
        return 2 * self._count_support(self.silences.confirming(now), voters) > len(
            voters
        )

    def removable(self, now: float) -> dict[str, Removal]:
        """Return the hosts whose registrations this host may delete, and why."""
        if self.registrations.own is None:
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
        silent_s = self.silences.silence_s(row.host, now)
        if row.host not in self.names and silent_s >= REMOVE_S:
            return Removal.OUTVOTED
        remove_s = self._remove_after_s(row)
        is_due = min(silent_s, now - row.unchanged_since) >= remove_s
        if is_due and self._all_miss(row.host, remove_s, now):
            return Removal.NOT_RENEWED
        return None

    def _remove_after_s(self, row: Registration) -> float:
        """Return the silence after which this host may remove another."""
        own = self.registrations.own
        is_voter = own is not None and own.is_voter
        if self._is_neighbour(row.host):
            remove_s = REMOVE_S if is_voter else REMOVE_BY_LEARNER_S
        else:
            remove_s = REMOVE_DISTANT_S if is_voter else REMOVE_DISTANT_BY_LEARNER_S
        return remove_s if self.divides_by_contact else remove_s * GOSSIP_REMOVE_FACTOR

    def _all_miss(self, host: str, least_s: float, now: float) -> bool:
        """Return whether no host in contact hears another."""
        if not self.divides_by_contact:
            return True  # the relayed heartbeats of the host would reach this one
        return self.silences.all_miss(host, least_s, now)

    def confirm_list(self, now: float) -> None:
        """Record that this host has read the list, which has its registration."""
        if self.awaits_list:
            self.awaits_list = False
            self._usable_from = now + self._start_delay_s

    # Contact.

    def _forget_absent(self, heard_at: Mapping[str, float]) -> None:
        """Forget hosts that are not members any more."""
        absent = self.silences.forget_absent(heard_at.keys())
        if not absent:
            return
        for host in absent:
            self._weights.pop(host, None)
            self._added_at.pop(host, None)
        self._set_names(self.names - absent)

    def _restart(self, now: float) -> None:
        """Begin without a share, which others may have used in the meantime.

        Others may also have deleted the registration of this host, and hosts may
        have joined that do not know it.
        """
        self._is_released = False
        self._usable_from = now + self._start_delay_s
        self.awaits_list = self.registrations.is_read

    def _restart_observation(self, now: float) -> None:
        self.silences.restart(now)
        self.registrations.restart_observation(now)

    def _voters(self) -> set[str]:
        """Return the hosts with a share that have a vote."""
        if not self.registrations.is_read:
            return self.names
        return (self.names & self.registrations.voters) or self.names

    def _count_support(self, hosts: set[str], voters: frozenset[str] | set[str]) -> int:
        """Count the voters among some hosts and this one."""
        return len(hosts & voters) + (self._host in voters)

    def _check_contact(self, now: float) -> None:
        confirming, voters = self.silences.confirming(now), self._voters()
        self._confirmed_since = {
            host: self._confirmed_since.get(host, now) for host in confirming
        }
        certain = set(filter(self.silences.is_certain, confirming))
        is_meshed = self.divides_by_contact
        majority = 2 * self._count_support(certain, voters) >= len(voters)
        reachable = 2 * self._count_support(confirming, voters) >= len(voters)
        missing = self.registrations.hosts - confirming - {self._host}
        if not is_meshed:
            # A heartbeat of each host may take a minute to arrive for the first time.
            missing = frozenset(filter(self.silences.was_heard, missing))
        kept = self._was_kept and self.contact.keeps_share(now)
        self.contact.update(
            majority or not is_meshed,
            reachable or not is_meshed,
            not any(map(self._is_neighbour, missing)),
            not missing,
            now,
        )
        self._was_kept = self.contact.keeps_share(now)
        if self._was_kept and not kept:
            self._handle_contact(now)

    def _handle_contact(self, now: float) -> None:
        """Handle contact after a time without it, or for the first time."""
        own = self.registrations.own
        if now >= self._usable_from:
            if not self._is_known_to_all(now):
                self._restart(now)
        elif own is not None and not own.is_voter:
            # Others had no share reserved for this host until they heard it.
            self._usable_from = now + self._start_delay_s

    def _is_known_to_all(self, now: float) -> bool:
        """Return whether all hosts with a share have reserved that of this host.

        So it is when others were removed that this host was waiting for.
        """
        if self.is_list_outdated or self._host not in self.registrations.hosts:
            return False
        return all(
            now - self._confirmed_since.get(host, now) >= self._start_delay_s
            for host in self.names - {self._host}
        )

    def _is_neighbour(self, host: str) -> bool:
        """Return whether a host is registered in this host's region."""
        row = self.registrations.get(host)
        return row is not None and row.region == self.registrations.own_region

    def _remove_silent(self, now: float) -> None:
        silences = self.silences
        own = silences.silent(now)
        if own:
            self._silent_at = now
        if not self.divides_by_contact or max(own.values(), default=0.0) < REMOVE_S:
            return
        voters = self._voters()
        heard = [host for host in silences.heard(now) if host in voters]
        reports = [
            silences.reported_by(host) for host in heard if silences.is_certain(host)
        ]
        if self._host in voters and not self.contact.is_uncertain(now):
            reports.append(own)
        silent = {
            host
            for host in self.names
            if own.get(silences.fingerprint(host), 0.0) >= REMOVE_S
            and 2 * _votes(silences.fingerprint(host), reports) > len(voters)
        }
        if silent:
            self._set_names(self.names - silent)

    def _set_names(self, names: set[str]) -> None:
        self.names = names
        self.version += 1


def weight_of(capacity_per_s: float) -> float:
    """Return the weight for a capacity, rounded to a power of two; 0: unknown.

    >>> weight_of(700.0), weight_of(0.0)
    (512.0, 0.0)
    """
    if not 0.0 < capacity_per_s < math.inf:
        return 0.0
    return 2.0 ** math.floor(math.log2(capacity_per_s))


def _votes(host: int, reports: list[Mapping[int, float]]) -> int:
    return sum(silences.get(host, 0.0) >= REMOVE_S for silences in reports)
