"""Measures the cost of real processes by system size.

`bench.slopes` calls these functions, which measure daemons, calls of the table
service and the command-line tool.
"""

from __future__ import annotations

import copy
import resource
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

from tests.cluster import ROOT

from .fixtures import sized_manifests, text_of
from .harness import REPEATS, BenchCluster, cpu_s, format_range, resident_mb
from .speed import enlarged_manifest


def mesh() -> None:
    """Measure idle daemons by the number of peers."""
    for hosts in (7, 15, 30):
        with (
            tempfile.TemporaryDirectory() as folder,
            BenchCluster(Path(folder), hosts) as cluster,
        ):
            cluster.start()
            time.sleep(10.0)  # exclude the first leases and connections
            print(f"idle daemon, {hosts} hosts in a mesh: {measure_idle(cluster, 3.0)}")


def measure_idle(cluster: BenchCluster, seconds: float) -> str:
    """Measure the processor time and memory of idle daemons."""
    pids = [cluster.children[host].pid for host in cluster.hosts]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(seconds)
    used = [
        (cpu_s(pid) - start) / seconds * 100
        for pid, start in zip(pids, before, strict=True)
    ]
    memory = [resident_mb(pid) for pid in pids]
    return f"{format_range(used, '% of a core')}, resident {format_range(memory, 'MB')}"


def measurements() -> None:
    """Measure health polls of an idle daemon by the number of upstreams."""
    for per_service in (4, 40, 120):
        with (
            tempfile.TemporaryDirectory() as folder,
            BenchCluster(Path(folder), 2) as cluster,
        ):
            set_upstream_count(cluster, per_service)
            cluster.start()
            time.sleep(4.0)
            polled = per_service * 3 // 2
            print(
                f"idle daemon that polls {polled} upstreams: "
                f"{measure_idle(cluster, 4.0)}"
            )


def set_upstream_count(cluster: BenchCluster, per_service: int) -> None:
    """Set the number of upstreams of each service of a cluster."""
    for service in cluster.manifest["services"]:
        first = service["upstreams"][0]
        service["upstreams"] = [
            {**copy.deepcopy(first), "name": f"{service['name']}-{i}"}
            for i in range(per_service)
        ]


def store() -> None:
    """Measure calls of the table service by the number in flight."""
    with tempfile.TemporaryDirectory() as folder, BenchCluster(Path(folder)) as cluster:
        cluster.start_table()
        for in_flight in (1, 4, 16):
            args = (f"http://{cluster.table_address}", 600, in_flight)
            runs = []
            for repeat in range(REPEATS):
                name = f"store{in_flight}-{repeat}"
                child = cluster.spawn(name, "bench.storeload", *args)
                runs.append(cluster.load_result(child))
            print(
                f"table service, {in_flight} calls in flight, 1 of 8 a write: "
                f"{format_range([run['per_s'] for run in runs], 'calls/s', 0)}, "
                f"{format_range([run['cpu_us'] for run in runs], 'us', 0)} each"
            )


def tool() -> None:
    """Measure the command-line tool by the size of the manifest."""
    with tempfile.TemporaryDirectory() as folder, BenchCluster(Path(folder)) as cluster:
        cluster.start(commit=False)
        admin = cluster.settings[next(iter(cluster.hosts))]["admin_address"]
        sizes = ((7, 40, 0), (700, 1200, 20_000), (700, 1200, 100_000))
        for version, (size, data) in enumerate(sized_manifests(sizes)):
            path = Path(folder) / "m.json"
            path.write_text(text_of(data))
            check = [run_tool("check", str(path)) for _ in range(REPEATS)]
            # The manifest's hosts do not exist, so only the commit itself is
            # timed, not the time until they have applied it.
            base = ["--base", str(version), "--admin", admin, "--timeout", "30"]
            commit = run_tool("commit", str(path), *base)
            print(
                f"tool, {size}: check "
                f"{format_range([c[0] for c in check], 's', 2)}, processor "
                f"{format_range([c[1] for c in check], 's', 2)}; "
                f"commit {commit[0]:.2f} s"
            )


def run_tool(*arguments: str) -> tuple[float, float]:
    """Run the tool; return its wall time and processor time in seconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    start = time.monotonic()
    command = [sys.executable, "-m", "samphirebend.cli", *arguments]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr + done.stdout
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return time.monotonic() - start, used


def starts() -> None:
    """Measure a start with nothing on disk, by the size of the manifest."""
    with tempfile.TemporaryDirectory() as folder, BenchCluster(Path(folder)) as cluster:
        cluster.start()
        host = next(iter(cluster.hosts))
        version = 1
        for blocks in (0, 20_000, 100_000):
            manifest = (
                cluster.manifest if blocks == 0 else enlarged_manifest(cluster, blocks)
            )
            if blocks:
                status, response = cluster.commit(manifest, version, f"start-{blocks}")
                assert status == 200, response
                version += 1
                for name in cluster.hosts:
                    cluster.wait_version(name, version, 30.0)
            body = len(zlib.compress(text_of(manifest).encode()))
            applied, serves = [], []
            for _ in range(REPEATS):
                cluster.kill(host)
                start = time.monotonic()
                child = cluster.start_daemon(host)
                cluster.wait_version(host, version, 30.0)
                applied.append(time.monotonic() - start)
                cluster.wait_lookup(host, "read", 30.0)
                serves.append(time.monotonic() - start)
            print(
                f"start with nothing on disk, {blocks} blocks: manifest of "
                f"{body / 1000:.0f} KB in force after {format_range(applied, 's', 2)}, "
                f"answers look-ups after {format_range(serves, 's', 2)}; "
                f"{cpu_s(child.pid):.2f} s of processor time"
            )
