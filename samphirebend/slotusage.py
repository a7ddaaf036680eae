"""Slot usage of one upstream, as `limits` passes it to `routing`."""

from __future__ import annotations


class SlotUsage:
    """Slots in use and slots allowed at one upstream of this host."""

    __slots__ = ("in_flight", "limit", "upstream")

    def __init__(self, upstream: str, in_flight: int, limit: int) -> None:
        self.upstream = upstream
        self.in_flight = in_flight  # requests of this host in flight
        # Maximum number of requests in flight. May be lowered while the
        # upstream is cold or ejected.
        self.limit = limit

    def __repr__(self) -> str:
        return f"SlotUsage({self.upstream!r}, {self.in_flight}, {self.limit})"
