"""What answers of upstreams tell, shared among hosts with their heartbeats.

Load this answers: many hosts before many upstreams, so that each host gets an answer
of one upstream only every few seconds. From its own answers alone a host neither
knows how busy an upstream is nor which objects it has handled for others, and sends
work to full queues while another upstream knows the object and has free slots. It
also sends several requests to an upstream that no longer answers before it sees that.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterator
from typing import Final

import xxhash

# Observations in one heartbeat; older ones are left out.
MAX_OBSERVATIONS: Final = 40
LOAD_UNKNOWN: Final = 255
FAILED: Final = 254
_LAYOUT: Final = struct.Struct("<IIB")


def fingerprint(text: str) -> int:
    """Return the 32-bit fingerprint of an object's key or an upstream's id."""
    return int(xxhash.xxh32_intdigest(text.encode()))


class Observation:
    """The end of one try: at which upstream, about which object, and the load told."""

    __slots__ = ("failed", "load", "object_fingerprint", "upstream_fingerprint")

    def __init__(
        self,
        upstream_fingerprint: int,
        object_fingerprint: int,
        load: int | None,
        failed: bool = False,
    ) -> None:
        self.upstream_fingerprint = upstream_fingerprint
        self.object_fingerprint = object_fingerprint  # 0 if it failed
        self.load = load  # requests that run or wait, with the answered one
        self.failed = failed


class ObservationBuffer:
    """What this host has seen since its last heartbeat."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[Observation] = deque(maxlen=MAX_OBSERVATIONS)

    def note(self, observation: Observation) -> None:
        """Record one to be shared."""
        self._recent.append(observation)

    def take_encoded(self) -> bytes:
        """Return what was recorded, encoded, and forget it."""
        parts = [
            _LAYOUT.pack(
                item.upstream_fingerprint, item.object_fingerprint, _encode_result(item)
            )
            for item in self._recent
        ]
        self._recent.clear()
        return b"".join(parts)


def _encode_result(item: Observation) -> int:
    if item.failed:
        return FAILED
    return LOAD_UNKNOWN if item.load is None else min(item.load, FAILED - 1)


def decode_observations(data: bytes) -> Iterator[Observation]:
    """Yield the observations of a heartbeat; a part of one is ignored."""
    whole = len(data) - len(data) % _LAYOUT.size
    for upstream, shown, end in _LAYOUT.iter_unpack(data[:whole]):
        load = end if end < FAILED else None
        yield Observation(upstream, shown, load, failed=end == FAILED)
