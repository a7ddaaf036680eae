"""Guards against partial, late and swapped responses (condition 3).

Each caller must get its own complete response or an error. The fault proxy in
front of all upstreams and relays truncates responses, shortens them together
with their length, delays them beyond the timeout, swaps them between requests
and sends them twice.
"""

from __future__ import annotations

import itertools
from pathlib import Path

from tests.cluster import Cluster, eventually, find_violations, small_manifest

SEED = 20261204
REQUESTS = 10_000  # least number in a run, from the design document
STREAMED_BYTES = 300_000  # more than a host buffers, so it is streamed
FAULTY_SHARE = 0.08  # share of responses with a fault
# Slots of each upstream. There are many, because the slot of a damaged
# response stays in use until the timeout.
SLOTS = 60
# Rates and counts apply to each region; sizes are in bytes.
SMALL = (
    {"service": "read", "rate": 150, "count": 4200, "size": 700},
    {"service": "write", "rate": 30, "count": 840, "size": 700, "keyed": True},
)
LARGE = (
    {"service": "read", "rate": 6, "count": 170, "size": STREAMED_BYTES},
    {"service": "upload", "rate": 4, "count": 110, "body_bytes": STREAMED_BYTES},
)
KNOWN_OUTCOMES = {"done", "did-not-run", "unknown"}


def test_responses_are_complete_or_errors_under_faults(tmp_path: Path) -> None:
    """Guards against damaged responses that are forwarded as complete."""
    print(f"seed {SEED}")
    manifest = small_manifest({"north": 2, "south": 2}, 4, SLOTS, timeout_ms=1000)
    proxied = ("upstream", "relay")
    with Cluster(tmp_path, manifest, proxied=proxied, seed=SEED) as cluster:
        cluster.start()
        cluster.wait_lookups()
        cluster.control_upstream("*", work_ms=5)
        cluster.set_proxy_rule("damage", answer_faults=FAULTY_SHARE)
        callers = []
        for number, (region, loads) in enumerate(
            itertools.product(("north", "south"), (SMALL, LARGE))
        ):
            plan = [{**load, "region": region, "query": "q={id}"} for load in loads]
            callers.append(f"caller-{number}")
            seed = SEED + number
            cluster.start_caller(callers[-1], loads=plan, duration_s=60, seed=seed)
        results = [cluster.result(name) for name in callers]
        records = [record for name in callers for record in cluster.records(name)]

        def idle() -> bool:
            rows = cluster.counts()["upstreams"].values()
            return not any(row["in_flight"] for row in rows)

        eventually(idle, 5.0, "no request in flight at an upstream")
        violations = find_violations(records, cluster.ledger())
        faults = cluster.proxy_counts()["faults"]
        print(f"{faults}\n{results}")
    assert len(records) >= REQUESTS
    assert not violations, violations[:10]
    assert {record["outcome"] for record in records} <= KNOWN_OUTCOMES
    # Each fault must have occurred often enough for the run to be conclusive.
    assert all(faults.get(f, 0) >= 20 for f in ("cut", "short", "late")), faults
    assert all(faults.get(f, 0) >= 20 for f in ("foreign", "twice")), faults
    for service in ("read", "write", "upload"):
        rows = [r["outcome"] for r in records if r["service"] == service]
        assert rows.count("done") >= 0.5 * len(rows), (
            f"{service}: too few requests done"
        )
