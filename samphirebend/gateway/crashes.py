"""Requests that crash upstreams, counted over all hosts and then refused.

A request is suspect when it got no answer and its upstream takes no connection a
moment later. An answer clears it, so that requests which were merely there when an
upstream crashed are not refused. One that crashed three upstreams without an answer
between is refused for a while at all hosts, since callers send it again anywhere.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from ..suspects import Suspect

CRASHES_TO_QUARANTINE: Final = 3
QUARANTINE_S: Final = 60.0
# A suspect that crashed nothing more is forgotten after this time.
SUSPECT_LIFETIME_S: Final = 120.0
# Losses at one upstream within this time belong to one crash.
SAME_CRASH_WINDOW_S: Final = 0.5
MAX_SUSPECTS: Final = 256
MAX_SHARED_SUSPECTS: Final = 32  # suspects in one heartbeat


class _SuspectRecord:
    """One suspect."""

    __slots__ = ("crashes", "last_at", "upstreams")

    def __init__(self) -> None:
        self.crashes = 0
        # Upstreams that crashed, as seen by this host, and when they did so last.
        self.upstreams: dict[str, float] = {}
        self.last_at = 0.0


class CrashTracker:
    """Suspects of this host and of those that it hears."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: OrderedDict[int, _SuspectRecord] = OrderedDict()  # by last crash

    def __len__(self) -> int:
        return len(self._records)

    def quarantine_left_s(self, suspect: int, now: float) -> float:
        """Return for how long a request is refused, in seconds; 0: it is not."""
        record = self._records.get(suspect)
        if record is None or record.crashes < CRASHES_TO_QUARANTINE:
            return 0.0
        return max(0.0, record.last_at + QUARANTINE_S - now)

    def note_crash(self, suspect: int, upstream: str, now: float) -> int:
        """Record that an upstream was gone after a request; return its crashes."""
        record = self._records.setdefault(suspect, _SuspectRecord())
        last_at = record.upstreams.get(upstream)
        if last_at is None or now - last_at > SAME_CRASH_WINDOW_S:
            record.upstreams[upstream] = now
            record.crashes += 1
        self._touch(suspect, record, now)
        return record.crashes

    def note_answer(self, suspect: int) -> None:
        """Clear a request that an upstream has answered."""
        self._records.pop(suspect, None)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Take the suspects of another host."""
        for heard in suspects:
            record = self._records.setdefault(heard.fingerprint, _SuspectRecord())
            if heard.crashes > record.crashes:
                record.crashes = heard.crashes
                self._touch(heard.fingerprint, record, now)

    def suspects_to_share(self, now: float) -> list[Suspect]:
        """Return the newest suspects that this host itself has seen crash."""
        while self._records:
            oldest, record = next(iter(self._records.items()))
            if now - record.last_at < SUSPECT_LIFETIME_S:
                break
            del self._records[oldest]
        own = [
            Suspect(suspect, record.crashes)
            for suspect, record in reversed(self._records.items())
            if record.upstreams
        ]
        return own[:MAX_SHARED_SUSPECTS]

    def _touch(self, suspect: int, record: _SuspectRecord, now: float) -> None:
        record.last_at = now
        self._records.move_to_end(suspect)
        if len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
