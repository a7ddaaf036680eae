"""Limits the memory for bodies of requests that a host has not sent on yet.

A limit for each request alone does not bound the memory of a host, because
callers may open as many connections as the host has descriptors.
"""

from __future__ import annotations

from typing import Final

# Memory of a host whose settings do not state it, in bytes.
DEFAULT_MEMORY_BYTES: Final = 256 * 1024 * 1024
# Fraction of the memory for bodies. A body that is being sent is held twice,
# by its request and by the connection to the upstream.
BODY_FRACTION: Final = 1 / 6
# Fraction of the memory for what callers' connections hold: responses that
# they have not read, and requests that wait for earlier ones.
CONNECTIONS_FRACTION: Final = 1 / 6


class ByteBudget:
    """Counts bytes that are held, up to a limit."""

    __slots__ = ("held", "limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held = 0

    def take(self, count: int) -> bool:
        """Count further bytes unless they exceed the limit."""
        if self.held + count > self.limit_bytes:
            return False
        self.held += count
        return True

    def give_back(self, count: int) -> None:
        """Stop counting bytes that are no longer held."""
        self.held -= count
