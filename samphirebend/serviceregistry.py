"""Registry of a process's services, which starts and stops them in order.

All services are registered before the first is started. Services that are
`Startable` are started in the order of registration and stopped in reverse
order, so a service can use those registered before it for as long as it runs.
Other services only hold state, which a dump shows under their name. The
registry does not depend on what the services do.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol, TypeVar, runtime_checkable

from loguru import logger

ServiceType = TypeVar("ServiceType")


@runtime_checkable
class Startable(Protocol):
    """A service with start and stop, which may return an awaitable."""

    def start(self) -> Awaitable[None] | None: ...

    def stop(self) -> Awaitable[None] | None: ...


class ServiceError(Exception):
    """A service name is taken or unknown, or the service has another type."""


class ServiceRegistry:
    """Holds services by name and starts and stops them in order."""

    __slots__ = ("_services", "_started")

    def __init__(self) -> None:
        # Services keyed by name, in order of registration.
        self._services: dict[str, object] = {}
        # Names of the running services, in order of start.
        self._started: list[str] = []

    def register(self, name: str, service: object) -> None:
        """Register a service; raise ServiceError if the name is taken."""
        if name in self._services:
            raise ServiceError(f"service {name} is already registered")
        self._services[name] = service

    def find(self, name: str, kind: type[ServiceType]) -> ServiceType:
        """Return a service; raise ServiceError if missing or not a `kind`.

        >>> ServiceRegistry().find("store", object)
        Traceback (most recent call last):
        ...
        samphirebend.serviceregistry.ServiceError: service store is not registered
        """
        service = self._services.get(name)
        if service is None:
            raise ServiceError(f"service {name} is not registered")
        if not isinstance(service, kind):
            raise ServiceError(f"service {name} is not a {kind.__name__}")
        return service

    def names(self) -> list[str]:
        """Return the names of all services in order of registration."""
        return list(self._services)

    async def start(self) -> None:
        """Start all services in order; if one fails, stop the others."""
        for name, service in self._services.items():
            if not isinstance(service, Startable):
                continue
            try:
                pending = service.start()
                if pending is not None:
                    await pending
            except Exception:
                logger.exception("service failed to start", service=name)
                await self.stop()
                raise
            self._started.append(name)

    async def stop(self) -> None:
        """Stop running services in reverse order; log a failure and go on."""
        while self._started:
            name = self._started.pop()
            service = self._services[name]
            assert isinstance(service, Startable)
            try:
                pending = service.stop()
                if pending is not None:
                    await pending
            except Exception:
                logger.exception("service failed to stop", service=name)
