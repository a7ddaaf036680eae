"""Observations of upstreams that hosts share in their heartbeats.

With many hosts and many upstreams, a host gets a response from one upstream
only every few seconds. From its own responses alone it cannot tell how busy
an upstream is or which objects it has handled for other hosts. It would send
requests to full queues while another upstream is warm for the object and has
free slots, and lose several requests before it notices that an upstream no
longer responds.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterator
from typing import Final

import xxhash

# Maximum number of observations in one heartbeat; the oldest are left out.
MAX_OBSERVATIONS: Final = 40
# Reserved values of the result byte, which otherwise holds the load.
LOAD_UNKNOWN: Final = 255
FAILED: Final = 254
_LAYOUT: Final = struct.Struct("<IIB")  # upstream, object, result


def fingerprint(text: str) -> int:
    """Return the 32-bit fingerprint of an object key, upstream id or host."""
    return int(xxhash.xxh32_intdigest(text.encode()))


class Observation:
    """Result of one attempt: upstream, object, and load or failure."""

    __slots__ = ("failed", "load", "object_fingerprint", "upstream_fingerprint")

    def __init__(
        self,
        upstream_fingerprint: int,
        object_fingerprint: int,
        load: int | None,
        failed: bool = False,
    ) -> None:
        self.upstream_fingerprint = upstream_fingerprint
        self.object_fingerprint = object_fingerprint  # 0 if the attempt failed
        # Requests running or queued there, including the observed one.
        self.load = load
        self.failed = failed


class ObservationBuffer:
    """Collects this host's observations for its next heartbeat."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[Observation] = deque(maxlen=MAX_OBSERVATIONS)

    def add(self, observation: Observation) -> None:
        """Add an observation; the oldest is dropped if the buffer is full."""
        self._recent.append(observation)

    def take_encoded(self) -> bytes:
        """Return the encoded observations and clear the buffer."""
        parts = [
            _LAYOUT.pack(
                observation.upstream_fingerprint,
                observation.object_fingerprint,
                _encode_result(observation),
            )
            for observation in self._recent
        ]
        self._recent.clear()
        return b"".join(parts)


def _encode_result(observation: Observation) -> int:
    if observation.failed:
        return FAILED
    return (
        LOAD_UNKNOWN if observation.load is None else min(observation.load, FAILED - 1)
    )


def decode_observations(data: bytes) -> Iterator[Observation]:
    """Yield the observations of a heartbeat; ignore a truncated last one."""
    usable_bytes = len(data) - len(data) % _LAYOUT.size
    for upstream, object_, result in _LAYOUT.iter_unpack(data[:usable_bytes]):
        load = result if result < FAILED else None
        yield Observation(upstream, object_, load, failed=result == FAILED)
