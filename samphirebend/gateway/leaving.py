"""Upstreams that have said in a response that they leave.

An upstream that leaves says so before the store lists it as draining, and also
to hosts that the store does not reach. What it said holds for the start of the
upstream that said it: of all reports, the one of the latest start is kept, so
reports can be merged in any order, and no older news ends them. A later start
may be used again.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

# Reports kept, which bounds the memory; the oldest are dropped first.
MAX_KEPT: Final = 10_000
# Time for which a report is part of all heartbeats, so that the loss of some
# does not matter.
SHARE_S: Final = 10.0
MAX_SHARED: Final = 60  # reports in one heartbeat; the newest are sent
_LAYOUT: Final = struct.Struct("<IQ")  # upstream, start


class LeavingReport:
    """The latest start of an upstream that has said that it leaves."""

    __slots__ = ("born_ms", "upstream")

    def __init__(self, upstream: int, born_ms: int) -> None:
        self.upstream = upstream  # fingerprint
        self.born_ms = born_ms  # Unix time of the start; 0: unknown


class LeavingUpstreams:
    """The reports of all upstreams that leave or have left."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        # Start, and when the report was first heard, keyed by fingerprint; the
        # oldest report is first.
        self._kept: OrderedDict[int, tuple[int, float]] = OrderedDict()

    def record(self, report: LeavingReport, now: float) -> bool:
        """Record a report; return whether it was new."""
        if self.covers(report.upstream, report.born_ms):
            return False
        self._kept[report.upstream] = (report.born_ms, now)
        self._kept.move_to_end(report.upstream)
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
        return True

    def covers(self, upstream: int, born_ms: int) -> bool:
        """Return whether a start of an upstream, or a later one, leaves."""
        kept = self._kept.get(upstream)
        return kept is not None and born_ms <= kept[0]

    def encode_recent(self, now: float) -> bytes:
        """Return the encoded reports for a heartbeat."""
        parts: list[bytes] = []
        for upstream, (born_ms, heard_at) in reversed(self._kept.items()):
            if now - heard_at > SHARE_S or len(parts) == MAX_SHARED:
                break
            parts.append(_LAYOUT.pack(upstream, born_ms))
        return b"".join(parts)


def decode_leaving(data: bytes) -> Iterator[LeavingReport]:
    """Yield the reports of a heartbeat; ignore a truncated last one."""
    usable_bytes = len(data) - len(data) % _LAYOUT.size
    for upstream, born_ms in _LAYOUT.iter_unpack(data[:usable_bytes]):
        yield LeavingReport(upstream, born_ms)
