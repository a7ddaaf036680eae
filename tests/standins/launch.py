"""Starts the stand-ins as processes and controls them."""

from __future__ import annotations

import tempfile
from collections.abc import Collection
from pathlib import Path
from typing import Any, Final

import msgspec

from ..httpcalls import http_json
from ..manifests import Data, all_upstreams
from ..processes import Child, ProcessGroup, loopback_ip

TABLE_MODULE: Final = "tests.standins.table_service"


class TableService:
    """A process of the table service, as a context manager."""

    def __init__(self, *arguments: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self._child = Child("table", TABLE_MODULE, list(arguments), folder)
        self._address = f"127.0.0.1:{self._child.first_line()['port']}"
        self.url = f"http://{self._address}"

    def __enter__(self) -> TableService:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._child.kill()
        self._folder.cleanup()

    def set_faults(self, **faults: Any) -> None:
        """Set faults, or with `endpoints` the list of upstreams."""
        status, response = http_json("POST", self._address, "/_control", faults)
        assert status == 200, response

    def counts(self) -> dict[str, int]:
        """Return how often each operation and error occurred."""
        counts: dict[str, int] = http_json("GET", self._address, "/_counts")[1]
        return counts

    def endpoint_slices(self) -> Data:
        """Return the platform's list of upstreams."""
        slices: Data = http_json("GET", self._address, "/endpointslices")[1]
        return slices


class StandIns(ProcessGroup):
    """The table service, upstreams, fault proxy and callers of one test."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        super().__init__(folder)
        self.seed = seed
        self.ip = loopback_ip()
        # Control addresses of the upstream processes, keyed by group.
        self.control_addresses: dict[str, str] = {}
        self.proxy_control_address = ""  # empty if there is no fault proxy
        self.table_address = ""
        self.entries: dict[str, str] = {}  # addresses for callers, by host

    def start_table(self) -> None:
        """Start the table service."""
        child = self.spawn("table", TABLE_MODULE)
        self.table_address = f"127.0.0.1:{child.first_line()['port']}"

    def start_upstreams(self, groups: dict[str, list[Data]]) -> dict[str, str]:
        """Start one process per group; return the upstreams' addresses."""
        for group, upstreams in groups.items():
            specs = [{**upstream, "group": group} for upstream in upstreams]
            self._spawn_configured(f"upstreams-{group}", "upstream", specs)
        addresses: dict[str, str] = {}
        for group in groups:
            self.control_addresses[group], ports = self._wait_listening(
                f"upstreams-{group}"
            )
            addresses |= ports
        return addresses

    def start_proxy(self, listeners: list[Data], links: list[Data]) -> dict[str, str]:
        """Start the fault proxy; return the listeners' addresses."""
        plan = {"listeners": listeners, "links": links}
        self._spawn_configured("proxy", "fault_proxy", plan)
        self.proxy_control_address, addresses = self._wait_listening("proxy")
        return addresses

    def _spawn_configured(self, name: str, kind: str, config: object) -> None:
        path = self.write_json(name, config)
        args = ("--host", self.ip, "--config", path, "--seed", self.seed)
        self.spawn(name, f"tests.standins.{kind}", *args)

    def _wait_listening(self, name: str) -> tuple[str, dict[str, str]]:
        """Return a process's control address and its addresses by name."""
        line = self.children[name].first_line()
        addresses = {
            listener: f"{self.ip}:{port}" for listener, port in line["ports"].items()
        }
        return f"{self.ip}:{line['control']}", addresses

    def set_table_faults(self, **faults: object) -> None:
        """Set faults of the table service; see `table_service.Faults`."""
        status, response = http_json("POST", self.table_address, "/_control", faults)
        assert status == 200, response

    def table_counts(self) -> Data:
        """Return how often each operation and error of the table occurred."""
        data: Data = http_json("GET", self.table_address, "/_counts")[1]
        return data

    def list_endpoints(self, manifest: Data, leaving: Collection[str] = ()) -> None:
        """Set the platform's list; upstreams in `leaving` are terminating."""
        endpoints = []
        for upstream in all_upstreams(manifest):
            ip, _, port = upstream["address"].rpartition(":")
            state = {"serving": True, "terminating": upstream["name"] in leaving}
            endpoints.append({"address": ip, "port": int(port), **state})
        self.set_table_faults(endpoints=endpoints)

    def control_upstream(self, upstream: str, **changes: object) -> None:
        """Change settings of one upstream, or with `*` of all upstreams.

        The settings are those of `upstream.DEFAULT_SETTINGS`; `drain` and
        `crash` start an action.
        """
        for address in self.control_addresses.values():
            names = http_json("GET", address, "/counts")[1]["upstreams"]
            if upstream == "*" or upstream in names:
                change = {upstream: changes}
                status, response = http_json("POST", address, "/control", change)
                assert status == 200, response

    def counts(self) -> Data:
        """Return the counts of all upstreams and groups (regions)."""
        merged: Data = {"upstreams": {}, "groups": {}}
        for address in self.control_addresses.values():
            report = http_json("GET", address, "/counts", timeout_s=20)[1]
            for field in merged:
                merged[field].update(report[field])
        return merged

    def ledger(self) -> dict[str, list[Data]]:
        """Return the runs of each ledger id over all upstreams."""
        merged: dict[str, list[Data]] = {}
        for address in self.control_addresses.values():
            report = http_json("GET", address, "/ledger", timeout_s=20)[1]
            for ledger_id, runs in report.items():
                merged.setdefault(ledger_id, []).extend(runs)
        return merged

    def set_proxy_rule(self, name: str, **rule: object) -> None:
        """Set a rule of the fault proxy, or remove it if `rule` is empty."""
        status, response = http_json(
            "POST", self.proxy_control_address, "/rules", {name: rule or None}
        )
        assert status == 200, response

    def proxy_counts(self) -> Data:
        """Return the proxy's connections, faults and bytes by region pair."""
        try:
            data: Data = http_json("GET", self.proxy_control_address, "/counts")[1]
        except OSError:
            self.children["proxy"].print_stack()
            raise
        return data

    def start_caller(self, name: str, **plan: object) -> Child:
        """Start a load tool with a `caller.Plan`.

        By default, it uses the entry addresses and the seed of this test.
        """
        records = str(self.folder / f"{name}.jsonl")
        defaults = {"entries": list(self.entries.values()), "seed": self.seed}
        plan = {**defaults, "records": records, **plan}
        path = self.write_json(f"{name}-plan", plan)
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
