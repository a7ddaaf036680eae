"""Deltas between manifest versions, with which hosts update their manifest.

A delta is a list of edits of the committed text, as UTF-8 bytes, with the
digest of the result, so that a host that applies it has the accepted text byte
for byte, comments included. `manifestsync` sends and receives deltas, and
`wire` encodes them. Making and applying a delta take time linear in the text.
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

# Limit on the deltas that a host keeps or accepts at once. At 8,200 changes a
# day, an hour has about 340, for which this size and `MAX_DELTAS` suffice.
MAX_LOG_BYTES: Final = 256 * 1024
# For a larger change the full text is cheaper to fetch, as deltas are not
# deflated.
MAX_DELTA_BYTES: Final = 64 * 1024
# Encoded size of an edit without its inserted bytes, and of a delta without
# its edits.
EDIT_OVERHEAD_BYTES: Final = 24
DELTA_OVERHEAD_BYTES: Final = 72

# Number of equal bytes that count as a match after a difference. Entries that
# differ only in their name share about 40 bytes, which must not count.
ANCHOR_BYTES: Final = 64
# Greatest distance from a difference, in the new text, at which a match is
# looked for, and size of the old text's search window beyond that distance.
MAX_SKIP_BYTES: Final = 16 * 1024
SEARCH_WINDOW_BYTES: Final = 64 * 1024
# Bytes that are compared by one slice comparison and hashed in one step.
COMPARE_CHUNK_BYTES: Final = 64 * 1024
HASH_CHUNK_BYTES: Final = 1024 * 1024


def digest_steps(text: bytes) -> Steps[bytes]:
    """Return the SHA-256 digest of a text, in steps."""
    digest = hashlib.sha256()
    for start in range(0, len(text), HASH_CHUNK_BYTES):
        digest.update(memoryview(text)[start : start + HASH_CHUNK_BYTES])
        yield
    return digest.digest()


def diff_steps(old: bytes, new: bytes) -> Steps[list[TextEdit] | None]:
    """Return the edits from old to new, in steps; None if a limit is exceeded.

    >>> from .timeslices import run_all
    >>> run_all(diff_steps(b"slots: 3,", b"slots: 14,"))
    [TextEdit(7, 1, b'14')]
    """
    edits: list[TextEdit] = []
    size = pos = new_pos = 0
    while True:
        yield
        matched = _common_prefix(old, pos, new, new_pos)
        pos, new_pos = pos + matched, new_pos + matched
        if pos == len(old) and new_pos == len(new):
            return edits
        end, new_end = _find_resync(old, pos, new, new_pos)
        size += EDIT_OVERHEAD_BYTES + new_end - new_pos
        if size > MAX_DELTA_BYTES or len(edits) == MAX_EDITS:
            return None
        edits.append(TextEdit(pos, end - pos, new[new_pos:new_end]))
        pos, new_pos = end, new_end


def _common_prefix(old: bytes, pos: int, new: bytes, new_pos: int) -> int:
    """Return the common prefix length of old[pos:] and new[new_pos:]."""
    limit = min(len(old) - pos, len(new) - new_pos)
    matched = 0
    step = COMPARE_CHUNK_BYTES
    while step and matched < limit:
        step = min(step, limit - matched)
        low, new_low = pos + matched, new_pos + matched
        if old[low : low + step] == new[new_low : new_low + step]:
            matched += step
        else:
            step //= 2
    return matched


def _common_suffix(old: bytes, pos: int, new: bytes, new_pos: int) -> int:
    """Return the common suffix length of old[pos:] and new[new_pos:]."""
    limit = min(len(old) - pos, len(new) - new_pos)
    matched = 0
    step = COMPARE_CHUNK_BYTES
    while step and matched < limit:
        step = min(step, limit - matched)
        high, new_high = len(old) - matched, len(new) - matched
        if old[high - step : high] == new[new_high - step : new_high]:
            matched += step
        else:
            step //= 2
    return matched


def _find_resync(old: bytes, pos: int, new: bytes, new_pos: int) -> tuple[int, int]:
    """Return the positions after a difference at which the texts match again.

    Pieces of the new text at growing distances are searched for in a window of
    the old text. If none is found, only the ends of the texts are compared.
    """
    skip = 0
    while skip <= MAX_SKIP_BYTES:
        low = new_pos + skip
        anchor = new[low : low + ANCHOR_BYTES]
        if len(anchor) < ANCHOR_BYTES:
            break
        found = old.find(anchor, pos, pos + skip + SEARCH_WINDOW_BYTES)
        if found >= 0:
            return _extend_backwards(old, pos, found, new, new_pos, low)
        skip = skip * 2 or ANCHOR_BYTES // 2
    matched = _common_suffix(old, pos, new, new_pos)
    return len(old) - matched, len(new) - matched


def _extend_backwards(
    old: bytes, pos: int, end: int, new: bytes, new_pos: int, new_end: int
) -> tuple[int, int]:
    """Extend a match backwards; return the positions of its first bytes."""
    while end > pos and new_end > new_pos and old[end - 1] == new[new_end - 1]:
        end, new_end = end - 1, new_end - 1
    return end, new_end


def make_delta_steps(
    base: int, old: bytes, version: int, new: bytes
) -> Steps[ManifestDelta | None]:
    """Return the delta from base to version, in steps; None if too large."""
    edits = yield from diff_steps(old, new)
    if edits is None:
        return None
    digest = yield from digest_steps(new)
    return ManifestDelta(base, version, digest, edits)


def apply_steps(
    text: bytes, base: int, deltas: list[ManifestDelta], version: int
) -> Steps[Result[bytes, str]]:
    """Return the text of a version, in steps, or the reason for a refusal.

    The deltas come from a peer or the table. Those up to `base` are skipped,
    as the host may have applied them since it requested them.
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
        return f"no delta from version {base} to {version}"
    if len(deltas) > MAX_DELTAS:
        return f"{len(deltas)} deltas, expected at most {MAX_DELTAS}"
    size = sum(map(encoded_size, deltas))
    if size > MAX_LOG_BYTES:
        return f"deltas of {size} bytes, expected at most {MAX_LOG_BYTES}"
    if deltas[0].base != base:
        return f"deltas start at version {deltas[0].base}, expected {base}"
    if deltas[-1].version != version:
        return f"deltas end at version {deltas[-1].version}, expected {version}"
    for first, second in pairwise(deltas):
        if first.version != second.base:
            return f"a delta on version {second.base} follows version {first.version}"
    for delta in deltas:
        if delta.base >= delta.version:
            return f"a delta leads from version {delta.base} to {delta.version}"
        if len(delta.edits) > MAX_EDITS:
            return f"version {delta.version} has more than {MAX_EDITS} edits"
    return None


def _apply_delta(text: bytes, delta: ManifestDelta) -> Result[bytes, str]:
    growth = sum(len(edit.inserted) - edit.removed for edit in delta.edits)
    if len(text) + growth > MAX_MANIFEST_BYTES:
        return Err(f"version {delta.version} exceeds {MAX_MANIFEST_BYTES} bytes")
    parts: list[bytes] = []
    pos = 0
    for edit in delta.edits:
        if edit.start < pos or edit.start + edit.removed > len(text):
            return Err(
                f"version {delta.version} has an edit of bytes {edit.start} to "
                f"{edit.start + edit.removed}, expected within {pos} to {len(text)}"
            )
        parts += (text[pos : edit.start], edit.inserted)
        pos = edit.start + edit.removed
    return Ok(b"".join([*parts, text[pos:]]))


def encoded_size(delta: ManifestDelta) -> int:
    """Return the encoded size of a delta in bytes, accurate to a few bytes."""
    inserted = sum(len(edit.inserted) for edit in delta.edits)
    return DELTA_OVERHEAD_BYTES + EDIT_OVERHEAD_BYTES * len(delta.edits) + inserted


class DeltaLog:
    """The deltas of a host's latest versions, as an unbroken chain."""

    __slots__ = ("_deltas", "_size_bytes")

    def __init__(self) -> None:
        self._deltas: deque[ManifestDelta] = deque()
        self._size_bytes = 0

    def append(self, delta: ManifestDelta | None) -> None:
        """Append the newest delta.

        None or a delta that does not continue the chain drops the older ones.
        """
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
        """Return the deltas from a version to the newest; empty if dropped."""
        bases = [delta.base for delta in self._deltas]
        return list(self._deltas)[bases.index(base) :] if base in bases else []

    def summary(self) -> dict[str, int]:
        """Return the extent of the log, for dumps."""
        oldest = self._deltas[0].base if self._deltas else 0
        return {
            "oldest_base": oldest,
            "deltas": len(self._deltas),
            "bytes": self._size_bytes,
        }


@to_plain.register
def _(value: DeltaLog, traversal: Traversal) -> object:
    # All edits together could exceed the limit on values in a dump, and they
    # contain parts of the text.
    return value.summary()
