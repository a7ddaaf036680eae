"""Rows of the table service that record the holder of each shard.

`leasekeeper` decides what to write. This module reads and writes the rows and
caches each row as it was last read or written.

The row of a shard has the key `shard#NAME`. Its attributes are `holder`,
`incarnation`, `generation` and `state`; `witnesses` and `mates`, which
together are the quorum (`mates` are the hosts of the region); and `renewal`
and `fence`, which make every write distinct, so that a write whose response
was lost can be told from an earlier one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol

from result import Err, Ok, Result

from .leases import Quorum

HELD: Final = "held"
RELEASED: Final = "released"
Attributes = dict[str, str | int | bytes]


class TableRow(Protocol):
    """A row of the table service."""

    @property
    def key(self) -> str: ...

    @property
    def revision(self) -> int: ...

    @property
    def attributes(self) -> Attributes: ...


class Table(Protocol):
    """The part of `TableStore` that leases use."""

    async def get(self, key: str) -> Result[Any, Any]: ...

    async def put(self, row: Any, expected_revision: int) -> Result[None, Any]: ...


MakeRow = Callable[[str, int, Attributes], Any]


class ShardRow:
    """The parsed row of a shard."""

    __slots__ = ("attributes", "generation", "holder", "incarnation", "revision")

    def __init__(self, row: TableRow) -> None:
        self.attributes = dict(row.attributes)
        self.revision = row.revision
        self.holder = str(row.attributes.get("holder", ""))
        self.incarnation = int(row.attributes.get("incarnation", 0))
        self.generation = int(row.attributes.get("generation", 0))

    def released(self) -> bool:
        """Return whether the holder has released the shard."""
        return self.attributes.get("state") == RELEASED

    def quorum(self) -> Quorum:
        """Return the quorum of the row's lease."""
        return Quorum(_read_names(self, "witnesses"), _read_names(self, "mates"))


def _read_names(row: ShardRow, name: str) -> frozenset[str]:
    text = row.attributes.get(name, "")
    return (
        frozenset(text.split("\n")) if isinstance(text, str) and text else frozenset()
    )


class ShardTable:
    """Reads and writes the rows of shards for one process."""

    __slots__ = (
        "_expected_revisions",
        "_host",
        "_incarnation",
        "_make_row",
        "_renewals",
        "_rows",
        "_table",
    )

    def __init__(
        self, host: str, incarnation: int, table: Table, make_row: MakeRow
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._table = table
        self._make_row = make_row
        # Rows as last read or written, keyed by shard.
        self._rows: dict[str, ShardRow] = {}
        # Revision that the last write of each row expected, keyed by shard.
        self._expected_revisions: dict[str, int] = {}
        self._renewals = 0  # value that makes each write distinct

    def last_seen(self, shard: str) -> ShardRow | None:
        """Return the row as last read or written, or None if it is unknown."""
        return self._rows.get(shard)

    def is_own(self, row: ShardRow) -> bool:
        """Return whether this process is the holder in a row."""
        return row.holder == self._host and row.incarnation == self._incarnation

    def is_newer_than_write(self, shard: str, row: ShardRow) -> bool:
        """Return whether a row is newer than the last write expected.

        The row's revision is compared with the one that the write expected.
        """
        return row.revision > self._expected_revisions.get(shard, 0)

    async def find(self, shard: str) -> Result[ShardRow | None, Any]:
        """Return a row, None if it is missing, or the table's error."""
        fetched = await self._table.get(f"shard#{shard}")
        if isinstance(fetched, Err):
            return fetched
        if fetched.ok_value is None:
            return Ok(None)
        row = ShardRow(fetched.ok_value)
        self._rows[shard] = row
        return Ok(row)

    async def write(self, shard: str, revision: int, attributes: Attributes) -> bool:
        """Write a row if it has the revision; return whether confirmed."""
        self._expected_revisions[shard] = revision
        row = self._make_row(f"shard#{shard}", revision + 1, attributes)
        result = await self._table.put(row, revision)
        if not isinstance(result, Ok):
            # The write may have taken effect. The next step must read the row.
            self._rows.pop(shard, None)
            return False
        self._rows[shard] = ShardRow(row)
        return True

    def attributes(self, generation: int, quorum: Quorum, state: str) -> Attributes:
        """Return the attributes for a write by this process as holder."""
        self._renewals += 1
        return {
            "holder": self._host,
            "incarnation": self._incarnation,
            "generation": generation,
            "state": state,
            "witnesses": "\n".join(sorted(quorum.witnesses)),
            "mates": "\n".join(sorted(quorum.region_hosts)),
            "renewal": self._renewals,
            "fence": "",
        }
