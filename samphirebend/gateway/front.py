"""HTTP listeners of a gateway host: requests, look-ups and checks.

Requests are passed to `forward`; look-ups are answered from `members`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from loguru import logger

from ..addresses import Address
from ..httpserver import HttpServer
from ..serverrequest import ServerRequest
from .bytebudget import CONNECTIONS_FRACTION, DEFAULT_MEMORY_BYTES
from .config import CallerLimits
from .context import GatewayContext
from .dialect import Dialect
from .forward import forward_request
from .members import Members
from .preview import PreviewQuery, preview_request
from .routingstate import RoutingState

LOOKUP_TTL_S: Final = 1
MAX_PIPELINED: Final = 16  # requests read ahead on one connection
METRICS_PATH: Final = "/metrics"
PREVIEW_PATH: Final = "/preview"
_JSON_HEADER: Final = (b"Content-Type", b"application/json")


class Front:
    """Serves callers' requests and look-ups, readiness checks and metrics."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_members",
        "_metrics",
        "_reactor",
        "_routing_state",
        "_ttl_s",
        "gateway",
        "listeners",
        "max_held_bytes",
        "requests",
        "table_ages_s",
    )

    def __init__(
        self,
        dialect: Dialect,
        gateway: GatewayContext,
        routing_state: RoutingState,
        members: Members,
        ttl_max_s: float,
        reactor: Any,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._routing_state = routing_state
        self._members = members
        self._metrics = gateway.metrics
        self._reactor = reactor
        self._clock = clock
        self.set_lookup_ttl_max(ttl_max_s)
        self.gateway = gateway
        self.requests = HttpServer(self._handle, MAX_PIPELINED, reactor.seconds)
        self.listeners: list[tuple[HttpServer, Address]] = []
        # Ages of the store's tables, for previews.
        self.table_ages_s: Callable[[], dict[str, float]] = dict
        # Limit on what all connections of one listener hold.
        self.max_held_bytes = int(DEFAULT_MEMORY_BYTES * CONNECTIONS_FRACTION)
        routing_state.limits_listeners.append(self._apply_limits)

    def set_lookup_ttl_max(self, ttl_max_s: float) -> None:
        """Set the maximum TTL of look-up answers, in seconds."""
        self._ttl_s = min(LOOKUP_TTL_S, ttl_max_s)

    def add_listener(
        self, address: Address | None, callers: bool, operators: bool = False
    ) -> None:
        """Add a listener, for callers' requests or for look-ups and checks.

        One for operators also serves previews, which name customers. Without
        an address, no listener is added.
        """
        if address is None:
            return
        handle = self._handle_operator if operators else self._handle_control
        server = self.requests if callers else HttpServer(handle)
        self.listeners.append((server, address))

    def start(self) -> None:
        """Start listening on all addresses."""
        for server, address in self.listeners:
            server.listen(self._reactor, address)

    async def stop(self) -> None:
        """Stop listening and reset open connections."""
        for server, _address in self.listeners:
            await server.close_port()
            server.abort_all()

    def limit_held_bytes(self) -> None:
        """Reset callers that read too little if the connections hold too much."""
        for server, address in self.listeners:
            count = server.reset_largest(self.max_held_bytes)
            if count:
                self._metrics.count_reset_connections(count)
                logger.warning(
                    "connections reset because they held too much memory",
                    event="connections_reset",
                    address=str(address),
                    count=count,
                    limit_bytes=self.max_held_bytes,
                )

    def _handle(self, req: ServerRequest) -> None:
        forward_request(self.gateway, req)

    def _handle_operator(self, req: ServerRequest) -> None:
        path, _, query = req.target.partition("?")
        if path != PREVIEW_PATH:
            self._handle_control(req)
            return
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        wanted = PreviewQuery(
            fields.get("host", "").lower(),
            fields.get("path", ""),
            fields.get("object", ""),
            fields.get("customer", ""),
        )
        preview = preview_request(self.gateway, wanted, self._reactor.seconds())
        preview.table_ages_s = self.table_ages_s()
        req.respond(200, [_JSON_HEADER], msgspec.json.encode(preview))

    def _handle_control(self, req: ServerRequest) -> None:
        lookup = self._dialect.read_lookup(req)
        if lookup is not None:
            self._answer_lookup(req, lookup.name, lookup.region)
        elif req.target == METRICS_PATH:
            body, content_type = self._metrics.render()
            req.respond(200, [(b"Content-Type", content_type.encode())], body)
        elif self._dialect.is_ready_check(req):
            req.respond(200 if self._members.own.ready else 503, [], b"")
        else:
            req.respond(404, [], b"")

    def _answer_lookup(self, req: ServerRequest, name: str, region: str) -> None:
        routes = self._routing_state.routes
        home_regions = routes.home_regions(name) if routes is not None else frozenset()
        addresses = self._members.addresses(region, home_regions, self._clock())
        if not addresses:
            req.respond(503, [(b"Retry-After", b"0.5")], b"")
            return
        fields = self._dialect.lookup_fields(
            [str(address) for address in addresses], self._ttl_s
        )
        req.respond(200, [_JSON_HEADER], msgspec.json.encode(fields))

    def _apply_limits(self, limits: CallerLimits) -> None:
        self.requests.idle_timeout_s = limits.idle_timeout_s
        self.requests.header_timeout_s = limits.header_timeout_s
        self.requests.max_header_bytes = limits.header_bytes
