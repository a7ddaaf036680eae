"""Compact table that maps IPv4 blocks of callers to regions.

`manifest` collects the blocks and builds the table while it validates the text
of a manifest; `router` looks up the region of a caller's address. Nested
blocks are flattened into disjoint ranges when the table is built, so that
finding the region of an address is one binary search.
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
# Region numbers have 16 bits. The highest marks addresses without a region.
NO_REGION: Final = 0xFFFF
MAX_BLOCK_REGIONS: Final = NO_REGION
# Number of blocks that are sorted in one step, which takes about 2 ms.
SORT_CHUNK_BLOCKS: Final = 8_192
# Number of sorted blocks that are turned into ranges in one step.
BLOCKS_PER_STEP: Final = 1_024

# Prefix lengths by their canonical text.
_LENGTHS: Final = {str(length): length for length in range(ADDRESS_BITS + 1)}
# A block is one integer. From the lowest bit up, it has 16 bits for the region
# number, 6 bits for the prefix length and 32 bits for the start address, so
# that sorted blocks are in the order in which the ranges are built.
_LENGTH_SHIFT: Final = 16
_START_SHIFT: Final = 22


def parse_prefix(text: str) -> tuple[int, int] | None:
    """Return the first address of a prefix and its length, None if malformed.

    A prefix with host bits counts as malformed.

    >>> parse_prefix("10.1.0.0/16"), parse_prefix("10.1.0.1/16"), parse_prefix("x/8")
    ((167837696, 16), None, None)
    """
    address, _, length_text = text.partition("/")
    length = _LENGTHS.get(length_text)
    start = parse_ipv4(address)
    if length is None or start is None:
        return None
    host_mask = (1 << (ADDRESS_BITS - length)) - 1
    return None if start & host_mask else (start, length)


def parse_ipv4(text: str) -> int | None:
    """Return the number of a dotted IPv4 address, None if malformed.

    >>> parse_ipv4("0.0.1.2"), parse_ipv4("0.0.1"), parse_ipv4("0.0.0.01")
    (258, None, None)
    """
    try:
        return int.from_bytes(inet_pton(AF_INET, text), "big")
    except (OSError, ValueError):
        return None


class BlockTable:
    """Disjoint address ranges with their regions, 6 bytes per range.

    A range ends where the next one starts. Addresses outside all blocks are in
    ranges with the region number `NO_REGION` or below the first range.
    """

    __slots__ = ("_region_numbers", "_starts", "regions", "source_digest")

    def __init__(
        self, starts: array[int], region_numbers: array[int], regions: list[str]
    ) -> None:
        self._starts = starts
        self._region_numbers = region_numbers
        # Digest of the manifest entries that the table was built from.
        self.source_digest = b""
        self.regions = regions  # region names; the index is the region number

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> str | None:
        """Return the name of the region of an address, or None."""
        index = bisect_right(self._starts, address) - 1
        if index < 0:
            return None
        number = self._region_numbers[index]
        return None if number == NO_REGION else self.regions[number]

    def packed_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = (self._starts, self._region_numbers)
        return sum(len(part) * part.itemsize for part in arrays)


def empty_table() -> BlockTable:
    """Return a table without blocks."""
    return BlockTable(array("I"), array("H"), [])


class BlockTableBuilder:
    """Collects blocks in any order, 8 bytes each, and builds the table."""

    __slots__ = ("_chunks", "_region_numbers", "regions", "repeated")

    def __init__(self) -> None:
        self.regions: list[str] = []
        self.repeated: str | None = None  # a prefix that was listed twice
        self._region_numbers: dict[str, int] = {}
        # Packed blocks; full chunks are sorted.
        self._chunks: list[array[int]] = []

    def add(self, start: int, length: int, region: str) -> bool:
        """Add a block; return False if there are too many regions."""
        number = self._region_numbers.get(region)
        if number is None:
            number = len(self.regions)
            if number >= MAX_BLOCK_REGIONS:
                return False
            self._region_numbers[region] = number
            self.regions.append(region)
        if not self._chunks or len(self._chunks[-1]) >= SORT_CHUNK_BLOCKS:
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
        """Build the table in steps; this empties the builder."""
        self._sort_last()
        builder = _RangeBuilder()
        previous = -1
        for count, block in enumerate(self._sorted_blocks()):
            if count % BLOCKS_PER_STEP == 0:
                yield
            if block >> _LENGTH_SHIFT == previous:
                self.repeated = _prefix_text(block)
            previous = block >> _LENGTH_SHIFT
            builder.add(block)
        self._chunks.clear()
        starts, region_numbers = builder.finish()
        return BlockTable(starts, region_numbers, self.regions)

    def _sorted_blocks(self) -> Iterator[int]:
        """Return all blocks in ascending order.

        Chunks are merged only if their ranges overlap.
        """
        chunks = self._chunks
        if all(current[-1] <= following[0] for current, following in pairwise(chunks)):
            return (block for chunk in chunks for block in chunk)
        return heapq.merge(*chunks)


def _prefix_text(block: int) -> str:
    address = inet_ntoa((block >> _START_SHIFT).to_bytes(4, "big"))
    return f"{address}/{block >> _LENGTH_SHIFT & 0x3F}"


class _RangeBuilder:
    """Turns blocks into disjoint ranges.

    Blocks must be added by ascending start and, at equal starts, by ascending
    prefix length, so that an enclosing block comes before those inside it.
    """

    __slots__ = ("_enclosing", "_region_numbers", "_starts")

    def __init__(self) -> None:
        self._starts: array[int] = array("I")
        self._region_numbers: array[int] = array("H")
        # End and region number of the blocks that contain the current address,
        # innermost last.
        self._enclosing: list[tuple[int, int]] = []

    def add(self, block: int) -> None:
        start = block >> _START_SHIFT
        number = block & 0xFFFF
        self._close_until(start)
        self._start_range(start, number)
        length = block >> _LENGTH_SHIFT & 0x3F
        self._enclosing.append((start + (1 << (ADDRESS_BITS - length)), number))

    def finish(self) -> tuple[array[int], array[int]]:
        """Return the starts and region numbers, without spare capacity."""
        self._close_until(1 << ADDRESS_BITS)
        return self._starts[:], self._region_numbers[:]

    def _close_until(self, address: int) -> None:
        """End the enclosing blocks that do not contain the address."""
        enclosing = self._enclosing
        while enclosing and enclosing[-1][0] <= address:
            end, _ = enclosing.pop()
            self._start_range(end, enclosing[-1][1] if enclosing else NO_REGION)

    def _start_range(self, start: int, number: int) -> None:
        """Start a range, unless it would only continue the one before it."""
        if start >> ADDRESS_BITS:  # the end of the address space
            return
        starts, region_numbers = self._starts, self._region_numbers
        if starts and starts[-1] == start:
            starts.pop()
            region_numbers.pop()
        if (region_numbers[-1] if region_numbers else NO_REGION) != number:
            starts.append(start)
            region_numbers.append(number)
