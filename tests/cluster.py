"""Starts real processes for integration tests and the demo.

A `Cluster` takes a manifest as plain data, replaces its addresses by free
loopback ports, starts the stand-ins and the daemons, and ends every process
that it started when it is closed or when the test process dies.
"""

from __future__ import annotations

import copy
import ctypes
import http.client
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any, Final

import msgspec
import pyjson5

ROOT: Final = Path(__file__).resolve().parent.parent
START_TIMEOUT_S: Final = 15.0
PR_SET_PDEATHSIG: Final = 1
ADDRESS_FIELDS: Final = ("entry", "relay", "peer", "admin")
Data = dict[str, Any]

# Below the ephemeral range, so that no outgoing connection takes a port first.
_ports = itertools.cycle(range(10_000, 32_000))
_libc = ctypes.CDLL(None)


def _end_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def own_ip(index: int = 0) -> str:
    """Return one of 60 loopback addresses that no other test process uses."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 10) % 64}.{pid >> 2 & 255}.{(pid & 3) * 64 + index + 1}"


def free_port(ip: str) -> int:
    """Return a port of the address that nothing listens on."""
    for port in _ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise AssertionError


def http_json(
    method: str, address: str, path: str, data: object = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send one request; return its status and its decoded JSON or raw bytes."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if data is None else msgspec.json.encode(data)
        headers = {"Content-Type": "application/json"} if body else {}
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        raw = response.read()
        try:
            return response.status, msgspec.json.decode(raw)
        except msgspec.DecodeError:
            return response.status, raw
    finally:
        conn.close()


def eventually(check: Callable[[], object], timeout_s: float, what: str) -> float:
    """Wait until `check` is true; return the seconds that it took."""
    start = time.monotonic()
    while time.monotonic() - start < timeout_s:
        if check():
            return time.monotonic() - start
        time.sleep(0.02)
    raise AssertionError(f"not within {timeout_s} s: {what}")


def load_example(name: str) -> tuple[Data, dict[str, Data]]:
    """Return an example's manifest and its settings by host, as plain data."""
    folder = ROOT / "examples" / name
    read = {p.stem: pyjson5.decode(p.read_text()) for p in folder.glob("*.json")}
    return read.pop("manifest"), read


def small_manifest(
    regions: dict[str, int],
    upstreams: int = 2,
    slots: int = 3,
    cap: int = 1000,
    timeout_ms: int = 2000,
    mbit_per_s: int = 280,
    delay_ms: int = 5,
) -> Data:
    """Return a manifest: hosts by region, and upstreams per service and region.

    The services are `read` and `upload` (idempotent) and `write` (at most once).
    """
    return {
        "format": 1,
        "organisation": "test",
        "measure": "headroom",
        "regions": [
            {"name": r, "max_in_flight": cap, "failure_domains": [f"{r}-a", f"{r}-b"]}
            for r in regions
        ],
        "links": [
            {"between": list(pair), "mbit_per_s": mbit_per_s, "delay_ms": delay_ms}
            for pair in itertools.combinations(regions, 2)
        ],
        "hosts": [
            {"name": f"{r}-{i}", "failure_domain": f"{r}-{'ab'[i % 2]}"}
            for r, count in regions.items()
            for i in range(count)
        ],
        "services": [
            {
                "name": service,
                "idempotent": service != "write",
                "timeout_ms": timeout_ms,
                "max_body_bytes": 1 << 28,
                "upstreams": [
                    {
                        "name": f"{service}-{r}-{i}",
                        "failure_domain": f"{r}-{'ab'[i % 2]}",
                        "slots": slots,
                        "connections": 300,
                    }
                    for r in regions
                    for i in range(upstreams)
                ],
            }
            for service in ("read", "write", "upload")
        ],
        "caller_blocks": [],
    }


def broken_conditions(records: list[Data], ledger: dict[str, list[Data]]) -> list[str]:
    """Compare callers' records with the upstreams' ledger; return all violations."""
    found = []
    for record in records:
        name, outcome = record["id"], record["outcome"]
        runs = {each: ledger.get(each, []) for each in record["told"]}
        if outcome in ("lost", "wrong"):
            found.append(f"{name}: {outcome} answer")
        for ledger_id, told in record["told"].items():
            if told == "did-not-run" and runs[ledger_id]:
                found.append(f"{ledger_id}: ran, told did-not-run")
        all_runs = [run for each in runs.values() for run in each]
        if record["keyed"] and len(all_runs) > 1:
            found.append(f"{name}: {len(all_runs)} runs of one keyed request")
        whole = [
            run
            for run in all_runs
            if run["state"] == "done" and record["sha256"] in ("", run["sha256"])
        ]
        if outcome == "done" and not whole:
            found.append(f"{name}: told done without a complete run")
    return found


class Child:
    """A process that the cluster started, with its output files."""

    def __init__(self, name: str, module: str, args: list[str], folder: Path) -> None:
        self.name = name
        self.out = folder / f"{name}.out"
        self.log = folder / f"{name}.log"
        with self.out.open("wb") as out, self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.pid = self.process.pid

    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.poll() is None

    def first_line(self, timeout_s: float = START_TIMEOUT_S) -> Data:
        """Wait for the JSON line that a stand-in prints once it listens."""
        self.wait_for(lambda: b"\n" in self.out.read_bytes(), timeout_s)
        line: Data = msgspec.json.decode(self.out.read_bytes().splitlines()[0])
        return line

    def wait_for(self, check: Callable[[], object], timeout_s: float) -> None:
        """Wait until `check` is true; fail with the log if the process ends."""
        end = time.monotonic() + timeout_s
        while not check():
            if not self.running() or time.monotonic() > end:
                tail = self.log.read_text(errors="replace")[-2000:]
                state = self.process.poll()
                raise AssertionError(f"{self.name} not ready (exit {state}):\n{tail}")
            time.sleep(0.02)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running():
            self.process.send_signal(number)

    def peak_memory_kb(self) -> int:
        """Return the highest resident size so far."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0])


class Cluster:
    """Stand-ins and daemons of one test; a context manager."""

    def __init__(
        self,
        folder: Path,
        manifest: Data,
        settings: dict[str, Data] | None = None,
        proxied: Collection[str] = (),
        seed: int = 1,
    ) -> None:
        """Keep the plan; `proxied` names the kinds of address behind the proxy.

        They are `entry`, `relay`, `peer`, `upstream` and `table`.
        """
        self.folder = folder
        self.seed = seed
        self.proxied = frozenset(proxied)
        self.ip = own_ip()
        self.children: dict[str, Child] = {}
        self.controls: dict[str, str] = {}  # upstream process to control address
        self.proxy = ""  # control address of the fault proxy
        self.table = ""
        self.manifest = copy.deepcopy(manifest)
        self.settings = copy.deepcopy(settings or {})
        self.domains = {
            domain: region["name"]
            for region in manifest["regions"]
            for domain in region["failure_domains"]
        }
        self.hosts: dict[str, Data] = {h["name"]: h for h in self.manifest["hosts"]}
        self.host_ips: dict[str, str] = {}
        self.entries: dict[str, str] = {}  # host to the address for callers

    def __enter__(self) -> Cluster:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """End every process, with SIGKILL."""
        for child in self.children.values():
            child.send(signal.SIGKILL)
        for child in self.children.values():
            child.process.wait()

    def spawn(self, name: str, module: str, *args: object) -> Child:
        """Start a Python module as a process."""
        before = self.children.get(name)
        assert before is None or not before.running(), f"{name} still runs"
        child = Child(name, module, [str(arg) for arg in args], self.folder)
        self.children[name] = child
        return child

    def start(self, commit: bool = True) -> None:
        """Start everything, commit the manifest and wait for it to be in force."""
        self.start_stand_ins()
        self.list_upstreams()
        self.write_settings()
        for host in self.hosts:
            self.start_daemon(host, wait=False)
        for host in self.hosts:
            self.wait_daemon(host)
        if commit:
            status, answer = self.commit(self.manifest, 0, "first")
            assert status == 200, answer
            for host in self.hosts:
                self.wait_version(host, 1)
            self.wait_active(1)

    def wait_active(self, version: int, timeout_s: float = 10.0) -> None:
        """Wait until every running host may use all its slots of a version."""

        def active() -> bool:
            running = [name for name in self.hosts if self.children[name].running()]
            rows = [self.admin(name, "/v1/status")[1] for name in running]
            return all(
                row["active_version"] >= version and row["shards"] for row in rows
            )

        eventually(active, timeout_s, f"manifest {version} active on every host")

    def start_stand_ins(self) -> None:
        """Start the table service, the upstreams by region, and the proxy."""
        self._start_table()
        listeners = self._place_upstreams() + self._place_hosts()
        if not self.proxied:
            return
        ports = self._start_proxy(listeners)
        for service in self.manifest["services"]:
            for upstream in service["upstreams"]:
                self._point(upstream, "address", ports, upstream["name"])
        for name, host in self.hosts.items():
            for field in ADDRESS_FIELDS:
                self._point(host, field, ports, f"{field}:{name}")
            self.entries[name] = host["entry"]
            self._point(self.settings[name], "table_url", ports, f"table:{name}")

    def _start_table(self) -> None:
        module = "tests.standins.table_service"
        child = self.spawn("table", module, "--port", 0)
        self.table = f"127.0.0.1:{child.first_line()['port']}"

    def _place_upstreams(self) -> list[Data]:
        """Start one process for each region; return the proxy's listeners."""
        groups: dict[str, list[Data]] = {}
        for service in self.manifest["services"]:
            for upstream in service["upstreams"]:
                region = self.domains[upstream["failure_domain"]]
                groups.setdefault(region, []).append(upstream)
        started = {}
        for region, upstreams in groups.items():
            fields = ("name", "slots", "connections")
            specs = [{"group": region, **{f: u[f] for f in fields}} for u in upstreams]
            path = self.folder / f"upstreams-{region}.json"
            path.write_bytes(msgspec.json.encode(specs))
            args = ("--host", self.ip, "--config", path, "--seed", self.seed)
            name = f"upstreams-{region}"
            started[region] = self.spawn(name, "tests.standins.upstream", *args)
        listeners = []
        for region, child in started.items():
            line = child.first_line()
            self.controls[region] = f"{self.ip}:{line['control']}"
            for upstream in groups[region]:
                upstream["address"] = f"{self.ip}:{line['ports'][upstream['name']]}"
                if "upstream" in self.proxied:
                    spec = {"name": upstream["name"], "target": upstream["address"]}
                    ends = {"to": upstream["name"], "to_region": region}
                    listeners.append({**spec, **ends, "from_region": region})
        return listeners

    def _place_hosts(self) -> list[Data]:
        """Give each host its addresses; return the proxy's listeners."""
        listeners = []
        table_region = next(iter(self.domains.values()))
        for index, (name, host) in enumerate(self.hosts.items(), start=1):
            region = self.domains[host["failure_domain"]]
            ip = self.host_ips[name] = own_ip(index)
            for field in ADDRESS_FIELDS:
                host[field] = f"{ip}:{free_port(ip)}"
            self.entries[name] = host["entry"]
            self.settings[name] = {
                "lease_ms": 3000,
                **self.settings.get(name, {}),
                "host": name,
                "region": region,
                "failure_domain": host["failure_domain"],
                **{f"{field}_address": host[field] for field in ADDRESS_FIELDS},
                "table_url": f"http://{self.table}",
                "platform_list_url": f"http://{self.table}/endpointslices",
            }
            ends = {"to": name, "to_region": region}
            for field in ("relay", "peer", "entry"):
                if field in self.proxied:
                    spec = {"name": f"{field}:{name}", "target": host[field], **ends}
                    if field == "entry":  # callers stand in the host's region
                        spec |= {"from": "caller", "from_region": region}
                    listeners.append(spec)
            if "table" in self.proxied:
                spec = {"name": f"table:{name}", "target": self.table, "to": "table"}
                ends = {"to_region": table_region, "from": name, "from_region": region}
                listeners.append({**spec, **ends})
        return listeners

    def _start_proxy(self, listeners: list[Data]) -> dict[str, int]:
        path = self.folder / "proxy.json"
        plan = {"listeners": listeners, "links": self.manifest["links"]}
        path.write_bytes(msgspec.json.encode(plan))
        args = ("--host", self.ip, "--config", path, "--seed", self.seed)
        line = self.spawn("proxy", "tests.standins.fault_proxy", *args).first_line()
        self.proxy = f"{self.ip}:{line['control']}"
        ports: dict[str, int] = line["ports"]
        return ports

    def _point(
        self, item: Data, field: str, ports: dict[str, int], listener: str
    ) -> None:
        if listener in ports:
            scheme = "http://" if field == "table_url" else ""
            item[field] = f"{scheme}{self.ip}:{ports[listener]}"

    def write_settings(self) -> None:
        """Write each host's settings file; seeds are the peers' addresses."""
        for name, settings in self.settings.items():
            settings["seeds"] = [
                host["peer"] for other, host in self.hosts.items() if other != name
            ]
            path = self.folder / f"{name}.json"
            path.write_bytes(msgspec.json.encode(settings))

    def start_daemon(self, host: str, wait: bool = True) -> Child:
        """Start the daemon of a host, also again after it has ended."""
        path = self.folder / f"{host}.json"
        child = self.spawn(host, "samphirebend.daemon", path)
        if self.proxy:
            origin = {"name": host, "region": self.settings[host]["region"]}
            http_json("POST", self.proxy, "/origins", {self.host_ips[host]: origin})
        if wait:
            self.wait_daemon(host)
        return child

    def wait_daemon(self, host: str) -> None:
        """Wait until the daemon of a host serves."""
        child = self.children[host]
        child.wait_for(lambda: self.admin(host, "/healthz")[0] == 200, START_TIMEOUT_S)

    def wait_version(self, host: str, version: int, timeout_s: float = 5.0) -> None:
        """Wait until a host has applied the manifest version or a later one."""

        def applied() -> bool:
            status, data = self.admin(host, "/v1/manifest")
            return status == 200 and int(data.get("version", 0)) >= version

        eventually(applied, timeout_s, f"manifest {version} in force on {host}")

    def wait_lookup(self, host: str, service: str, timeout_s: float = 15.0) -> None:
        """Wait until a host answers look-ups for a service."""
        path = f"/v1/lookup?service={service}"

        def answers() -> bool:
            try:
                return http_json("GET", self.entries[host], path)[0] == 200
            except OSError:
                return False

        eventually(answers, timeout_s, f"look-up for {service} on {host}")

    def write_manifest(self) -> Path:
        """Write the manifest to a file for the command-line tool."""
        path = self.folder / "manifest.json"
        path.write_bytes(msgspec.json.encode(self.manifest))
        return path

    def admin(
        self, host: str, path: str, data: object = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """GET, or POST `data`, on a host's admin address; status 0: no answer."""
        method = "GET" if data is None else "POST"
        address = self.settings[host]["admin_address"]
        try:
            return http_json(method, address, path, data, timeout_s)
        except (OSError, http.client.HTTPException):
            return 0, {}

    def commit(
        self, manifest: Data, base_version: int, commit_id: str, host: str = ""
    ) -> tuple[int, Any]:
        """Commit a manifest on a host's admin address; return the answer."""
        text = msgspec.json.encode(manifest).decode()
        data = {"text": text, "base_version": base_version, "commit_id": commit_id}
        return self.admin(host or next(iter(self.hosts)), "/v1/manifest", data, 15.0)

    def list_upstreams(self, leaving: Collection[str] = ()) -> None:
        """Set the platform's list: all upstreams, those of `leaving` terminating."""
        endpoints = []
        for service in self.manifest["services"]:
            for upstream in service["upstreams"]:
                ip, _, port = upstream["address"].rpartition(":")
                state = {"serving": True, "terminating": upstream["name"] in leaving}
                endpoints.append({"address": ip, "port": int(port), **state})
        self.table_fault(endpoints=endpoints)

    def table_fault(self, **faults: object) -> None:
        """Switch faults of the table service, as its stand-in names them."""
        status, answer = http_json("POST", self.table, "/_control", faults)
        assert status == 200, answer

    def table_counts(self) -> Data:
        """Return how often each operation of the table service was called."""
        data: Data = http_json("GET", self.table, "/_counts")[1]
        return data

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.children[name].send(signal.SIGKILL)
        self.children[name].process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.children[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a suspended process continue."""
        self.children[name].send(signal.SIGCONT)

    def stop(self, name: str, timeout_s: float = 30.0) -> float:
        """Send SIGTERM; return the seconds until the process ended."""
        start = time.monotonic()
        self.children[name].send(signal.SIGTERM)
        self.children[name].process.wait(timeout_s)
        return time.monotonic() - start

    def control(self, upstream: str, **changes: object) -> None:
        """Change an upstream's settings; `*` names all."""
        for address in self.controls.values():
            names = http_json("GET", address, "/counts")[1]["upstreams"]
            if upstream == "*" or upstream in names:
                http_json("POST", address, "/control", {upstream: changes})

    def counts(self) -> Data:
        """Return the counts of all upstreams and groups (regions)."""
        merged: Data = {"upstreams": {}, "groups": {}}
        for address in self.controls.values():
            part = http_json("GET", address, "/counts", timeout_s=20)[1]
            for field in merged:
                merged[field].update(part[field])
        return merged

    def ledger(self) -> dict[str, list[Data]]:
        """Return the runs of each ledger id over all upstreams."""
        merged: dict[str, list[Data]] = {}
        for address in self.controls.values():
            part = http_json("GET", address, "/ledger", timeout_s=20)[1]
            for ledger_id, runs in part.items():
                merged.setdefault(ledger_id, []).extend(runs)
        return merged

    def held(self, hosts: Collection[str]) -> dict[str, list[str]]:
        """Return the shards that each of the hosts holds."""
        views = {host: self.admin(host, "/v1/status")[1] for host in hosts}
        return {host: view.get("shards", []) for host, view in views.items()}

    def wait_taken_over(self, host: str, timeout_s: float = 15.0) -> None:
        """Wait until another host holds the shard of a host."""
        others = [name for name in self.hosts if name != host]

        def taken() -> bool:
            return any(host in shards for shards in self.held(others).values())

        eventually(taken, timeout_s, f"takeover of {host}")

    def wait_runs(self, count: int, timeout_s: float = 15.0) -> None:
        """Wait until the upstreams' ledger has so many ids."""
        eventually(lambda: len(self.ledger()) >= count, timeout_s, f"{count} runs")

    def fault(self, name: str, **rule: object) -> None:
        """Set a rule of the fault proxy; without a rule, remove it."""
        http_json("POST", self.proxy, "/rules", {name: rule or None})

    def links(self) -> Data:
        """Return the proxy's byte counts by ordered pair of regions."""
        data: Data = http_json("GET", self.proxy, "/counts")[1]
        return data

    def start_caller(self, name: str, **plan: object) -> Child:
        """Start the load tool; `entries` and `seed` default to the cluster's."""
        records = str(self.folder / f"{name}.jsonl")
        defaults = {"entries": list(self.entries.values()), "seed": self.seed}
        plan = {**defaults, "records": records, **plan}
        path = self.folder / f"{name}-plan.json"
        path.write_bytes(msgspec.json.encode(plan))
        return self.spawn(name, "tests.standins.caller", path)

    def result(self, name: str, timeout_s: float = 120.0) -> Data:
        """Wait for a load tool to end; return its result."""
        child = self.children[name]
        child.process.wait(timeout_s)
        return child.first_line(1.0)

    def records(self, name: str) -> list[Data]:
        """Return what a load tool recorded of each request."""
        lines = (self.folder / f"{name}.jsonl").read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def logs(self) -> dict[str, str]:
        """Return what each process wrote to its log."""
        return {
            name: child.log.read_text(errors="replace")
            for name, child in self.children.items()
        }
