"""Rate limits for the log under load, and a log stream that never blocks.

Lines about requests with a response from an upstream have the lowest limit,
then those about lost callers, failed attempts and failed requests. Lines about
state changes have the highest. Dropped lines are counted and reported in a
line of their own.
"""

from __future__ import annotations

import os
from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from loguru import Record

# Lines per second for each event; all other events share OTHER_LINES_PER_S.
LINES_PER_S: Final = {
    "answered": 10,
    "caller_lost": 20,
    "try_failed": 40,
    "request_failed": 80,
}
OTHER_LINES_PER_S: Final = 150
UNREAD: Final = "unread"  # counts lines that the output did not accept
MAX_UNSENT_BYTES: Final = 256 * 1024  # buffer size for a slow reader


class LogBudget:
    """Decides which lines are written and counts the dropped ones."""

    __slots__ = ("_left", "_second", "dropped")

    def __init__(self) -> None:
        self._second = -1
        # Lines left in this second, keyed by event; other events share "".
        self._left: dict[str, int] = {}
        # Number of dropped lines, keyed by event.
        self.dropped: Counter[str] = Counter()

    def admits(self, event: str, now: float) -> bool:
        """Return whether to write a line; count it as dropped if not."""
        if int(now) != self._second:
            self._second = int(now)
            self._left = dict(LINES_PER_S)
        kind = event if event in LINES_PER_S else ""
        left = self._left.get(kind, OTHER_LINES_PER_S)
        if left <= 0:
            self.dropped[event or "other"] += 1
            return False
        self._left[kind] = left - 1
        return True

    def take_dropped(self) -> dict[str, int]:
        """Return the number of lines dropped since the last call, by event."""
        dropped, self.dropped = dict(self.dropped), Counter()
        return dropped


class NonBlockingStream:
    """Text stream to a descriptor that drops lines instead of blocking."""

    __slots__ = ("_budget", "_fd", "_unsent")

    def __init__(self, fd: int, budget: LogBudget) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._budget = budget  # budget that also counts lines dropped here
        self._unsent = b""

    def write(self, text: str) -> None:
        """Buffer a line and write what the descriptor accepts now."""
        data = text.encode("utf-8", "replace")
        if len(self._unsent) + len(data) > MAX_UNSENT_BYTES:
            self._budget.dropped[UNREAD] += 1
        else:
            self._unsent += data
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor accepts now."""
        try:
            while self._unsent:
                sent = os.write(self._fd, self._unsent)
                self._unsent = self._unsent[sent:]
        except BlockingIOError:
            return  # the rest is written with the next line
        except OSError:
            # The reader is gone, so only the metric can report the loss.
            self._unsent = b""
            self._budget.dropped[UNREAD] += 1


def event_of(record: Record) -> str:
    """Return the event of a log record, or an empty string."""
    return str(record["extra"].get("event", ""))
