"""Guards the stand-ins, because wrong counts would hide violated limits."""

from __future__ import annotations

import asyncio
import hashlib
import http.client
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.cluster import Data, eventually, find_violations
from tests.httpcalls import Response, call, http_json
from tests.processes import loopback_ip
from tests.standins.caller import LoopDelay
from tests.standins.launch import StandIns
from tests.standins.upstream import content_digest, response_body

SPEC = {"name": "u", "slots": 2}


class Upstream(StandIns):
    """An upstream with two slots, and optionally a proxy in front of it."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.address = self.start_upstreams({"group": [SPEC]})["u"]
        self.proxied = ""  # the upstream's address behind the proxy

    def count(self) -> Data:
        """Return the upstream's counts."""
        counts: Data = self.counts()["upstreams"]["u"]
        return counts

    def runs(self, ledger_id: str) -> list[Data]:
        """Return the runs that the upstream recorded for a ledger id."""
        return self.ledger().get(ledger_id, [])

    def start_listener(self, links: list[Data], **ends: str) -> None:
        """Start a proxy in front of the upstream."""
        listener = {"name": "u", "target": self.address, **ends}
        self.proxied = self.start_proxy([listener], links)["u"]

    def wait_running(self) -> None:
        """Wait until one request is in flight."""
        eventually(lambda: self.count()["in_flight"] == 1, 2, "request runs")


@pytest.fixture
def upstream(tmp_path: Path) -> Iterator[Upstream]:
    with Upstream(tmp_path) as started:
        yield started


@pytest.fixture
def proxied(upstream: Upstream) -> Upstream:
    link = {"between": ["a", "b"], "mbit_per_s": 16, "delay_ms": 30}
    upstream.start_listener([link], from_region="a", to_region="b")
    return upstream


def fetch(
    address: str, path: str, body: bytes | None = None, **headers: str
) -> Response:
    """Send a request; header names are written with underscores."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return call("GET" if body is None else "POST", address, path, body, fields)


def begin(address: str, path: str) -> http.client.HTTPConnection:
    """Send a request without waiting for the response."""
    conn = http.client.HTTPConnection(address)
    conn.request("GET", path)
    return conn


def test_response_belongs_to_its_request_and_run_is_recorded(
    upstream: Upstream,
) -> None:
    """Guards against responses that fit any request, and truncated uploads."""
    upload = b"x" * 3_000_000
    status, headers, body = fetch(
        upstream.address, "/a?size=1000", upload, Request_Id="r1", Ledger_Id="l1"
    )
    assert (status, headers["request-id"]) == (200, "r1")
    assert body == response_body("r1", "l1", 1000)
    assert headers["content-digest"] == content_digest(body)
    (run,) = upstream.runs("l1")
    assert (run["state"], run["bytes"]) == ("done", len(upload))
    assert run["sha256"] == hashlib.sha256(upload).hexdigest()
    assert run["end"] - run["start"] >= 0.019


def test_requests_above_the_slots_are_refused_and_counted(upstream: Upstream) -> None:
    """Guards against an exceeded cap that the counts do not show."""
    with ThreadPoolExecutor(5) as pool:
        paths = ["/?work_ms=400"] * 5
        responses = pool.map(lambda path: fetch(upstream.address, path), paths)
    refused = [response.headers for response in responses if response.status == 503]
    assert [headers["request-not-run"] for headers in refused] == ["1"] * 3
    counts = upstream.count()
    assert (counts["over_slots"], counts["peak"], counts["in_flight"]) == (3, 2, 0)
    assert max(counts["windows"].values()) == 2


def test_deadline_and_drain_are_refused_without_a_run(upstream: Upstream) -> None:
    """Guards against "did not run" for a request that ran."""
    late = str(round(time.time() * 1000) - 5)
    status, headers, _ = fetch(
        upstream.address, "/", Request_Deadline=late, Ledger_Id="l2"
    )
    assert (status, headers["request-not-run"]) == (503, "1")
    upstream.control_upstream("u", drain=True, drain_refuse_after_s=0)
    status, headers, _ = fetch(upstream.address, "/", Ledger_Id="l2")
    assert (status, headers["upstream-state"]) == (503, "draining")
    assert upstream.runs("l2") == []
    assert http_json("GET", upstream.address, "/health")[1]["status"] == "warn"


def test_closing_the_connection_frees_the_slot(upstream: Upstream) -> None:
    """Guards against slots that stay in use after a cancelled request."""
    conn = begin(upstream.address, "/?work_ms=60000&ledger_id=l3")
    upstream.wait_running()
    conn.close()
    eventually(lambda: upstream.count()["in_flight"] == 0, 2, "slot is free")
    assert upstream.runs("l3")[0]["state"] == "cancelled"


def test_crash_resets_connections_and_returns_as_new_instance(
    upstream: Upstream,
) -> None:
    """Guards against simulated crashes that do not affect other requests."""
    upstream.control_upstream("u", crash_down_s=0.5)
    before = upstream.count()["instance"]
    other = begin(upstream.address, "/?work_ms=60000&ledger_id=l4")
    upstream.wait_running()
    with pytest.raises(ConnectionResetError):
        fetch(upstream.address, "/?crash=1&ledger_id=l5")
    with pytest.raises(ConnectionResetError):
        other.getresponse()
    with pytest.raises(ConnectionRefusedError):
        fetch(upstream.address, "/")
    eventually(lambda: upstream.count()["instance"] != before, 3, "new instance")
    assert fetch(upstream.address, "/")[0] == 200
    states = [upstream.runs(name)[0]["state"] for name in ("l4", "l5")]
    assert states == ["crashed", "crashed"]


def test_proxy_limits_bandwidth_and_counts_bytes_each_way(proxied: Upstream) -> None:
    """Guards against link counts that are low or of the wrong direction."""
    start = time.monotonic()
    assert fetch(proxied.proxied, "/?work_ms=0").status == 200
    assert time.monotonic() - start >= 0.06
    start = time.monotonic()
    assert fetch(proxied.proxied, "/?work_ms=0", b"x" * 4_000_000).status == 200
    assert 1.9 <= time.monotonic() - start <= 3.5  # the link carries 2 MB/s
    pairs = {(p["from"], p["to"]): p for p in proxied.proxy_counts()["pairs"]}
    assert 4_000_000 < pairs["a", "b"]["bytes"] < 4_010_000
    assert 0 < pairs["b", "a"]["bytes"] < 10_000
    assert 1_900_000 < pairs["a", "b"]["peak_bytes_per_s"] < 4_000_000


def test_proxy_truncates_drops_resets_and_stalls_connections(proxied: Upstream) -> None:
    """Guards against faults that a test requests but that do not occur."""
    address = proxied.proxied
    proxied.set_proxy_rule("rule", truncate_after=700, to_region="b")
    with pytest.raises(http.client.IncompleteRead):
        fetch(address, "/?size=5000&ledger_id=l6")
    proxied.set_proxy_rule("rule", lose_answer=True)
    with pytest.raises(http.client.RemoteDisconnected):
        fetch(address, "/?ledger_id=l7")
    assert [len(proxied.runs(name)) for name in ("l6", "l7")] == [1, 1]
    proxied.set_proxy_rule("rule", truncate_after=700, to_region="other")
    assert fetch(address, "/?size=5000").status == 200
    proxied.set_proxy_rule("rule", freeze=True)
    threading.Timer(0.5, proxied.set_proxy_rule, ["rule"]).start()
    start = time.monotonic()
    assert fetch(address, "/").status == 200
    assert time.monotonic() - start >= 0.5
    conn = begin(address, "/?work_ms=60000")
    proxied.wait_running()
    proxied.set_proxy_rule("rule", cut=True)
    with pytest.raises(ConnectionResetError):
        conn.getresponse()
    with pytest.raises(ConnectionError):
        fetch(address, "/")


def test_proxy_finds_origin_by_source_address(upstream: Upstream) -> None:
    """Guards against faults on the wrong daemon behind a shared listener."""
    upstream.start_listener([], to_region="b")
    source = loopback_ip(1)
    origins = {source: {"name": "me", "region": "a"}}
    http_json("POST", upstream.proxy_control_address, "/origins", origins)
    conn = http.client.HTTPConnection(upstream.proxied, source_address=(source, 0))
    conn.connect()
    eventually(lambda: upstream.proxy_counts()["tunnels"], 2, "a connection")
    (connection,) = upstream.proxy_counts()["tunnels"]
    assert (connection["from"], connection["from_region"]) == ("me", "a")


def test_caller_detects_responses_of_other_requests(upstream: Upstream) -> None:
    """Guards against a load tool that accepts responses of other requests."""
    loads = [
        {"service": "own", "rate": 30, "size": 3000},
        {"service": "foreign", "rate": 30, "query": "size=65"},
    ]
    upstream.start_caller(
        "caller", loads=loads, direct=[upstream.address], duration_s=1
    )
    result = upstream.result("caller", 20)["services"]
    assert upstream.children["caller"].process.returncode == 0
    own, foreign = result["own"], result["foreign"]
    assert own["requests"] == own["done"] + own["did_not_run"] > 0
    assert foreign["wrong"] > 0
    assert foreign["done"] == 0


@pytest.mark.parametrize(
    ("told", "outcome", "runs", "keyed", "count"),
    [
        ({"x.0": "done"}, "done", {"x.0": ["done"]}, True, 0),
        ({"x.0": "done"}, "done", {"x.0": ["done", "done"]}, True, 1),
        ({"x.0": "done"}, "done", {"x.0": ["done", "done"]}, False, 0),
        ({"x.0": "done"}, "done", {"x.0": ["cancelled"]}, False, 1),
        ({"x.0": "did-not-run"}, "did-not-run", {"x.0": ["crashed"]}, False, 1),
        ({"x.0": "did-not-run", "x.1": "done"}, "done", {"x.1": ["done"]}, True, 0),
        ({"x.0": "unknown"}, "unknown", {"x.0": ["done"]}, True, 0),
        ({"x.0": ""}, "lost", {}, True, 1),
    ],
)
def test_find_violations_finds_all_contradictions(
    told: dict[str, str],
    outcome: str,
    runs: dict[str, list[str]],
    keyed: bool,
    count: int,
) -> None:
    """Guards against violations that `find_violations` overlooks."""
    record: Data = {"id": "x", "outcome": outcome, "told": told, "sha256": ""}
    ledger = {
        name: [{"state": state, "sha256": ""} for state in states]
        for name, states in runs.items()
    }
    assert len(find_violations([{**record, "keyed": keyed}], ledger)) == count


def test_delays_of_the_load_tool_do_not_count_as_response_time() -> None:
    """Guards measured times against pauses of the load tool's process."""

    async def watch(blocked_s: float) -> float:
        delay = LoopDelay()
        delay.start()
        time.sleep(blocked_s)
        await asyncio.sleep(0.001)
        return delay.total_s

    assert asyncio.run(watch(0.0)) < 0.05
    assert asyncio.run(watch(0.06)) >= 0.05
