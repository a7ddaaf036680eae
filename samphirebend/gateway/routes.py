"""Selects the route of a request and the service that handles it.

`routingstate` builds the route table anew from each configuration.
"""

from __future__ import annotations

from .config import Backend, Config, Route


class RouteTable:
    """Routes of a configuration by host name, longest prefix first."""

    __slots__ = ("_by_host_name", "version")

    def __init__(self, config: Config) -> None:
        self.version = config.version
        self._by_host_name: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host_name.setdefault(route.host, []).append(route)
        for routes in self._by_host_name.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host_name: str, path: str) -> Route | None:
        """Return the host name's route with the longest matching prefix."""
        for route in self._by_host_name.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def home_regions(self, host_name: str) -> frozenset[str]:
        """Return the regions that all routes of a host name allow.

        An empty result means any region.
        """
        home_regions: frozenset[str] = frozenset()
        for route in self._by_host_name.get(host_name, ()):
            if not route.home_regions:
                return frozenset()
            home_regions = (
                home_regions & route.home_regions
                if home_regions
                else route.home_regions
            )
        return home_regions


class BackendPicker:
    """Distributes the requests of a route over its services by weight."""

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        # Current weight of each service, keyed by route and service name.
        self._credit: dict[tuple[str, str], float] = {}

    def pick(self, route: Route) -> str:
        """Return the next service by smooth weighted round robin.

        >>> from .config import RequestKind
        >>> route = Route("r", "h", "/", RequestKind.IDEMPOTENT)
        >>> route.backends = [Backend("a", 2), Backend("b", 1)]
        >>> picker = BackendPicker()
        >>> [picker.pick(route) for _ in range(6)]
        ['a', 'b', 'a', 'a', 'b', 'a']
        """
        backends = route.backends
        if len(backends) == 1:
            return backends[0].service
        total = sum(backend.weight for backend in backends)
        best: Backend | None = None
        best_credit = 0.0
        for backend in backends:
            key = (route.name, backend.service)
            credit = self._credit.get(key, 0.0) + backend.weight
            self._credit[key] = credit
            if best is None or credit > best_credit:
                best, best_credit = backend, credit
        assert best is not None
        self._credit[(route.name, best.service)] -= total
        return best.service

    def clear(self) -> None:
        """Reset the rotation, as needed after a change of weights."""
        self._credit.clear()
