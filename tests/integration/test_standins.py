"""Tests of the stand-ins: a stand-in that miscounts would hide a broken cap."""

from __future__ import annotations

import hashlib
import http.client
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.cluster import Child, Data, eventually, http_json
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
