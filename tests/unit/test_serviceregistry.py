"""Tests the order of start and stop, and that no service is left running.

Guards against a failure to start or stop that keeps other services running.
"""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from samphirebend.serviceregistry import ServiceError, ServiceRegistry


class Recorder:
    """Service that records its calls in a shared list."""

    def __init__(self, name: str, calls: list[str], fails: str = "") -> None:
        self.name = name
        self.calls = calls
        self.fails = fails

    def start(self) -> None:
        self._record("start")

    def stop(self) -> None:
        self._record("stop")

    def _record(self, call: str) -> None:
        self.calls.append(f"{call} {self.name}")
        if call == self.fails:
            raise RuntimeError(call)


def run(registry: ServiceRegistry, calls: list[str]) -> None:
    Deferred.fromCoroutine(registry.start()).addErrback(
        lambda _: calls.append("failed")
    )


def test_services_stop_in_reverse_and_plain_state_is_skipped() -> None:
    # Guards against stopping a service before those that use it, and against
    # starting a service that only holds state.
    registry, calls = ServiceRegistry(), list[str]()
    registry.register("state", {"plain": "state"})
    for name in "ab":
        registry.register(name, Recorder(name, calls))
    run(registry, calls)
    Deferred.fromCoroutine(registry.stop())
    assert calls == ["start a", "start b", "stop b", "stop a"]
    assert registry.find("state", dict) == {"plain": "state"}


def test_failed_start_stops_running_services() -> None:
    # Guards against services that keep running after another failed to start.
    registry, calls = ServiceRegistry(), list[str]()
    registry.register("a", Recorder("a", calls))
    registry.register("b", Recorder("b", calls, fails="start"))
    run(registry, calls)
    assert calls == ["start a", "start b", "stop a", "failed"]


def test_failed_stop_does_not_keep_others_running() -> None:
    # Guards against ending the shutdown at the first failure.
    registry, calls = ServiceRegistry(), list[str]()
    registry.register("a", Recorder("a", calls))
    registry.register("b", Recorder("b", calls, fails="stop"))
    run(registry, calls)
    Deferred.fromCoroutine(registry.stop())
    assert calls[-2:] == ["stop b", "stop a"]


def test_taken_names_and_wrong_types_are_rejected() -> None:
    # Guards against replacing a service and against returning another type.
    registry = ServiceRegistry()
    registry.register("a", [])
    with pytest.raises(ServiceError):
        registry.register("a", [])
    with pytest.raises(ServiceError):
        registry.find("a", dict)
