"""Measures one daemon: added time, look-ups, requests, manifests, memory.

`python -m bench.speed` starts real daemons and raw load generators on
loopback, and prints one line for each figure with its baseline.
"""

from __future__ import annotations

import copy
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from tests.cluster import Child, Data, eventually

from .lab import Lab, cpu_s, large_manifest, load_note, resident_mb, spread_of

REPEATS: Final = 3
CLOSED_S: Final = 2.0
OPEN_S: Final = 4.0
GENERATORS: Final = 2
LOOKUP: Final = "/v1/lookup?service=read"
REQUEST: Final = "/v1/services/read/item"


def closed_loop(lab: Lab, addresses: list[str], target: str) -> tuple[float, float]:
    """Return the answers per second of wall time and of the daemon's processor time."""
    daemon = lab.children[next(iter(lab.hosts))]
    before = cpu_s(daemon.pid)
    senders = [
        lab.send(f"send{i}-{time.monotonic_ns()}", address, target, seconds=CLOSED_S)
        for i, address in enumerate(addresses)
    ]
    results = [lab.answers(sender) for sender in senders]
    used_s = cpu_s(daemon.pid) - before
    errors = sum(result["errors"] for result in results)
    if errors:
        print(f"  {errors:.0f} answers were errors")
    per_s = sum(result["per_s"] for result in results)
    return per_s, sum(result["answers"] for result in results) / max(used_s, 0.01)


def open_loop(lab: Lab, address: str, target: str, rate: float) -> dict[str, float]:
    """Send at random times with an average rate; return the figures."""
    name = f"open-{time.monotonic_ns()}"
    fields: Data = {"seconds": OPEN_S, "rate": rate, "connections": 64}
    return lab.answers(lab.send(name, address, target, **fields))


def show_rates(lab: Lab) -> float:
    """Print look-ups and requests a second; return the capacity in requests."""
    entry = next(iter(lab.entries.values()))
    upstream = lab.manifest["services"][0]["upstreams"][0]["address"]
    direct = [closed_loop(lab, [upstream] * GENERATORS, "/item")[0]]
    print(f"upstream called directly: {direct[0]:.0f} requests/s")
    capacity = 0.0
    for name, target in (("look-ups", LOOKUP), ("requests", REQUEST)):
        pairs = [closed_loop(lab, [entry] * GENERATORS, target) for _ in range(REPEATS)]
        capacity = sorted(wall for wall, _ in pairs)[REPEATS // 2]
        wall = spread_of([wall for wall, _ in pairs], f"{name}/s", 0)
        core = spread_of([core for _, core in pairs], "per core second", 0)
        print(f"one daemon, {name}: {wall}; {core}")
    return capacity


def show_added_time(lab: Lab, capacity: float) -> None:
    """Print the time that an entry host adds to a direct call of the upstream."""
    entry = next(iter(lab.entries.values()))
    upstream = lab.manifest["services"][0]["upstreams"][0]["address"]
    for percent in (10, 80):
        rate = capacity * percent / 100
        added: dict[str, list[float]] = {"p50_ms": [], "p99_ms": []}
        base: dict[str, list[float]] = {"p50_ms": [], "p99_ms": []}
        for _ in range(REPEATS):
            direct = open_loop(lab, upstream, "/item", rate)
            through = open_loop(lab, entry, REQUEST, rate)
            for field, values in added.items():
                values.append(through[field] - direct[field])
                base[field].append(direct[field])
        for field, values in added.items():
            name = field.removesuffix("_ms")
            direct_ms = spread_of(base[field], "ms", 2)
            print(
                f"added at {percent}% of capacity ({rate:.0f}/s), {name}: "
                f"{spread_of(values, 'ms', 2)}; direct {direct_ms}"
            )


def commit_and_wait(lab: Lab, manifest: Data, base: int) -> float:
    """Commit a manifest; return the seconds until all hosts have applied it."""
    start = time.monotonic()
    status, answer = lab.commit(manifest, base, f"bench-{base}")
    assert status == 200, answer
    for host in lab.hosts:
        lab.wait_version(host, base + 1, 30.0)
    return time.monotonic() - start


def show_manifests(lab: Lab) -> None:
    """Print the time to apply manifests, the loop's lag and the memory."""
    daemon = lab.children[next(iter(lab.hosts))]
    upstreams = sum(len(s["upstreams"]) for s in lab.manifest["services"])
    version = 1
    small = []
    for _ in range(REPEATS):
        small.append(commit_and_wait(lab, lab.manifest, version) * 1000)
        version += 1
    rest = resident_mb(daemon.pid)
    print(
        f"commit in force on all hosts, {upstreams} upstreams: "
        f"{spread_of(small, 'ms', 0)}; loop blocked at most {lag(lab):.0f} ms"
    )
    print(f"resident memory at rest: {rest:.1f} MB; {bare_interpreter(lab)}")
    for blocks in (50_000, 100_000):
        manifest = with_size(lab, blocks)
        times = []
        before = cpu_s(daemon.pid)
        for _ in range(REPEATS):
            times.append(commit_and_wait(lab, manifest, version) * 1000)
            version += 1
        used_s = (cpu_s(daemon.pid) - before) / REPEATS
        grown = resident_mb(daemon.pid) - rest
        print(
            f"commit in force on all hosts, 1,200 sites, {blocks} blocks: "
            f"{spread_of(times, 'ms', 0)}, {used_s:.2f} s of processor time; "
            f"loop blocked at most {lag(lab):.0f} ms; resident memory +{grown:.1f} MB, "
            f"{grown / blocks * 1e6:.0f} KB per 1,000 blocks"
        )


def lag(lab: Lab) -> float:
    """Return the longest block of any daemon's loop in the last minute."""
    return max(lab.loop_lag_ms(host) for host in lab.hosts)


def with_size(lab: Lab, blocks: int) -> Data:
    """Return the lab's manifest with 1,200 more sites in 34 more regions."""
    large = large_manifest(68, 1200, blocks, regions=34)
    merged = copy.deepcopy(lab.manifest)
    own = lab.manifest["regions"][0]["name"]
    merged["regions"] += large["regions"]
    merged["links"] = large["links"] + [
        {"between": [own, region["name"]], "mbit_per_s": 1000, "delay_ms": 20}
        for region in large["regions"]
    ]
    merged["hosts"] += large["hosts"]
    merged["services"] += large["services"]
    merged["caller_blocks"] = large["caller_blocks"]
    return merged


def bare_interpreter(lab: Lab) -> str:
    """Return the memory of an interpreter that runs an empty event loop."""
    child: Child = lab.spawn("bare", "bench.bare")
    child.first_line()
    before = cpu_s(child.pid)
    time.sleep(2.0)
    used = (cpu_s(child.pid) - before) / 2.0
    text = f"{resident_mb(child.pid):.1f} MB with the same libraries, nothing running"
    lab.kill("bare")
    return f"{text}, {used:.1%} of a core"


def idle_cost(lab: Lab, seconds: float = 4.0) -> str:
    """Return the processor time of each daemon without requests."""
    pids: list[Any] = [lab.children[host].pid for host in lab.hosts]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(seconds)
    used = [
        (cpu_s(pid) - start) / seconds * 100
        for pid, start in zip(pids, before, strict=True)
    ]
    return spread_of(used, "% of a core")


def main() -> None:
    """Print all figures."""
    print(f"speed: {load_note()}")
    with tempfile.TemporaryDirectory() as folder, Lab(Path(folder)) as lab:
        lab.start()
        host = next(iter(lab.hosts))
        lab.wait_lookup(host, "read")
        eventually(
            lambda: lab.admin(host, "/v1/status")[1]["shards"], 10.0, "a shard held"
        )
        print(f"idle daemon, 3 hosts, 36 upstreams: {idle_cost(lab)}")
        capacity = show_rates(lab)
        show_added_time(lab, capacity)
        show_manifests(lab)
    print(f"speed: {load_note()}")


if __name__ == "__main__":
    main()
