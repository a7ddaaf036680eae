"""Packed table from IPv4 blocks of callers to the sites that serve them.

`manifest` collects the blocks and builds the table while it checks a text;
`router` looks up the region of a caller's address. Nested blocks are resolved
when the table is built, so that a look-up is one binary search.
"""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_right
from collections.abc import Iterator
from itertools import pairwise
from socket import AF_INET, inet_ntoa, inet_pton
from typing import Final

from .timeslices import Steps

ADDRESS_BITS: Final = 32
NO_SITE: Final = 0xFFFF
MAX_SITES: Final = NO_SITE
# Blocks that are sorted in one step; sorting 8,192 takes about 2 ms.
CHUNK_BLOCKS: Final = 8_192
BLOCKS_PER_STEP: Final = 1_024

_LENGTHS: Final = {str(length): length for length in range(ADDRESS_BITS + 1)}
_LENGTH_SHIFT: Final = 16
_START_SHIFT: Final = 22


def parse_prefix(text: str) -> tuple[int, int] | None:
    """Return the first address and the length of a prefix without host bits.

    >>> parse_prefix("10.1.0.0/16"), parse_prefix("10.1.0.1/16"), parse_prefix("x/8")
    ((167837696, 16), None, None)
    """
    address, _, length_text = text.partition("/")
    length = _LENGTHS.get(length_text)
    start = parse_address(address)
    if length is None or start is None:
        return None
    host_mask = (1 << (ADDRESS_BITS - length)) - 1
    return None if start & host_mask else (start, length)


def parse_address(text: str) -> int | None:
    """Return an IPv4 address as a number, None if it is none.

    >>> parse_address("0.0.1.2"), parse_address("0.0.1"), parse_address("0.0.0.01")
    (258, None, None)
    """
    try:
        return int.from_bytes(inet_pton(AF_INET, text), "big")
    except (OSError, ValueError):
        return None


class BlockTable:
    """Disjoint address ranges with their sites: 6 bytes for each range.

    A range ends where the next one starts. Addresses between blocks form
    ranges with the site `NO_SITE`.
    """

    __slots__ = ("_sites", "_starts", "names", "source_digest")

    def __init__(self, starts: array[int], sites: array[int], names: list[str]) -> None:
        self._starts = starts
        self._sites = sites
        self.source_digest = b""  # of the blocks from which the table was built
        self.names = names  # of the sites, by their number

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> str | None:
        """Return the name of the site of an address, or None."""
        index = bisect_right(self._starts, address) - 1
        if index < 0:
            return None
        site = self._sites[index]
        return None if site == NO_SITE else self.names[site]

    def packed_bytes(self) -> int:
        """Return the size of the packed arrays."""
        arrays = (self._starts, self._sites)
        return sum(len(part) * part.itemsize for part in arrays)


def empty_table() -> BlockTable:
    """Return a table without blocks."""
    return BlockTable(array("I"), array("H"), [])


class BlockList:
    """Blocks in any order, 8 bytes each, until the table is built."""

    __slots__ = ("_chunks", "_numbers", "names", "repeated")

    def __init__(self) -> None:
        self.names: list[str] = []
        self.repeated: str | None = None  # a prefix that was listed twice
        self._numbers: dict[str, int] = {}
        self._chunks: list[array[int]] = []  # full ones are sorted

    def add(self, start: int, length: int, site: str) -> bool:
        """Add a block; return False if there are too many sites."""
        number = self._numbers.get(site)
        if number is None:
            number = len(self.names)
            if number >= MAX_SITES:
                return False
            self._numbers[site] = number
            self.names.append(site)
        if not self._chunks or len(self._chunks[-1]) >= CHUNK_BLOCKS:
            self._sort_last()
            self._chunks.append(array("Q"))
        self._chunks[-1].append(
            start << _START_SHIFT | length << _LENGTH_SHIFT | number
        )
        return True

    def _sort_last(self) -> None:
        if self._chunks:
            self._chunks[-1] = array("Q", sorted(self._chunks[-1]))

    def build(self) -> Steps[BlockTable]:
        """Build the table in steps; the list is empty afterwards."""
        self._sort_last()
        sweep = _Sweep()
        previous = -1
        for count, key in enumerate(self._merged()):
            if count % BLOCKS_PER_STEP == 0:
                yield
            if key >> _LENGTH_SHIFT == previous:
                self.repeated = _prefix_text(key)
            previous = key >> _LENGTH_SHIFT
            sweep.add(key)
        self._chunks.clear()
        starts, sites = sweep.finish()
        return BlockTable(starts, sites, self.names)

    def _merged(self) -> Iterator[int]:
        """Return all keys in order; a sorted list needs no comparison of chunks."""
        chunks = self._chunks
        if all(one[-1] <= other[0] for one, other in pairwise(chunks)):
            return (key for chunk in chunks for key in chunk)
        return heapq.merge(*chunks)


def _prefix_text(key: int) -> str:
    address = inet_ntoa((key >> _START_SHIFT).to_bytes(4, "big"))
    return f"{address}/{key >> _LENGTH_SHIFT & 0x3F}"


class _Sweep:
    """Turns blocks in order, the larger first at each start, into ranges."""

    __slots__ = ("_open", "_sites", "_starts")

    def __init__(self) -> None:
        self._starts: array[int] = array("I")
        self._sites: array[int] = array("H")
        self._open: list[tuple[int, int]] = []  # end and site, innermost last

    def add(self, key: int) -> None:
        start = key >> _START_SHIFT
        site = key & 0xFFFF
        self._close_until(start)
        self._emit(start, site)
        length = key >> _LENGTH_SHIFT & 0x3F
        self._open.append((start + (1 << (ADDRESS_BITS - length)), site))

    def finish(self) -> tuple[array[int], array[int]]:
        """Return the starts and sites, without spare capacity."""
        self._close_until(1 << ADDRESS_BITS)
        return self._starts[:], self._sites[:]

    def _close_until(self, address: int) -> None:
        opened = self._open
        while opened and opened[-1][0] <= address:
            end, _ = opened.pop()
            self._emit(end, opened[-1][1] if opened else NO_SITE)

    def _emit(self, start: int, site: int) -> None:
        if start >> ADDRESS_BITS:
            return
        starts, sites = self._starts, self._sites
        if starts and starts[-1] == start:
            starts.pop()
            sites.pop()
        if (sites[-1] if sites else NO_SITE) != site:
            starts.append(start)
            sites.append(site)
