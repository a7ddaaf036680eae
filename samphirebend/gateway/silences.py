"""Tracks which other hosts are in contact, and what they say of each other.

Hosts report in their heartbeats which others are silent to them. A host reports
itself if it asks not to be counted in a majority (see `contact`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from .observations import fingerprint

# Time without a heartbeat after which a host is reported as silent. It is above
# the 1.5 s in which a host sends three heartbeats.
SILENT_S: Final = 2.0
# The same where most heartbeats are relayed.
GOSSIP_SILENT_S: Final = 10.0
# Highest age in a report.
MAX_REPORTED_S: Final = 255
_NO_REPORT: Final[Mapping[int, float]] = {}


class Silences:
    """Heartbeats and reports of the other hosts, by the names of the hosts."""

    __slots__ = (
        "_fingerprints",
        "_heard_at",
        "_host",
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
        # Silent hosts that a host has reported, by their fingerprints.
        self._reports: dict[str, Mapping[int, float]] = {}
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
        """Count silence from now on, as this host was suspended."""
        for host in self._silent_since:
            self._silent_since[host] = now

    def forget_absent(self, hosts: Collection[str]) -> set[str]:
        """Forget all hosts but the given ones and this one; return them."""
        absent = self._silent_since.keys() - hosts
        for host in absent:
            self._heard_at.pop(host, None)
            self._silent_since.pop(host, None)
            self._reports.pop(host, None)
            self._fingerprints.pop(host, None)
        return absent

    def was_heard(self, host: str) -> bool:
        """Return whether a heartbeat of a host has arrived."""
        return host in self._heard_at

    def heard(self, now: float) -> list[str]:
        """Return the hosts that are in contact."""
        silent_s = self.silent_s
        return [host for host, at in self._heard_at.items() if now - at < silent_s]

    def silence_s(self, host: str, now: float) -> float:
        """Return for how long a host has been silent; 0 for an unknown one."""
        return now - self._silent_since.get(host, now)

    def is_silent(self, host: str, now: float) -> bool:
        """Return whether a host is not in contact."""
        return self.silence_s(host, now) >= self.silent_s

    def silent(self, now: float) -> dict[int, float]:
        """Return the times for which hosts have been silent, by fingerprint."""
        silent_s = self.silent_s
        return {
            self.fingerprint(host): now - since
            for host, since in self._silent_since.items()
            if now - since >= silent_s
        }

    # Reports.

    def record_report(self, host: str, silences: Mapping[int, float]) -> None:
        """Replace what a host reports."""
        self._reports[host] = silences

    def reported_by(self, host: str) -> Mapping[int, float]:
        """Return the silent hosts that a host has reported, by fingerprint."""
        return self._reports.get(host, _NO_REPORT)

    def reporting(self) -> Collection[str]:
        """Return the hosts that have sent a report."""
        return self._reports.keys()

    def confirming(self, now: float) -> set[str]:
        """Return the hosts in contact that also hear this host."""
        own = self.own_number
        return {host for host in self.heard(now) if own not in self.reported_by(host)}

    def is_certain(self, host: str) -> bool:
        """Return whether a host may count in a majority."""
        reported = self.reported_by(host)
        return not reported or self.fingerprint(host) not in reported

    def all_miss(self, host: str, least_s: float, now: float) -> bool:
        """Return whether all hosts in contact report a host as silent for a time."""
        number, least_s = self.fingerprint(host), min(least_s, MAX_REPORTED_S)
        return all(
            self.reported_by(other).get(number, 0.0) >= least_s
            for other in self.heard(now)
        )
