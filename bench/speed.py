"""Measures a daemon's added latency, look-ups, requests, manifests and memory.

`python -m bench.speed` starts real daemons and minimal load generators on
loopback, and prints one line per result with its baseline.
"""

from __future__ import annotations

import copy
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from tests.cluster import Child, Data, eventually

from .harness import (
    BenchCluster,
    cpu_s,
    format_range,
    large_manifest,
    load_note,
    resident_mb,
)

REPEATS: Final = 3
CLOSED_S: Final = 2.0  # duration of a closed-loop measurement
OPEN_S: Final = 4.0  # duration of an open-loop measurement
GENERATORS: Final = 2  # load generators of a closed-loop measurement
LOOKUP: Final = "/v1/lookup?service=read"
REQUEST: Final = "/v1/services/read/item"


def closed_loop(
    cluster: BenchCluster, addresses: list[str], target: str
) -> tuple[float, float]:
    """Return the responses per second of wall time and of processor time.

    The processor time is that of the first daemon.
    """
    daemon = cluster.children[next(iter(cluster.hosts))]
    before = cpu_s(daemon.pid)
    senders = [
        cluster.send(
            f"send{i}-{time.monotonic_ns()}", address, target, seconds=CLOSED_S
        )
        for i, address in enumerate(addresses)
    ]
    results = [cluster.load_result(sender) for sender in senders]
    used_s = cpu_s(daemon.pid) - before
    errors = sum(result["errors"] for result in results)
    if errors:
        print(f"  {errors:.0f} answers were errors")
    per_s = sum(result["per_s"] for result in results)
    return per_s, sum(result["answers"] for result in results) / max(used_s, 0.01)


def open_loop(
    cluster: BenchCluster, address: str, target: str, rate: float
) -> dict[str, float]:
    """Send at random times with an average rate; return the results."""
    name = f"open-{time.monotonic_ns()}"
    fields: Data = {"seconds": OPEN_S, "rate": rate, "connections": 64}
    return cluster.load_result(cluster.send(name, address, target, **fields))


def print_rates(cluster: BenchCluster) -> float:
    """Print look-ups and requests per second; return the latter."""
    entry = next(iter(cluster.entries.values()))
    upstream = cluster.manifest["services"][0]["upstreams"][0]["address"]
    direct = [closed_loop(cluster, [upstream] * GENERATORS, "/item")[0]]
    print(f"upstream called directly: {direct[0]:.0f} requests/s")
    capacity = 0.0
    for name, target in (("look-ups", LOOKUP), ("requests", REQUEST)):
        pairs = [
            closed_loop(cluster, [entry] * GENERATORS, target) for _ in range(REPEATS)
        ]
        capacity = sorted(wall for wall, _ in pairs)[REPEATS // 2]
        wall = format_range([wall for wall, _ in pairs], f"{name}/s", 0)
        core = format_range([core for _, core in pairs], "per core second", 0)
        print(f"one daemon, {name}: {wall}; {core}")
    return capacity


def print_added_time(cluster: BenchCluster, capacity: float) -> None:
    """Print the latency that an entry host adds to a direct call."""
    entry = next(iter(cluster.entries.values()))
    upstream = cluster.manifest["services"][0]["upstreams"][0]["address"]
    for percent in (10, 80):
        rate = capacity * percent / 100
        added: dict[str, list[float]] = {"p50_ms": [], "p99_ms": []}
        base: dict[str, list[float]] = {"p50_ms": [], "p99_ms": []}
        for _ in range(REPEATS):
            direct = open_loop(cluster, upstream, "/item", rate)
            through = open_loop(cluster, entry, REQUEST, rate)
            for field, values in added.items():
                values.append(through[field] - direct[field])
                base[field].append(direct[field])
        for field, values in added.items():
            name = field.removesuffix("_ms")
            direct_ms = format_range(base[field], "ms", 2)
            print(
                f"added at {percent}% of capacity ({rate:.0f}/s), {name}: "
                f"{format_range(values, 'ms', 2)}; direct {direct_ms}"
            )


def commit_and_wait(cluster: BenchCluster, manifest: Data, base: int) -> float:
    """Commit a manifest; return the seconds until all hosts applied it."""
    start = time.monotonic()
    status, response = cluster.commit(manifest, base, f"bench-{base}")
    assert status == 200, response
    for host in cluster.hosts:
        cluster.wait_version(host, base + 1, 30.0)
    return time.monotonic() - start


def print_manifests(cluster: BenchCluster) -> None:
    """Print the time to apply manifests, the event loop lag and the memory."""
    daemon = cluster.children[next(iter(cluster.hosts))]
    upstreams = sum(len(s["upstreams"]) for s in cluster.manifest["services"])
    version = 1
    small = []
    for _ in range(REPEATS):
        small.append(commit_and_wait(cluster, cluster.manifest, version) * 1000)
        version += 1
    rest = resident_mb(daemon.pid)
    print(
        f"commit in force on all hosts, {upstreams} upstreams: "
        f"{format_range(small, 'ms', 0)}; "
        f"loop blocked at most {max_lag_ms(cluster):.0f} ms"
    )
    print(f"resident memory at rest: {rest:.1f} MB; {bare_interpreter(cluster)}")
    for blocks in (50_000, 100_000):
        manifest = enlarged_manifest(cluster, blocks)
        times = []
        before = cpu_s(daemon.pid)
        for _ in range(REPEATS):
            times.append(commit_and_wait(cluster, manifest, version) * 1000)
            version += 1
        used_s = (cpu_s(daemon.pid) - before) / REPEATS
        grown = resident_mb(daemon.pid) - rest
        print(
            f"commit in force on all hosts, 1,200 sites, {blocks} blocks: "
            f"{format_range(times, 'ms', 0)}, {used_s:.2f} s of processor time; "
            f"loop blocked at most {max_lag_ms(cluster):.0f} ms; "
            f"resident memory +{grown:.1f} MB, "
            f"{grown / blocks * 1e6:.0f} KB per 1,000 blocks"
        )


def max_lag_ms(cluster: BenchCluster) -> float:
    """Return the maximum event loop lag of all daemons in the last minute."""
    return max(cluster.loop_lag_ms(host) for host in cluster.hosts)


def enlarged_manifest(cluster: BenchCluster, blocks: int) -> Data:
    """Return the manifest with 1,200 more sites in 34 more regions."""
    large = large_manifest(68, 1200, blocks, regions=34)
    merged = copy.deepcopy(cluster.manifest)
    own = cluster.manifest["regions"][0]["name"]
    merged["regions"] += large["regions"]
    merged["links"] = large["links"] + [
        {"between": [own, region["name"]], "mbit_per_s": 1000, "delay_ms": 20}
        for region in large["regions"]
    ]
    merged["hosts"] += large["hosts"]
    merged["services"] += large["services"]
    merged["caller_blocks"] = large["caller_blocks"]
    return merged


def bare_interpreter(cluster: BenchCluster) -> str:
    """Measure the memory of an interpreter that runs an idle event loop."""
    child: Child = cluster.spawn("bare", "bench.bare")
    child.first_line()
    before = cpu_s(child.pid)
    time.sleep(2.0)
    used = (cpu_s(child.pid) - before) / 2.0
    text = f"{resident_mb(child.pid):.1f} MB with the same libraries, nothing running"
    cluster.kill("bare")
    return f"{text}, {used:.1%} of a core"


def idle_cost(cluster: BenchCluster, seconds: float = 4.0) -> str:
    """Measure the processor time of each daemon without requests."""
    pids: list[Any] = [cluster.children[host].pid for host in cluster.hosts]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(seconds)
    used = [
        (cpu_s(pid) - start) / seconds * 100
        for pid, start in zip(pids, before, strict=True)
    ]
    return format_range(used, "% of a core")


def main() -> None:
    """Print all results."""
    print(f"speed: {load_note()}")
    with tempfile.TemporaryDirectory() as folder, BenchCluster(Path(folder)) as cluster:
        cluster.start()
        host = next(iter(cluster.hosts))
        cluster.wait_lookup(host, "read")
        eventually(
            lambda: cluster.admin(host, "/v1/status")[1]["shards"], 10.0, "a shard held"
        )
        print(f"idle daemon, 3 hosts, 36 upstreams: {idle_cost(cluster)}")
        capacity = print_rates(cluster)
        print_added_time(cluster, capacity)
        print_manifests(cluster)
    print(f"speed: {load_note()}")


if __name__ == "__main__":
    main()
