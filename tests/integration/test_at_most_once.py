"""Guards the outcomes of keyed requests under failures (conditions 4 and 5).

A request reported as "did not run" must not have run, and a request with an
idempotency key may run at most once. The ledger of the upstream stand-ins
shows what ran. The seed is printed; `AT_MOST_ONCE_SEED` sets another one.
"""

from __future__ import annotations

import http.client
import itertools
import os
import random
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Final

import pytest

from tests.cluster import Cluster, eventually, find_violations, small_manifest
from tests.httpcalls import call
from tests.standins.upstream import response_body

SEED: Final = int(os.environ.get("AT_MOST_ONCE_SEED", "1"))
OUTAGE_S: Final = 11.0  # duration of the outage of the table service
RESPONSE_BYTES: Final = 500  # size of a response's body
NUMBERS: Final = itertools.count()  # make the names of requests unique
POOL: Final = ThreadPoolExecutor(64)  # runs the callers


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    manifest = small_manifest({"north": 3, "south": 2}, 3, 2, timeout_ms=1500)
    timing = {"lease_ms": 1500, "heartbeat_ms": 250}
    settings = {host["name"]: timing for host in manifest["hosts"]}
    proxied = ("relay", "upstream")
    folder = tmp_path_factory.mktemp("once")
    with Cluster(folder, manifest, settings, proxied, SEED) as running:
        running.start()
        settle(running)
        yield running


@pytest.fixture
def rng(request: pytest.FixtureRequest) -> random.Random:
    # The test's name is part of the seed, so a renamed test draws other hosts
    # and times.
    print(f"seed {SEED}")
    return random.Random(f"{SEED}/{request.node.name}")


@pytest.fixture
def hosts(cluster: Cluster, rng: random.Random) -> list[str]:
    """Return all hosts in random order.

    The first one issues the idempotency keys of the test and executes their
    requests.
    """
    return rng.sample(list(cluster.hosts), len(cluster.hosts))


class Registration:
    """A request with an idempotency key, and the outcomes its callers got."""

    def __init__(self, cluster: Cluster, executor: str, name: str, work_ms: int = 10):
        self.cluster = cluster
        self.name = f"{name}-{SEED}"
        path = (
            f"/register?ledger_id={self.name}&work_ms={work_ms}&size={RESPONSE_BYTES}"
        )
        self.path = f"/v1/services/write{path}"
        self.key = ""
        self.key = self._exchange(executor, {})[2]
        # Outcome and error kind of each response; both are "" without one.
        self.received: list[tuple[str, str]] = []

    def _exchange(self, host: str, headers: dict[str, str]) -> tuple[str, str, str]:
        """Send the request; return the outcome, error kind and next key.

        All are empty without a response.
        """
        headers = {"Request-Id": self.name, **headers}
        if self.key:
            headers["Idempotency-Key"] = self.key
        entry = self.cluster.entries[host]
        try:
            response = call("POST", entry, self.path, b"ruling", headers, timeout_s=8)
        except (OSError, http.client.HTTPException):
            return "", "", ""
        get = response.headers.get
        outcome, kind = get("request-outcome", ""), get("error-kind", "")
        expected = response_body(self.name, self.name, RESPONSE_BYTES)
        if outcome == "done" and response.body != expected:
            outcome = "wrong"
        return outcome, kind, get("next-idempotency-key", "")

    def _send_once(self, host: str, headers: dict[str, str]) -> str:
        outcome, kind, _ = self._exchange(host, headers)
        self.received.append((outcome, kind))
        return outcome

    def send(self, *hosts: str, **headers: str) -> list[Future[str]]:
        """Send the request through all given hosts at the same time."""
        return [POOL.submit(self._send_once, host, headers) for host in hosts]

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs that the upstreams recorded."""
        return self.cluster.ledger().get(self.name, [])

    def wait_running(self) -> str:
        """Wait until an upstream runs the request; return the upstream."""
        eventually(lambda: self.runs() or self.received, 5.0, f"a run of {self.name}")
        return str(self.runs()[0]["upstream"])

    def check(self, at_least: int = 0, at_most: int = 1) -> None:
        """Check the number of runs in the ledger against the outcomes."""
        runs = self.runs()
        assert at_least <= len(runs) <= at_most, (self.name, runs, self.received)
        refused = "did-not-run" in dict(self.received)
        assert not (refused and runs), (self.name, runs, self.received)


def outcomes(futures: list[Future[str]]) -> set[str]:
    """Wait for all attempts; return the different outcomes."""
    return {future.result(12) for future in futures}


def settle(cluster: Cluster) -> None:
    """Wait until each host holds its own shard and can relay to all others."""
    hosts, own = list(cluster.hosts), {host: [host] for host in cluster.hosts}

    def relayed() -> bool:
        name = f"settle-{next(NUMBERS)}-"
        registrations = [Registration(cluster, host, name + host) for host in hosts]
        return outcomes(
            [f for registration in registrations for f in registration.send(*hosts)]
        ) == {"done"}

    eventually(
        lambda: cluster.held_shards(hosts) == own, 15.0, "every host has its shard"
    )
    eventually(relayed, 10.0, "every host relays to every other")


# Effects of the fault proxy that begin while the request runs.
FAULTS: Final[dict[str, dict[str, Any]]] = {
    "reset": {"cut": True},
    "answer-lost": {"lose_answer": True},
    "answer-cut": {"truncate_after": 99},
    "answer-late": {"freeze": True},
}


@pytest.mark.parametrize("where", ["upstream", "relay"])
@pytest.mark.parametrize("fault", FAULTS)
def test_repeats_do_not_run_again(
    cluster: Cluster, hosts: list[str], rng: random.Random, fault: str, where: str
) -> None:
    """Guards against a second run by a repeat, and a false "did not run".

    The connection to the upstream, or the relay between two hosts, fails while
    the request runs.
    """
    executor, name = hosts[0], f"{fault}-{where}"
    request = Registration(cluster, executor, name, rng.randrange(400, 700))
    relayed = where == "relay"  # another host relays it to the executor
    first = request.send(hosts[relayed])
    upstream = request.wait_running()
    # Repeats through the faulty relay would only be told "unknown".
    concurrent = request.send(*([executor] if relayed else hosts))
    faulty_listener, later_outcome = (
        (f"relay:{executor}", "done") if relayed else (upstream, "unknown")
    )
    cluster.set_proxy_rule("fault", listener=faulty_listener, **FAULTS[fault])
    received = [outcomes(first), outcomes(concurrent)]
    cluster.set_proxy_rule("fault")
    received.append(outcomes(request.send(*hosts)))
    request.check(at_least=1)
    assert received == [{"unknown"}, {later_outcome}, {later_outcome}], request.received


def test_a_refused_key_never_runs(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against a run after the caller was told "did not run".

    All upstreams refuse the first attempt and would accept a later one.
    """
    cluster.control_upstream("*", shed=1.0)
    request = Registration(cluster, hosts[0], "refused")
    received = [outcomes(request.send(hosts[1]))]
    cluster.control_upstream("*", shed=0.0)
    received.append(outcomes(request.send(*hosts)))
    request.check(at_most=0)
    assert received == [{"did-not-run"}] * 2


def test_a_lower_body_limit_is_no_proof(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against a false "did not run" after a change of the body limit.

    The request ran under the earlier limit, and its repeats exceed the new
    one.
    """
    request = Registration(cluster, hosts[0], "limit")
    received = [outcomes(request.send(hosts[1]))]
    write = next(s for s in cluster.manifest["services"] if s["name"] == "write")
    for limit in (3, write["max_body_bytes"]):
        write["max_body_bytes"] = limit
        version = cluster.admin(hosts[0], "/v1/manifest")[1]["version"]
        assert cluster.commit(cluster.manifest, version, f"limit-{limit}")[0] == 200
        for host in hosts:
            cluster.wait_version(host, version + 1)
        received.append(outcomes(request.send(*hosts)))
    request.check(at_least=1)
    assert received == [{"done"}, {"unknown"}, {"done"}]


def test_a_hasty_repeat_spoils_no_answer(cluster: Cluster, hosts: list[str]) -> None:
    """Guards the first caller against a repeat with a shorter timeout.

    The timeout of the repeat must not make the first caller's outcome unknown.
    """
    request = Registration(cluster, hosts[0], "hasty", 800)
    first = request.send(hosts[0])
    request.wait_running()
    impatient = request.send(*hosts, **{"Request-Timeout-Ms": "150"})
    patient = request.send(*hosts)
    received = [outcomes(impatient), outcomes(first + patient)]
    request.check(at_least=1)
    assert received == [{"unknown"}, {"done"}], request.received


def test_answers_out_of_order(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against second runs by concurrent repeats, and swapped responses.

    The requests end in the reverse order of their start.
    """
    works = (600, 500, 400, 300, 200)
    requests = [Registration(cluster, hosts[0], f"order-{w}", w) for w in works]
    futures = [future for request in requests for future in request.send(*hosts)]
    received = outcomes(futures)
    for request in requests:
        received |= outcomes(request.send(*hosts))
        request.check(at_least=1)
    assert received == {"done"}, [request.received for request in requests]


def test_executor_killed_after_the_write(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against a second run by a restarted executor or by a peer."""
    executor, *others = hosts
    request = Registration(cluster, executor, "killed", 700)
    pending = request.send(*hosts)
    request.wait_running()
    # The responses to the writes of the takeover are lost.
    cluster.set_table_faults(lose_answers=2)
    cluster.kill(executor)
    received = [outcomes(pending), outcomes(request.send(*others))]
    cluster.wait_takeover(executor)
    received.append(outcomes(request.send(*others)))
    cluster.start_daemon(executor)
    settle(cluster)
    received.append(outcomes(request.send(*hosts)))
    request.check(at_least=1)
    assert received == [{"", "unknown"}, *[{"unknown"}] * 3], request.received


def test_executor_frozen_past_its_lease(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against runs by a process that was suspended past its lease."""
    executor = hosts[0]
    neighbour = next(host for host in hosts[1:] if host[:5] == executor[:5])
    running = Registration(cluster, executor, "frozen", 700)
    queued = [Registration(cluster, executor, f"queued-{n}", 50) for n in range(4)]
    pending = running.send(executor)
    running.wait_running()
    cluster.freeze(executor)
    for request in (running, *queued):
        pending += request.send(*hosts)
    cluster.wait_takeover(executor)
    # While the new holder of the lease uses all slots of the region, a
    # dispatch by the former holder would exceed the slots of an upstream.
    filling: list[Registration] = []

    def is_full() -> bool:
        filling.append(Registration(cluster, neighbour, f"fill-{len(filling)}", 1200))
        pending.extend(filling[-1].send(neighbour))
        counts = cluster.counts()["upstreams"]
        return all(
            counts[f"write-{neighbour[:5]}-{n}"]["in_flight"] == 2 for n in range(3)
        )

    eventually(is_full, 8.0, "all slots of the region in use")
    cluster.resume(executor)
    outcomes(pending)
    for request in (running, *queued, *filling):
        outcomes(request.send(*hosts))
        request.check()
    running.check(at_least=1)
    counts = cluster.counts()["upstreams"].values()
    assert not any(row["over_slots"] for row in counts)
    settle(cluster)


def test_storm_while_the_table_is_down(cluster: Cluster, hosts: list[str]) -> None:
    """Guards against requests that depend on the table service.

    During its outage, requests are first sent without other faults, then while
    connections fail, one host is killed and another is suspended.
    """
    load = {"service": "write", "rate": 25.0, "keyed": True, "query": "work_ms=30"}
    loads = [{**load, "region": region} for region in ("north", "south")]
    plan = {"loads": loads, "duration_s": OUTAGE_S / 2, "attempt_timeout_s": 3}
    down_at = time.monotonic()
    cluster.set_table_faults(down=True)
    dropped = cluster.table_counts().get("dropped", 0)
    cluster.start_caller("quiet", **plan)
    quiet = cluster.result("quiet")["services"]["write"]
    calls = cluster.table_counts()["dropped"] - dropped
    print(f"quiet: {calls} calls of the table, {quiet}")
    assert quiet["done"] == quiet["requests"] >= 100
    # The circuit breaker of each host opens after a few calls and then allows
    # one call per second, regardless of the number of requests.
    assert calls <= len(cluster.hosts) * (time.monotonic() - down_at + 5)
    killed, frozen, *_ = hosts
    cluster.set_proxy_rule("random", random=0.5)
    cluster.start_caller("storm", **plan, seed=SEED + 1)
    runs_before = len(cluster.ledger())
    cluster.wait_runs(runs_before + 40)
    cluster.kill(killed)
    cluster.wait_runs(runs_before + 80)
    cluster.freeze(frozen)
    cluster.wait_runs(runs_before + 120)
    cluster.resume(frozen)
    storm = cluster.result("storm")["services"]["write"]
    assert time.monotonic() - down_at > OUTAGE_S
    print(f"storm: {storm}, {cluster.proxy_counts()['faults']}")
    cluster.set_proxy_rule("random")
    cluster.set_table_faults(down=False, lose_answers=3)
    cluster.start_daemon(killed)
    settle(cluster)
    records = cluster.records("quiet") + cluster.records("storm")
    # A lost response is no violation here, because it reports no false
    # outcome.
    violations = find_violations(records, cluster.ledger())
    assert all("lost response" in text for text in violations), violations
    assert storm["done"] > 0
