"""Tracks which other hosts are in contact, and what they say of each other.

Hosts report in their heartbeats which others are silent to them. A host reports
itself if it may not use its share, so that the others divide it.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import Final

from .observations import fingerprint

# Time without a heartbeat after which a host is reported as silent. It is above
# the 1.5 s in which a host sends three heartbeats.
SILENT_S: Final = 2.0
# The same where most heartbeats are relayed.
GOSSIP_SILENT_S: Final = 10.0
_NO_REPORT: Final[frozenset[int]] = frozenset()


class Silences:
    """Heartbeats and reports of the other hosts, by the names of the hosts."""

    __slots__ = (
        "_accused_at",
        "_confirmed_at",
        "_fingerprints",
        "_heard_at",
        "_host",
        "_lapsed_since",
        "_reports",
        "_silent_since",
        "silent_s",
    )

    def __init__(self, host: str) -> None:
        self._host = host  # this host
        self._fingerprints: dict[str, int] = {}
        self._heard_at: dict[str, float] = {}  # last heartbeats
        # Times from which silence is counted: the last heartbeat, or later, when this
        # process learned of the host or was suspended.
        self._silent_since: dict[str, float] = {}
        # Since when hosts report that they may not use their share.
        self._lapsed_since: dict[str, float] = {}
        # Hosts that each host reports as silent, by their fingerprints.
        self._reports: dict[str, frozenset[int]] = {}
        # When hosts sent their last report that they hear this host.
        self._confirmed_at: dict[str, float] = {}
        # When some host reported last that it does not hear this host.
        self._accused_at = -math.inf
        self.silent_s = SILENT_S  # time without a heartbeat

    def fingerprint(self, host: str) -> int:
        """Return the number that stands for a host in reports."""
        number = self._fingerprints.get(host)
        if number is None:
            number = self._fingerprints[host] = fingerprint(host)
        return number

    @property
    def own_number(self) -> int:
        """Return the number that stands for this host."""
        return self.fingerprint(self._host)

    # Heartbeats.

    def record_heard(self, host: str, at: float, now: float) -> None:
        """Record when a host was heard last; zero stands for never."""
        since = self._silent_since.get(host, now)
        self._silent_since[host] = max(since, at) if at else since
        if at:
            self._heard_at[host] = max(self._heard_at.get(host, at), at)

    def restart(self, now: float) -> None:
        """Count silence from now on, as this host could not hear others."""
        for host in self._silent_since:
            self._silent_since[host] = now
        self.restart_lapsed(now)

    def restart_lapsed(self, now: float) -> None:
        """Count from now on for how long hosts may not use their shares."""
        for host in self._lapsed_since:
            self._lapsed_since[host] = now

    def forget_absent(self, hosts: Collection[str]) -> set[str]:
        """Forget all hosts but the given ones and this one; return them."""
        absent = self._silent_since.keys() - hosts
        for host in absent:
            for kept in (
                self._heard_at,
                self._silent_since,
                self._lapsed_since,
                self._reports,
                self._confirmed_at,
                self._fingerprints,
            ):
                kept.pop(host, None)
        return absent

    def heard_count(self, now: float) -> int:
        """Return how many hosts are in contact."""
        return sum(now - at < self.silent_s for at in self._heard_at.values())

    def silence_s(self, host: str, now: float) -> float:
        """Return for how long a host has been silent; 0 for an unknown one.

        One that may not use its share counts as silent since it has said so.
        """
        since = self._silent_since.get(host, now)
        return now - min(since, self._lapsed_since.get(host, now))

    def is_silent(self, host: str, now: float) -> bool:
        """Return whether a host is not in contact."""
        return self.silence_s(host, now) >= self.silent_s

    def has_silent(self, now: float) -> bool:
        """Return whether some host is not in contact, or may not use its share."""
        since = min(self._silent_since.values(), default=now)
        return bool(self._lapsed_since) or now - since >= self.silent_s

    def silent(self, now: float) -> set[int]:
        """Return the fingerprints of the hosts that are not in contact."""
        if not self.has_silent(now):
            return set()
        return {
            self.fingerprint(host)
            for host in self._silent_since
            if self.is_silent(host, now)
        }

    # Reports.

    def record_report(
        self, host: str, silent: frozenset[int], is_current: bool, at: float, now: float
    ) -> None:
        """Replace what a host has reported at some time.

        `is_current` tells whether this host knows the list of hosts that it has.
        """
        self._reports[host] = silent
        if silent and self.own_number in silent:
            self._accused_at = now
        elif is_current:
            self._confirmed_at[host] = max(self._confirmed_at.get(host, at), at)
        if silent and self.fingerprint(host) in silent:
            self._lapsed_since.setdefault(host, now)
        else:
            self._lapsed_since.pop(host, None)

    @property
    def lapsed(self) -> frozenset[str]:
        """Return the hosts that report that they may not use their share."""
        return frozenset(self._lapsed_since)

    def reported_by(self, host: str) -> frozenset[int]:
        """Return the silent hosts that a host has reported, by fingerprint."""
        return self._reports.get(host, _NO_REPORT)

    def confirmed_at(self, hosts: Iterable[str], default: float) -> float:
        """Return the time as of which all of some hosts have confirmed this one."""
        confirmed = self._confirmed_at
        return min((confirmed.get(host, -math.inf) for host in hosts), default=default)

    def heard_at(self, hosts: Iterable[str], now: float) -> float:
        """Return the time as of which all of some hosts were heard.

        Hosts that were never heard are left out. While others miss this host, it
        was not heard itself.
        """
        if now - self._accused_at < self.silent_s:
            return -math.inf
        heard = (self._heard_at[host] for host in hosts if host in self._heard_at)
        return min(heard, default=now)

    def confirming(self, now: float) -> set[str]:
        """Return the hosts in contact that also hear this host."""
        own, silent_s = self.own_number, self.silent_s
        return {
            host
            for host, at in self._heard_at.items()
            if now - at < silent_s and own not in self.reported_by(host)
        }
