"""Shared benchmark code: clusters, large manifests, cost measurement."""

from __future__ import annotations

import itertools
import os
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec

from tests.cluster import Child, Cluster, Data, http_json, small_manifest

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
MB: Final = 1_000_000
MIN_MEASUREMENT_S: Final = 0.05  # processor time spent on repeats of a call
MEASUREMENT_REPEATS: Final = 3  # repeats of measurements of a call
REPEATS: Final = 3  # repeats of measurements that use processes or take long


def load_note() -> str:
    """Describe the machine's load, to be printed with the results."""
    return f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores"


def format_range(values: list[float], unit: str, digits: int = 1) -> str:
    """Format the median and the range of repeated measurements."""
    low, high = min(values), max(values)
    median = statistics.median(values)
    return f"{median:.{digits}f} {unit} ({low:.{digits}f} to {high:.{digits}f})"


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / MB


def format_cost_us(work: Callable[..., object], *arguments: object) -> str:
    """Measure the processor time of one call and format it."""
    return format_range(measure_costs_us(work, *arguments), "us")


def measure_costs_us(work: Callable[..., object], *arguments: object) -> list[float]:
    """Measure the processor time of one call repeatedly, in microseconds."""
    work(*arguments)
    costs = []
    for _ in range(MEASUREMENT_REPEATS):
        calls = 0
        start = time.process_time()
        while time.process_time() - start < MIN_MEASUREMENT_S:
            work(*arguments)
            calls += 1
        costs.append((time.process_time() - start) / calls * 1e6)
    return costs


def prefix(index: int) -> str:
    """Return the prefix of a caller block; all prefixes are disjoint."""
    return f"{20 + (index >> 16)}.{index >> 8 & 255}.{index & 255}.0/24"


def large_manifest(
    hosts: int,
    sites: int,
    blocks: int,
    regions: int = 35,
    services: int = 3,
    compact: bool = True,
) -> Data:
    """Return a manifest of a given size with unused addresses."""
    domains = [[f"r{r}-{d}" for d in range(3)] for r in range(regions)]
    names = [f"r{r}" for r in range(regions)]
    pairs = itertools.combinations(names, 2)
    prefixes = [prefix(i) for i in range(blocks)]
    return {
        "format": 1,
        "organisation": "bench",
        "measure": "latency",
        "regions": [
            {"name": n, "max_in_flight": 100_000, "failure_domains": d}
            for n, d in zip(names, domains, strict=True)
        ],
        "links": [
            {"between": list(p), "mbit_per_s": 1000, "delay_ms": 20} for p in pairs
        ],
        "hosts": [
            {
                "name": f"host{i:04d}",
                "failure_domain": domains[i % regions][i % 3],
                **{
                    field: f"127.{i >> 8 & 255}.{i & 255}.9:{9000 + offset}"
                    for offset, field in enumerate(("entry", "relay", "peer", "admin"))
                },
            }
            for i in range(hosts)
        ],
        "services": [
            {
                "name": f"service{s}",
                "idempotent": True,
                "timeout_ms": 1000,
                "max_body_bytes": 1000,
                "upstreams": [
                    {
                        "name": f"site{i}",
                        "failure_domain": domains[i % regions][i % 3],
                        "address": f"127.{i >> 8 & 255}.{i & 255}.8:9000",
                        "slots": 3,
                        "connections": 300,
                    }
                    for i in range(s, sites, services)
                ],
            }
            for s in range(services)
        ],
        "caller_blocks": _caller_blocks(prefixes, names, compact),
    }


def _caller_blocks(prefixes: list[str], names: list[str], compact: bool) -> list[Data]:
    count = len(names)
    if compact:
        return [
            {"prefixes": " ".join(prefixes[i::count]), "region": name}
            for i, name in enumerate(names)
            if prefixes[i::count]
        ]
    return [
        {"prefix": text, "region": names[i % count]} for i, text in enumerate(prefixes)
    ]


class BenchCluster(Cluster):
    """Real daemons of one region, with minimal upstreams (`bench.load`)."""

    def __init__(self, folder: Path, hosts: int = 3, work_ms: float = 1.0) -> None:
        manifest = small_manifest({"r": hosts}, upstreams=12, slots=100, cap=10_000)
        manifest["measure"] = "latency"
        super().__init__(folder, manifest)
        self.work_ms = work_ms

    def __enter__(self) -> BenchCluster:
        return self

    def _place_upstreams(self) -> list[Data]:
        upstreams = [u for s in self.manifest["services"] for u in s["upstreams"]]
        args = ("upstream", len(upstreams), self.work_ms, self.ip)
        child = self.spawn("upstreams", "bench.load", *args)
        ports: Any = child.first_line()["ports"]
        for upstream, port in zip(upstreams, ports, strict=True):
            upstream["address"] = f"{self.ip}:{port}"
        return []

    def send(self, name: str, address: str, target: str, **plan: object) -> Child:
        """Start a load generator."""
        fields = {"address": address, "target": target, **plan}
        return self.spawn(
            name, "bench.load", "send", msgspec.json.encode(fields).decode()
        )

    def load_result(self, child: Child) -> dict[str, float]:
        """Wait until a load generator ends; return its results."""
        child.process.wait(60)
        line: dict[str, float] = child.first_line(1.0)
        return line

    def loop_lag_ms(self, host: str) -> float:
        """Return a daemon's maximum event loop lag of the last minute."""
        text = http_json("GET", self.settings[host]["admin_address"], "/metrics")[1]
        for line in text.decode().splitlines():
            if line.startswith("samphirebend_event_loop_lag_max_seconds"):
                return float(line.rpartition(" ")[2]) * 1000
        raise AssertionError(f"{host}: no event loop lag in the metrics")
