"""Quarantines requests that crash upstreams.

A request becomes a suspect when it gets no response and its upstream accepts
no connections shortly afterwards. A response other than a server error clears
the suspicion, so that requests which were merely in flight during a crash are
not refused. A request that has crashed upstreams three times without such a
response in between is refused for a while by all hosts, because callers may
retry it at any of them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from ..suspects import Suspect

CRASHES_TO_QUARANTINE: Final = 3
QUARANTINE_S: Final = 60.0
# Time after its last crash for which a suspect is shared and kept.
SUSPECT_LIFETIME_S: Final = 120.0
# Losses of a request at one upstream within this time count as one crash.
SAME_CRASH_WINDOW_S: Final = 0.5
MAX_SUSPECTS: Final = 256  # beyond it, the least recent suspect is dropped
MAX_SHARED_SUSPECTS: Final = 32  # suspects in one heartbeat


class _SuspectRecord:
    """Crashes attributed to one request."""

    __slots__ = ("crashes", "last_at", "upstreams")

    def __init__(self) -> None:
        self.crashes = 0
        # Time of the last crash seen by this host, keyed by upstream.
        self.upstreams: dict[str, float] = {}
        self.last_at = 0.0


class CrashTracker:
    """Counts crashes for each request, over this host and its peers."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        # Keyed by request fingerprint, least recent crash first.
        self._records: OrderedDict[int, _SuspectRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Return how much longer a request is refused, in seconds, or 0."""
        record = self._records.get(fingerprint)
        if record is None or record.crashes < CRASHES_TO_QUARANTINE:
            return 0.0
        return max(0.0, record.last_at + QUARANTINE_S - now)

    def record_crash(self, fingerprint: int, upstream: str, now: float) -> int:
        """Attribute a crash to a request; return the request's crash count."""
        record = self._records.setdefault(fingerprint, _SuspectRecord())
        last_at = record.upstreams.get(upstream)
        if last_at is None or now - last_at > SAME_CRASH_WINDOW_S:
            record.upstreams[upstream] = now
            record.crashes += 1
        self._touch(fingerprint, record, now)
        return record.crashes

    def clear_suspect(self, fingerprint: int) -> None:
        """Clear a request that got a response other than a server error."""
        self._records.pop(fingerprint, None)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Merge the suspects that another host shared."""
        for other in suspects:
            record = self._records.setdefault(other.fingerprint, _SuspectRecord())
            if other.crashes > record.crashes:
                record.crashes = other.crashes
                self._touch(other.fingerprint, record, now)

    def suspects_to_share(self, now: float) -> list[Suspect]:
        """Return the newest suspects whose crashes this host itself has seen.

        Suspects heard from peers are left out; otherwise hosts would renew
        each other's records forever. Expired records are deleted.
        """
        while self._records:
            oldest, record = next(iter(self._records.items()))
            if now - record.last_at < SUSPECT_LIFETIME_S:
                break
            del self._records[oldest]
        own = [
            Suspect(fingerprint, record.crashes)
            for fingerprint, record in reversed(self._records.items())
            if record.upstreams
        ]
        return own[:MAX_SHARED_SUSPECTS]

    def _touch(self, fingerprint: int, record: _SuspectRecord, now: float) -> None:
        record.last_at = now
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
