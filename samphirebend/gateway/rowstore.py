"""The store of rows as the gateway uses it."""

from __future__ import annotations

from enum import Enum, unique
from typing import Protocol

from result import Result

from .replica import Row


@unique
class StoreFault(Enum):
    """Why a call to the store gave nothing."""

    UNAVAILABLE = "unavailable"  # refused, or no answer in time
    CONFLICT = "conflict"
    HISTORY_LOST = "history-lost"  # the table must be read anew
    UNREADABLE = "unreadable"


class Page:
    """Rows of a table and the version up to which they complete it."""

    __slots__ = ("rows", "version")

    def __init__(self, rows: list[Row], version: int) -> None:
        self.rows = rows
        self.version = version


class RowStore(Protocol):
    """Calls of the store; times are in seconds."""

    async def read(self, table: str, timeout_s: float) -> Result[Page, StoreFault]: ...

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Result[Page, StoreFault]: ...

    async def put(
        self, table: str, key: str, value: bytes, timeout_s: float
    ) -> Result[None, StoreFault]: ...
