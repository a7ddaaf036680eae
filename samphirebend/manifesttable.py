"""Storage of the accepted manifest versions in the table service.

`manifestsync` validates a manifest before it is written here, and reads the
versions that no peer supplies. The row of a version holds its deflated text. A
separate row holds the delta from the version before, so that hosts need not
read the text for a small change.
"""

from __future__ import annotations

import time
import zlib
from enum import Enum, unique
from typing import Final

from result import Err, Ok, Result

from .jsonfile import Fault
from .manifest import MAX_MANIFEST_BYTES
from .tablestore import Row, RowWrite, StoreFault, TableStore
from .timeslices import Steps
from .wire import ManifestDelta, ManifestReply, decode, encode

# Key of the row with the highest accepted version and its commit id. It has no
# text, so that the frequent polls are cheap.
CURRENT_KEY: Final = "manifest#current"
MAX_HISTORY: Final = 20  # versions
# Deltas are read one after the other; reading more of them takes longer than
# reading the full text.
MAX_DELTA_READS: Final = 8
COMPRESS_CHARS: Final = 128 * 1024  # characters deflated in one step


@unique
class CommitFaultKind(Enum):
    """Why a commit was not confirmed."""

    INVALID = "INVALID"
    CONFLICT = "CONFLICT"
    UNAVAILABLE = "UNAVAILABLE"


class CommitFault:
    """A commit that was refused, or whose acceptance is not known."""

    __slots__ = (
        "base_version",
        "current_version",
        "faults",
        "kind",
        "may_be_accepted",
    )

    def __init__(self, kind: CommitFaultKind, base_version: int) -> None:
        self.kind = kind
        # Version that the commit would replace.
        self.base_version = base_version
        # Accepted version; set on a conflict.
        self.current_version = 0
        # Faults of an invalid manifest.
        self.faults: list[Fault] = []
        # True if the commit may have been accepted or may be accepted later.
        # Repeating it with the same commit id and base version is always safe.
        self.may_be_accepted = False

    def __str__(self) -> str:
        if self.kind is CommitFaultKind.INVALID:
            return "; ".join(str(fault) for fault in self.faults)
        if self.kind is CommitFaultKind.CONFLICT:
            return (
                f"the commit replaces version {self.base_version}, but version "
                f"{self.current_version} is current"
            )
        if self.may_be_accepted:
            return "table service unavailable; the commit may have been accepted"
        return "table service unavailable; the commit was not sent"


class HistoryEntry:
    """An accepted manifest version, as stored."""

    __slots__ = ("commit_id", "committed_unix_ms", "text", "version")

    def __init__(
        self, version: int, commit_id: str, committed_unix_ms: int, text: str
    ) -> None:
        self.version = version
        self.commit_id = commit_id
        # Time of the commit by the clock of the host that made it.
        self.committed_unix_ms = committed_unix_ms
        self.text = text


class ManifestTable:
    """Reads and writes the rows of manifest versions."""

    __slots__ = ("_store",)

    def __init__(self, store: TableStore) -> None:
        self._store = store

    async def current(self) -> Result[Row, StoreFault]:
        """Read the row of the accepted version; an empty row if none is."""
        read = await self._store.get(CURRENT_KEY)
        if isinstance(read, Err):
            return read
        return Ok(read.ok_value or Row(CURRENT_KEY, {}))

    async def body(self, version: int) -> bytes:
        """Read the deflated text of a version; empty if unavailable."""
        read = await self._store.get(_version_key(version))
        if isinstance(read, Err) or read.ok_value is None:
            return b""
        return read.ok_value.data("body")

    async def deltas(self, base: int, version: int) -> list[ManifestDelta]:
        """Read the deltas between two versions.

        Empty if one is unavailable or there are more than `MAX_DELTA_READS`.
        """
        if not 0 < version - base <= MAX_DELTA_READS:
            return []
        deltas: list[ManifestDelta] = []
        for number in range(base + 1, version + 1):
            read = await self._store.get(_delta_key(number))
            if isinstance(read, Err) or read.ok_value is None:
                return []
            reply = decode(read.ok_value.data("delta"))
            if not isinstance(reply, ManifestReply):
                return []
            deltas += reply.deltas
        return deltas

    async def accept(
        self,
        current: Row,
        commit_id: str,
        text: str,
        body: bytes,
        delta: ManifestDelta | None,
    ) -> Result[int, CommitFault]:
        """Write the version after the current one, in one transaction."""
        base_version = current.number("version")
        version = base_version + 1
        newest = Row(CURRENT_KEY, {"version": version, "commit_id": commit_id})
        writes = [
            RowWrite(newest, current.revision),
            RowWrite(_make_version_row(version, commit_id, body), 0),
        ]
        if delta is not None:
            data = encode(ManifestReply(version, b"", [delta]))
            writes.append(RowWrite(Row(_delta_key(version), {"delta": data}), 0))
        written = await self._store.commit_rows(writes)
        if isinstance(written, Ok):
            return Ok(version)
        if written.err_value is StoreFault.CONFLICT:
            return await self.resolve_conflict(
                text, base_version, commit_id, may_be_accepted=True
            )
        return Err(make_unavailable_fault(base_version, may_be_accepted=True))

    async def history(self) -> Result[list[HistoryEntry], StoreFault]:
        """Return the `MAX_HISTORY` latest accepted versions, newest first."""
        read = await self.current()
        if isinstance(read, Err):
            return read
        newest = read.ok_value.number("version")
        entries = []
        for version in range(newest, max(0, newest - MAX_HISTORY), -1):
            row = await self._store.get(_version_key(version))
            if isinstance(row, Err):
                return row
            if row.ok_value is not None:
                entries.append(_read_entry(version, row.ok_value))
        return Ok(entries)

    async def resolve_conflict(
        self, text: str, base_version: int, commit_id: str, may_be_accepted: bool
    ) -> Result[int, CommitFault]:
        """Return the version if the commit was accepted before, else a fault.

        A commit on a base version can only become the version after it. The
        row of that version never changes and shows whose commit was accepted.
        """
        unavailable = make_unavailable_fault(base_version, may_be_accepted)
        read = await self._store.get(_version_key(base_version + 1))
        if isinstance(read, Err):
            return Err(unavailable)
        row = read.ok_value
        if row is not None:
            entry = _read_entry(base_version + 1, row)
            if entry.commit_id == commit_id and entry.text == text:
                return Ok(entry.version)
        current = await self.current()
        if isinstance(current, Err):
            unavailable.may_be_accepted = False
            return Err(unavailable)
        fault = CommitFault(CommitFaultKind.CONFLICT, base_version)
        fault.current_version = current.ok_value.number("version")
        return Err(fault)


def _version_key(version: int) -> str:
    """Return the key of a version's row.

    >>> _version_key(7)
    'manifest#0000000007'
    """
    return f"manifest#{version:010d}"


def _delta_key(version: int) -> str:
    return f"manifest-delta#{version:010d}"


def _make_version_row(version: int, commit_id: str, body: bytes) -> Row:
    return Row(
        _version_key(version),
        {
            "version": version,
            "commit_id": commit_id,
            "committed_unix_ms": int(time.time() * 1000),
            "body": body,
        },
    )


def _read_entry(version: int, row: Row) -> HistoryEntry:
    return HistoryEntry(
        version,
        row.text("commit_id"),
        row.number("committed_unix_ms"),
        inflate(row.data("body")) or "",
    )


def make_unavailable_fault(base_version: int, may_be_accepted: bool) -> CommitFault:
    """Return the fault for a commit during which the table service failed."""
    fault = CommitFault(CommitFaultKind.UNAVAILABLE, base_version)
    fault.may_be_accepted = may_be_accepted
    return fault


def deflate_steps(text: str) -> Steps[bytes]:
    """Return a text compressed with zlib, in steps.

    >>> from .timeslices import run_all
    >>> zlib.decompress(run_all(deflate_steps("å{}")))
    b'\xc3\xa5{}'
    """
    deflater = zlib.compressobj()
    parts = []
    for start in range(0, len(text), COMPRESS_CHARS):
        parts.append(deflater.compress(text[start : start + COMPRESS_CHARS].encode()))
        yield
    return b"".join([*parts, deflater.flush()])


def inflate(body: bytes) -> str | None:
    """Return the text of a zlib body; None if malformed or too long.

    >>> inflate(zlib.compress(b"{}")), inflate(b"junk")
    ('{}', None)
    """
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(body, MAX_MANIFEST_BYTES + 1)
        if not inflater.eof or len(data) > MAX_MANIFEST_BYTES:
            return None
        return data.decode()
    except (zlib.error, UnicodeDecodeError):
        return None
