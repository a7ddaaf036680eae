"""Guards routing under wrong measurements, partial failures and cold starts.

The limits are those of the design document: fewer errors than random choice,
attempts of at most 1.1 times the requests, 90% goodput, and the timeout of the
service.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.cluster import Cluster, Data, eventually, small_manifest

SEED = 20261206
SERVICES = ("read", "write", "upload")
UPSTREAMS = 6  # upstreams of each service in each region
BAD_UPSTREAMS = {
    # It fails immediately and reports no load.
    "read-north-0": {"fail_fast": True, "health_lie": "idle"},
    # It is slow and reports no load.
    "write-north-0": {"work_ms": 400, "health_lie": "idle"},
    # It is slow and stops reporting its load.
    "upload-north-0": {"work_ms": 400, "health_lie": "silent"},
}
MAX_ATTEMPTS_PER_REQUEST = 1.1  # while upstreams fail partly
MIN_GOODPUT_SHARE = 0.9
PARTIAL_FAILURE_S = 14.0  # duration of the load while upstreams fail partly
TIMEOUT_S = 2.0  # timeout of each service


def make_manifest(regions: dict[str, int], **options: Any) -> Data:
    """Return a manifest whose services are all idempotent."""
    manifest = small_manifest(regions, timeout_ms=int(TIMEOUT_S * 1000), **options)
    for service in manifest["services"]:
        service["idempotent"] = True
    return manifest


@contextmanager
def run_cluster(folder: Path, manifest: Data) -> Iterator[Cluster]:
    """Run a cluster with its upstreams behind the fault proxy."""
    print(f"seed {SEED}")
    with Cluster(folder, manifest, proxied=("upstream",), seed=SEED) as cluster:
        cluster.start()
        cluster.wait_lookups()
        yield cluster


@pytest.fixture
def north(tmp_path: Path) -> Iterator[Cluster]:
    manifest = make_manifest({"north": 2}, upstreams=UPSTREAMS)
    with run_cluster(tmp_path, manifest) as running:
        yield running


def load(service: str, rate: float, region: str = "north", **more: object) -> Data:
    """Return a load whose callers send each request only once."""
    query = "q={id}"
    return dict(
        service=service, region=region, rate=rate, attempts=1, query=query, **more
    )


def arrivals(cluster: Cluster) -> dict[str, int]:
    """Return the requests that each upstream counted."""
    rows = cluster.counts()["upstreams"].items()
    return {name: row["arrivals"] for name, row in rows}


def error_share(row: Data) -> float:
    """Return the share of requests that were not done."""
    return float(1 - row["done"] / row["requests"])


def test_bad_upstreams_cause_fewer_errors_than_random_choice(north: Cluster) -> None:
    """Guards against routing that trusts reports more than outcomes."""
    for name, changes in BAD_UPSTREAMS.items():
        north.control_upstream(name, **changes)
    direct = {}
    for service in north.manifest["services"]:
        # A direct caller chooses an upstream at random for each request.
        name = service["name"]
        addresses = [upstream["address"] for upstream in service["upstreams"]]
        plan = {"loads": [load(name, 40)], "direct": addresses, "duration_s": 10}
        north.start_caller(f"direct-{name}", **plan)
    for name in SERVICES:
        direct[name] = north.result(f"direct-{name}")["services"][name]
    before = arrivals(north)
    north.start_caller("routed", loads=[load(s, 40) for s in SERVICES], duration_s=12)
    routed = north.result("routed")["services"]
    after = arrivals(north)
    for bad in BAD_UPSTREAMS:
        service = bad.split("-")[0]
        new_arrivals = {n: after[n] - before[n] for n in after if n.startswith(service)}
        share, errors = (
            new_arrivals[bad] / sum(new_arrivals.values()),
            error_share(routed[service]),
        )
        random_errors = error_share(direct[service])
        print(
            f"{bad}: traffic {share:.3f}, random {1 / UPSTREAMS:.3f}; errors "
            f"{errors:.4f}, random {random_errors:.4f}; p99 "
            f"{routed[service]['p99_ms']} ms, random {direct[service]['p99_ms']} ms"
        )
        assert routed[service]["wrong"] == routed[service]["lost"] == 0
        assert share < 1 / UPSTREAMS
        assert errors <= random_errors
    assert error_share(routed["read"]) < 0.5 * error_share(direct["read"])


def test_attempts_stay_within_the_budget_when_upstreams_fail_partly(
    tmp_path: Path,
) -> None:
    """Guards against retries, also by relays, that multiply the load."""
    regions = {"north": 2, "south": 2}
    with run_cluster(tmp_path, make_manifest(regions, upstreams=UPSTREAMS)) as cluster:
        for name in arrivals(cluster):
            fault = "fail_share" if name.startswith("upload") else "shed"
            cluster.control_upstream(name, **{fault: 0.5}, work_ms=150)
        before = arrivals(cluster)
        # The north has too few slots for its callers, so many are relayed.
        loads = [load("read", 130), load("write", 40), load("upload", 60)]
        loads.append(load("write", 40, region="south"))
        cluster.start_caller("callers", loads=loads, duration_s=PARTIAL_FAILURE_S)
        result = cluster.result("callers")["services"]
        after = arrivals(cluster)
        for service, row in result.items():
            names = [name for name in after if name.startswith(service)]
            attempts = sum(after[name] - before[name] for name in names)
            south = sum(after[n] - before[n] for n in names if "south" in n)
            print(f"{service}: {attempts} attempts, {south} in the south, {row}")
            assert row["lost"] == row["wrong"] == 0
            assert attempts <= MAX_ATTEMPTS_PER_REQUEST * row["requests"]
            # Without enough attempts, the limit above would prove nothing.
            assert attempts >= 0.5 * row["requests"]


def test_cold_upstream_is_ramped(tmp_path: Path) -> None:
    """Guards an upstream with an empty cache against its full load share."""
    cold = "read-north-0"
    # The cold upstream takes 1.6 s for each of four requests in flight. With
    # five or more, it exceeds the timeout.
    settings = {"cold_s": 4.0, "cold_factor": 2.0, "cold_crowding": True}
    manifest = make_manifest({"north": 2}, upstreams=4, slots=10)
    with run_cluster(tmp_path, manifest) as north:
        check_ramp(north, cold, settings)


def check_ramp(north: Cluster, cold: str, settings: Data) -> None:
    """Restart an upstream under load; check its runs, latency and goodput."""
    north.control_upstream("*", work_ms=200)
    north.start_caller("callers", loads=[load("read", 80)], duration_s=11)
    eventually(lambda: arrivals(north)[cold] > 10, 5.0, "load")
    north.control_upstream(cold, **settings, crash=True, crash_down_s=0.5)
    result = north.result("callers")["services"]["read"]
    cold_runs = [
        run
        for runs in north.ledger().values()
        for run in runs
        if run["upstream"] == cold and run["state"] != "crashed"
    ]
    instance = north.counts()["upstreams"][cold]["instance"]
    print(f"{result}\n{len(cold_runs)} runs at {cold}, now {instance}")
    assert instance.endswith("-2"), "the upstream did not start again"
    assert cold_runs
    assert not [run for run in cold_runs if run["state"] != "done"]
    assert result["p99_ms"] <= TIMEOUT_S * 1000
    assert result["done"] >= MIN_GOODPUT_SHARE * result["requests"]


@pytest.mark.parametrize("misses", [0, 60])
def test_region_that_takes_over_serves_its_own_callers(
    tmp_path: Path, misses: int
) -> None:
    """Guards a region against overload by the traffic of a lost region.

    The first `misses` requests of the lost region miss the cache of an
    upstream and take five times as long.
    """
    cap = 32
    manifest = make_manifest({"north": 2, "south": 2}, upstreams=4, slots=10, cap=cap)
    with run_cluster(tmp_path, manifest) as cluster:
        cluster.control_upstream("*", work_ms=200, health_lag_s=2.0)
        for name in arrivals(cluster):
            if "south" in name:
                cluster.control_upstream(name, set_misses=misses, cold_factor=5.0)
        # Both loads together need 36 requests in flight; the cap allows 32.
        loads = {"south": load("read", 60, "south"), "north": load("read", 120)}
        loads["north"]["query"] += "&set=north"
        for region, region_load in loads.items():
            cluster.start_caller(region, loads=[region_load], duration_s=10)
        eventually(lambda: arrivals(cluster)["read-north-0"] > 50, 5.0, "load")
        for name in arrivals(cluster):
            if "north" in name:
                cluster.control_upstream(name, crash=True, crash_down_s=60)
        results = {name: cluster.result(name)["services"]["read"] for name in loads}
        counts = cluster.counts()
        relayed = [
            name
            for name, runs in cluster.ledger().items()
            if "-north-" in name and any("south" in run["upstream"] for run in runs)
        ]
    print(f"{results}\nsouth peak {counts['groups']['south']['peak']}, {len(relayed)}")
    assert relayed, "south took over nothing"
    assert counts["groups"]["south"]["peak"] <= cap
    assert not any(row["over_slots"] for row in counts["upstreams"].values())
    for row in results.values():
        assert row["lost"] == row["wrong"] == 0
        assert row["p99_ms"] <= TIMEOUT_S * 1000
    south = results["south"]
    assert south["done"] >= MIN_GOODPUT_SHARE * south["requests"]
