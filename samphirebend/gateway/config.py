"""Types for the gateway's configuration and the registrations of upstreams.

The package `platform` decodes rows of the store into these types.
`routingstate` holds the active configuration, and `registry` the upstreams.
"""

from __future__ import annotations

from enum import Enum, unique

from ..addresses import Address


@unique
class RequestKind(Enum):
    """How requests of a route may be retried and placed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"  # large bodies, not idempotent


class Backend:
    """One service of a route and its weight among the route's services."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Maps requests by host and path prefix to services."""

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
        "public",
        "sticky",
        "timeout_s",
    )

    def __init__(self, name: str, host: str, prefix: str, kind: RequestKind) -> None:
        self.name = name
        self.host = host  # name in the Host header, without the port
        self.prefix = prefix  # path prefix; begins and ends with a slash
        self.kind = kind
        self.backends: list[Backend] = []
        self.timeout_s = 30.0  # time limit for the final response
        # Latency objective: a response within it is on time.
        self.objective_s = 1.0
        self.priority = 0  # 0 is the most urgent
        self.public = False  # whether callers need no key
        self.max_attempts = 1  # upstreams that one request may be sent to
        # Whether upstreams are faster on objects that they have handled.
        self.sticky = False
        # Regions whose upstreams may handle the requests; empty: any region.
        self.home_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Return whether a request may safely run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


class Customer:
    """A customer, whose callers identify themselves with one of its keys."""

    __slots__ = (
        "burst",
        "home_regions",
        "key_digests",
        "name",
        "priority",
        "rate_per_s",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        # Digests of its keys; see `customers`.
        self.key_digests: frozenset[bytes] = frozenset()
        # Replaces the priority of the route; None: the route's holds.
        self.priority: int | None = None
        # Quota of all hosts together, in requests per second; 0: no limit.
        self.rate_per_s = 0.0
        self.burst = 0.0  # requests above the rate that may come at once
        # Regions whose upstreams may handle its requests; empty: any region.
        self.home_regions: frozenset[str] = frozenset()


class ServicePolicy:
    """Settings of one service in the configuration."""

    __slots__ = ("cold_per_s", "cold_s", "health_path", "max_connections", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.health_path = "/"
        # Connections to one upstream from all hosts together; 0: no limit.
        self.max_connections = 0
        # Time after its start for which an upstream is cold.
        self.cold_s = 0.0
        # Cold-start rate: requests per second that a cold upstream can handle;
        # 0: no limit.
        self.cold_per_s = 0.0


class CallerLimits:
    """Limits on callers' requests and connections."""

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(self) -> None:
        self.header_bytes = 16 * 1024
        self.body_bytes = 64 * 1024 * 1024
        self.header_timeout_s = 10.0
        self.idle_timeout_s = 60.0


class Config:
    """One version of the configuration."""

    __slots__ = ("customers", "limits", "routes", "services", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.routes: list[Route] = []
        self.services: dict[str, ServicePolicy] = {}
        self.customers: dict[str, Customer] = {}
        self.limits = CallerLimits()


class UpstreamEntry:
    """Registration of an upstream, written by the upstream itself."""

    __slots__ = (
        "address",
        "born_ms",
        "cold_left_s",
        "draining",
        "service",
        "slots",
        "upstream_id",
        "version",
        "zone",
    )

    def __init__(
        self, upstream_id: str, service: str, address: Address, zone: str
    ) -> None:
        self.upstream_id = upstream_id  # id of the upstream instance
        self.service = service
        self.address = address
        self.zone = zone  # failure domain
        self.version = ""  # software version
        self.slots = 1  # requests that it runs concurrently
        self.draining = False
        self.cold_left_s = 0.0  # how much longer it is cold
        self.born_ms = 0  # Unix time of its start, in milliseconds
