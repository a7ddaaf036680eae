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

CRASHES_TO_REFUSE: Final = 3
REFUSED_S: Final = 60.0
# A suspect that crashed nothing more is forgotten after this time.
SUSPECT_S: Final = 120.0
# Losses at one upstream within this time belong to one crash.
ONE_CRASH_S: Final = 0.5
MAX_SUSPECTS: Final = 256
MAX_SHARED: Final = 32  # suspects in one heartbeat


class _Record:
    """One suspect."""

    __slots__ = ("crashes", "last_at", "upstreams")

    def __init__(self) -> None:
        self.crashes = 0
        # Upstreams that crashed, as seen by this host, and when they did so last.
        self.upstreams: dict[str, float] = {}
        self.last_at = 0.0


class CrashWatch:
    """Suspects of this host and of those that it hears."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: OrderedDict[int, _Record] = OrderedDict()  # by last crash

    def __len__(self) -> int:
        return len(self._records)

    def refused_for_s(self, suspect: int, now: float) -> float:
        """Return for how long a request is refused, in seconds; 0: it is not."""
        record = self._records.get(suspect)
        if record is None or record.crashes < CRASHES_TO_REFUSE:
            return 0.0
        return max(0.0, record.last_at + REFUSED_S - now)

    def note_crash(self, suspect: int, upstream: str, now: float) -> int:
        """Record that an upstream was gone after a request; return its crashes."""
        record = self._records.setdefault(suspect, _Record())
        last_at = record.upstreams.get(upstream)
        if last_at is None or now - last_at > ONE_CRASH_S:
            record.upstreams[upstream] = now
            record.crashes += 1
        self._renew(suspect, record, now)
        return record.crashes

    def note_answer(self, suspect: int) -> None:
        """Clear a request that an upstream has answered."""
        self._records.pop(suspect, None)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Take the suspects of another host."""
        for heard in suspects:
            record = self._records.setdefault(heard.fingerprint, _Record())
            if heard.crashes > record.crashes:
                record.crashes = heard.crashes
                self._renew(heard.fingerprint, record, now)

    def shared(self, now: float) -> list[Suspect]:
        """Return the newest suspects that this host itself has seen crash."""
        while self._records:
            oldest, record = next(iter(self._records.items()))
            if now - record.last_at < SUSPECT_S:
                break
            del self._records[oldest]
        own = [
            Suspect(suspect, record.crashes)
            for suspect, record in reversed(self._records.items())
            if record.upstreams
        ]
        return own[:MAX_SHARED]

    def _renew(self, suspect: int, record: _Record, now: float) -> None:
        record.last_at = now
        self._records.move_to_end(suspect)
        if len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
