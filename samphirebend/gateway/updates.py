"""News that rows of the store carry, as typed messages."""

from __future__ import annotations

from .config import Config, UpstreamEntry


class ConfigUpdate:
    """A configuration is in force."""

    __slots__ = ("config",)

    def __init__(self, config: Config) -> None:
        self.config = config


class EvacuationUpdate:
    """A failure domain is to get no requests, or is taken back."""

    __slots__ = ("active", "zone")

    def __init__(self, zone: str, active: bool) -> None:
        self.zone = zone
        self.active = active


class UpstreamUpdate:
    """An upstream registered or changed its entry."""

    __slots__ = ("entry",)

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry


class UpstreamRemoved:
    """An upstream's entry was removed."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class InvalidRow:
    """A row that cannot be used, with the path of the field and the fault."""

    __slots__ = ("fault", "key")

    def __init__(self, key: str, fault: str) -> None:
        self.key = key
        self.fault = fault


class IgnoredRow:
    """A row that does not concern the gateway."""

    __slots__ = ()


Update = (
    ConfigUpdate
    | EvacuationUpdate
    | UpstreamUpdate
    | UpstreamRemoved
    | InvalidRow
    | IgnoredRow
)
