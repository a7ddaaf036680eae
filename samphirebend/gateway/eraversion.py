"""Versions that are ordered over restores of the store.

The store's era rises by one with each restore from a backup, and versions are
given out again in each era. A version in the gateway is therefore the pair
(era, version of the store), packed into one integer whose order is that of the
pairs. In era 0 it equals the version of the store.
"""

from __future__ import annotations

from typing import Final

# 48 bits hold a version a microsecond for nine years, or a Unix time in
# milliseconds; 15 bits are left for the era, so that the sign bit stays free.
VERSION_BITS: Final = 48
MAX_VERSION: Final = (1 << VERSION_BITS) - 1
MAX_ERA: Final = (1 << 15) - 1


def in_range(era: int, version: int) -> bool:
    """Return whether an era and a version of the store can be packed."""
    return 0 <= era <= MAX_ERA and 0 <= version <= MAX_VERSION


def pack(era: int, version: int) -> int:
    """Return the version of an era; both are in range.

    >>> pack(0, 7), pack(1, 3) > pack(0, 7)
    (7, True)
    """
    return era << VERSION_BITS | version


def era_of(packed: int) -> int:
    """Return the era of a packed version."""
    return packed >> VERSION_BITS


def store_version(packed: int) -> int:
    """Return the version as the store numbers it."""
    return packed & MAX_VERSION
