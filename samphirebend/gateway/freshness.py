"""Bounds how old a host's copy of the store's tables may be.

A copy is confirmed as of a time if it holds all changes that the store had
accepted by then. A response of the store confirms a table as of the time at
which the call was sent, and a peer whose rows are no newer passes on its own
confirmation. If neither comes in time, `probe_age_s` tells when this host has
to ask the store itself, whatever its long poll is doing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

# Ages at which hosts probe the store, as fractions of the bound: the first
# live host in a table's order, and the step for each host after it. Others
# learn of a probe before they would make their own.
FIRST_PROBE_FRACTION: Final = 0.4
PROBE_STEP_FRACTION: Final = 0.12
# Hosts that are later in the order probe as late as this one, so that every
# host keeps the bound by itself.
MAX_PROBE_RANK: Final = 3
# Largest bound that is used: `outage` takes tables that are much older for a
# sign that the store is away.
MAX_BOUND_S: Final = 3.0
# Part of the bound that a pause between two polls may take.
MAX_PAUSE_FRACTION: Final = 0.32


class Freshness:
    """Tracks until when each table is confirmed; times are in seconds."""

    __slots__ = ("_bound_s", "_confirmed_at")

    def __init__(self, tables: Iterable[str], bound_s: float) -> None:
        # Newest time as of which a table is confirmed.
        self._confirmed_at: dict[str, float] = dict.fromkeys(tables, -math.inf)
        self.set_bound(bound_s)

    def set_bound(self, bound_s: float) -> None:
        """Set the time after which all hosts must know a change, in seconds."""
        self._bound_s = min(bound_s, MAX_BOUND_S)

    def confirm(self, table: str, as_of: float) -> None:
        """Record that the copy of a table is complete as of a time."""
        self._confirmed_at[table] = max(self._confirmed_at[table], as_of)

    def confirmed_at(self, table: str) -> float:
        """Return the newest time as of which a table is confirmed."""
        return self._confirmed_at[table]

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the ages of the confirmed tables, keyed by table."""
        return {
            table: now - at
            for table, at in self._confirmed_at.items()
            if not math.isinf(at)
        }

    def is_recent(self, table: str, fraction: float, now: float) -> bool:
        """Return whether the age of a table is below a fraction of the bound."""
        return now - self._confirmed_at[table] < fraction * self._bound_s

    def probe_age_s(self, rank: int) -> float:
        """Return the age at which the host of a rank probes the store."""
        step = min(rank, MAX_PROBE_RANK) * PROBE_STEP_FRACTION
        return self._bound_s * (FIRST_PROBE_FRACTION + step)

    def max_pause_s(self) -> float:
        """Return the longest pause between two polls of a table."""
        return self._bound_s * MAX_PAUSE_FRACTION
