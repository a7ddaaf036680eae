"""Logs and counts rows that fail to decode.

Other writers may write to the store's tables, so such rows are expected. Each
one is ignored by itself and the other rows of its table stay in use.
"""

from __future__ import annotations

from collections import Counter

from loguru import logger

from .updates import InvalidRow


class InvalidRows:
    """Counts invalid rows by their table."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # keyed by table

    def record(self, row: InvalidRow) -> None:
        """Log and count an invalid row."""
        self.counts[row.table] += 1
        logger.warning(
            "invalid row ignored",
            event="row_ignored",
            row=f"{row.table}/{row.key}",
            why=row.fault,
        )
