"""Selects the route of a request and the service that handles it.

`routingstate` builds the route table anew from each configuration.
"""

from __future__ import annotations

from .config import Backend, Config, Route


class RouteTable:
    """Indexes the routes of a configuration by host, longest prefix first."""

    __slots__ = ("_by_host", "version")

    def __init__(self, config: Config) -> None:
        self.version = config.version
        self._by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that all routes of a host allow; empty: any."""
        home_regions: frozenset[str] = frozenset()
        for route in self._by_host.get(host, ()):
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
        # Weight accumulated since the last pick, by route and service.
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
