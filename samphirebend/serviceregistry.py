"""Micro-kernel: holds the services of one daemon and finds them by name.

The daemon registers every service before the start. Services that are
`Startable` are started in the order of registration and stopped in reverse, so
a service may use those registered before it for its whole life. Others only
hold state, which the dump shows under their name. The kernel knows nothing of
what the services do.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol, TypeVar, runtime_checkable

from loguru import logger

ServiceType = TypeVar("ServiceType")


@runtime_checkable
class Startable(Protocol):
    """A service with work of its own; start and stop may return an awaitable."""

    def start(self) -> Awaitable[None] | None: ...

    def stop(self) -> Awaitable[None] | None: ...


class ServiceError(Exception):
    """A service was registered twice, is missing or has another type."""


class ServiceRegistry:
    """Registry of services with an order of start and stop."""

    __slots__ = ("_services", "_started")

    def __init__(self) -> None:
        self._services: dict[str, object] = {}  # in order of registration
        self._started: list[str] = []  # names of running services

    def register(self, name: str, service: object) -> None:
        """Add a service under a name; raise ServiceError if the name is taken."""
        if name in self._services:
            raise ServiceError(f"service {name} is registered twice")
        self._services[name] = service

    def find(self, name: str, kind: type[ServiceType]) -> ServiceType:
        """Return the named service; raise ServiceError if missing or not a kind.

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
        """Start all services in order; stop those already started on a failure."""
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
        """Stop running services in reverse; a failure does not keep the others up."""
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
