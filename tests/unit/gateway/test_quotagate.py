"""Tests requests of customers with a quota, on in-memory connections.

Guards against requests over quota that are sent, and against quotas used up by
requests that did not run.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any, cast

import msgspec
import pytest
from twisted.internet.task import Clock

from samphirebend.gateway.config import Config, Customer, RequestKind, ServicePolicy
from samphirebend.gateway.context import GatewayContext
from samphirebend.gateway.customers import digest_key
from samphirebend.gateway.forward import forward_request
from samphirebend.gateway.hedging import HedgeLimit, HedgePolicy, HedgeRequest
from samphirebend.gateway.observations import fingerprint
from samphirebend.gateway.peers import Heartbeat, Peers
from samphirebend.gateway.quotagate import QuotaGate
from samphirebend.gateway.quotahosts import QuotaHosts
from samphirebend.gateway.quotareports import (
    QuotaReport,
    decode_report,
    encode_report,
)
from samphirebend.gateway.quotas import QuotaLimit, Quotas
from samphirebend.gateway.ratedivision import divide_by_weight
from samphirebend.gateway.updates import ConfigUpdate
from samphirebend.httpserver import HttpServer
from samphirebend.metrics import Metrics
from samphirebend.serverconnection import HttpServerProtocol

from ..test_http import Transport
from .builders import make_route
from .test_forward import REQUEST, Pool, make_gateway
from .test_peers import SimulatedHost

KEY = "k" * 20
TOKENS = 2


class Host:
    """A gateway whose only customer has a quota of two requests."""

    def __init__(self, *results: str) -> None:
        self.clock = Clock()
        self.pool = Pool(results, self.clock)
        kind = RequestKind.NON_IDEMPOTENT
        self.gateway: GatewayContext = make_gateway(kind, self.pool, self.clock)
        # The times of quotas are independent of those of requests.
        quotas = Quotas("h0", window_s=5.0, over=0.0, slack=0.0)
        for second in range(-10, 1):
            quotas.hosts.update({}, True, float(second))
        self._update(quotas)
        gate = QuotaGate(quotas, self.clock.seconds)
        self.gateway.quota_gate = gate
        routing_state = self.gateway.routing_state
        routing_state.config_listeners.append(gate.apply_config)
        customer = Customer("c1")
        customer.key_digests = frozenset({digest_key(KEY)})
        customer.rate_per_s, customer.burst = 0.1, 1.5
        config = Config(2)
        public = make_route(kind)
        public.prefix, public.public = "/public/", True
        config.routes, config.services = [make_route(kind), public], {}
        config.services["s"] = ServicePolicy("s")
        config.customers = {"c1": customer}
        routing_state.apply(ConfigUpdate(config), 0.0)

    def _update(self, quotas: Quotas) -> None:
        quotas.hosts.update({}, True, self.clock.seconds())
        self.clock.callLater(0.2, self._update, quotas)

    def send(self, path: bytes = b"/r/x") -> bytes:
        """Send a request; return the response."""
        conn = HttpServerProtocol(HttpServer(partial(forward_request, self.gateway)))
        conn.callLater = self.clock.callLater
        transport = Transport()
        conn.makeConnection(transport)
        key = b"Key: " + KEY.encode() + b"\r\nHost:"
        conn.dataReceived(REQUEST.replace(b"/r/x", path).replace(b"Host:", key))
        while self.pool.end_newest():
            pass
        response: bytes = transport.value()
        return response


def test_request_over_quota_is_refused_before_it_is_placed() -> None:
    host = Host(*["answered"] * 9)
    responses = [host.send() for _ in range(TOKENS + 1)]
    assert [response[9:12] for response in responses] == [b"200", b"200", b"429"]
    assert b"Error-Kind: QUOTA_EXCEEDED" in responses[-1]
    assert b"Request-Outcome: did-not-run" in responses[-1]
    assert b"Retry-After: " in responses[-1]
    assert len(host.pool.sent) == TOKENS
    host.clock.pump([0.1] * 51)
    assert host.send()[9:12] == b"200"


def test_request_that_did_not_run_returns_its_token() -> None:
    host = Host(*["refused"] * 8, *["answered"] * 9)
    refused = [host.send() for _ in range(4)]
    assert {response[9:12] for response in refused} == {b"503"}
    statuses = [host.send()[9:12] for _ in range(TOKENS + 1)]
    assert statuses == [b"200", b"200", b"429"]


def test_failed_request_that_may_have_run_keeps_its_token() -> None:
    host = Host(*["foreign"] * 9)
    assert [host.send()[9:12] for _ in range(TOKENS + 1)] == [b"502", b"502", b"429"]


def test_requests_over_quota_allow_no_retries_and_hedges() -> None:
    """Guards a service against extra work for requests that it does not get."""
    host = Host(*["answered"] * 9)
    host.gateway.hedging = HedgePolicy(0.2)
    for _ in range(TOKENS):
        host.send()
    budget = host.gateway.retry_budget
    before = budget.remaining("s", 1, 0.0)
    for _ in range(30):
        assert host.send()[9:12] == b"429"
    assert budget.remaining("s", 1, 0.0) == before
    limit = host.gateway.hedging.find_limit(HedgeRequest("s", 9.0), 0.0)
    assert limit is HedgeLimit.FRACTION


def test_public_route_needs_no_token() -> None:
    host = Host(*["answered"] * 9)
    statuses = {host.send(b"/public/x")[9:12] for _ in range(TOKENS + 3)}
    assert statuses == {b"200"}


def test_metrics_show_who_is_limited() -> None:
    host = Host(*["answered"] * 9)
    for _ in range(TOKENS + 3):
        host.send()
    metrics = Metrics()
    host.gateway.quota_gate.set_metrics(metrics)
    text = metrics.render()[0].decode()
    assert 'samphirebend_quota_refusals_total{customer="c1"} 3' in text
    assert 'samphirebend_quota_used_ratio{customer="c1"} 1' in text
    host.clock.advance(10.0)
    host.gateway.quota_gate.set_metrics(metrics)
    assert "quota_used_ratio{" not in metrics.render()[0].decode()


def test_round_of_heartbeats_carries_the_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against transfers in heartbeats that do not reach all hosts."""
    sent: list[Heartbeat] = []
    host = SimulatedHost(monkeypatch)
    quotas = Quotas("h0")
    quotas.set_limits({"c1": QuotaLimit(5.0, 5.0)}, 0.0)
    gate = QuotaGate(quotas, host.clock.seconds)
    args: list[Any] = [host.members, host.follower, host.feedback, [], None]
    args += [host.clock, host.clock.seconds, random.Random(1), gate]
    peers = cast(Any, Peers)(*args)
    peers.transport = Recorder(sent)
    peers.announce_ages()
    assert {heartbeat.quotas for heartbeat in sent} == {b""}
    sent.clear()
    peers._run_round()
    assert all(decode_report(heartbeat.quotas) for heartbeat in sent)
    # The same report reaches the quotas of a host that receives it.
    report = QuotaReport(1.0)
    report.silent = frozenset({fingerprint("h0")})
    heartbeat = sent[0]
    heartbeat.host, heartbeat.quotas = "h1", encode_report(report)
    heartbeat.sequence += 1
    peers.datagramReceived(msgspec.msgpack.encode(heartbeat), ("127.0.0.1", 1))
    assert quotas.hosts.silences.reported_by("h1") == {fingerprint("h0")}


class Recorder:
    """Decodes the heartbeats that are sent."""

    def __init__(self, sent: list[Heartbeat]) -> None:
        self.sent = sent

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append(msgspec.msgpack.decode(data, type=Heartbeat))


def test_shares_follow_the_capacity_and_never_exceed_the_quota() -> None:
    """Guards against refusals at the hosts to which most callers are sent."""
    capacities = {f"h{number}": 700.0 if number < 4 else 78.0 for number in range(12)}
    shares = {}
    for host in capacities:
        hosts = QuotaHosts(host, 0.0, 0.0)
        hosts.update(dict.fromkeys(capacities, 1.0), complete=True, now=1.0)
        for name, capacity_per_s in capacities.items():
            hosts.record_capacity(name, capacity_per_s)
            # A change of the settings must not change the division.
            hosts.record_capacity(name, capacity_per_s / 3)
        shares[host] = divide_by_weight(100, hosts.weights(), "c")[host]
    assert sum(shares.values()) == 100
    assert shares["h0"] >= 4 * shares["h11"] >= 4


def test_unknown_capacity_leaves_no_tokens_to_others() -> None:
    """Guards against a quota exceeded while a host is not heard yet."""
    names = {"h0": 1.0, "h1": 1.0, "h2": 1.0}
    known, own = QuotaHosts("h0", 0.0, 0.0), QuotaHosts("h2", 0.0, 0.0)
    for hosts in (known, own):
        hosts.update(names, complete=True, now=1.0)
        hosts.record_capacity("h0", 64.0)
        hosts.record_capacity("h1", 64.0)
    own.record_capacity("h2", 64.0)
    by_known = divide_by_weight(30, known.weights(), "c")
    assert by_known["h0"] + by_known["h1"] + 10 <= 30
