"""Typed messages between daemons and their encoding with Cap'n Proto.

`peerlink` sends the encoded messages over TCP with a length prefix. A message
of an unknown kind decodes to None and is ignored, so that daemons of adjacent
releases can communicate.
"""

from __future__ import annotations

from functools import singledispatch
from itertools import islice
from pathlib import Path
from typing import Any, Final

import capnp

from .suspects import Suspect

# pycapnp loads a schema only from a file system path. Its import hook is
# removed because it would handle any module whose name ends in _capnp.
capnp.remove_import_hook()
_SCHEMA: Final[Any] = capnp.load(str(Path(__file__).with_name("messages.capnp")))

# Limit on the 8-byte words that the decoder visits, because the pointers of a
# malicious message can refer to the same data many times.
TRAVERSAL_LIMIT_WORDS: Final = 8 * 1024 * 1024
# Limits on the number of deltas in a manifest reply and of edits in a delta.
MAX_DELTAS: Final = 512
MAX_EDITS: Final = 1_024


class ShardLease:
    """A shard and the generation of its lease."""

    __slots__ = ("generation", "name")

    def __init__(self, name: str, generation: int) -> None:
        self.name = name
        self.generation = generation

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, ShardLease)
            and self.name == other.name
            and self.generation == other.generation
        )

    def __hash__(self) -> int:
        return hash((self.name, self.generation))

    def __repr__(self) -> str:
        return f"ShardLease({self.name!r}, {self.generation})"


class ServiceLoad:
    """Free and total request slots of one service on one host."""

    __slots__ = ("free", "overflow_free", "service", "total")

    def __init__(self, service: str, free: int, total: int, overflow_free: int) -> None:
        self.service = service
        self.free = free
        self.total = total
        # Free slots that overflow requests of other regions may use.
        self.overflow_free = overflow_free


class Heartbeat:
    """Periodic status report of a host to its peers."""

    __slots__ = (
        "drained_version",
        "host",
        "incarnation",
        "key_epoch",
        "leaving",
        "loads",
        "manifest_version",
        "sequence",
        "shards",
        "stopping",
        "suspects",
        "table_age_ms",
    )

    def __init__(self, host: str, incarnation: int, sequence: int) -> None:
        self.host = host
        self.incarnation = incarnation  # random, drawn at process start
        self.sequence = sequence
        self.manifest_version = 0
        # Highest applied version whose limits the slots and connections in use
        # do not exceed.
        self.drained_version = 0
        self.key_epoch = 0
        self.stopping = False
        self.shards: list[ShardLease] = []  # leases that the sender holds
        self.loads: list[ServiceLoad] = []
        self.leaving: list[str] = []  # upstreams that are shutting down
        self.suspects: list[Suspect] = []  # requests that may crash upstreams
        # Time since the table service last responded to the sender.
        self.table_age_ms = 0


class HeartbeatReply:
    """Reply to a heartbeat, with which a witness extends leases."""

    __slots__ = (
        "grants",
        "host",
        "incarnation",
        "key_epoch",
        "manifest_version",
        "sequence",
    )

    def __init__(self, host: str, incarnation: int, sequence: int) -> None:
        self.host = host
        self.incarnation = incarnation
        self.sequence = sequence  # sequence number of the heartbeat
        self.manifest_version = 0
        self.grants: list[ShardLease] = []  # leases that the witness extends
        self.key_epoch = 0


class ReleaseRequest:
    """Asks a witness to vote for releasing a lease.

    Once released, the lease can be taken over.
    """

    __slots__ = ("candidate", "generation", "shard")

    def __init__(self, shard: str, generation: int, candidate: str) -> None:
        self.shard = shard
        # The upper bits carry the round of the takeover.
        self.generation = generation
        self.candidate = candidate  # host that tries to take over the shard


class ReleaseReply:
    """A witness's vote on a `ReleaseRequest`."""

    __slots__ = ("generation", "granted", "host", "shard")

    def __init__(self, shard: str, generation: int, granted: bool, host: str) -> None:
        self.shard = shard
        self.generation = generation
        self.granted = granted  # False: the witness abstains
        self.host = host  # the witness


class TextEdit:
    """Replaces a range of bytes in a UTF-8 text."""

    __slots__ = ("inserted", "removed", "start")

    def __init__(self, start: int, removed: int, inserted: bytes) -> None:
        self.start = start  # offset of the first replaced byte in the old text
        self.removed = removed  # number of replaced bytes
        self.inserted = inserted  # the new bytes

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, TextEdit)
            and self.start == other.start
            and self.removed == other.removed
            and self.inserted == other.inserted
        )

    def __hash__(self) -> int:
        return hash((self.start, self.removed, self.inserted))

    def __repr__(self) -> str:
        return f"TextEdit({self.start}, {self.removed}, {self.inserted!r})"


class ManifestDelta:
    """Edits from one version's text to another's, sorted by their start."""

    __slots__ = ("base", "digest", "edits", "version")

    def __init__(
        self, base: int, version: int, digest: bytes, edits: list[TextEdit]
    ) -> None:
        self.base = base
        self.version = version
        self.digest = digest  # SHA-256 of the full new text
        self.edits = edits


class ManifestRequest:
    """Requests a manifest version, as deltas if the peer has them."""

    __slots__ = ("base", "version")

    def __init__(self, version: int, base: int = 0) -> None:
        self.version = version
        self.base = base  # the sender's version; 0 requests the full text


class ManifestReply:
    """A manifest version as full text or as deltas.

    It has neither if the version is unknown to the peer.
    """

    __slots__ = ("body", "deltas", "version")

    def __init__(
        self, version: int, body: bytes, deltas: list[ManifestDelta] | None = None
    ) -> None:
        self.version = version
        self.body = body  # the deflated text
        self.deltas = deltas or []  # the base of each is the version before it


Message = (
    Heartbeat
    | HeartbeatReply
    | ReleaseRequest
    | ReleaseReply
    | ManifestRequest
    | ManifestReply
)


@singledispatch
def encode(message: object) -> bytes:
    """Return the Cap'n Proto encoding of a message."""
    raise TypeError(f"{type(message).__name__} is not a message type")


def _pack(kind: str, fields: dict[str, Any]) -> bytes:
    message = _SCHEMA.Envelope.new_message()
    # Without init, pycapnp first reads the unset member and catches a C++
    # exception. That takes longer than the encoding, and collecting its stack
    # trace crashes in a greenlet, in which pytest-twisted runs the reactor.
    message.init(kind).from_dict(fields)
    packed: bytes = message.to_bytes()
    return packed


def _pack_leases(leases: list[ShardLease]) -> list[dict[str, Any]]:
    return [{"name": lease.name, "generation": lease.generation} for lease in leases]


@encode.register
def _(message: Heartbeat) -> bytes:
    return _pack(
        "heartbeat",
        {
            "host": message.host,
            "incarnation": message.incarnation,
            "sequence": message.sequence,
            "manifestVersion": message.manifest_version,
            "drainedVersion": message.drained_version,
            "keyEpoch": message.key_epoch,
            "stopping": message.stopping,
            "shards": _pack_leases(message.shards),
            "loads": [
                {
                    "service": load.service,
                    "free": load.free,
                    "total": load.total,
                    "overflowFree": load.overflow_free,
                }
                for load in message.loads
            ],
            "leaving": message.leaving,
            "suspects": [
                {"fingerprint": suspect.fingerprint, "crashes": suspect.crashes}
                for suspect in message.suspects
            ],
            "tableAgeMs": message.table_age_ms,
        },
    )


@encode.register
def _(message: HeartbeatReply) -> bytes:
    return _pack(
        "heartbeatReply",
        {
            "host": message.host,
            "incarnation": message.incarnation,
            "sequence": message.sequence,
            "manifestVersion": message.manifest_version,
            "grants": _pack_leases(message.grants),
            "keyEpoch": message.key_epoch,
        },
    )


@encode.register
def _(message: ReleaseRequest) -> bytes:
    return _pack(
        "releaseRequest",
        {
            "shard": message.shard,
            "generation": message.generation,
            "candidate": message.candidate,
        },
    )


@encode.register
def _(message: ReleaseReply) -> bytes:
    return _pack(
        "releaseReply",
        {
            "shard": message.shard,
            "generation": message.generation,
            "granted": message.granted,
            "host": message.host,
        },
    )


@encode.register
def _(message: ManifestRequest) -> bytes:
    return _pack("manifestRequest", {"version": message.version, "base": message.base})


@encode.register
def _(message: ManifestReply) -> bytes:
    return _pack(
        "manifestReply",
        {
            "version": message.version,
            "body": message.body,
            "deltas": [_pack_delta(delta) for delta in message.deltas],
        },
    )


def _pack_delta(delta: ManifestDelta) -> dict[str, Any]:
    return {
        "base": delta.base,
        "version": delta.version,
        "digest": delta.digest,
        "edits": [
            {"start": edit.start, "removed": edit.removed, "inserted": edit.inserted}
            for edit in delta.edits
        ],
    }


def decode(data: bytes) -> Message | None:
    """Return the decoded message; None if malformed or of an unknown kind.

    >>> message = decode(encode(ManifestRequest(7)))
    >>> message.version
    7
    >>> decode(b"junk") is None
    True
    """
    try:
        with _SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as envelope:
            decoder = _DECODERS.get(str(envelope.which()))
            return decoder(envelope) if decoder else None
    except (capnp.KjException, ValueError):
        return None


def _read_leases(leases: Any) -> list[ShardLease]:
    return [ShardLease(lease.name, lease.generation) for lease in leases]


def _read_heartbeat(envelope: Any) -> Heartbeat:
    raw = envelope.heartbeat
    message = Heartbeat(raw.host, raw.incarnation, raw.sequence)
    message.manifest_version = raw.manifestVersion
    message.drained_version = raw.drainedVersion
    message.key_epoch = raw.keyEpoch
    message.stopping = raw.stopping
    message.shards = _read_leases(raw.shards)
    message.loads = [
        ServiceLoad(load.service, load.free, load.total, load.overflowFree)
        for load in raw.loads
    ]
    message.leaving = [str(name) for name in raw.leaving]
    message.suspects = [
        Suspect(suspect.fingerprint, suspect.crashes) for suspect in raw.suspects
    ]
    message.table_age_ms = raw.tableAgeMs
    return message


def _read_heartbeat_reply(envelope: Any) -> HeartbeatReply:
    raw = envelope.heartbeatReply
    message = HeartbeatReply(raw.host, raw.incarnation, raw.sequence)
    message.manifest_version = raw.manifestVersion
    message.grants = _read_leases(raw.grants)
    message.key_epoch = raw.keyEpoch
    return message


def _read_release_request(envelope: Any) -> ReleaseRequest:
    raw = envelope.releaseRequest
    return ReleaseRequest(raw.shard, raw.generation, raw.candidate)


def _read_release_reply(envelope: Any) -> ReleaseReply:
    raw = envelope.releaseReply
    return ReleaseReply(raw.shard, raw.generation, raw.granted, raw.host)


def _read_manifest_request(envelope: Any) -> ManifestRequest:
    raw = envelope.manifestRequest
    return ManifestRequest(raw.version, raw.base)


def _read_manifest_reply(envelope: Any) -> ManifestReply:
    raw = envelope.manifestReply
    # One more than the limit is read, so that the receiver detects an excess.
    deltas = [_read_delta(delta) for delta in islice(raw.deltas, MAX_DELTAS + 1)]
    return ManifestReply(raw.version, bytes(raw.body), deltas)


def _read_delta(raw: Any) -> ManifestDelta:
    edits = [
        TextEdit(edit.start, edit.removed, bytes(edit.inserted))
        for edit in islice(raw.edits, MAX_EDITS + 1)
    ]
    return ManifestDelta(raw.base, raw.version, bytes(raw.digest), edits)


_DECODERS: Final[dict[str, Any]] = {
    "heartbeat": _read_heartbeat,
    "heartbeatReply": _read_heartbeat_reply,
    "releaseRequest": _read_release_request,
    "releaseReply": _read_release_reply,
    "manifestRequest": _read_manifest_request,
    "manifestReply": _read_manifest_reply,
}
