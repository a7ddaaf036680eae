"""Differences between manifest versions, by which hosts learn of a change.

A delta is a list of edits of the committed text, as UTF-8 bytes, with the
digest of the result, so that a host that applies it has the accepted text byte
for byte, comments included. `manifestsync` sends and takes deltas; `wire` encodes
them. Both directions take time in proportion to the text.
"""

from __future__ import annotations

import hashlib
from collections import deque
from itertools import pairwise
from typing import Final

from result import Err, Ok, Result

from .dump import Traversal, to_plain
from .manifest import MAX_MANIFEST_BYTES
from .timeslices import Steps
from .wire import MAX_DELTAS, MAX_EDITS, ManifestDelta, TextEdit

# An hour has about 340 changes at 8,200 a day, which this size and `MAX_DELTAS`
# allow for.
MAX_LOG_BYTES: Final = 256 * 1024
# A larger change is cheaper to fetch whole, since deltas are not deflated.
MAX_DELTA_BYTES: Final = 64 * 1024
# Encoded size of an edit and of a delta without the inserted bytes.
EDIT_OVERHEAD_BYTES: Final = 24
DELTA_OVERHEAD_BYTES: Final = 72

# Bytes that must agree for two places to count as the same; entries that
# differ only in their name agree for about 40.
ANCHOR_BYTES: Final = 64
# Farthest place of the new text, and of the old text, from a difference at
# which the texts are compared again.
MAX_SKIP_BYTES: Final = 16 * 1024
SEARCH_WINDOW_BYTES: Final = 64 * 1024
COMPARE_CHUNK_BYTES: Final = 64 * 1024
HASH_CHUNK_BYTES: Final = 1024 * 1024


def digest_steps(text: bytes) -> Steps[bytes]:
    """Return the digest of a text, in steps."""
    digest = hashlib.sha256()
    for start in range(0, len(text), HASH_CHUNK_BYTES):
        digest.update(memoryview(text)[start : start + HASH_CHUNK_BYTES])
        yield
    return digest.digest()


def diff_steps(old: bytes, new: bytes) -> Steps[list[TextEdit] | None]:
    """Return the edits from old to new, in steps; None if they are too large.

    >>> from .timeslices import run_all
    >>> run_all(diff_steps(b"slots: 3,", b"slots: 14,"))
    [TextEdit(7, 1, b'14')]
    """
    edits: list[TextEdit] = []
    size = at = new_at = 0
    while True:
        yield
        same = _common_prefix(old, at, new, new_at)
        at, new_at = at + same, new_at + same
        if at == len(old) and new_at == len(new):
            return edits
        end, new_end = _find_resync(old, at, new, new_at)
        size += EDIT_OVERHEAD_BYTES + new_end - new_at
        if size > MAX_DELTA_BYTES or len(edits) == MAX_EDITS:
            return None
        edits.append(TextEdit(at, end - at, new[new_at:new_end]))
        at, new_at = end, new_end


def _common_prefix(old: bytes, at: int, new: bytes, new_at: int) -> int:
    """Return how many bytes agree from two places on."""
    most = min(len(old) - at, len(new) - new_at)
    same = 0
    step = COMPARE_CHUNK_BYTES
    while step and same < most:
        step = min(step, most - same)
        low, new_low = at + same, new_at + same
        if old[low : low + step] == new[new_low : new_low + step]:
            same += step
        else:
            step //= 2
    return same


def _common_suffix(old: bytes, at: int, new: bytes, new_at: int) -> int:
    """Return how many bytes before the ends agree, not beyond two places."""
    most = min(len(old) - at, len(new) - new_at)
    same = 0
    step = COMPARE_CHUNK_BYTES
    while step and same < most:
        step = min(step, most - same)
        high, new_high = len(old) - same, len(new) - same
        if old[high - step : high] == new[new_high - step : new_high]:
            same += step
        else:
            step //= 2
    return same


def _find_resync(old: bytes, at: int, new: bytes, new_at: int) -> tuple[int, int]:
    """Return the nearest places after a difference from which both texts agree.

    Pieces of the new text at growing distance are searched in a window of the
    old one. If none is there, the texts agree again at most at their ends.
    """
    skip = 0
    while skip <= MAX_SKIP_BYTES:
        low = new_at + skip
        anchor = new[low : low + ANCHOR_BYTES]
        if len(anchor) < ANCHOR_BYTES:
            break
        found = old.find(anchor, at, at + skip + SEARCH_WINDOW_BYTES)
        if found >= 0:
            return _extend_backwards(old, at, found, new, new_at, low)
        skip = skip * 2 or ANCHOR_BYTES // 2
    same = _common_suffix(old, at, new, new_at)
    return len(old) - same, len(new) - same


def _extend_backwards(
    old: bytes, at: int, end: int, new: bytes, new_at: int, new_end: int
) -> tuple[int, int]:
    """Return the first places from which two texts agree up to given ones."""
    while end > at and new_end > new_at and old[end - 1] == new[new_end - 1]:
        end, new_end = end - 1, new_end - 1
    return end, new_end


def make_delta_steps(
    base: int, old: bytes, version: int, new: bytes
) -> Steps[ManifestDelta | None]:
    """Return the delta between two versions, in steps; None if too large."""
    edits = yield from diff_steps(old, new)
    if edits is None:
        return None
    digest = yield from digest_steps(new)
    return ManifestDelta(base, version, digest, edits)


def apply_steps(
    text: bytes, base: int, deltas: list[ManifestDelta], version: int
) -> Steps[Result[bytes, str]]:
    """Return the text of a version, in steps, or why the deltas don't give it.

    The deltas come from a peer or the table. Those up to `base` are passed
    over, as the host may have applied them meanwhile.
    """
    pending = [delta for delta in deltas if delta.version > base]
    fault = _find_chain_fault(pending, base, version)
    if fault is not None:
        return Err(fault)
    for delta in pending:
        yield
        applied = _apply_delta(text, delta)
        if isinstance(applied, Err):
            return applied
        text = applied.ok_value
    digest = yield from digest_steps(text)
    if digest != pending[-1].digest:
        return Err(f"the result does not have the digest of version {version}")
    return Ok(text)


def _find_chain_fault(
    deltas: list[ManifestDelta], base: int, version: int
) -> str | None:
    if not deltas:
        return f"no delta from version {base} on"
    if len(deltas) > MAX_DELTAS:
        return f"{len(deltas)} deltas, expected at most {MAX_DELTAS}"
    size = sum(map(encoded_size, deltas))
    if size > MAX_LOG_BYTES:
        return f"deltas of {size} bytes, expected at most {MAX_LOG_BYTES}"
    if deltas[0].base != base:
        return f"deltas start at version {deltas[0].base}, expected {base}"
    if deltas[-1].version != version:
        return f"deltas end at version {deltas[-1].version}, expected {version}"
    for one, other in pairwise(deltas):
        if one.version != other.base:
            return f"a delta on version {other.base} follows version {one.version}"
    for delta in deltas:
        if delta.base >= delta.version:
            return f"a delta leads from version {delta.base} to {delta.version}"
        if len(delta.edits) > MAX_EDITS:
            return f"version {delta.version} has more than {MAX_EDITS} edits"
    return None


def _apply_delta(text: bytes, delta: ManifestDelta) -> Result[bytes, str]:
    grown = sum(len(edit.inserted) - edit.removed for edit in delta.edits)
    if len(text) + grown > MAX_MANIFEST_BYTES:
        return Err(f"version {delta.version} exceeds {MAX_MANIFEST_BYTES} bytes")
    parts: list[bytes] = []
    at = 0
    for edit in delta.edits:
        if edit.start < at or edit.start + edit.removed > len(text):
            return Err(
                f"version {delta.version} has an edit of bytes {edit.start} to "
                f"{edit.start + edit.removed}, expected within {at} to {len(text)}"
            )
        parts += (text[at : edit.start], edit.inserted)
        at = edit.start + edit.removed
    return Ok(b"".join([*parts, text[at:]]))


def encoded_size(delta: ManifestDelta) -> int:
    """Return the size of a delta in bytes, as it is sent, within a few bytes."""
    inserted = sum(len(edit.inserted) for edit in delta.edits)
    return DELTA_OVERHEAD_BYTES + EDIT_OVERHEAD_BYTES * len(delta.edits) + inserted


class DeltaLog:
    """The deltas of the last versions that a host applied, as one chain."""

    __slots__ = ("_deltas", "_size_bytes")

    def __init__(self) -> None:
        self._deltas: deque[ManifestDelta] = deque()
        self._size_bytes = 0

    def append(self, delta: ManifestDelta | None) -> None:
        """Add the newest delta; None, or a gap before it, ends the chain."""
        if delta is None or (self._deltas and self._deltas[-1].version != delta.base):
            self._deltas.clear()
            self._size_bytes = 0
        if delta is None:
            return
        self._deltas.append(delta)
        self._size_bytes += encoded_size(delta)
        while len(self._deltas) > MAX_DELTAS or self._size_bytes > MAX_LOG_BYTES:
            self._size_bytes -= encoded_size(self._deltas.popleft())

    def since(self, base: int) -> list[ManifestDelta]:
        """Return the deltas from a version to the newest; empty if not kept."""
        bases = [delta.base for delta in self._deltas]
        return list(self._deltas)[bases.index(base) :] if base in bases else []

    def summary(self) -> dict[str, int]:
        """Return what the log holds, for dumps."""
        oldest = self._deltas[0].base if self._deltas else 0
        return {
            "oldest_base": oldest,
            "deltas": len(self._deltas),
            "bytes": self._size_bytes,
        }


@to_plain.register
def _(value: DeltaLog, traversal: Traversal) -> object:
    # The edits hold parts of the text and could use up the values of a dump.
    return value.summary()
