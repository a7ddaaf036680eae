"""Slopes measured with real processes: daemons, table calls and the tool.

`slopes` runs them.
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

from .lab import REPEATS, Lab, cpu_s, resident_mb, spread_of
from .scene import sized_manifests, text_of
from .speed import with_size


def mesh() -> None:
    """Idle daemons by the number of peers."""
    for hosts in (7, 15, 30):
        with tempfile.TemporaryDirectory() as folder, Lab(Path(folder), hosts) as lab:
            lab.start()
            time.sleep(10.0)  # the first leases and links cost more
            print(f"idle daemon, {hosts} hosts in a mesh: {idle_of(lab, 3.0)}")


def idle_of(lab: Lab, seconds: float) -> str:
    """Return processor time and memory of idle daemons."""
    pids = [lab.children[host].pid for host in lab.hosts]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(seconds)
    used = [
        (cpu_s(pid) - start) / seconds * 100
        for pid, start in zip(pids, before, strict=True)
    ]
    memory = [resident_mb(pid) for pid in pids]
    return f"{spread_of(used, '% of a core')}, resident {spread_of(memory, 'MB')}"


def measurements() -> None:
    """Health polls: an idle daemon by the number of upstreams that it polls."""
    for per_service in (4, 40, 120):
        with tempfile.TemporaryDirectory() as folder, Lab(Path(folder), 2) as lab:
            grow(lab, per_service)
            lab.start()
            time.sleep(4.0)
            polled = per_service * 3 // 2
            print(f"idle daemon that polls {polled} upstreams: {idle_of(lab, 4.0)}")


def grow(lab: Lab, per_service: int) -> None:
    """Give each service of a lab a number of upstreams."""
    for service in lab.manifest["services"]:
        first = service["upstreams"][0]
        service["upstreams"] = [
            {**copy.deepcopy(first), "name": f"{service['name']}-{i}"}
            for i in range(per_service)
        ]


def store() -> None:
    """Calls of the table service by the number in flight."""
    with tempfile.TemporaryDirectory() as folder, Lab(Path(folder)) as lab:
        lab.start_table()
        for in_flight in (1, 4, 16):
            args = (f"http://{lab.table}", 600, in_flight)
            runs = []
            for repeat in range(REPEATS):
                name = f"store{in_flight}-{repeat}"
                child = lab.spawn(name, "bench.storeload", *args)
                runs.append(lab.answers(child))
            print(
                f"table service, {in_flight} calls in flight, 1 of 8 a write: "
                f"{spread_of([run['per_s'] for run in runs], 'calls/s', 0)}, "
                f"{spread_of([run['cpu_us'] for run in runs], 'us', 0)} each"
            )


def tool() -> None:
    """Check and commit with the command-line tool by the size of the manifest."""
    with tempfile.TemporaryDirectory() as folder, Lab(Path(folder)) as lab:
        lab.start(commit=False)
        admin = lab.settings[next(iter(lab.hosts))]["admin_address"]
        sizes = ((7, 40, 0), (700, 1200, 20_000), (700, 1200, 100_000))
        for version, (size, data) in enumerate(sized_manifests(sizes)):
            path = Path(folder) / "m.json"
            path.write_text(text_of(data))
            check = [run_tool("check", str(path)) for _ in range(REPEATS)]
            # The fictitious hosts cannot serve, so nothing waits for them.
            base = ["--base", str(version), "--admin", admin, "--timeout", "30"]
            commit = run_tool("commit", str(path), *base)
            print(
                f"tool, {size}: check "
                f"{spread_of([c[0] for c in check], 's', 2)}, processor "
                f"{spread_of([c[1] for c in check], 's', 2)}; commit {commit[0]:.2f} s"
            )


def run_tool(*arguments: str) -> tuple[float, float]:
    """Run the tool; return its wall time and its processor time."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    start = time.monotonic()
    command = [sys.executable, "-m", "samphirebend.cli", *arguments]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr + done.stdout
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return time.monotonic() - start, used


def starts() -> None:
    """Start of a daemon with nothing on disk, by the size of the manifest."""
    with tempfile.TemporaryDirectory() as folder, Lab(Path(folder)) as lab:
        lab.start()
        host = next(iter(lab.hosts))
        version = 1
        for blocks in (0, 20_000, 100_000):
            manifest = lab.manifest if blocks == 0 else with_size(lab, blocks)
            if blocks:
                status, answer = lab.commit(manifest, version, f"start-{blocks}")
                assert status == 200, answer
                version += 1
                for name in lab.hosts:
                    lab.wait_version(name, version, 30.0)
            body = len(zlib.compress(text_of(manifest).encode()))
            known, serves = [], []
            for _ in range(REPEATS):
                lab.kill(host)
                start = time.monotonic()
                child = lab.start_daemon(host)
                lab.wait_version(host, version, 30.0)
                known.append(time.monotonic() - start)
                lab.wait_lookup(host, "read", 30.0)
                serves.append(time.monotonic() - start)
            print(
                f"start with nothing on disk, {blocks} blocks: manifest of "
                f"{body / 1000:.0f} KB in force after {spread_of(known, 's', 2)}, "
                f"answers look-ups after {spread_of(serves, 's', 2)}; "
                f"{cpu_s(child.pid):.2f} s of processor time"
            )
