"""Damages HTTP responses on their way through the fault proxy.

Each response of status 200 except health reports gets, with the given
probability, one of five faults:

- cut: the connection closes within the body.
- short: the body is cut and the Content-Length is reduced to match.
- late: the response is delayed.
- foreign: an earlier response to another request is sent instead.
- twice: the response is sent twice, without the request id. Large responses
  are cut instead.

A receiver can detect short, foreign and twice only by the digest or the
request id, because the framing of those responses is valid.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter

FAULTS = ("cut", "short", "late", "foreign", "twice")
LATE_S = 1.3  # longer than the timeout of the services under test
MAX_COPIED_BYTES = 4096  # longest body that is stored or sent twice
_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)
_REQUEST_ID = re.compile(rb"\r\nrequest-id: [^\r]*", re.IGNORECASE)


class ResponseFaults:
    """Damages the responses of one connection."""

    # Last undamaged response on any connection with at most MAX_COPIED_BYTES.
    last_response: bytes | None = None

    def __init__(self, rng: random.Random, counts: Counter[str]) -> None:
        self.rng = rng
        self.counts = counts
        self.buffer = b""
        self.body_left = 0  # bytes of the current body that pass unchanged
        self.close_after = False  # whether to close after those bytes
        self.closing = False

    async def feed(self, data: bytes, share: float) -> bytes:
        """Return the bytes to forward after `data` was received.

        A fraction `share` of the responses is damaged.
        """
        forwarded = b""
        self.buffer += data
        while self.buffer and not self.closing:
            if self.body_left:
                part, self.buffer = (
                    self.buffer[: self.body_left],
                    self.buffer[self.body_left :],
                )
                self.body_left -= len(part)
                forwarded += part
                self.closing = self.close_after and not self.body_left
                continue
            end = self.buffer.find(b"\r\n\r\n") + 4
            if end < 4:
                break
            head = self.buffer[:end]
            length = int(match[1]) if (match := _LENGTH.search(head)) else 0
            body = self.buffer[end:]
            if len(body) < min(length, MAX_COPIED_BYTES):
                break
            forwarded += await self._forward_response(head, body, length, share)
        return forwarded

    async def _forward_response(
        self, head: bytes, body: bytes, length: int, share: float
    ) -> bytes:
        """Apply a random fault; return the header, and the body if small."""
        small = length <= MAX_COPIED_BYTES
        fault = ""
        damageable = head.startswith(b"HTTP/1.1 200") and b"health+json" not in head
        if damageable and self.rng.random() < share:
            fault = self.rng.choice(FAULTS)
        foreign = ResponseFaults.last_response
        if fault == "foreign" and foreign is None:
            fault = ""
        if fault == "twice" and not small:
            fault = "cut"
        self.counts[fault] += bool(fault)
        if fault == "late":
            await asyncio.sleep(LATE_S)
        elif fault in ("short", "cut"):
            self.buffer, self.close_after = body, True
            self.body_left = self.rng.randrange(1, length)
            if fault == "short":
                head = _LENGTH.sub(b"\r\nContent-Length: %d" % self.body_left, head)
            return head
        elif fault == "foreign" and foreign is not None:
            self.closing = True
            return foreign
        self.buffer = body
        if not small:
            self.body_left = length
            return head
        content, self.buffer = body[:length], body[length:]
        if fault == "twice":
            # As sent by an upstream that does not return the request id.
            return (_REQUEST_ID.sub(b"", head) + content) * 2
        if damageable:
            ResponseFaults.last_response = head + content
        return head + content
