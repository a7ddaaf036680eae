"""Guards against new work for an upstream that leaves (condition 6), under load.

The verdict comes from the stand-in's time of the last new request, and from the
callers' records compared with the upstreams' ledger.
"""

from __future__ import annotations

import copy
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.cluster import Cluster, Data, eventually, find_violations, http_json
from tests.manifests import small_manifest

NO_NEW_WORK_S = 5.0
DEAD_S = 5.0  # a dead host is replaced
OBSERVED_S = 8.0  # after the sign
LOADED_S = 2.0  # before the sign
WORK = {"query": "work_ms=100"}


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    manifest = small_manifest({"north": 2, "south": 2}, upstreams=4)
    with Cluster(tmp_path, manifest, proxied=("relay", "peer")) as running:
        running.start()
        yield running


def by_header(cluster: Cluster, name: str) -> None:
    cluster.control(name, health_lie="silent")
    cluster.control(name, drain=True, drain_refuse_after_s=60)


def by_health(cluster: Cluster, name: str) -> None:
    cluster.control(name, drain=True, drain_refuse_after_s=60, drain_header=False)


def by_list(cluster: Cluster, name: str) -> None:
    cluster.list_upstreams(leaving=[name])


def by_own_word_against_the_list(cluster: Cluster, name: str) -> None:
    cluster.set_table_faults(list_lag_s=30.0)
    cluster.list_upstreams(leaving=[name])
    cluster.control(name, drain=True, drain_refuse_after_s=60)


def by_list_against_its_health(cluster: Cluster, name: str) -> None:
    cluster.control(name, health_lie="pass")
    cluster.list_upstreams(leaving=[name])


def by_manifest(cluster: Cluster, name: str) -> None:
    manifest: Data = copy.deepcopy(cluster.manifest)
    for service in manifest["services"]:
        service["upstreams"] = [u for u in service["upstreams"] if u["name"] != name]
    status, answer = cluster.commit(manifest, 1, "remove")
    assert status == 200, answer


Signs = dict[str, Callable[[Cluster, str], None]]
# Each sign is given by another upstream; those of a group at the same time.
GROUPS: list[Signs] = [
    {"read-north-1": by_header, "write-north-1": by_health, "write-south-0": by_list},
    {
        "read-south-2": by_own_word_against_the_list,
        "write-north-2": by_manifest,
    },
    {"read-south-1": by_list_against_its_health},
]


@pytest.mark.parametrize("signs", GROUPS)
def test_no_new_work_after_the_first_sign(cluster: Cluster, signs: Signs) -> None:
    loads = [
        {"service": service, "region": region, "rate": rate, "keyed": keyed, **WORK}
        for service, rate, keyed in (("read", 40.0, False), ("write", 25.0, True))
        for region in ("north", "south")
    ]
    duration_s = LOADED_S + OBSERVED_S
    cluster.start_caller("caller", loads=loads, duration_s=duration_s)
    time.sleep(LOADED_S)
    before = cluster.counts()["upstreams"]
    signed_at = {}
    for name, sign in signs.items():
        assert before[name]["arrivals"] > 0
        signed_at[name] = time.time()
        sign(cluster, name)
    cluster.result("caller")
    counts = cluster.counts()["upstreams"]
    for name, at in signed_at.items():
        late_s = counts[name]["last_arrival"] - at
        print(f"{signs[name].__name__}: last new request {late_s:.2f} s after the sign")
        assert late_s <= NO_NEW_WORK_S, name
    others = [n for n in counts if n not in signs and not n.startswith("upload")]
    last = max(signed_at.values()) + NO_NEW_WORK_S
    assert all(counts[n]["last_arrival"] > last for n in others)  # still in use
    records = cluster.records("caller")
    assert not find_violations(records, cluster.ledger())
    assert {record["outcome"] for record in records} == {"done"}


def test_dead_host_leaves_the_lookups(cluster: Cluster) -> None:
    """Guards against look-ups that name a dead host."""
    cluster.kill("south-0")
    alive = [host for host in cluster.hosts if host != "south-0"]
    gone_s = eventually(
        lambda: not any(names(cluster, host, "south-0") for host in alive),
        DEAD_S,
        "the dead host named no longer",
    )
    print(f"the dead host was named until {gone_s:.2f} s after its death")


def names(cluster: Cluster, asked: str, host: str) -> bool:
    """Tell whether a host's look-ups for any region name another one."""
    found = []
    for region in ("north", "south"):
        path = f"/v1/lookup?service=read&region={region}"
        for _ in range(8):  # the prepared answers are given in turn
            status, data = http_json("GET", cluster.entries[asked], path)
            assert status == 200
            found += [data["host"], *(item["host"] for item in data["alternates"])]
    return host in found
