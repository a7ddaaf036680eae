"""Types of a configuration and of what upstreams say of themselves."""

from __future__ import annotations

from enum import Enum, unique

from ..addresses import Address


@unique
class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"  # large bodies, not idempotent


class Backend:
    """One service of a route and its share of the requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """One route of a configuration."""

    __slots__ = (
        "backends",
        "home_regions",
        "host",
        "kind",
        "max_attempts",
        "name",
        "objective_s",
        "prefix",
        "priority",
        "sticky",
        "timeout_s",
    )

    def __init__(self, name: str, host: str, prefix: str, kind: RequestKind) -> None:
        self.name = name
        self.host = host  # name in the Host header, without a port
        self.prefix = prefix  # begins and ends with a slash
        self.kind = kind
        self.backends: list[Backend] = []
        self.timeout_s = 30.0  # longest time to a final answer
        self.objective_s = 1.0  # time within which an answer is on time
        self.priority = 0  # 0 is the most urgent
        self.max_attempts = 1  # upstreams that one request may be sent to
        self.sticky = False  # an upstream is faster on objects it has handled
        self.home_regions: frozenset[str] = frozenset()  # empty: any region

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


class ServicePolicy:
    """What a configuration says of one service."""

    __slots__ = ("cold_per_s", "cold_s", "health_path", "max_connections", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.health_path = "/"
        self.max_connections = 0  # at one upstream, from all hosts; 0: no limit
        self.cold_s = 0.0  # time for which a started upstream is cold
        self.cold_per_s = 0.0  # requests a second that a cold upstream bears


class CallerLimits:
    """Bounds of what a caller may send."""

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(self) -> None:
        self.header_bytes = 16 * 1024
        self.body_bytes = 64 * 1024 * 1024
        self.header_timeout_s = 10.0
        self.idle_timeout_s = 60.0


class Config:
    """One version of the configuration."""

    __slots__ = ("limits", "routes", "services", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.routes: list[Route] = []
        self.services: dict[str, ServicePolicy] = {}
        self.limits = CallerLimits()


class UpstreamEntry:
    """What an upstream registered of itself."""

    __slots__ = (
        "address",
        "born_ms",
        "cold_left_s",
        "draining",
        "service",
        "slots",
        "upstream",
        "version",
        "zone",
    )

    def __init__(
        self, upstream: str, service: str, address: Address, zone: str
    ) -> None:
        self.upstream = upstream  # id of this start
        self.service = service
        self.address = address
        self.zone = zone  # failure domain
        self.version = ""  # of its software
        self.slots = 1  # requests it runs at a time
        self.draining = False
        self.cold_left_s = 0.0
        self.born_ms = 0  # Unix time of its start
