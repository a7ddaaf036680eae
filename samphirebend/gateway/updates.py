"""Updates to the routing state, decoded from rows of the store.

A `Dialect` decodes the rows, and `routingstate` applies the updates.
"""

from __future__ import annotations

from .config import Config, UpstreamEntry


class ConfigUpdate:
    """A configuration was published."""

    __slots__ = ("config",)

    def __init__(self, config: Config) -> None:
        self.config = config


class EvacuationUpdate:
    """The evacuation of a failure domain began (`active`) or ended."""

    __slots__ = ("active", "zone")

    def __init__(self, zone: str, active: bool) -> None:
        self.zone = zone
        self.active = active


class UpstreamUpdate:
    """An upstream was registered or its entry changed."""

    __slots__ = ("entry",)

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry


class UpstreamRemoved:
    """An upstream's entry was removed."""

    __slots__ = ("upstream_id",)

    def __init__(self, upstream_id: str) -> None:
        self.upstream_id = upstream_id


class UpstreamMissing(UpstreamRemoved):
    """A store restored from a backup lacks the entry of an upstream."""

    __slots__ = ()


class InvalidRow:
    """A row failed to decode; `fault` names the field and what is wrong."""

    __slots__ = ("fault", "key", "table")

    def __init__(self, table: str, key: str, fault: str) -> None:
        self.table = table
        self.key = key  # empty if it failed to decode as well
        self.fault = fault


class InvalidUpstream(InvalidRow):
    """The entry of an upstream, whose id is the key, failed to decode."""

    __slots__ = ()


class IgnoredRow:
    """The gateway does not use the row."""

    __slots__ = ()


Update = (
    ConfigUpdate
    | EvacuationUpdate
    | UpstreamUpdate
    | UpstreamRemoved
    | UpstreamMissing
    | InvalidRow
    | InvalidUpstream
    | IgnoredRow
)
