"""Guards planned stops against aborted and lost requests (condition 7).

The callers' records are compared with the upstreams' ledgers.
"""

from __future__ import annotations

import hashlib
import http.client
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from samphirebend.manifest import read_manifest
from samphirebend.shards import assign_upstreams
from tests.cluster import Cluster, Data, eventually, find_violations, http_json
from tests.httpcalls import call, read_after_end
from tests.manifests import small_manifest

REGIONS = {"north": 3, "middle": 2, "south": 2}
PART = bytes(range(256)) * 4096  # 1 MiB of an upload's body
PARTS = 16  # number of parts in an upload
# Time until all slots are usable again after an outage of the table service.
USABLE_AGAIN_S = 15.0
# Longest duration of a stop, in seconds: the time to live of look-ups, its
# margin, the timeout of the services, and its margin.
STOP_S = 2.0 + 1.0 + 12.0 + 2.0


LATE_REQUESTS = 24
LATE_INTERVAL_S = 0.2


@pytest.fixture
def cluster(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Cluster]:
    # The default timeout lets a slow upload last for the whole stop.
    timeout_ms = getattr(request, "param", 12_000)
    manifest = small_manifest(REGIONS, upstreams=3, timeout_ms=timeout_ms)
    with Cluster(tmp_path, manifest, proxied=("relay", "peer")) as running:
        running.start()
        yield running


def start_load(cluster: Cluster, duration_s: float) -> None:
    """Start a load on all services from all regions."""
    loads = [
        {"service": service, "region": region, "rate": rate, "keyed": keyed, **extra}
        for region in REGIONS
        for service, rate, keyed, extra in (
            ("read", 15.0, False, {"query": "work_ms=100", "size": 2000}),
            ("write", 8.0, True, {"query": "work_ms=150"}),
            ("upload", 1.0, False, {"body_bytes": 1_000_000}),
        )
    ]
    cluster.start_caller("caller", loads=loads, duration_s=duration_s)


def check_load(cluster: Cluster) -> Data:
    """Check that every request was done and no upstream saw an aborted one.

    Return the result of the load tool.
    """
    result = cluster.result("caller")
    records = cluster.records("caller")
    assert not find_violations(records, cluster.ledger())
    not_done = [record for record in records if record["outcome"] != "done"]
    assert not not_done, not_done[:3]
    # No connection broke while a request was on it.
    broken = [record["id"] for record in records if "" in record["told"].values()]
    assert not broken, broken
    # No look-up that was still valid named a closed port.
    unsent = [r["id"] for r in records if "not-sent" in r["told"].values()]
    assert not unsent, unsent
    for name, row in cluster.counts()["upstreams"].items():
        assert (row["cancelled"], row["partial_bodies"]) == (0, 0), name
    return result


class SlowUpload:
    """An upload that a thread sends in parts over some seconds."""

    def __init__(self, address: str, seconds: float) -> None:
        self.address, self.pause_s = address, seconds / PARTS
        self.sent = 0
        self.status = 0
        self.outcome = ""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _parts(self) -> Iterator[bytes]:
        for _ in range(PARTS):
            yield PART
            self.sent += 1
            time.sleep(self.pause_s)

    def _run(self) -> None:
        headers = {"Content-Length": str(PARTS * len(PART)), "Ledger-Id": "slow"}
        path = "/v1/services/upload/scan?size=10"
        response = call("PUT", self.address, path, self._parts(), headers, timeout_s=30)
        self.status = response.status
        self.outcome = response.headers.get("request-outcome", "")


def look_up(cluster: Cluster, host: str) -> tuple[str, float]:
    """Look up until a host is named; return its address and expiry time."""
    path = "/v1/lookup?service=read&region=north"
    while (data := http_json("GET", cluster.entries[host], path)[1])["host"] != host:
        time.sleep(0.05)
    return data["address"], time.monotonic() + data["ttl_ms"] / 1000


def test_stop_under_load_aborts_nothing(cluster: Cluster) -> None:
    """Guards against a stop that aborts slow uploads.

    Callers with cached look-ups must be served until those expire.
    """
    start_load(cluster, 12.0)
    upload = SlowUpload(cluster.entries["north-1"], 8.0)
    eventually(lambda: upload.sent >= PARTS // 2, 10, "half of the upload")
    address, expires = look_up(cluster, "north-1")
    started = time.monotonic()
    cluster.children["north-1"].send(signal.SIGTERM)
    statuses = set()
    while time.monotonic() < expires:
        statuses.add(http_json("GET", address, "/v1/services/read/a")[0])
    assert statuses == {200}
    cluster.children["north-1"].process.wait(STOP_S)
    stop_s = time.monotonic() - started
    assert cluster.children["north-1"].process.returncode == 0
    upload.thread.join(5)
    assert (upload.status, upload.outcome) == (200, "done")
    (run,) = cluster.ledger()["slow"]
    whole = PART * PARTS
    expected = ("done", len(whole), hashlib.sha256(whole).hexdigest())
    assert (run["state"], run["bytes"], run["sha256"]) == expected
    check_load(cluster)
    print(f"drain time under load with a slow upload: {stop_s:.2f} s")


def test_stop_delivers_responses_that_callers_read_slowly(cluster: Cluster) -> None:
    """Guards against a reset that discards the end of a response."""
    address, _expires = look_up(cluster, "north-1")
    child = cluster.children["north-1"]
    child.send(signal.SIGTERM)
    path = f"/v1/services/read/big?size={len(PART)}"
    received = read_after_end(address, path, {"Host": "h"}, child.process, STOP_S)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head[:100]
    assert len(body) == len(PART)
    assert child.process.returncode == 0


def test_stop_answers_what_arrives_on_open_connections(cluster: Cluster) -> None:
    """Guards against requests that are passed on late in a stop and then cut."""
    address, _expires = look_up(cluster, "north-1")
    keys = [write_key(cluster, address) for _ in range(LATE_REQUESTS)]
    late = [LateRequest(address, number, key) for number, key in enumerate(keys)]
    cluster.control_upstream("*", work_ms=1500)
    child = cluster.children["north-1"]
    child.send(signal.SIGTERM)
    for request in late:
        request.thread.start()
    for request in late:
        request.thread.join()
    assert child.process.wait(STOP_S) == 0
    ledger = cluster.ledger()
    for request in late:
        ran = request.ledger_id in ledger
        assert request.status or not ran, request.ledger_id
        assert request.outcome != "did-not-run" or not ran, request.ledger_id
    # Sent while callers may still use the look-up answer.
    assert {request.status for request in late if request.delay_s < 2.0} == {200}


def write_key(cluster: Cluster, address: str) -> str:
    """Return an idempotency key that the host of the address may execute."""
    path = "/v1/lookup?service=write&region=north"
    while True:
        data = http_json("GET", cluster.entries["north-1"], path)[1]
        if data["address"] == address:
            return str(data["key"])
        time.sleep(0.05)


class LateRequest:
    """A request on a connection that was open before the stop."""

    def __init__(self, address: str, number: int, key: str) -> None:
        self.delay_s = LATE_INTERVAL_S * number
        self._headers = {"Ledger-Id": f"late-{number}", "Idempotency-Key": key}
        self.ledger_id = f"late-{number}"
        self.status = 0  # 0: no response
        self.outcome = ""
        self._conn = http.client.HTTPConnection(address, timeout=20)
        self._conn.request("GET", "/v1/services/read/open")
        assert self._conn.getresponse().read()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        time.sleep(self.delay_s)
        path = f"/v1/services/write/{self.ledger_id}"
        try:
            self._conn.request("POST", path, b"x", self._headers)
            response = self._conn.getresponse()
            self.status = response.status
            self.outcome = response.headers.get("request-outcome", "")
        except (OSError, http.client.HTTPException):
            pass  # the connection was closed
        finally:
            self._conn.close()


def test_rolling_restart_loses_nothing(cluster: Cluster) -> None:
    """Guards against losses when all hosts are replaced one after another."""
    start_load(cluster, 50.0)
    times = []
    for host in cluster.hosts:
        times.append(cluster.stop(host, STOP_S))
        assert cluster.children[host].process.returncode == 0
        cluster.start_daemon(host)
        cluster.wait_active(1, 20.0)
    print(f"drain times, rolling restart: {[round(t, 2) for t in times]} s")
    # The load lasted until the last restart.
    assert cluster.children["caller"].running()
    check_load(cluster)


# The successor of a host waits for the service's timeout before it dispatches,
# so the timeout is short here.
@pytest.mark.parametrize("cluster", [2_000], indirect=True)
def test_stop_during_an_outage_of_the_table_loses_no_request(cluster: Cluster) -> None:
    """Guards against losses if a stopped host cannot release its leases."""
    start_load(cluster, 20.0)
    running = [host for host in cluster.hosts if host != "north-1"]
    slots = usable_slots(cluster, [*running, "north-1"])
    cluster.set_table_faults(down=True)
    stop_s = cluster.stop("north-1", STOP_S)
    cluster.start_daemon("north-1")
    cluster.wait_version("north-1", 1)
    usable = usable_slots(cluster, [*running, "north-1"])
    cluster.set_table_faults(down=False)
    recovery_s = eventually(
        lambda: usable_slots(cluster, [*running, "north-1"]) == slots,
        USABLE_AGAIN_S,
        "all slots usable again",
    )
    check_load(cluster)
    print(f"drain time {stop_s:.2f} s; {usable} of {slots} slots usable, then after")
    print(f"    the return of the table all of them in {recovery_s:.2f} s")
    assert usable >= slots - largest_shard(cluster)


def usable_slots(cluster: Cluster, hosts: list[str]) -> int:
    """Return the slots that the hosts may use, over all services."""
    rows = [cluster.admin(host, "/v1/status")[1]["services"] for host in hosts]
    return sum(row["total"] for services in rows for row in services)


def largest_shard(cluster: Cluster) -> int:
    """Return the number of slots in the largest shard."""
    per_shard: dict[str, int] = {}
    manifest = read_manifest(msgspec.json.encode(cluster.manifest).decode()).unwrap()
    for upstream, shard in assign_upstreams(manifest).items():
        per_shard.setdefault(shard, 0)
        per_shard[shard] += manifest.upstreams[upstream].slots
    return max(per_shard.values())
