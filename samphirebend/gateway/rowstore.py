"""Interface of the row store that the gateway uses.

The package `platform` implements it. `follower` and `hostlist` call it.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Protocol

from result import Result

from .eraversion import era_of
from .replica import Row
from .updates import InvalidRow


@unique
class StoreFault(Enum):
    """Why a call to the store failed."""

    UNAVAILABLE = "unavailable"  # error status, or no response in time
    CONFLICT = "conflict"  # the row does not have the expected version
    HISTORY_LOST = "history-lost"  # the table must be read as a snapshot again
    UNREADABLE = "unreadable"  # the response failed to decode
    OLD_ERA = "old-era"  # the response is older than a known restore


class Page:
    """Rows of a table and the version up to which they complete it.

    All versions are those of `eraversion`.
    """

    __slots__ = ("invalid", "is_limited", "rows", "version")

    def __init__(
        self, rows: list[Row], version: int, invalid: list[InvalidRow] | None = None
    ) -> None:
        self.rows = rows
        self.version = version
        self.invalid = invalid or []  # rows without a valid key or version
        # Whether the store had more changes than it sent, so that the page
        # does not tell the state of the table at the time of the call.
        self.is_limited = False

    @property
    def era(self) -> int:
        """Return the era of the store that sent the page."""
        return era_of(self.version)

    @property
    def is_empty(self) -> bool:
        """Return whether the store sent no rows."""
        return not self.rows and not self.invalid


class RowChange:
    """A write or a deletion of one row, which a condition may bind."""

    __slots__ = ("expected_version", "key", "value")

    def __init__(
        self, key: str, value: bytes | None, expected_version: int | None = None
    ) -> None:
        self.key = key
        self.value = value  # None deletes the row
        # Version that the row must have, or 0 if it must not exist; None: any.
        self.expected_version = expected_version


class RowStore(Protocol):
    """Calls to the store; times are in seconds."""

    async def read(self, table: str, timeout_s: float) -> Result[Page, StoreFault]: ...

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Result[Page, StoreFault]: ...

    async def change(
        self, table: str, change: RowChange, timeout_s: float
    ) -> Result[None, StoreFault]: ...
