"""Runs an example manifest with real processes under load and prints a table.

Under load of all three services, one host is stopped and one upstream is
drained. The exit status is 1 if a condition of the design document was
violated.
"""

from __future__ import annotations

import argparse
import importlib.util
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from .cluster import ROOT, Cluster, Data, eventually, find_violations
from .manifests import load_example

LOAD_S = 36.0
STOP_AT_S = 10.0
DRAIN_AT_S = 20.0
NO_NEW_WORK_S = 5.0  # time after which a draining upstream gets no requests
UPLOAD_BYTES = 20_000_000
# Requests per second in each region, and their work time in ms.
READS = (40.0, 150)
REGISTRATIONS = (15.0, 200)
UPLOADS = (0.5, 200)


def make_loads(manifest: Data) -> list[Data]:
    """Return the loads: one for each service and region."""
    loads = []
    for service in manifest["services"]:
        upload = service["max_body_bytes"] > UPLOAD_BYTES
        keyed = not service["idempotent"]
        rate, work_ms = UPLOADS if upload else REGISTRATIONS if keyed else READS
        loads += [
            {
                "service": service["name"],
                "region": region["name"],
                "rate": rate,
                "keyed": keyed,
                "size": 2000,
                "body_bytes": UPLOAD_BYTES if upload else 0,
                "query": f"work_ms={work_ms}",
            }
            for region in manifest["regions"]
        ]
    return loads


def commit(cluster: Cluster) -> None:
    """Commit the manifest, with the command-line tool if it is installed."""
    if importlib.util.find_spec("samphirebend.cli") is None:
        status, response = cluster.commit(cluster.manifest, 0, "demo")
        assert status == 200, response
    else:
        path = cluster.write_json("manifest", cluster.manifest)
        admin = next(iter(cluster.settings.values()))["admin_address"]
        tool = [sys.executable, "-m", "samphirebend.cli"]
        args = ["commit", str(path), "--admin", admin, "--base", "0"]
        subprocess.run([*tool, *args], cwd=ROOT, check=True, timeout=30)
    for host in cluster.hosts:
        cluster.wait_version(host, 1)


def drain(cluster: Cluster, upstream: str) -> tuple[float, float]:
    """Drain an upstream.

    Return the seconds from the signal to the last new request and to the end
    of the last request.
    """
    cluster.control_upstream(upstream, drain=True, drain_refuse_after_s=60)
    time.sleep(NO_NEW_WORK_S + 3)
    counts = cluster.counts()["upstreams"][upstream]
    return (
        max(0.0, counts["last_arrival"] - counts["drain_at"]),
        max(0.0, counts["idle_at"] - counts["drain_at"]),
    )


def print_table(result: Data, cluster: Cluster, counts: Data) -> None:
    """Print the outcomes of the load, and peak and limit of each resource."""
    names = ("requests", "done", "did_not_run", "unknown", "lost", "p50_ms", "p99_ms")
    print(f"{'service':22}" + "".join(f"{name:>13}" for name in names))
    for service, row in result["services"].items():
        cells = [f"{row[n]:13.1f}" if "_ms" in n else f"{row[n]:13}" for n in names]
        print(f"{service:22}" + "".join(cells))
        if row["kinds"]:
            print(f"    last error kinds: {row['kinds']}")
    for field in ("cancelled", "partial_bodies", "late"):
        total = sum(row[field] for row in counts["upstreams"].values())
        print(f"upstreams counted {field}: {total}")
    print(f"\n{'location':34}{'peak':>12}{'cap':>12}{'share':>8}")
    for region in cluster.manifest["regions"]:
        peak, cap = counts["groups"][region["name"]]["peak"], region["max_in_flight"]
        print(f"region {region['name']:27}{peak:12}{cap:12}{peak / cap:8.0%}")
    for service in cluster.manifest["services"]:
        rows = [counts["upstreams"][u["name"]] for u in service["upstreams"]]
        peak, cap = max((r["peak"], r["slots"]) for r in rows)
        print(f"busiest of {service['name']:23}{peak:12}{cap:12}{peak / cap:8.0%}")
    for pair in cluster.proxy_counts()["pairs"]:
        if limit := pair["limit_bytes_per_s"]:
            peak, name = pair["peak_bytes_per_s"], f"{pair['from']} to {pair['to']}"
            print(f"link {name:29}{peak:12}{limit:12.0f}{peak / limit:8.0%}")


def find_condition_violations(cluster: Cluster, counts: Data) -> list[str]:
    """Return all violations of the conditions in the design document."""
    violations = find_violations(cluster.records("caller"), cluster.ledger())
    for name, row in counts["upstreams"].items():
        for field in ("over_slots", "over_connections"):
            if row[field]:
                violations.append(f"{name}: {row[field]} {field}")
    for region in cluster.manifest["regions"]:
        peak = counts["groups"][region["name"]]["peak"]
        if peak > region["max_in_flight"]:
            violations.append(f"region {region['name']}: {peak} in flight")
    for pair in cluster.proxy_counts()["pairs"]:
        if 0 < pair["limit_bytes_per_s"] < pair["peak_bytes_per_s"]:
            violations.append(f"link {pair['from']} to {pair['to']}: over its rate")
    return violations


def run(user: str, seed: int, folder: Path) -> list[str]:
    """Run the demo; return all violations."""
    manifest, settings = load_example(user)
    proxied = ("relay", "peer", "table")
    with Cluster(folder, manifest, settings, proxied=proxied, seed=seed) as cluster:
        cluster.start(commit=False)
        commit(cluster)
        cluster.wait_lookups()
        print(
            f"{user}, seed {seed}: {len(cluster.hosts)} hosts, {LOAD_S:.0f} s of load"
        )
        loads = make_loads(manifest)
        cluster.start_caller("caller", loads=loads, duration_s=LOAD_S)
        start = time.monotonic()
        time.sleep(STOP_AT_S)
        stopped = list(cluster.hosts)[1]
        stop_s = cluster.stop(stopped)
        exit_status = cluster.children[stopped].process.returncode
        eventually(lambda: time.monotonic() - start > DRAIN_AT_S, 60, "time to drain")
        drained = str(manifest["services"][0]["upstreams"][0]["name"])
        arrival_s, idle_s = drain(cluster, drained)
        result = cluster.result("caller")
        counts = cluster.counts()
        print_table(result, cluster, counts)
        print(f"\nhost {stopped}: stopped in {stop_s:.1f} s, exit {exit_status}")
        print(f"upstream {drained}: last new request {arrival_s:.1f} s after the")
        print(f"    signal, last request ended {idle_s:.1f} s after it")
        violations = find_condition_violations(cluster, counts)
        if exit_status != 0:
            violations.append(f"host {stopped}: exit status {exit_status}")
        if arrival_s > NO_NEW_WORK_S:
            violations.append(f"{drained}: new work {arrival_s:.1f} s after the signal")
        return violations


def main(arguments: Any = None) -> int:
    """Run the demo with one example manifest; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("user", choices=("linjeringsbyran", "badgegate"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path, help="keep logs and records here")
    args = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        violations = run(args.user, args.seed, args.folder or Path(folder))
    for violation in violations[:20]:
        print(f"broken: {violation}")
    print("all conditions held" if not violations else f"{len(violations)} faults")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
