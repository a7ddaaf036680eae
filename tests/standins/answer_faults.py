"""Damages HTTP answers on their way through the fault proxy.

Each answer of status 200 gets, with the given probability, one of five faults.
Those that a receiver can only see by the digest or the request id keep the
framing valid.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter

FAULTS = ("cut", "short", "late", "foreign", "twice")
LATE_S = 1.3  # above the timeout of the services under test
MAX_COPIED_BYTES = 4096
_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)
_REQUEST_ID = re.compile(rb"\r\nrequest-id: [^\r]*", re.IGNORECASE)


class AnswerFaults:
    """Faults of one connection's answers; the last answer is shared."""

    last: bytes | None = None  # the last small answer on any connection

    def __init__(self, rng: random.Random, counts: Counter[str]) -> None:
        self.rng = rng
        self.counts = counts
        self.buffer = b""
        self.left = 0  # bytes of the present body that pass unchanged
        self.close_after = False  # at the end of those bytes
        self.closing = False

    async def feed(self, data: bytes, share: float) -> bytes:
        """Return what to pass on for the data received."""
        passed = b""
        self.buffer += data
        while self.buffer and not self.closing:
            if self.left:
                part, self.buffer = self.buffer[: self.left], self.buffer[self.left :]
                self.left -= len(part)
                passed += part
                self.closing = self.close_after and not self.left
                continue
            end = self.buffer.find(b"\r\n\r\n") + 4
            if end < 4:
                break
            head = self.buffer[:end]
            length = int(found[1]) if (found := _LENGTH.search(head)) else 0
            body = self.buffer[end:]
            if len(body) < min(length, MAX_COPIED_BYTES):
                break
            passed += await self._answer(head, body, length, share)
        return passed

    async def _answer(
        self, head: bytes, body: bytes, length: int, share: float
    ) -> bytes:
        small = length <= MAX_COPIED_BYTES
        fault = ""
        healthy = head.startswith(b"HTTP/1.1 200") and b"health+json" not in head
        if healthy and self.rng.random() < share:
            fault = self.rng.choice(FAULTS)
        foreign = AnswerFaults.last
        if fault == "foreign" and foreign is None:
            fault = ""
        if fault == "twice" and not small:
            fault = "cut"
        self.counts[fault] += bool(fault)
        if fault == "late":
            await asyncio.sleep(LATE_S)
        elif fault in ("short", "cut"):
            self.buffer, self.close_after = body, True
            self.left = self.rng.randrange(1, length)
            if fault == "short":
                head = _LENGTH.sub(b"\r\nContent-Length: %d" % self.left, head)
            return head
        elif fault == "foreign" and foreign is not None:
            self.closing = True
            return foreign
        self.buffer = body
        if not small:
            self.left = length
            return head
        whole, self.buffer = body[:length], body[length:]
        if fault == "twice":
            # As from an upstream that does not return the request id.
            return (_REQUEST_ID.sub(b"", head) + whole) * 2
        if healthy:
            AnswerFaults.last = head + whole
        return head + whole
