"""Tests of the stand-ins: a stand-in that miscounts would hide a broken cap."""

from __future__ import annotations

import hashlib
import http.client
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from tests.cluster import Child, Data, broken_conditions, eventually, http_json
from tests.standins.upstream import answer_body, content_digest


class Upstreams:
    """An upstream process with its addresses."""

    def __init__(self, folder: Path, *args: str) -> None:
        self.child = Child("upstream", "tests.standins.upstream", list(args), folder)
        line = self.child.first_line()
        self.port = int(line["port"])
        self.control = f"127.0.0.1:{line['control']}"

    def counts(self) -> Data:
        """Return the counts of the only upstream."""
        counts: Data = http_json("GET", self.control, "/counts")[1]["upstreams"]["u"]
        return counts

    def runs(self, ledger_id: str) -> list[Data]:
        """Return the recorded runs of a ledger id."""
        runs: list[Data] = http_json("GET", self.control, "/ledger")[1].get(
            ledger_id, []
        )
        return runs

    def change(self, **changes: object) -> None:
        """Change the upstream's settings."""
        assert http_json("POST", self.control, "/control", {"u": changes})[0] == 200


@pytest.fixture
def upstream(tmp_path: Path) -> Iterator[Upstreams]:
    """Start one upstream with two slots."""
    started = Upstreams(tmp_path, "--name", "u", "--slots", "2")
    yield started
    started.child.process.kill()
    started.child.process.wait()


def fetch(
    port: int, path: str, body: bytes | None = None, **headers: str
) -> tuple[int, dict[str, str], bytes]:
    """Send a request; header names are written with underscores."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        conn.request("GET" if body is None else "POST", path, body, fields)
        response = conn.getresponse()
        answer = {k.lower(): v for k, v in response.getheaders()}
        return response.status, answer, response.read()
    finally:
        conn.close()


def test_answer_belongs_to_its_request_and_run_is_recorded(upstream: Upstreams) -> None:
    """Guards against answers that fit any request, and uploads counted short."""
    upload = b"x" * 3_000_000
    status, headers, body = fetch(
        upstream.port, "/a?size=1000", upload, Request_Id="r1", Ledger_Id="l1"
    )
    assert (status, headers["request-id"]) == (200, "r1")
    assert body == answer_body("r1", "l1", 1000)
    assert headers["content-digest"] == content_digest(body)
    (run,) = upstream.runs("l1")
    assert (run["state"], run["bytes"]) == ("done", len(upload))
    assert run["sha256"] == hashlib.sha256(upload).hexdigest()
    assert run["end"] - run["start"] >= 0.019


def test_requests_above_the_slots_are_refused_and_counted(upstream: Upstreams) -> None:
    """Guards against a broken cap that leaves no evidence."""
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(fetch(upstream.port, "/?work_ms=400")[:2])
        )
        for _ in range(5)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [headers for status, headers in answers if status == 503]
    assert [headers["request-not-run"] for headers in refused] == ["1"] * 3
    counts = upstream.counts()
    assert (counts["over_slots"], counts["peak"], counts["in_flight"]) == (3, 2, 0)
    assert max(counts["windows"].values()) == 2


def test_deadline_and_drain_are_refused_without_a_run(upstream: Upstreams) -> None:
    """Guards against "did not run" from an upstream that ran the request."""
    late = str(round(time.time() * 1000) - 5)
    status, headers, _ = fetch(
        upstream.port, "/", Request_Deadline=late, Ledger_Id="l2"
    )
    assert (status, headers["request-not-run"]) == (503, "1")
    upstream.change(drain=True, drain_refuse_after_s=0)
    status, headers, _ = fetch(upstream.port, "/", Ledger_Id="l2")
    assert (status, headers["upstream-state"]) == (503, "draining")
    assert upstream.runs("l2") == []
    assert http_json("GET", f"127.0.0.1:{upstream.port}", "/health")[1]["status"] == (
        "warn"
    )


def test_closing_the_connection_frees_the_slot(upstream: Upstreams) -> None:
    """Guards against slots that a cancelled request keeps."""
    conn = http.client.HTTPConnection("127.0.0.1", upstream.port)
    conn.request("GET", "/?work_ms=60000&ledger_id=l3")
    eventually(lambda: upstream.counts()["in_flight"] == 1, 2, "request runs")
    conn.close()
    eventually(lambda: upstream.counts()["in_flight"] == 0, 2, "slot is free")
    assert upstream.runs("l3")[0]["state"] == "cancelled"


def test_crash_resets_connections_and_returns_as_new_instance(
    upstream: Upstreams,
) -> None:
    """Guards against a poison request that harms nobody in tests."""
    upstream.change(crash_down_s=0.5)
    before = upstream.counts()["instance"]
    other = http.client.HTTPConnection("127.0.0.1", upstream.port)
    other.request("GET", "/?work_ms=60000&ledger_id=l4")
    eventually(lambda: upstream.counts()["in_flight"] == 1, 2, "request runs")
    with pytest.raises(ConnectionResetError):
        fetch(upstream.port, "/?crash=1&ledger_id=l5")
    with pytest.raises(ConnectionResetError):
        other.getresponse()
    with pytest.raises(ConnectionRefusedError):
        fetch(upstream.port, "/")
    eventually(lambda: upstream.counts()["instance"] != before, 3, "new instance")
    assert fetch(upstream.port, "/")[0] == 200
    states = [upstream.runs(name)[0]["state"] for name in ("l4", "l5")]
    assert states == ["crashed", "crashed"]


@pytest.fixture
def proxied(upstream: Upstreams, tmp_path: Path) -> Iterator[tuple[int, str]]:
    """Start a proxy before the upstream; give its port and control address."""
    target = f"127.0.0.1:{upstream.port}"
    listener = {"name": "u", "target": target, "from_region": "a", "to_region": "b"}
    link = {"between": ["a", "b"], "mbit_per_s": 16, "delay_ms": 30}
    path = tmp_path / "proxy.json"
    path.write_bytes(msgspec.json.encode({"listeners": [listener], "links": [link]}))
    child = Child(
        "proxy", "tests.standins.fault_proxy", ["--config", str(path)], tmp_path
    )
    line = child.first_line()
    yield line["ports"]["u"], f"127.0.0.1:{line['control']}"
    child.process.kill()
    child.process.wait()


def set_rule(control: str, **rule: object) -> None:
    """Set the only rule of a proxy."""
    assert http_json("POST", control, "/rules", {"rule": rule or None})[0] == 200


def test_proxy_limits_bandwidth_and_counts_bytes_each_way(
    proxied: tuple[int, str],
) -> None:
    """Guards against link figures that count too little or the wrong way."""
    port, control = proxied
    start = time.monotonic()
    assert fetch(port, "/?work_ms=0")[0] == 200
    assert time.monotonic() - start >= 0.06
    start = time.monotonic()
    assert fetch(port, "/?work_ms=0", b"x" * 4_000_000)[0] == 200
    assert 1.9 <= time.monotonic() - start <= 3.5  # 2 MB a second
    pairs = {
        (p["from"], p["to"]): p
        for p in http_json("GET", control, "/counts")[1]["pairs"]
    }
    assert 4_000_000 < pairs["a", "b"]["bytes"] < 4_010_000
    assert 0 < pairs["b", "a"]["bytes"] < 10_000
    assert 1_900_000 < pairs["a", "b"]["peak_bytes_per_s"] < 4_000_000


def test_proxy_truncates_loses_cuts_and_freezes(
    proxied: tuple[int, str], upstream: Upstreams
) -> None:
    """Guards against faults that were asked for and never happened."""
    port, control = proxied
    set_rule(control, truncate_after=700, to_region="b")
    with pytest.raises(http.client.IncompleteRead):
        fetch(port, "/?size=5000&ledger_id=l6")
    set_rule(control, lose_answer=True)
    with pytest.raises(http.client.RemoteDisconnected):
        fetch(port, "/?ledger_id=l7")
    assert [len(upstream.runs(name)) for name in ("l6", "l7")] == [1, 1]
    set_rule(control, truncate_after=700, to_region="other")
    assert fetch(port, "/?size=5000")[0] == 200
    set_rule(control, freeze=True)
    threading.Timer(0.5, set_rule, [control]).start()
    start = time.monotonic()
    assert fetch(port, "/")[0] == 200
    assert time.monotonic() - start >= 0.5
    conn = http.client.HTTPConnection("127.0.0.1", port)
    conn.request("GET", "/?work_ms=60000")
    eventually(lambda: upstream.counts()["in_flight"] == 1, 2, "request runs")
    set_rule(control, cut=True)
    with pytest.raises(ConnectionResetError):
        conn.getresponse()
    with pytest.raises(ConnectionError):
        fetch(port, "/")


def test_proxy_finds_origin_by_source_address(
    upstream: Upstreams, tmp_path: Path
) -> None:
    """Guards against faults on the wrong daemon when daemons share a listener."""
    listener = {"name": "u", "target": f"127.0.0.1:{upstream.port}", "to_region": "b"}
    path = tmp_path / "proxy.json"
    path.write_bytes(msgspec.json.encode({"listeners": [listener]}))
    child = Child(
        "proxy", "tests.standins.fault_proxy", ["--config", str(path)], tmp_path
    )
    try:
        line = child.first_line()
        control = f"127.0.0.1:{line['control']}"
        origin = {"name": "me", "region": "a"}
        http_json("POST", control, "/origins", {"127.0.0.1": origin})
        conn = http.client.HTTPConnection("127.0.0.1", line["ports"]["u"])
        conn.connect()
        (ends,) = eventually_list(
            lambda: http_json("GET", control, "/counts")[1]["tunnels"]
        )
        assert (ends["from"], ends["from_region"]) == ("me", "a")
    finally:
        child.process.kill()
        child.process.wait()


def eventually_list(read: Callable[[], list[Data]]) -> list[Data]:
    """Wait until a list is not empty; return it."""
    eventually(read, 2, "a list with items")
    return read()


def test_caller_finds_foreign_answers(upstream: Upstreams, tmp_path: Path) -> None:
    """Guards against a load tool that accepts answers of other requests."""
    plan = {
        "direct": [f"127.0.0.1:{upstream.port}"],
        "duration_s": 1,
        "records": str(tmp_path / "records.jsonl"),
        "loads": [
            {"service": "own", "rate": 30, "size": 3000},
            {"service": "foreign", "rate": 30, "query": "size=65"},
        ],
    }
    path = tmp_path / "plan.json"
    path.write_bytes(msgspec.json.encode(plan))
    child = Child("caller", "tests.standins.caller", [str(path)], tmp_path)
    assert child.process.wait(20) == 0
    result = child.first_line()["services"]
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
def test_verdict_finds_broken_conditions(
    told: dict[str, str],
    outcome: str,
    runs: dict[str, list[str]],
    keyed: bool,
    count: int,
) -> None:
    """Guards against a verdict that passes over double runs and lost answers."""
    record: Data = {"id": "x", "outcome": outcome, "told": told, "sha256": ""}
    ledger = {
        name: [{"state": state, "sha256": ""} for state in states]
        for name, states in runs.items()
    }
    assert len(broken_conditions([{**record, "keyed": keyed}], ledger)) == count
