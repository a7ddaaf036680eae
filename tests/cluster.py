"""Starts the stand-ins and the daemons of a manifest, for tests and the demo.

A `Cluster` takes a manifest as plain data, replaces its addresses by free
loopback ports, starts the processes, and ends all of them when it is closed or
when the test process ends. This module also exports helpers that most users of
`Cluster` need.
"""

from __future__ import annotations

import copy
import http.client
from collections.abc import Collection
from pathlib import Path
from typing import Any

import msgspec

from .httpcalls import http_json
from .manifests import (
    ADDRESS_FIELDS,
    Data,
    all_upstreams,
    load_example,
    small_manifest,
)
from .processes import ROOT, START_TIMEOUT_S, Child, eventually, free_port, loopback_ip
from .standins.launch import StandIns
from .violations import find_violations

__all__ = [
    "ROOT",
    "Child",
    "Cluster",
    "Data",
    "eventually",
    "find_violations",
    "free_port",
    "http_json",
    "load_example",
    "small_manifest",
]


class Cluster(StandIns):
    """The stand-ins and daemons of one test, as a context manager."""

    def __init__(
        self,
        folder: Path,
        manifest: Data,
        settings: dict[str, Data] | None = None,
        proxied: Collection[str] = (),
        seed: int = 1,
    ) -> None:
        """Prepare the cluster; `start` starts it.

        `proxied` gives the kinds of addresses that are reached through the
        fault proxy: `relay`, `peer`, `upstream` and `table`.
        """
        super().__init__(folder, seed)
        self.proxied = frozenset(proxied)
        self.manifest = copy.deepcopy(manifest)
        self.settings = copy.deepcopy(settings or {})
        # Regions, keyed by failure domain.
        self.region_by_domain = {
            domain: region["name"]
            for region in manifest["regions"]
            for domain in region["failure_domains"]
        }
        # The manifest's hosts and their loopback addresses, keyed by name.
        self.hosts: dict[str, Data] = {h["name"]: h for h in self.manifest["hosts"]}
        self.host_ips: dict[str, str] = {}

    def start(self, commit: bool = True) -> None:
        """Start all processes and, by default, commit the manifest.

        Return once the manifest is active on all hosts.
        """
        self.start_stand_ins()
        self.list_upstreams()
        self.write_settings()
        for host in self.hosts:
            self.start_daemon(host, wait=False)
        for host in self.hosts:
            self.wait_daemon(host)
        if commit:
            status, response = self.commit(self.manifest, 0, "first")
            assert status == 200, response
            for host in self.hosts:
                self.wait_version(host, 1)
            self.wait_active(1)

    def start_stand_ins(self) -> None:
        """Start the table service, the upstreams by region and the proxy."""
        self.start_table()
        listeners = self._place_upstreams() + self._place_hosts()
        if not self.proxied:
            return
        addresses = self.start_proxy(listeners, self.manifest["links"])
        for upstream in all_upstreams(self.manifest):
            if "upstream" in self.proxied:
                upstream["address"] = addresses[upstream["name"]]
        for name, host in self.hosts.items():
            for field in ADDRESS_FIELDS:
                host[field] = addresses.get(f"{field}:{name}", host[field])
            table = addresses.get(f"table:{name}", self.table_address)
            self.settings[name]["table_url"] = f"http://{table}"

    def _place_upstreams(self) -> list[Data]:
        """Start the upstreams of each region; return the proxy's listeners."""
        groups: dict[str, list[Data]] = {}
        for upstream in all_upstreams(self.manifest):
            region = self.region_by_domain[upstream["failure_domain"]]
            groups.setdefault(region, []).append(upstream)
        addresses = self.start_upstreams(groups)
        listeners = []
        for region, upstreams in groups.items():
            for upstream in upstreams:
                name = upstream["name"]
                upstream["address"] = addresses[name]
                spec = {"name": name, "target": addresses[name], "to": name}
                listeners.append({**spec, "to_region": region, "from_region": region})
        return listeners if "upstream" in self.proxied else []

    def _place_hosts(self) -> list[Data]:
        """Assign addresses to the hosts; return the proxy's listeners."""
        listeners = []
        for index, (name, host) in enumerate(self.hosts.items(), start=1):
            region = self.region_by_domain[host["failure_domain"]]
            ip = self.host_ips[name] = loopback_ip(index)
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
                "table_url": f"http://{self.table_address}",
                "platform_list_url": f"http://{self.table_address}/endpointslices",
            }
            listeners += self._host_listeners(name, region)
        return listeners

    def _host_listeners(self, name: str, region: str) -> list[Data]:
        """Return the proxy's listeners for traffic to or from one host."""
        table_region = next(iter(self.region_by_domain.values()))
        destination = {"to": name, "to_region": region}
        specs: dict[str, Data] = {
            # Other daemons connect to these; the proxy distinguishes them by
            # their source addresses.
            "relay": destination,
            "peer": destination,
            "table": {
                "to": "table",
                "to_region": table_region,
                "from": name,
                "from_region": region,
            },
        }
        targets = {**self.hosts[name], "table": self.table_address}
        return [
            {"name": f"{kind}:{name}", "target": targets[kind], **spec}
            for kind, spec in specs.items()
            if kind in self.proxied
        ]

    def write_settings(self) -> None:
        """Write the hosts' settings files, with all other hosts as seeds."""
        for name, settings in self.settings.items():
            settings["seeds"] = [
                host["peer"] for other, host in self.hosts.items() if other != name
            ]
            self.write_json(name, settings)

    def start_daemon(self, host: str, wait: bool = True) -> Child:
        """Start the daemon of a host, for the first time or after it ended."""
        path = self.folder / f"{host}.json"
        child = self.spawn(host, "samphirebend.daemon", path)
        if self.proxy_control_address:
            origin = {"name": host, "region": self.settings[host]["region"]}
            http_json(
                "POST",
                self.proxy_control_address,
                "/origins",
                {self.host_ips[host]: origin},
            )
        if wait:
            self.wait_daemon(host)
        return child

    def admin(
        self, host: str, path: str, data: object = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """GET, or POST `data`, on a host's admin address.

        The status is 0 if there is no response.
        """
        method = "GET" if data is None else "POST"
        address = self.settings[host]["admin_address"]
        try:
            return http_json(method, address, path, data, timeout_s)
        except (OSError, http.client.HTTPException):
            return 0, {}

    def commit(
        self, manifest: Data, base_version: int, commit_id: str, host: str = ""
    ) -> tuple[int, Any]:
        """Commit a manifest on a host, by default on the first one.

        Return the status and the response.
        """
        text = msgspec.json.encode(manifest).decode()
        data = {"text": text, "base_version": base_version, "commit_id": commit_id}
        return self.admin(host or next(iter(self.hosts)), "/v1/manifest", data, 15.0)

    def list_upstreams(self, leaving: Collection[str] = ()) -> None:
        """Set the platform's list; upstreams in `leaving` are terminating."""
        self.list_endpoints(self.manifest, leaving)

    def held_shards(self, hosts: Collection[str]) -> dict[str, list[str]]:
        """Return the shards that each of the hosts holds."""
        views = {host: self.admin(host, "/v1/status")[1] for host in hosts}
        return {host: view.get("shards", []) for host, view in views.items()}

    def wait_daemon(self, host: str) -> None:
        """Wait until the daemon of a host responds to health checks."""
        child = self.children[host]
        child.wait_for(lambda: self.admin(host, "/healthz")[0] == 200, START_TIMEOUT_S)

    def wait_version(self, host: str, version: int, timeout_s: float = 5.0) -> None:
        """Wait until a host has applied a manifest version or a later one."""

        def applied() -> bool:
            status, data = self.admin(host, "/v1/manifest")
            return status == 200 and int(data.get("version", 0)) >= version

        eventually(applied, timeout_s, f"manifest {version} applied on {host}")

    def wait_active(self, version: int, timeout_s: float = 10.0) -> None:
        """Wait until every running host may use all its slots of a version."""

        def active() -> bool:
            running = [name for name in self.hosts if self.children[name].running()]
            rows = [self.admin(name, "/v1/status")[1] for name in running]
            return all(
                row["active_version"] >= version and row["shards"] for row in rows
            )

        eventually(active, timeout_s, f"manifest {version} active on every host")

    def wait_lookup(self, host: str, service: str, timeout_s: float = 15.0) -> None:
        """Wait until a host serves look-ups of a service."""
        path = f"/v1/lookup?service={service}"

        def responds() -> bool:
            try:
                return http_json("GET", self.entries[host], path)[0] == 200
            except OSError:
                return False

        eventually(responds, timeout_s, f"look-up of {service} on {host}")

    def wait_lookups(self) -> None:
        """Wait until every host serves look-ups of every service."""
        for host in self.hosts:
            for service in self.manifest["services"]:
                self.wait_lookup(host, service["name"])

    def wait_takeover(self, host: str, timeout_s: float = 15.0) -> None:
        """Wait until another host holds the shard of a host."""
        others = [name for name in self.hosts if name != host]

        def taken() -> bool:
            return any(host in shards for shards in self.held_shards(others).values())

        eventually(taken, timeout_s, f"takeover of {host}")

    def wait_runs(self, count: int, timeout_s: float = 15.0) -> None:
        """Wait until the upstreams recorded runs of at least `count` ids."""
        eventually(lambda: len(self.ledger()) >= count, timeout_s, f"{count} runs")
