"""Requests suspected of crashing upstreams, and their fingerprints.

Hosts report suspects to each other by fingerprint.
"""

from __future__ import annotations

import xxhash


class Suspect:
    """A request suspected of crashing upstreams, as reported to peers."""

    __slots__ = ("crashes", "fingerprint")

    def __init__(self, fingerprint: int, crashes: int) -> None:
        self.fingerprint = fingerprint
        self.crashes = crashes  # crashes at which the request was in flight


def fingerprint(service: str, method: str, target: str, body_digest: bytes) -> int:
    """Return the 64-bit fingerprint of a request.

    Each part is preceded by its length, so that different requests cannot
    concatenate to the same input.

    >>> fingerprint("s", "GET", "/ab", b"") == fingerprint("s", "GET", "/a", b"b")
    False
    """
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), target.encode(), body_digest):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int(digest.intdigest())
