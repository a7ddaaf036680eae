"""Everything that runs in a soak: gateways, fault proxy, store, upstreams, callers."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

from ..gateways import GatewayProcess, make_config
from ..httpcalls import http_json
from ..processes import Child, ProcessGroup, eventually, loopback_ip
from ..standins.platform import StoreStandIn, UpstreamStandIn
from .callers import Caller, Prober
from .records import Notice, Records, Run, Trouble
from .schedule import HOSTS, UPSTREAMS

ZONES: Final = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
SERVICE: Final = "s"
SLOTS: Final = 4
QUEUE: Final = 6
WORK_S: Final = 0.03
COLD_S: Final = 1.0
CALLERS: Final = 24
START_S: Final = 20.0
EACH_START_S: Final = 0.5  # more for each host, since they start together
STOP_S: Final = 9.0
CONFIGS_KEPT: Final = 60  # routes of former versions that a configuration keeps


class World:
    """The running parts and what happened to them; a context manager."""

    def __init__(
        self, folder: Path, seed: int, callers: int = CALLERS, hosts: int = HOSTS
    ) -> None:
        self.folder = folder
        self.records = Records()
        self.group = ProcessGroup(folder)
        self.store = StoreStandIn(loopback_ip(1))
        self.versions: list[int] = []
        self._names = itertools.count(1)
        self._evacuated: set[str] = set()
        self._starter = ThreadPoolExecutor(max_workers=1)
        self._lock = threading.Lock()
        self.upstreams = [self._make_upstream(index) for index in range(UPSTREAMS)]
        self.proxy = self._start_proxy(hosts)
        ports = self.proxy.first_line()["ports"]
        for upstream in self.upstreams:
            port = ports[f"upstream-{upstream.own_address}"]
            upstream.address = f"{loopback_ip(0)}:{port}"
            upstream.register()
        self.put_config()
        self.hosts = [
            GatewayProcess(
                f"{loopback_ip(0)}:{ports[f'store-{index}']}",
                loopback_ip(10 + index),
                list(ZONES)[index % len(ZONES)],
                ZONES,
                folder,
                f"host-{index}",
            )
            for index in range(hosts)
        ]
        self.control(
            "origins", {h.ip: {"name": h.name, "region": ""} for h in self.hosts}
        )
        self.callers = [Caller(number, seed, self.hosts) for number in range(callers)]
        self.prober = Prober(self.hosts, self.versions)

    def __enter__(self) -> World:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for host in self.hosts:
            host.end()
        self._starter.shutdown()
        self.group.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()

    def _make_upstream(self, index: int) -> UpstreamStandIn:
        zone = list(ZONES)[index % len(ZONES)]
        name = f"u{next(self._names)}"
        made = UpstreamStandIn(
            self.store, name, SERVICE, zone, loopback_ip(1), SLOTS, QUEUE
        )
        made.work_s = WORK_S
        made.born_ms = int(time.time() * 1000)
        return made

    def _start_proxy(self, hosts: int) -> Child:
        listeners = [
            {"name": f"upstream-{item.own_address}", "target": item.own_address}
            for item in self.upstreams
        ]
        listeners += [
            {"name": f"store-{index}", "target": self.store.address}
            for index in range(hosts)
        ]
        path = self.group.write_json("proxy", {"listeners": listeners})
        return self.group.spawn(
            "proxy",
            "tests.standins.fault_proxy",
            *("--config", path, "--host", loopback_ip(0)),
        )

    def control(self, what: str, data: dict[str, Any]) -> None:
        """Give an order to the fault proxy."""
        address = f"{loopback_ip(0)}:{self.proxy.first_line()['control']}"
        status, answer = http_json("POST", address, f"/{what}", data)
        assert status == 200, answer

    def start_load(self) -> None:
        """Wait until all hosts are ready, then let the callers begin."""
        start_s = START_S + EACH_START_S * len(self.hosts)
        for host in self.hosts:
            eventually(host.is_ready, start_s, f"{host.name} ready")
        for caller in self.callers:
            caller.start()
        self.prober.start()

    def finish(self) -> Records:
        """End the load and return all records."""
        threads: list[Caller | Prober] = [*self.callers, self.prober]
        for thread in threads:
            thread.stopping.set()
        for thread in threads:
            thread.join(10.0)
            self.records.sent += thread.sent
        self.records.load_ended_at = time.time()
        for upstream in self.upstreams:
            self.records.runs += [
                Run(a.request_id, a.path, a.upstream, a.service, a.zone, a.at, a.ran)
                for a in upstream.arrivals
            ]
        for host in self.hosts:
            self._note_bugs(host)
        return self.records

    def _note_bugs(self, host: GatewayProcess) -> None:
        if not host.child.running():
            status = host.child.process.returncode
            self.records.bugs.append(f"{host.name} ended by itself: {status}")
        for line in host.events():
            if line.get("event") == "bug":
                self.records.bugs.append(f"{host.name}: {line.get('message')}")

    def note_trouble(self, trouble: Trouble) -> None:
        """Record a fault that has ended."""
        with self._lock:
            self.records.troubles.append(trouble)

    def note(self, kind: str, name: str) -> None:
        """Record what the store has just acknowledged."""
        with self._lock:
            self.records.notices.append(Notice(kind, name, time.time()))

    def put_config(self) -> None:
        """Write the next version, with a route of its own."""
        with self._lock:
            version = (self.versions[-1] if self.versions else 0) + 3
            self.versions.append(version)
        prefixes = {"read": ("/read/", "idempotent")}
        prefixes["write"] = ("/write/", "non_idempotent")
        for item in self.versions[-CONFIGS_KEPT:]:
            prefixes[f"v{item}"] = (f"/v{item}/", "idempotent")
        self.store.put("op", "config", make_config(version, SERVICE, **prefixes))
        self.note("config", str(version))

    def ensure_runs(self, host: GatewayProcess) -> None:
        """Start a host's process if none runs.

        A process ends with the thread that started it, so one thread starts all.
        """
        self._starter.submit(self._start_if_ended, host).result()

    @staticmethod
    def _start_if_ended(host: GatewayProcess) -> None:
        if not host.child.running():
            host.start()

    def begin_evacuation(self, zone: str) -> bool:
        """Empty a failure domain; return whether it was not being emptied."""
        if zone in self._evacuated:
            return False
        self._evacuated.add(zone)
        self.store.put("op", f"evacuate/{zone}", {})
        self.note("evacuate", zone)
        return True

    def end_evacuation(self, zone: str) -> None:
        """Take a failure domain back."""
        self.note("return", zone)
        self.store.put("op", f"evacuate/{zone}", None)
        self._evacuated.discard(zone)

    def replace_upstream(self, upstream: UpstreamStandIn) -> None:
        """Let an upstream start again, as another one at the same address."""
        self.store.put("servers", upstream.name, None)
        self.note("gone", upstream.name)
        upstream.name = f"u{next(self._names)}"
        upstream.born_ms = int(time.time() * 1000)
        self.records.cold[upstream.name] = time.time() + COLD_S
        upstream.register(cold_ms=int(COLD_S * 1000))
        threading.Timer(COLD_S, self._end_cold, (upstream, upstream.name)).start()

    @staticmethod
    def _end_cold(upstream: UpstreamStandIn, name: str) -> None:
        """Write the entry of an upstream that is no longer cold, unless it leaves."""
        if upstream.name == name and not upstream.draining:
            upstream.register()
