"""Registrations of hosts, as this host knows them from the store.

A host registers when it starts and stays registered while it is down, so that its
shares of fleet-wide limits wait for it. A registration ends only when its row is
deleted; `quotahosts` decides when that is safe, and `hostlist` makes the calls.

A host that is new is a learner: it may hold a share, but it has no vote on which
hosts are lost. It becomes a voter when more than half of the voters hear it. Hosts
that join one side of a partition therefore cannot outvote the other side.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from .eraversion import era_of
from .observations import fingerprint

# Time after a restore of the store for which registrations are kept that the
# backup lacks. Their hosts register again, or have ceased to use their shares.
KEEP_LOST_S: Final = 12.5
# Earlier states of the list that are recognized in other hosts' heartbeats.
MAX_EARLIER_DIGESTS: Final = 64


class Registration:
    """Row of one host; times are local, in seconds."""

    __slots__ = (
        "host",
        "is_established",
        "is_stopped",
        "is_suspected",
        "lost_at",
        "number",
        "region",
        "stopped_since",
        "unchanged_since",
        "version",
        "weight",
    )

    def __init__(
        self,
        host: str,
        region: str,
        version: int,
        is_established: bool,
        is_stopped: bool,
        weight: float = 0.0,
        is_suspected: bool = False,
        number: int = 0,
    ) -> None:
        self.host = host
        self.region = region
        self.version = version
        self.is_established = is_established
        # Part of the quotas, relative to that of other hosts; 0: not stated. It does
        # not change while the host is registered.
        self.weight = weight
        # Drawn when the host registers, and kept when it writes the row again.
        self.number = number
        # Whether the host has stated that it stops and uses no share any more.
        self.is_stopped = is_stopped
        # Whether another host has marked it, to delete it later.
        self.is_suspected = is_suspected
        # When this version, and a stopped one, was first seen.
        self.unchanged_since = 0.0
        self.stopped_since = math.inf
        # When a restore was noticed that lost this row; infinite: it was not lost.
        self.lost_at = math.inf

    @property
    def is_lost(self) -> bool:
        """Return whether a restore of the store has lost the row."""
        return not math.isinf(self.lost_at)

    @property
    def is_safe(self) -> bool:
        """Return whether others keep the share that goes with this row."""
        return not self.is_suspected and not self.is_lost


class Registrations:
    """The registrations of all hosts."""

    __slots__ = (
        "_earlier",
        "_host",
        "_registered_at",
        "_rows",
        "answered",
        "digest",
        "has_departed",
        "hosts",
        "is_read",
        "version",
    )

    def __init__(self, host: str) -> None:
        self._host = host  # this host
        self._rows: dict[str, Registration] = {}
        self._earlier: deque[int] = deque(maxlen=MAX_EARLIER_DIGESTS)
        self.is_read = False  # whether the list has been read
        self.version = 0  # version of the table up to which this is complete
        self.hosts: frozenset[str] = frozenset()  # all registered hosts
        self._registered_at = 0  # version at which this host has registered
        # Hosts that have renewed a row that was marked after that. They have read
        # the list to know of it, and so know this host.
        self.answered: set[str] = set()
        # Whether an established host has ceased to use its share since this one has
        # registered.
        self.has_departed = False
        # Of hosts and weights, by which shares are divided. A host that was removed
        # and has registered again makes a new list, which others have to read.
        self.digest = 0

    @property
    def own(self) -> Registration | None:
        """Return this host's registration, or None if it has none."""
        return self._rows.get(self._host)

    @property
    def has_established(self) -> bool:
        """Return whether some host is established."""
        return any(row.is_established for row in self._rows.values())

    @property
    def own_region(self) -> str:
        """Return this host's region, or the empty text if it is not registered."""
        return self.own.region if self.own is not None else ""

    def get(self, host: str) -> Registration | None:
        """Return the registration of a host, or None."""
        return self._rows.get(host)

    def weights(self) -> dict[str, float]:
        """Return the weights that hosts have stated."""
        return {host: row.weight for host, row in self._rows.items() if row.weight}

    def others(self) -> list[Registration]:
        """Return the registrations of the other hosts."""
        return [row for host, row in self._rows.items() if host != self._host]

    def unsafe(self) -> list[str]:
        """Return the hosts whose registrations may end."""
        return [host for host, row in self._rows.items() if not row.is_safe]

    def replace(self, rows: Iterable[Registration], version: int, now: float) -> None:
        """Replace all registrations by a snapshot of the table."""
        present = {row.host: row for row in rows}
        is_restored = self.is_read and era_of(version) > era_of(self.version)
        for host in self._rows.keys() - present.keys():
            if is_restored:
                self._rows[host].lost_at = min(self._rows[host].lost_at, now)
            else:
                self._drop(host)
        for row in present.values():
            self._put(row, now)
        self.is_read = True
        self._finish(version)

    def update(
        self,
        changed: Iterable[Registration],
        deleted: Iterable[str],
        version: int,
        now: float,
    ) -> None:
        """Apply changes of the table up to a version."""
        for host in deleted:
            self._drop(host)
        for row in changed:
            self._put(row, now)
        self._finish(version)

    def delete(self, host: str) -> None:
        """Delete the registration of a host whose row was deleted."""
        self._drop(host)
        self._finish(self.version)

    def drop_lost(self, now: float) -> None:
        """Delete registrations that were lost and not made again in time."""
        for host, row in list(self._rows.items()):
            if now - row.lost_at > KEEP_LOST_S:
                self.delete(host)

    def restart_observation(self, now: float) -> None:
        """Forget for how long rows have not changed: this host was suspended."""
        for row in self._rows.values():
            row.unchanged_since = now
            if row.is_stopped:
                row.stopped_since = now

    def is_newer(self, digest: int) -> bool:
        """Return whether another host's digest is of a state not known here."""
        return bool(digest) and digest != self.digest and digest not in self._earlier

    def _drop(self, host: str) -> None:
        row = self._rows.pop(host, None)
        self.answered.discard(host)
        self.has_departed |= row is not None and row.is_established

    def _put(self, row: Registration, now: float) -> None:
        known = self._rows.get(row.host)
        if known is not None and known.version == row.version:
            return
        row.unchanged_since = now
        if row.is_stopped:
            row.stopped_since = now
        if row.host == self._host:
            if known is None or known.number != row.number:
                self._registered_at = row.version
                self.answered.clear()
        elif known is not None and self._is_answer(known, row):
            self.answered.add(row.host)
        self._rows[row.host] = row

    def _is_answer(self, known: Registration, row: Registration) -> bool:
        """Return whether a host has read the list since this one has registered."""
        is_renewed = known.is_suspected and not row.is_suspected
        return is_renewed and known.version > self._registered_at

    def _finish(self, version: int) -> None:
        self.version = version
        self.hosts = frozenset(self._rows)
        digest = 0
        for host, row in self._rows.items():
            digest ^= fingerprint(f"{host} {row.number} {row.weight}")
        if digest != self.digest:
            self._earlier.append(self.digest)
            self.digest = digest
