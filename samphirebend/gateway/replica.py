"""Copy of the store's rows on a host, merged from the store and from peers.

Every row carries the version that the store gave it, from one counter that only
grows. A newer row replaces an older one, whoever brought it, and never the other
way round; a removed row stays as a tombstone, so that a late copy of it cannot
return. A host can thus take news from any source in any order.

A table read whole tells what is there, not what was removed before. A host that has
read it so gives the whole table to others that knew it at an earlier version: the
changes alone would leave rows with them that were removed in between.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

MAX_TOMBSTONES: Final = 2000


class Row:
    """One row of the store; `value` is None for a removed row."""

    __slots__ = ("key", "table", "value", "version")

    def __init__(self, table: str, key: str, value: bytes | None, version: int) -> None:
        self.table = table
        self.key = key
        self.value = value
        self.version = version


class Transfer:
    """Rows for another host, and the version up to which they complete its table."""

    __slots__ = ("is_snapshot", "rows", "version")

    def __init__(self, rows: list[Row], version: int, is_snapshot: bool) -> None:
        self.rows = rows
        self.version = version
        self.is_snapshot = (
            is_snapshot  # the table's present rows, not the changes to it
        )


class Replica:
    """Newest known rows of some tables."""

    __slots__ = ("_complete_to", "_history_from", "_newest", "_rows")

    def __init__(self, tables: Iterable[str]) -> None:
        self._rows: dict[str, dict[str, Row]] = {table: {} for table in tables}
        # Version up to which all changes of a table are known.
        self._complete_to: dict[str, int] = dict.fromkeys(self._rows, 0)
        # Version after which all removals are known.
        self._history_from: dict[str, int] = dict.fromkeys(self._rows, 0)
        self._newest: dict[str, int] = dict.fromkeys(self._rows, 0)

    def version(self, table: str) -> int:
        """Return the version up to which a table is known; 0: nothing is."""
        return self._complete_to[table]

    def versions(self) -> dict[str, int]:
        """Return the version of each table."""
        return dict(self._complete_to)

    def newest(self, table: str) -> int:
        """Return the version of the newest row of a table; 0: there was none."""
        return self._newest[table]

    def newest_all(self) -> dict[str, int]:
        """Return the version of the newest row of each table."""
        return dict(self._newest)

    def merge(self, table: str, rows: Iterable[Row], complete: int) -> list[Row]:
        """Take rows that complete the table up to a version; return what changed."""
        known = self._rows[table]
        changed = []
        for row in rows:
            old = known.get(row.key)
            if old is None or old.version < row.version:
                known[row.key] = row
                changed.append(row)
                self._newest[table] = max(self._newest[table], row.version)
        self._complete_to[table] = max(self._complete_to[table], complete)
        self._forget_tombstones(table)
        return changed

    def replace(self, table: str, rows: Iterable[Row], version: int) -> list[Row]:
        """Take the whole table as of a version; return what changed."""
        if version > self._complete_to[table]:
            self._history_from[table] = version
        taken = list(rows)
        present = {row.key for row in taken}
        for key, old in self._rows[table].items():
            if key not in present and old.value is not None and old.version <= version:
                taken.append(Row(table, key, None, version))
        return self.merge(table, taken, version)

    def transfer(self, table: str, after: int) -> Transfer:
        """Return what a host lacks that knows a table up to a version."""
        is_snapshot = after < self._history_from[table]
        rows = self.since(table, 0 if is_snapshot else after)
        if is_snapshot:
            rows = [row for row in rows if row.value is not None]
        return Transfer(rows, self._complete_to[table], is_snapshot)

    def apply_transfer(self, table: str, transfer: Transfer) -> list[Row]:
        """Take what another host sent; return what changed."""
        if transfer.is_snapshot:
            return self.replace(table, transfer.rows, transfer.version)
        return self.merge(table, transfer.rows, transfer.version)

    def since(self, table: str, version: int) -> list[Row]:
        """Return the rows newer than a version, oldest first."""
        newer = [row for row in self._rows[table].values() if row.version > version]
        return sorted(newer, key=lambda row: row.version)

    def _forget_tombstones(self, table: str) -> None:
        known = self._rows[table]
        if len(known) <= MAX_TOMBSTONES:
            return
        removed = [row for row in known.values() if row.value is None]
        removed.sort(key=lambda row: row.version)
        for row in removed[: len(removed) // 2]:
            del known[row.key]
            self._history_from[table] = max(self._history_from[table], row.version)
