"""Guards against new requests to an upstream that is leaving (condition 6).

Under load, upstreams signal that they leave in different ways. The stand-ins
record the time of the last new request, and the callers' records are compared
with the upstreams' ledger.
"""

from __future__ import annotations

import copy
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.cluster import Cluster, Data, eventually, find_violations, http_json
from tests.manifests import small_manifest

NO_NEW_WORK_S = 5.0  # time after the signal until the last new request
DEAD_S = 5.0  # time after a host's death until no look-up names it
OBSERVED_S = 8.0  # duration of the load after the signals
LOADED_S = 2.0  # duration of the load before the signals
WORK = {"query": "work_ms=100"}


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    manifest = small_manifest({"north": 2, "south": 2}, upstreams=4)
    with Cluster(tmp_path, manifest, proxied=("relay", "peer")) as running:
        running.start()
        yield running


def by_header(cluster: Cluster, name: str) -> None:
    """Signal only by a header, since the upstream reports no health."""
    cluster.control_upstream(name, health_lie="silent")
    cluster.control_upstream(name, drain=True, drain_refuse_after_s=60)


def by_health(cluster: Cluster, name: str) -> None:
    """Signal only by the health report."""
    cluster.control_upstream(
        name, drain=True, drain_refuse_after_s=60, drain_header=False
    )


def by_list(cluster: Cluster, name: str) -> None:
    """Signal only by the platform's list of upstreams."""
    cluster.list_upstreams(leaving=[name])


def by_header_before_the_list(cluster: Cluster, name: str) -> None:
    """Signal by the upstream while the platform's list lags by 30 s."""
    cluster.set_table_faults(list_lag_s=30.0)
    cluster.list_upstreams(leaving=[name])
    cluster.control_upstream(name, drain=True, drain_refuse_after_s=60)


def by_list_despite_good_health(cluster: Cluster, name: str) -> None:
    """Signal by the list while the upstream reports good health."""
    cluster.control_upstream(name, health_lie="pass")
    cluster.list_upstreams(leaving=[name])


def by_manifest(cluster: Cluster, name: str) -> None:
    """Remove the upstream from the manifest."""
    manifest: Data = copy.deepcopy(cluster.manifest)
    for service in manifest["services"]:
        service["upstreams"] = [u for u in service["upstreams"] if u["name"] != name]
    status, response = cluster.commit(manifest, 1, "remove")
    assert status == 200, response


Signals = dict[str, Callable[[Cluster, str], None]]
# Signals that an upstream is leaving, keyed by the upstream's name. Those of a
# group are sent at the same time.
GROUPS: list[Signals] = [
    {"read-north-1": by_header, "write-north-1": by_health, "write-south-0": by_list},
    {
        "read-south-2": by_header_before_the_list,
        "write-north-2": by_manifest,
    },
    {"read-south-1": by_list_despite_good_health},
]


@pytest.mark.parametrize("signals", GROUPS)
def test_no_new_requests_after_the_first_signal(
    cluster: Cluster, signals: Signals
) -> None:
    """Guards against new requests, and lost ones, after an upstream's signal.

    Each way of signalling must suffice if the other sources still report the
    upstream as available.
    """
    loads = [
        {"service": service, "region": region, "rate": rate, "keyed": keyed, **WORK}
        for service, rate, keyed in (("read", 40.0, False), ("write", 25.0, True))
        for region in ("north", "south")
    ]
    duration_s = LOADED_S + OBSERVED_S
    cluster.start_caller("caller", loads=loads, duration_s=duration_s)
    time.sleep(LOADED_S)
    before = cluster.counts()["upstreams"]
    signalled_at = {}
    for name, signal in signals.items():
        assert before[name]["arrivals"] > 0
        signalled_at[name] = time.time()
        signal(cluster, name)
    cluster.result("caller")
    counts = cluster.counts()["upstreams"]
    for name, at in signalled_at.items():
        late_s = counts[name]["last_arrival"] - at
        print(
            f"{signals[name].__name__}: last new request {late_s:.2f} s after the "
            "signal"
        )
        assert late_s <= NO_NEW_WORK_S, name
    others = [n for n in counts if n not in signals and not n.startswith("upload")]
    last = max(signalled_at.values()) + NO_NEW_WORK_S
    # The other upstreams are still in use.
    assert all(counts[n]["last_arrival"] > last for n in others)
    records = cluster.records("caller")
    assert not find_violations(records, cluster.ledger())
    assert {record["outcome"] for record in records} == {"done"}


def test_dead_host_leaves_the_lookups(cluster: Cluster) -> None:
    """Guards against look-ups that name a host after its death."""
    cluster.kill("south-0")
    alive = [host for host in cluster.hosts if host != "south-0"]
    elapsed_s = eventually(
        lambda: not any(is_named(cluster, host, "south-0") for host in alive),
        DEAD_S,
        "the dead host named no longer",
    )
    print(f"the dead host was named until {elapsed_s:.2f} s after its death")


def is_named(cluster: Cluster, asked: str, host: str) -> bool:
    """Return whether any look-up at the host `asked` names `host`."""
    named_hosts = []
    for region in ("north", "south"):
        path = f"/v1/lookup?service=read&region={region}"
        for _ in range(8):  # a host uses 8 prepared responses in turn
            status, data = http_json("GET", cluster.entries[asked], path)
            assert status == 200
            named_hosts += [
                data["host"],
                *(alternate["host"] for alternate in data["alternates"]),
            ]
    return host in named_hosts
