"""Bounds the log under load: which lines are written, and how they leave.

Lines about answered requests are thinned first, then those about failed tries and
failed requests. Lines about changes of what the host believes come last. What was
left out is counted in a line of its own. Writing never waits for a reader.
"""

from __future__ import annotations

import os
from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from loguru import Record

# Lines a second of each event; others share the last entry.
LINES_PER_S: Final = {
    "answered": 10,
    "caller_lost": 20,
    "try_failed": 40,
    "request_failed": 80,
}
OTHER_LINES_PER_S: Final = 150
UNREAD: Final = "unread"  # counts lines that the output did not take
MAX_UNSENT_BYTES: Final = 256 * 1024


class LogBudget:
    """Decides which lines are written."""

    __slots__ = ("_left", "_second", "dropped")

    def __init__(self) -> None:
        self._second = -1
        self._left: dict[str, int] = {}
        self.dropped: Counter[str] = Counter()  # lines left out, by event

    def admits(self, event: str, now: float) -> bool:
        """Tell whether a line about an event may be written now."""
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
        """Return the lines left out since the last call, by event."""
        dropped, self.dropped = dict(self.dropped), Counter()
        return dropped


class NonBlockingStream:
    """Text stream to a descriptor that drops lines rather than wait."""

    __slots__ = ("_budget", "_fd", "_unsent")

    def __init__(self, fd: int, budget: LogBudget) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._budget = budget  # counts the lines that are lost here
        self._unsent = b""

    def write(self, text: str) -> None:
        """Queue a line and send what the descriptor takes now."""
        data = text.encode("utf-8", "replace")
        if len(self._unsent) + len(data) > MAX_UNSENT_BYTES:
            self._budget.dropped[UNREAD] += 1
        else:
            self._unsent += data
        self.flush()

    def flush(self) -> None:
        """Send what the descriptor takes now."""
        try:
            while self._unsent:
                sent = os.write(self._fd, self._unsent)
                self._unsent = self._unsent[sent:]
        except BlockingIOError:
            return  # the rest goes with the next line
        except OSError:
            # Nobody reads any more; the metric is the only place to report it.
            self._unsent = b""
            self._budget.dropped[UNREAD] += 1


def event_of(record: Record) -> str:
    """Return the event that a record is about; empty: none is named."""
    return str(record["extra"].get("event", ""))
