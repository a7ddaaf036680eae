"""Runs gateway processes against stand-ins of the platform's store and upstreams."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.standins.platform import StoreStandIn, UpstreamStandIn, _Handler

ZONES = {"a1": "a", "b1": "b"}
WAIT_S = 8.0


def free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def wait_for(condition: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until, f"not within {WAIT_S} s: {what}"
        time.sleep(0.03)


def caller_headers(request_id: str) -> dict[str, str]:
    return {"Host": "h.example", "Attempt-Id": request_id, "Deadline-Ms": "4000"}


class GatewayProcess:
    """One gateway process on a loopback address of its own."""

    def __init__(self, store: StoreStandIn, ip: str, zone: str, folder: Path) -> None:
        self.ip = ip
        self.front, self.ready = free_port(ip), free_port(ip)
        self.directory, peer = free_port(ip), free_port(ip)
        settings = f"""
[self]
node = "front-{zone}"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "{ZONES[zone]}"
[network]
portRange = [{peer}, {peer}]
seeds = []
[network.listen]
front = "{ip}:{self.front}"
ready = "{ip}:{self.ready}"
directory = "{ip}:{self.directory}"
[network.zones]
a1 = "a"
b1 = "b"
[provider.provider]
address = "{store.address}"
[terms.bounds]
graceS = 6
"""
        path = folder / f"{zone}.toml"
        path.write_text(settings)
        self.log = folder / f"{zone}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "samphirebend.platform"],
                env=os.environ | {"SAMPHIREBEND_NODE_FILE": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        try:
            return self.call(self.ready, "GET", "/ready")[0] == 200
        except OSError:
            return False

    def call(
        self,
        port: int,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        conn = http.client.HTTPConnection(self.ip, port, timeout=10)
        try:
            conn.request(method, path, body, headers or {})
            answer = conn.getresponse()
            names = {name.lower(): value for name, value in answer.getheaders()}
            return answer.status, answer.read(), names
        finally:
            conn.close()

    def get(self, path: str, request_id: str = "1") -> Any:
        return self.call(self.front, "GET", path, None, caller_headers(request_id))

    def post(self, path: str, body: bytes, request_id: str) -> Any:
        return self.call(self.front, "POST", path, body, caller_headers(request_id))

    def events(self) -> list[dict[str, Any]]:
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def make_config(version: int, **prefixes: tuple[str, str]) -> dict[str, Any]:
    resources: list[dict[str, Any]] = []
    for name, (prefix, kind) in prefixes.items():
        spec = {
            "host": "h.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": 3000,
            "sloMs": 500,
            "priority": 1,
            "service": "s",
            "maxAttempts": 2,
            "sticky": True,
            "homeRegions": [],
        }
        resources.append(
            {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}
        )
    service = {
        "healthPath": "/health",
        "maxConns": 100,
        "coldStartS": 1.0,
        "coldPerS": 9.0,
    }
    resources.append(
        {"resourceKind": "services", "metadata": {"name": "s"}, "spec": service}
    )
    return {"version": f"{version:08x}", "resources": resources}


class System:
    """A store, two upstreams and two gateways."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandIn()
        self.upstreams = [
            UpstreamStandIn(self.store, "u1", "s", "a1", "127.0.0.1"),
            UpstreamStandIn(self.store, "u2", "s", "b1", "127.0.0.1"),
        ]
        self.store.put(
            "op",
            "config",
            make_config(
                3, read=("/read/", "idempotent"), write=("/write/", "non_idempotent")
            ),
        )
        for upstream in self.upstreams:
            upstream.register()
        self.gateways = [
            GatewayProcess(self.store, "127.0.0.2", "a1", folder),
            GatewayProcess(self.store, "127.0.0.3", "b1", folder),
        ]
        for gateway in self.gateways:
            wait_for(gateway.is_ready, "gateway ready")
        wait_for(lambda: self.get("/read/x")[0] == 200, "upstreams known")

    def get(self, path: str, request_id: str = "1") -> Any:
        return self.gateways[0].get(path, request_id)

    def runs(self, request_id: str) -> int:
        return sum(ran[0] == request_id for item in self.upstreams for ran in item.ran)

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.end()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    started = System(tmp_path)
    yield started
    started.end()


def test_requests_are_served_and_forwarded_unchanged(system: System) -> None:
    status, body, headers = system.get("/read/x?q=1", "r1")
    assert status == 200
    assert body.endswith(b"/read/x?q=1")
    assert headers["server-seal"] == "seal"
    assert headers["attempt-id"] == "r1"
    assert system.gateways[1].post("/write/y", b"z" * 70_000, "w1")[0] == 200
    assert system.runs("w1") == 1
    ran = [item for up in system.upstreams for item in up.ran if item[0] == "w1"]
    assert ran[0][1:] == ("POST", "/write/y", b"z" * 70_000)
    assert system.get("/none/x")[0] == 404


def test_the_directory_names_hosts_of_the_callers_region(system: System) -> None:
    def named(region: str) -> list[str]:
        gateway = system.gateways[0]
        path = f"/resolve?name=h.example&region={region}&zone=x"
        status, body, _ = gateway.call(gateway.directory, "GET", path)
        assert status == 200
        addresses: list[str] = json.loads(body)["addrs"]
        return addresses

    first, second = (f"{item.ip}:{item.front}" for item in system.gateways)
    wait_for(lambda: named("b") == [second], "the other host is known")
    assert named("a") == [first]


def test_a_change_of_the_configuration_is_in_force_soon(system: System) -> None:
    system.store.put("op", "config", make_config(4, other=("/other/", "idempotent")))
    wait_for(lambda: system.get("/other/x")[0] == 200, "new route served")
    assert system.get("/read/x")[0] == 404


def test_draining_and_evacuated_upstreams_get_nothing(system: System) -> None:
    system.upstreams[0].register("draining")
    wait_for(
        lambda: (
            sum(
                item["event"] == "upstream_entry" and item["draining"]
                for item in system.gateways[0].events()
                if "event" in item
            )
            > 0
        ),
        "drain known",
    )
    before = len(system.upstreams[0].ran)
    for number in range(20):
        assert system.get(f"/read/{number}", f"d{number}")[0] == 200
    assert len(system.upstreams[0].ran) == before
    system.store.put("op", "evacuate/b1", {})
    wait_for(lambda: system.get("/read/x")[0] == 503, "no upstream left")
    assert "retry-after" in system.get("/read/x")[2]


def test_a_lost_answer_is_repeated_only_where_that_is_safe(system: System) -> None:
    reached: list[str] = []

    def lose(handler: _Handler) -> bool:
        reached.append(handler.headers["Attempt-Id"])
        handler.close_connection = True
        handler.connection.close()
        return True

    for upstream in system.upstreams:
        upstream.fault = lose
    assert system.gateways[0].post("/write/y", b"z", "w1")[0] == 502
    assert reached == ["w1"]
    system.get("/read/y", "r1")
    assert reached.count("r1") == 2


def test_a_shed_request_goes_elsewhere_and_is_not_said_to_have_run(
    system: System,
) -> None:
    shed: list[str] = []

    def refuse(handler: _Handler) -> bool:
        shed.append(handler.headers["Attempt-Id"])
        handler.reply(503, b"", {"Not-Executed": "1"})
        return True

    system.upstreams[0].fault = refuse
    for number in range(8):
        assert system.gateways[0].post(f"/write/{number}", b"", f"w{number}")[0] == 200
        assert system.runs(f"w{number}") == 1
    system.upstreams[1].fault = refuse
    status, _, headers = system.gateways[0].post("/write/y", b"", "last")
    assert (status, system.runs("last")) == (503, 0)
    assert float(headers["retry-after"]) > 0


def test_a_stop_cuts_no_request_and_leaves_the_directory(system: System) -> None:
    gateway = system.gateways[0]
    for upstream in system.upstreams:
        upstream.work_s = 0.8
    answers: list[int] = []

    def ask() -> None:
        answers.append(gateway.post("/write/slow", b"", "slow")[0])

    asking = threading.Thread(target=ask)
    asking.start()
    wait_for(lambda: system.runs("slow") == 1, "the request runs")
    gateway.process.send_signal(signal.SIGTERM)
    asking.join()
    assert answers == [200]
    assert not gateway.is_ready()
    assert gateway.process.wait(timeout=8) == 0


def test_rows_come_from_a_peer_while_the_store_refuses_one_host(
    system: System,
) -> None:
    refused, served = system.gateways
    system.store.refused.add(refused.ip)
    wait_for(
        lambda: any(item.get("event") == "store_lost" for item in refused.events()),
        "the store is noticed to refuse",
    )
    system.store.put("op", "config", make_config(9, other=("/other/", "idempotent")))
    wait_for(lambda: served.get("/other/x")[0] == 200, "new route at the other host")
    wait_for(lambda: refused.get("/other/x")[0] == 200, "new route from the peer")
    assert any(item.get("event") == "rows_fetched" for item in refused.events())


def test_lost_history_is_read_anew(system: System) -> None:
    system.store.forget_history()
    system.store.put("op", "config", make_config(5, other=("/other/", "idempotent")))
    wait_for(lambda: system.get("/other/x")[0] == 200, "new route served")
