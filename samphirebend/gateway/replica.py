"""Replica of the store's tables, merged from the store and from peers.

Every row carries a version that the store assigned from one increasing
counter. A row is replaced only by a newer one, whatever its source, and a
removed row stays as a tombstone so that a late copy cannot restore it. Rows
can therefore be merged from any source in any order.

A snapshot shows the present rows of a table but not earlier removals. A host
that has read one therefore sends a snapshot, not changes, to peers that have
the table at an earlier version: the changes would lack those removals, and
the peers would keep the removed rows.

Versions are those of `eraversion`. A table enters a new era of the store by a
snapshot alone, as the versions of two eras do not continue each other, and
nothing of an earlier era is merged after that.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .eraversion import era_of, pack

# Rows in a table, tombstones included, above which the older half of its
# tombstones is dropped.
PRUNE_ABOVE_ROWS: Final = 2000


class Row:
    """A row of the store; `value` is None in a tombstone."""

    __slots__ = ("key", "table", "value", "version")

    def __init__(self, table: str, key: str, value: bytes | None, version: int) -> None:
        self.table = table
        self.key = key
        self.value = value
        self.version = version


class Transfer:
    """Rows that bring another host's copy of a table up to a version."""

    __slots__ = ("is_snapshot", "rows", "version")

    def __init__(self, rows: list[Row], version: int, is_snapshot: bool) -> None:
        self.rows = rows
        self.version = version
        self.is_snapshot = is_snapshot  # all present rows rather than changes


class Replica:
    """Holds the newest known row for each key of some tables."""

    __slots__ = (
        "_complete_to",
        "_history_from",
        "_newest",
        "_removed_before",
        "_restored_to",
        "_rows",
    )

    def __init__(self, tables: Iterable[str]) -> None:
        # Rows and tombstones by key, in a dict for each table. The dicts below
        # hold versions, keyed by table.
        self._rows: dict[str, dict[str, Row]] = {table: {} for table in tables}
        # Version up to which all changes to a table are known.
        self._complete_to: dict[str, int] = dict.fromkeys(self._rows, 0)
        # Version after which all removals from a table are known.
        self._history_from: dict[str, int] = dict.fromkeys(self._rows, 0)
        # Version of the newest row, or the first of the table's era.
        self._newest: dict[str, int] = dict.fromkeys(self._rows, 0)
        # Version of the snapshot by which a table entered its era; 0: the table
        # was not known before.
        self._restored_to: dict[str, int] = dict.fromkeys(self._rows, 0)
        # Keys of the rows that were known to be removed at that time.
        self._removed_before: dict[str, set[str]] = {
            table: set() for table in self._rows
        }

    def version(self, table: str) -> int:
        """Return the version up to which a table is complete, or 0."""
        return self._complete_to[table]

    def versions(self) -> dict[str, int]:
        """Return the version up to which each table is complete."""
        return dict(self._complete_to)

    def newest(self, table: str) -> int:
        """Return the version of a table's newest row.

        Without rows of the table's era, it is the era's version 0, so that hosts
        of an earlier era are behind it.
        """
        return self._newest[table]

    def known_to(self, table: str) -> int:
        """Return a version above which a table's rows may be unknown.

        A snapshot may complete a table beyond its newest row, and hosts that
        removed a row by it have that removal at the snapshot's version.
        """
        return max(self._newest[table], self._complete_to[table])

    def newest_all(self) -> dict[str, int]:
        """Return the version of each table's newest row."""
        return dict(self._newest)

    def merge(self, table: str, rows: Iterable[Row], complete: int) -> list[Row]:
        """Merge rows that complete a table up to a version of its era.

        Return the rows that changed. Changes of another era are ignored.
        """
        if era_of(complete) != era_of(self._complete_to[table]):
            return []
        return self._merge(table, rows, complete)

    def _merge(self, table: str, rows: Iterable[Row], complete: int) -> list[Row]:
        known = self._rows[table]
        changed = []
        for row in rows:
            old = known.get(row.key)
            if old is None or old.version < row.version:
                known[row.key] = row
                changed.append(row)
                self._newest[table] = max(self._newest[table], row.version)
        self._complete_to[table] = max(self._complete_to[table], complete)
        self._prune_tombstones(table)
        return changed

    def replace(self, table: str, rows: Iterable[Row], version: int) -> list[Row]:
        """Merge a snapshot as of a version; return the rows that changed.

        Known rows that the snapshot lacks become tombstones unless they are
        newer. A snapshot of an earlier era is ignored.
        """
        era, known_era = era_of(version), era_of(self._complete_to[table])
        if era < known_era:
            return []
        if era > known_era:
            self._begin_era(table, version)
            self._newest[table] = pack(era, 0)
        if version > self._complete_to[table]:
            self._history_from[table] = version
        merged = list(rows)
        present = {row.key for row in merged}
        for key, old in self._rows[table].items():
            if key not in present and old.value is not None and old.version <= version:
                merged.append(Row(table, key, None, version))
        return self._merge(table, merged, version)

    def _begin_era(self, table: str, version: int) -> None:
        """Prepare a table for the first snapshot of a new era."""
        if not self._complete_to[table]:
            return  # nothing is known that the store may have lost
        known = self._rows[table]
        still_removed = {
            key
            for key in self._removed_before[table]
            if key not in known or self.is_restored(known[key])
        }
        removed = {key for key, row in known.items() if row.value is None}
        for key in removed:
            del known[key]
        if len(removed) + len(still_removed) <= PRUNE_ABOVE_ROWS:
            removed |= still_removed
        self._removed_before[table] = removed
        self._restored_to[table] = version

    def restored_to(self, table: str) -> int:
        """Return the version of the snapshot by which a table entered its era.

        It is 0 if the table was not known before.
        """
        return self._restored_to[table]

    def is_restored(self, row: Row) -> bool:
        """Return whether a row may come from a backup of the store.

        Rows of the first snapshot of an era may do so, and none behind it.
        """
        return row.version <= self._restored_to[row.table]

    def was_removed(self, row: Row) -> bool:
        """Return whether a row was known to be removed before its era."""
        return row.key in self._removed_before[row.table]

    def transfer(self, table: str, after: int) -> Transfer:
        """Return what a host needs that has a table up to version `after`."""
        is_snapshot = after < self._history_from[table]
        rows = self.since(table, 0 if is_snapshot else after)
        if is_snapshot:
            rows = [row for row in rows if row.value is not None]
        return Transfer(rows, self._complete_to[table], is_snapshot)

    def apply_transfer(self, table: str, transfer: Transfer) -> list[Row]:
        """Merge a transfer from another host; return the rows that changed."""
        if transfer.is_snapshot:
            return self.replace(table, transfer.rows, transfer.version)
        return self.merge(table, transfer.rows, transfer.version)

    def since(self, table: str, version: int) -> list[Row]:
        """Return rows newer than a version, ordered by their versions."""
        newer = [row for row in self._rows[table].values() if row.version > version]
        return sorted(newer, key=lambda row: row.version)

    def _prune_tombstones(self, table: str) -> None:
        """Drop the older half of the tombstones if the table is too large.

        Hosts that may lack one of these removals get a snapshot from then on.
        """
        known = self._rows[table]
        if len(known) <= PRUNE_ABOVE_ROWS:
            return
        removed = [row for row in known.values() if row.value is None]
        removed.sort(key=lambda row: row.version)
        for row in removed[: len(removed) // 2]:
            del known[row.key]
            self._history_from[table] = max(self._history_from[table], row.version)
