"""Guards look-ups, requests and responses through real processes.

No faults are injected.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.cluster import Cluster, eventually, small_manifest
from tests.httpcalls import call

# 200 MB take 5.7 s over a link of 280 Mbit/s.
UPLOAD_TIMEOUT_MS = 10_000


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("end-to-end")
    manifest = small_manifest({"north": 2, "south": 1})
    for service in manifest["services"]:
        if service["name"] == "upload":
            service["timeout_ms"] = UPLOAD_TIMEOUT_MS
    with Cluster(folder, manifest) as running:
        running.start()
        yield running


def test_lookup_names_a_host_of_the_callers_region(cluster: Cluster) -> None:
    """Guards against look-ups that send callers to another region."""
    for address in cluster.entries.values():
        status, _, body = call("GET", address, "/v1/lookup?service=read&region=south")
        assert status == 200
        assert b'"host":"south-0"' in body


def test_read_is_answered_through_every_host(cluster: Cluster) -> None:
    """Guards against a host that cannot serve requests."""
    for address in cluster.entries.values():
        status, headers, body = call("GET", address, "/v1/services/read/a?size=1000")
        assert (status, headers["request-outcome"], len(body)) == (200, "done", 1000)


def test_repeat_through_another_host_does_not_run_again(cluster: Cluster) -> None:
    """Guards against a second run by a host that did not issue the key."""
    first, *others = cluster.entries.values()
    path = "/v1/services/write/register?ledger_id=repeat"
    status, headers, _ = call("POST", first, path, b"ruling")
    assert (status, headers["request-outcome"]) == (428, "did-not-run")
    key = {"Idempotency-Key": headers["next-idempotency-key"]}
    responses = [call("POST", first, path, b"ruling", key)]
    responses += [call("POST", address, path, b"ruling", key) for address in others]
    assert {status for status, _, _ in responses} == {200}
    assert len({body for _, _, body in responses}) == 1
    assert len(cluster.ledger()["repeat"]) == 1


def test_key_with_another_body_is_refused(cluster: Cluster) -> None:
    """Guards against a request that gets the response to another body."""
    address = next(iter(cluster.entries.values()))
    path = "/v1/services/write/register?ledger_id=mismatch"
    _, headers, _ = call("POST", address, path, b"one")
    key = {"Idempotency-Key": headers["next-idempotency-key"]}
    assert call("POST", address, path, b"one", key)[0] == 200
    status, headers, _ = call("POST", address, path, b"two", key)
    assert (status, headers["error-kind"]) == (422, "KEY_MISMATCH")
    assert len(cluster.ledger()["mismatch"]) == 1


def test_large_upload_is_streamed_in_constant_memory(cluster: Cluster) -> None:
    """Guards a host's memory against bodies that are not streamed."""
    host, address = next(iter(cluster.entries.items()))
    before = cluster.children[host].peak_memory_kb()
    body = bytes(200_000_000)
    path = "/v1/services/upload/scan?ledger_id=large"
    status, headers, _ = call("PUT", address, path, body)
    assert (status, headers["request-outcome"]) == (200, "done")
    assert cluster.ledger()["large"][0]["bytes"] == len(body)
    assert cluster.children[host].peak_memory_kb() - before <= 16 * 1024


def test_unknown_service_is_refused(cluster: Cluster) -> None:
    """Guards against an unspecific error for a wrong service name."""
    address = next(iter(cluster.entries.values()))
    status, headers, _ = call("GET", address, "/v1/services/nothing/a")
    assert (status, headers["error-kind"]) == (404, "UNKNOWN_SERVICE")


def test_status_shows_connected_peers_and_reports(cluster: Cluster) -> None:
    """Guards against a status that hides a lost peer or a stale report."""
    host = next(iter(cluster.entries))

    def shown() -> bool:
        status = cluster.admin(host, "/v1/status")[1]
        peers = {row["host"]: row["connected"] for row in status["hosts"]}
        reports = [row["reported_in_use"] for row in status["upstreams"]]
        return set(peers.values()) == {True} and len(peers) == 2 and set(reports) == {0}

    eventually(shown, 5.0, "peers and reports in the status")
    cluster.control_upstream("*", health_lie="silent")
    eventually(lambda: not shown(), 10.0, "reports gone")
    cluster.control_upstream("*", health_lie="")
