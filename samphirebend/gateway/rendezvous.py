"""Scores of rendezvous hashing, the same on every host."""

from __future__ import annotations

from typing import Final

import xxhash

SCORE_LIMIT: Final = 2.0**64  # above every score


def score(name: str, key: str | int) -> int:
    """Return the score of a host or upstream for a key; the highest is first."""
    return int(xxhash.xxh3_64_intdigest(f"{name}/{key}".encode()))
