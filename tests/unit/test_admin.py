"""Tests of the admin interface over real loopback connections."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest
import pytest_twisted  # type: ignore[import-untyped]
import treq
from result import Err, Ok, Result
from twisted.internet.threads import deferToThread

from samphirebend import admin
from samphirebend.addresses import Address
from samphirebend.admin import AdminApp, AdminService
from samphirebend.adminclient import call
from samphirebend.jsonfile import Fault
from samphirebend.manifesttable import CommitFault, CommitFaultKind
from samphirebend.metrics import Metrics
from samphirebend.serviceregistry import ServiceRegistry

from ..reactor import on_reactor, reactor


def make_commit_error(kind: CommitFaultKind, **fields: Any) -> Err[CommitFault]:
    fault = CommitFault(kind, 7)
    for name, value in fields.items():
        setattr(fault, name, value)
    return Err(fault)


class FakeManifestAdmin:
    """Manifest service with two versions and a fixed commit result."""

    def __init__(self) -> None:
        self.texts = {6: "six", 7: "seven"}
        self.commit_result: Result[int, CommitFault] = Ok(8)
        self.commits: list[tuple[str, int, str]] = []
        self.fresh = True
        self.table_up = True

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def current(self) -> Any:
        if not self.texts:
            return None
        version = max(self.texts)
        return SimpleNamespace(version=version, text=self.texts[version])

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    async def commit(
        self, text: str, base_version: int, commit_id: str
    ) -> Result[int, CommitFault]:
        self.commits.append((text, base_version, commit_id))
        return self.commit_result

    async def history(self) -> Result[list[Any], str]:
        if not self.table_up:
            return Err("unavailable")
        entries = [
            SimpleNamespace(version=v, commit_id=f"c{v}", committed_unix_ms=9, text=t)
            for v, t in sorted(self.texts.items(), reverse=True)
        ]
        return Ok(entries)


class Client:
    """HTTP client of the admin interface, and the service behind it."""

    def __init__(self, port: int, manifests: FakeManifestAdmin) -> None:
        self.base = f"http://127.0.0.1:{port}"
        self.manifests = manifests

    async def call(
        self, path: str, body: object = None, method: str = ""
    ) -> tuple[int, Any]:
        method = method or ("GET" if body is None else "POST")
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = await treq.request(
            method, self.base + path, data=data, timeout=5, persistent=False
        )
        return response.code, json.loads(await response.content())


@pytest_twisted.async_yield_fixture
async def client() -> AsyncIterator[Client]:
    registry, manifests = ServiceRegistry(), FakeManifestAdmin()
    registry.register("spread", manifests)
    app = AdminApp(reactor, registry, Metrics(), manifests, lambda: {"hosts": []})
    service = AdminService(reactor, Address("127.0.0.1", 0), app)
    service.start()
    yield Client(service._port.getHost().port, manifests)
    await service.stop()


@on_reactor
async def test_reads(client: Client) -> None:
    # Guards against changes of the responses that the command-line tool and
    # metrics collectors read.
    health = {"status": "pass", "manifest_version": 7, "fresh": True}
    assert await client.call("/healthz") == (200, health)
    assert await client.call("/v1/status") == (200, {"hosts": []})
    for path in ("/v1/manifest", "/v1/manifest?version=7"):
        assert await client.call(path) == (200, {"version": 7, "text": "seven"})
    older = {"version": 6, "text": "six"}
    assert await client.call("/v1/manifest?version=6") == (200, older)
    code, response = await client.call("/v1/manifest/history")
    newest = {"version": 7, "commit_id": "c7", "committed_unix_ms": 9}
    assert (code, response["history"][0], len(response["history"])) == (200, newest, 2)
    metrics = await treq.get(client.base + "/metrics", timeout=5, persistent=False)
    assert "samphirebend_peers_live 0" in (await metrics.content()).decode()
    # Of objects from other packages, a dump shows only the type.
    shown = {"services": {"spread": "(tests.unit.test_admin.FakeManifestAdmin)"}}
    assert await client.call("/v1/dump?service=spread") == (200, shown)


@on_reactor
async def test_failed_reads_are_json(client: Client) -> None:
    # Guards against HTML error pages, and against status 500 for expected
    # failures.
    for path, status in (
        ("/nothing", 404),
        ("/v1/manifest?version=5", 404),
        ("/v1/manifest?version=-1", 400),
        ("/v1/manifest?version=99999999999999999999", 400),
        ("/v1/dump?service=x", 404),
    ):
        code, response = await client.call(path)
        assert (code, bool(response["error"])) == (status, True), path
    assert (await client.call("/v1/status", method="PUT"))[0] == 405
    client.manifests.table_up = False
    assert (await client.call("/v1/manifest/history"))[0] == 503
    assert (await client.call("/v1/manifest?version=6"))[0] == 503
    client.manifests.texts.clear()
    assert (await client.call("/v1/manifest"))[0] == 503
    code, health = await client.call("/healthz")
    assert (code, health["status"]) == (200, "warn")


@on_reactor
async def test_commit_responses(client: Client) -> None:
    # Guards against changes of the four responses to a commit, on which
    # operators' tools base their decisions.
    body = {"text": "{}", "base_version": 7, "commit_id": "c8"}
    assert await client.call("/v1/manifest", body) == (200, {"version": 8})
    assert client.manifests.commits == [("{}", 7, "c8")]

    client.manifests.commit_result = make_commit_error(
        CommitFaultKind.CONFLICT, current_version=9
    )
    code, response = await client.call("/v1/manifest", body)
    assert (code, response["base_version"], response["current_version"]) == (409, 7, 9)

    fault = Fault("links", "a link", "none")
    client.manifests.commit_result = make_commit_error(
        CommitFaultKind.INVALID, faults=[fault, fault]
    )
    code, response = await client.call("/v1/manifest", body)
    one = {"path": "links", "expected": "a link", "found": "none"}
    assert (code, response["faults"]) == (400, [one, one])

    for uncertain in (True, False):
        client.manifests.commit_result = make_commit_error(
            CommitFaultKind.UNAVAILABLE, may_be_accepted=uncertain
        )
        code, response = await client.call("/v1/manifest", body)
        assert (code, response["may_have_been_accepted"]) == (503, uncertain)


@on_reactor
async def test_wrong_commit_bodies_reach_no_commit(client: Client) -> None:
    # Guards against a commit of a request body that is only partly valid.
    valid_body = {"text": "{}", "base_version": 7, "commit_id": "c"}
    for body, paths in (
        (b"{", ["(body)"]),
        (b"\xff", ["(body)"]),
        (b"[" * 100_000, ["(body)"]),
        ([], ["(body)"]),
        ({"text": 1, "base_version": True}, ["text", "base_version", "commit_id"]),
        (valid_body | {"force": True}, ["force"]),
        (valid_body | {"base_version": -1}, ["base_version"]),
        (
            valid_body | {"base_version": 1.5, "commit_id": "c" * 65},
            ["base_version", "commit_id"],
        ),
    ):
        code, response = await client.call("/v1/manifest", body)
        assert code == 400, body
        assert [fault["path"] for fault in response["faults"]] == paths
    assert client.manifests.commits == []


@on_reactor
async def test_body_limit(client: Client, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against unbounded memory use and against temporary files: Twisted
    # would write bodies above 100 kB to one, so the limit here is higher.
    monkeypatch.setattr(admin, "MAX_BODY_BYTES", 200_000)
    monkeypatch.setattr("tempfile.TemporaryFile", None)
    body = {"text": "x" * 150_000, "base_version": 7, "commit_id": "c"}
    assert (await client.call("/v1/manifest", body))[0] == 200
    body["text"] = "x" * 200_000
    assert (await client.call("/v1/manifest", body))[0] == 413


@on_reactor
async def test_internal_error_is_json(client: Client) -> None:
    # Guards against a traceback in the response.
    client.manifests.commit_result = Ok(object())  # type: ignore[arg-type]
    body = {"text": "{}", "base_version": 7, "commit_id": "c8"}
    assert await client.call("/v1/manifest", body) == (500, {"error": "internal error"})


@on_reactor
async def test_client_of_the_command_line_tool(client: Client) -> None:
    # Guards against an incompatibility between the tool and the interface that
    # tests with fakes do not show.
    admin_address = Address("127.0.0.1", int(client.base.rpartition(":")[2]))
    body = {"text": "{\n}" * 50_000, "base_version": 7, "commit_id": "c8"}
    result = await deferToThread(call, admin_address, "/v1/manifest", 5.0, body)
    assert isinstance(result, Ok), result.err_value.text
    assert (result.ok_value.status, result.ok_value.data) == (200, {"version": 8})
    result = await deferToThread(call, admin_address, "/v1/manifest", 5.0)
    assert isinstance(result, Ok)
    assert result.ok_value.data == {"version": 7, "text": "seven"}
