"""Requests that may crash the upstreams that run them, as hosts name them."""

from __future__ import annotations

import xxhash


class Suspect:
    """A request fingerprint and the number of upstreams it has crashed."""

    __slots__ = ("crashes", "fingerprint")

    def __init__(self, fingerprint: int, crashes: int) -> None:
        self.fingerprint = fingerprint
        self.crashes = crashes


def fingerprint(service: str, method: str, target: str, body_digest: bytes) -> int:
    """Return the 64-bit fingerprint of a request.

    Each part is preceded by its length, so that parts cannot be shifted into
    each other.

    >>> fingerprint("s", "GET", "/ab", b"") == fingerprint("s", "GET", "/a", b"b")
    False
    """
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), target.encode(), body_digest):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int(digest.intdigest())
