"""Guards customers with a quota while most gateway processes leave for good.

Store and upstream are stand-ins. The processes that are left must serve what is
within the quota, also after a restart.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.gateways import GatewayProcess, caller_headers, make_config
from tests.processes import START_TIMEOUT_S, eventually
from tests.standins.platform import StoreStandIn, UpstreamStandIn

ZONES = {"a1": "a", "b1": "b"}
KEY = "northkey0123456789ab"
RATE_PER_S, BURST = 100, 100
RECOVER_S = 15.0  # after which all is to be served
REQUEST_INTERVAL_S = 0.1


class System:
    """A store, an upstream and five gateways in two regions."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandIn()
        self.upstream = UpstreamStandIn(self.store, "u1", "s", "a1", "127.0.0.1")
        config = make_config(1, read=("/read/", "idempotent"))
        spec = {"apiKeys": [KEY], "ratePerS": RATE_PER_S, "burst": BURST}
        config["resources"].append(
            {"resourceKind": "tenants", "metadata": {"name": "north"}, "spec": spec}
        )
        self.store.put("op", "config", config)
        self.upstream.register()
        self.gateways = [
            GatewayProcess(
                self.store.address, f"127.0.0.{number + 2}", zone, ZONES, folder,
                name=f"front-{number}",
            )
            for number, zone in enumerate(["a1", "b1", "a1", "b1", "a1"])
        ]  # fmt: skip
        for gateway in self.gateways:
            eventually(gateway.is_ready, START_TIMEOUT_S, "gateway ready")

    def get(self, gateway: GatewayProcess) -> int:
        headers = caller_headers("r1") | {"Key": KEY}
        return gateway.call(gateway.front, "GET", "/read/x", None, headers)[0]

    def serves_all(self) -> bool:
        """Return whether ten requests in a row are served by the gateways left."""
        statuses = set()
        for number in range(10):
            statuses.add(self.get(self.gateways[number % len(self.gateways)]))
            time.sleep(REQUEST_INTERVAL_S)
        return statuses == {200}

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.end()
        self.upstream.stop()
        self.store.stop()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    started = System(tmp_path)
    yield started
    started.end()


@pytest.mark.parametrize("staying", [(0, 1), (1, 3)], ids=["each region", "region b"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_quota_is_served_after_most_hosts_have_left(
    system: System, number: signal.Signals, staying: tuple[int, int]
) -> None:
    """Guards against customers that are refused for minutes, or for good."""
    eventually(system.serves_all, START_TIMEOUT_S, "all served")
    leaving = [host for at, host in enumerate(system.gateways) if at not in staying]
    system.gateways = [system.gateways[at] for at in staying]
    for gateway in leaving:
        gateway.child.send(number)
    for gateway in leaving:
        gateway.child.process.wait(timeout=10)
    for gateway in system.gateways:
        gateway.child.kill()
        gateway.start()
    for gateway in system.gateways:
        eventually(gateway.is_ready, START_TIMEOUT_S, "gateway ready")
    time.sleep(RECOVER_S)
    assert system.serves_all()
