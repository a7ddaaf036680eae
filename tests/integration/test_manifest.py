"""Guards the distribution of manifests (condition 8).

Commits race, the table service fails, and hosts are suspended, while the
version of every host is polled. The limits are those of the design document.
"""

from __future__ import annotations

import copy
import http.client
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

import msgspec
import pytest

from tests.cluster import ROOT, Cluster, Data, eventually, http_json
from tests.manifests import small_manifest

IN_FORCE_S = 5.0  # time until a version is in force on every host
# Time for which a host relies on its version without a confirmation.
FRESH_S = 3.0
ADDED = "added"  # name of a service that only some versions have
ROUNDS = 5  # number of races between two operators


class VersionPoller:
    """Polls the version of every host and records regressions."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.latest = dict.fromkeys(cluster.hosts, 0)
        self.regressions: list[str] = []
        self.poll_counts = dict.fromkeys(cluster.hosts, 0)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._poll, args=(host,), daemon=True)
            for host in cluster.hosts
        ]
        for thread in self.threads:
            thread.start()

    def _poll(self, host: str) -> None:
        # One connection is used for all polls, because the machine's table of
        # sockets would fill up with closed ones.
        address = self.cluster.settings[host]["admin_address"]
        conn = http.client.HTTPConnection(address, timeout=1.0)
        highest, process = 0, 0
        while not self.stopped.wait(0.02):
            pid = self.cluster.children[host].pid
            try:
                conn.request("GET", "/healthz")
                data = msgspec.json.decode(conn.getresponse().read())
            except (OSError, http.client.HTTPException):
                conn.close()
                continue
            if pid != self.cluster.children[host].pid:
                continue
            version = data["manifest_version"] or 0
            if pid != process:  # a new process begins without a version
                highest, process = 0, pid
            if version < highest:
                self.regressions.append(f"{host}: {highest} to {version}")
            highest = max(highest, version)
            self.latest[host] = version
            self.poll_counts[host] += 1
        conn.close()

    def wait(self, version: int, hosts: list[str] | None = None) -> float:
        """Wait until hosts, by default all, have a version.

        Return the elapsed seconds.
        """
        names = hosts or list(self.latest)
        return eventually(
            lambda: all(self.latest[name] >= version for name in names),
            IN_FORCE_S,
            f"version {version} in force: {self.latest}",
        )

    def end(self) -> None:
        """Stop polling."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    manifest = small_manifest({"north": 2, "south": 2})
    manifest["services"][0]["name"] = ADDED
    proxied = ("relay", "peer")
    folder = tmp_path_factory.mktemp("manifest")
    with Cluster(folder, manifest, proxied=proxied) as running:
        running.start(commit=False)
        status, response = running.commit(make_changed_manifest(running, 1), 0, "first")
        assert status == 200, response
        running.wait_active(1)
        yield running


@pytest.fixture(autouse=True)
def poller(cluster: Cluster) -> Iterator[VersionPoller]:
    running = VersionPoller(cluster)
    yield running
    cluster.set_table_faults(down=False, delay_ms=0, lose_answers=0)
    for host in cluster.hosts:
        cluster.resume(host)
    path = "/v1/manifest/history"
    try:
        eventually(
            lambda: all(cluster.admin(host, path)[0] == 200 for host in cluster.hosts),
            5,
            "the table in use again",
        )
        cluster.wait_active(newest_version(cluster), 30)
        # Time to poll every host, also one that was suspended.
        time.sleep(0.5)
    finally:
        running.end()
    assert not running.regressions
    assert min(running.poll_counts.values()) > 10


def make_changed_manifest(cluster: Cluster, number: int, added: bool = False) -> Data:
    """Return a manifest that differs from those made with other numbers.

    It has the service `ADDED` only if `added` is set.
    """
    manifest = copy.deepcopy(cluster.manifest)
    manifest["services"][-1]["timeout_ms"] += number
    if not added:
        del manifest["services"][0]
    return manifest


def newest_version(cluster: Cluster) -> int:
    """Return the newest version in the history of the table."""
    status, data = cluster.admin("north-0", "/v1/manifest/history")
    assert status == 200, data
    return int(data["history"][0]["version"])


def commit_change(
    cluster: Cluster, name: str, host: str = "north-0", **options: bool
) -> int:
    """Commit a changed manifest on a host; return the accepted version."""
    base = newest_version(cluster)
    manifest = make_changed_manifest(cluster, base + 1, **options)
    status, response = cluster.commit(manifest, base, name, host)
    assert (status, response.get("version")) == (200, base + 1), response
    return base + 1


def start_tool(cluster: Cluster, host: str, base: int, number: int, *args: str) -> Tool:
    """Start the command-line tool to commit a manifest on a host."""
    path = cluster.write_json(
        f"manifest-{host}", make_changed_manifest(cluster, number)
    )
    admin = cluster.settings[host]["admin_address"]
    command = ["commit", str(path), "--admin", admin, "--base", str(base), "--json"]
    return subprocess.Popen(
        [sys.executable, "-m", "samphirebend.cli", *command, *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


Tool = subprocess.Popen[bytes]


def end_tool(tool: Tool) -> tuple[int, Data]:
    """Wait for the tool to end; return its exit status and its JSON output."""
    out, err = tool.communicate(timeout=30)
    return tool.returncode, msgspec.json.decode(out or err)


def test_one_of_two_racing_operators_wins(
    cluster: Cluster, poller: VersionPoller
) -> None:
    """Guards against two accepted commits on one base version.

    The tool of the operator who lost the race must report the conflict.
    """
    for number in range(ROUNDS):
        base = newest_version(cluster)
        # The delay lets both daemons read before either writes.
        cluster.set_table_faults(delay_ms=400)
        hosts = ("north-0", "south-1")
        tools = [
            start_tool(cluster, host, base, 100 + 2 * number + i)
            for i, host in enumerate(hosts)
        ]
        (won, accepted), (lost, refused) = sorted(map(end_tool, tools), key=exit_code)
        assert (won, accepted["version"]) == (0, base + 1)
        assert lost == 4
        versions = (refused["base_version"], refused["current_version"])
        assert versions == (base, base + 1)
        cluster.set_table_faults(delay_ms=0)
        poller.wait(base + 1)
        assert newest_version(cluster) == base + 1
    conflicts = cluster.table_counts().get("TransactionCanceledException", 0)
    assert conflicts >= ROUNDS - 1  # the writes did race


def exit_code(ended: tuple[int, Data]) -> int:
    return ended[0]


def test_commit_whose_acknowledgement_is_lost_counts_once(
    cluster: Cluster, poller: VersionPoller
) -> None:
    """Guards against a second version if a commit is repeated with its id."""
    base = newest_version(cluster)
    # The response of the table to the daemon is lost.
    cluster.set_table_faults(lose_answers=1)
    tool = start_tool(cluster, "north-1", base, 200, "--commit-id", "lost-1")
    assert end_tool(tool)[0] == 0
    # The response of the daemon to the tool is lost, because the tool is
    # killed once the table has received the write.
    cluster.set_table_faults(delay_ms=700)
    writes = cluster.table_counts().get("TransactWriteItems", 0)
    commit_id_args = ("--commit-id", "lost-2")
    tool = start_tool(cluster, "north-1", base + 1, 201, *commit_id_args)
    eventually(
        lambda: cluster.table_counts().get("TransactWriteItems", 0) > writes,
        10,
        "the write",
    )
    tool.kill()
    tool.communicate()
    poller.wait(base + 2)
    cluster.set_table_faults(delay_ms=0)
    for host in cluster.hosts:
        status, response = end_tool(
            start_tool(cluster, host, base + 1, 201, *commit_id_args)
        )
        assert (status, response["version"]) == (0, base + 2)
    assert newest_version(cluster) == base + 2


def test_outage_right_after_acceptance(cluster: Cluster, poller: VersionPoller) -> None:
    """Guards against a version that hosts could only read from the table.

    The table service fails after the commit, and one host starts in the
    outage.
    """
    cluster.kill("south-1")
    version = commit_change(cluster, "outage", "south-0")
    cluster.set_table_faults(down=True)
    poller.wait(version, ["north-0", "north-1", "south-0"])
    cluster.start_daemon("south-1")
    poller.latest["south-1"] = 0
    poller.wait(version)
    assert cluster.table_counts().get("dropped", 0) > 0


def test_suspended_host_does_not_respond_by_its_old_version(
    cluster: Cluster, poller: VersionPoller
) -> None:
    """Guards against responses by an outdated manifest after a suspension."""
    cluster.freeze("south-0")
    suspended_at = time.monotonic()
    version = commit_change(cluster, "frozen", added=True)
    poller.wait(version, ["north-0", "north-1", "south-1"])
    responses: list[tuple[str, int, object]] = []
    targets = (f"/v1/services/{ADDED}/a", f"/v1/lookup?service={ADDED}") * 5
    threads = [
        threading.Thread(target=send_request, args=(cluster, t, responses))
        for t in targets
    ]
    for thread in threads:  # requests wait in the host's receive buffers
        thread.start()
    suspended_s = FRESH_S + 1.0
    eventually(
        lambda: time.monotonic() > suspended_at + suspended_s,
        10,
        "the suspension is long enough",
    )
    cluster.resume("south-0")
    poller.wait(version, ["south-0"])
    for thread in threads:
        thread.join()
    assert len(responses) == len(targets)
    # 404 would be the response by the old version; 503 means that the host has
    # not decided by any version.
    assert {status for _, status, _ in responses} <= {200, 503}, responses


def send_request(
    cluster: Cluster, target: str, responses: list[tuple[str, int, object]]
) -> None:
    entry = cluster.entries["south-0"]
    status, data = http_json("GET", entry, target, timeout_s=20.0)
    responses.append((target, status, data))


def test_in_force_everywhere_in_time(cluster: Cluster, poller: VersionPoller) -> None:
    """Guards the limit of 5 s until a commit is in force on every host.

    The commits go through all hosts in turn.
    """
    times = []
    for number in range(20):
        host = list(cluster.hosts)[number % len(cluster.hosts)]
        version = commit_change(cluster, f"many-{number}", host)
        times.append(poller.wait(version))
    print(f"in force everywhere, 20 commits: {sorted(round(t, 3) for t in times)} s")
