"""Load tool: an open-loop caller that looks up hosts and verifies responses.

Reads a plan (JSON file) and prints one JSON line with the summary by service.
Each request is written to the plan's `records` file, for comparison with the
upstreams' ledger. A ledger id stands for one idempotency key or for one
attempt of an idempotent request, so that each "did not run" can be verified
separately.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import hashlib
import random
import sys
import time
from pathlib import Path
from typing import Any

import h11
import msgspec
from hdrh.histogram import HdrHistogram

from ..httpcalls import Response
from .serving import next_event
from .upstream import content_digest, response_body

LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
BODY_CHUNK = random.Random(7).randbytes(65536)  # repeated in request bodies
MAX_LATENCY_US = 600_000_000
LOOP_CHECK_S = 0.005  # interval of the checks for delays of the event loop
# Addresses of hosts, idempotency key, and monotonic time of expiry.
Lookup = tuple[list[str], str, float]


class ConnectFailedError(OSError):
    """No connection could be made, so nothing of the request was sent."""


class Load(msgspec.Struct):
    """A stream of requests to one service from one region."""

    service: str
    region: str = ""
    rate: float = 50.0  # requests per second, on average
    count: int = 1_000_000
    keyed: bool = False
    size: int = 64  # bytes of the response's body
    body_bytes: int = 0  # bytes of the request's body after its first 64
    query: str = ""  # {id} is replaced by the request's id
    attempts: int = 8


class Plan(msgspec.Struct):
    """The loads and limits of one run of the load tool."""

    loads: list[Load]
    entries: list[str] = []
    direct: list[str] = []  # upstream addresses; requests bypass the daemons
    records: str = ""
    seed: int = 1
    duration_s: float = 10.0
    attempt_timeout_s: float = 10.0
    max_in_flight: int = 2000  # requests above it are skipped and counted


class Record(msgspec.Struct):
    """The outcome of one request, as reported to the caller."""

    service: str
    id: str
    keyed: bool
    at: float
    told: dict[str, str] = {}  # last outcome by ledger id; "": no response
    attempts: int = 0
    outcome: str = "lost"
    kind: str = ""
    latency_ms: float = 0.0
    sha256: str = ""
    hosts: list[str] = []


class LoopDelay:
    """Measures by how much the event loop of this process was delayed.

    Real callers do not share one process, so delays of the load tool itself
    are not counted as part of a response time.
    """

    def __init__(self) -> None:
        self.total_s = 0.0
        self._due = 0.0

    def start(self) -> None:
        """Schedule the next check of the running loop."""
        loop = asyncio.get_running_loop()
        # A plain callback, because a task would run after the tasks that read
        # responses.
        self._due = loop.time() + LOOP_CHECK_S
        loop.call_at(self._due, self._check)

    def _check(self) -> None:
        late_s = asyncio.get_running_loop().time() - self._due
        if late_s > LOOP_CHECK_S:
            self.total_s += late_s
        self.start()


class Connection:
    """A connection to one address that serves one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)

    async def _send_body(self, body_prefix: bytes, padding_bytes: int) -> None:
        chunks = [
            body_prefix,
            *[BODY_CHUNK] * (padding_bytes // len(BODY_CHUNK)),
            BODY_CHUNK[: padding_bytes % len(BODY_CHUNK)],
        ]
        for chunk in chunks:
            self.writer.write(self.http.send(h11.Data(data=chunk)) or b"")
            await self.writer.drain()
        self.writer.write(self.http.send(h11.EndOfMessage()) or b"")

    async def exchange(
        self, request: h11.Request, body_prefix: bytes = b"", padding_bytes: int = 0
    ) -> Response:
        """Send a request and return its complete response.

        The request body is `body_prefix`, then `padding_bytes` of padding.
        """
        self.writer.write(self.http.send(request) or b"")
        sending: asyncio.Task[None] | None = None
        if body_prefix:
            sending = asyncio.ensure_future(self._send_body(body_prefix, padding_bytes))
        else:
            self.writer.write(self.http.send(h11.EndOfMessage()) or b"")
        try:
            while isinstance(
                event := await next_event(self.http, self.reader),
                h11.InformationalResponse,
            ):
                pass
            if not isinstance(event, h11.Response):
                raise ConnectionResetError("connection closed before the response")
            body = []
            while isinstance(
                part := await next_event(self.http, self.reader), h11.Data
            ):
                body.append(bytes(part.data))
            headers = {k.decode(): v.decode() for k, v in event.headers}
            return Response(event.status_code, headers, b"".join(body))
        finally:
            if sending is not None:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await sending

    def reusable(self) -> bool:
        """Prepare for the next request; return False if that is impossible."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True


class Caller:
    """All requests of one plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.idle: dict[str, list[Connection]] = {}  # keyed by address
        # Last look-ups, keyed by service and region.
        self.lookups: dict[tuple[str, str], Lookup] = {}
        self.records: list[Record] = []
        self.skipped: collections.Counter[str] = collections.Counter()
        self.refusals: dict[str, HdrHistogram] = {}  # times, keyed by service
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop_delay = LoopDelay()

    async def send(
        self,
        address: str,
        target: str,
        headers: dict[str, str],
        body_prefix: bytes = b"",
        padding_bytes: int = 0,
    ) -> Response:
        """Send one request over an idle or a new connection."""
        fields = {"Host": address, **headers}
        if body_prefix:
            fields["Content-Length"] = str(len(body_prefix) + padding_bytes)
        method = "POST" if body_prefix else "GET"
        request = h11.Request(
            method=method, target=target, headers=list(fields.items())
        )
        pool = self.idle.setdefault(address, [])
        conn = None
        while pool and conn is None:
            conn = pool.pop()
            if conn.reader.at_eof() or conn.writer.is_closing():
                conn.writer.close()
                conn = None
        if conn is None:
            ip, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = Connection(*await asyncio.open_connection(ip, int(port)))
            except (OSError, TimeoutError) as exc:
                raise ConnectFailedError from exc
        keep_open = False
        try:
            response = await conn.exchange(request, body_prefix, padding_bytes)
            keep_open = conn.reusable()
            return response
        finally:
            if keep_open:
                pool.append(conn)
            else:
                conn.writer.close()

    async def lookup(self, load: Load) -> Lookup:
        """Look up the hosts to use, or return the cached look-up if valid.

        Keyed requests do not use the cache, because each needs an idempotency
        key of its own, which the look-up supplies.
        """
        if self.plan.direct:
            return [self.rng.choice(self.plan.direct)], "direct", 0.0
        cached = self.lookups.get((load.service, load.region))
        if cached and not load.keyed and cached[2] > time.monotonic():
            return cached
        target = f"/v1/lookup?service={load.service}"
        if load.region:
            target += f"&region={load.region}"
        entries = self.rng.sample(self.plan.entries, len(self.plan.entries))
        if cached:  # its hosts are the most likely to be up
            entries = [*cached[0], *(e for e in entries if e not in cached[0])]
        for entry in entries:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    response = await self.send(entry, target, {})
                if response.status != 200:
                    continue
                data = msgspec.json.decode(response.body)
            except (OSError, TimeoutError, h11.ProtocolError, msgspec.DecodeError):
                continue
            hosts = [data["address"], *(h["address"] for h in data["alternates"])]
            expires = time.monotonic() + data["ttl_ms"] / 1000
            result = (hosts, str(data.get("key") or ""), expires)
            self.lookups[load.service, load.region] = result
            return result
        return [], "", 0.0

    async def run(self, load: Load, number: int) -> None:
        """Send one request until it has a final outcome."""
        request_id = f"{load.service}-{load.region}-{self.plan.seed}-{number}"
        record = Record(load.service, request_id, load.keyed, time.time(), {}, hosts=[])
        self.records.append(record)
        start = time.monotonic()
        try:
            await Request(self, load, record).run()
        finally:
            record.latency_ms = (time.monotonic() - start) * 1000

    async def arrivals(self, load: Load) -> None:
        """Start the requests of a load at random times set by the seed."""
        rng = random.Random(f"{self.plan.seed}/{load.service}/{load.region}")
        at = start = time.monotonic()
        for number in range(load.count):
            at += rng.expovariate(load.rate)
            if at - start > self.plan.duration_s:
                return
            if at > time.monotonic():
                await asyncio.sleep(at - time.monotonic())
            if len(self.tasks) >= self.plan.max_in_flight:
                self.skipped[load.service] += 1
                continue
            task = asyncio.ensure_future(self.run(load, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run_all(self) -> dict[str, Any]:
        """Run the plan; return the summary."""
        self.loop_delay.start()
        await asyncio.gather(*map(self.arrivals, self.plan.loads))
        if self.tasks:
            await asyncio.gather(*self.tasks)
        if self.plan.records:
            lines = [msgspec.json.encode(record) for record in self.records]
            Path(self.plan.records).write_bytes(b"\n".join(lines))
        services = sorted({load.service for load in self.plan.loads})
        return {"services": {name: self.summary(name) for name in services}}

    def summary(self, service: str) -> dict[str, Any]:
        """Return a service's counts and latencies."""
        records = [record for record in self.records if record.service == service]
        outcomes = collections.Counter(record.outcome for record in records)
        latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        for record in records:
            if record.outcome == "done":
                latencies.record_value(max(1, int(record.latency_ms * 1000)))
        refusals = self.refusals.get(service) or HdrHistogram(1, MAX_LATENCY_US, 3)
        names = ("done", "did-not-run", "unknown", "lost", "wrong", "failed")
        return {
            "requests": len(records),
            "skipped": self.skipped[service],
            **{name.replace("-", "_"): outcomes[name] for name in names},
            "attempts": sum(record.attempts for record in records),
            "kinds": dict(collections.Counter(r.kind for r in records if r.kind)),
            "p50_ms": latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": latencies.get_value_at_percentile(99) / 1000,
            "delayed_ms": self.loop_delay.total_s * 1000,
            "refusal_p99_ms": refusals.get_value_at_percentile(99) / 1000,
        }


class Request:
    """One request with all its attempts."""

    def __init__(self, caller: Caller, load: Load, record: Record) -> None:
        self.caller = caller
        self.load = load
        self.record = record
        self.hosts: list[str] = []
        self.key = ""
        # Suffix of the ledger id: number of the idempotency key or, without
        # keys, of the attempt.
        self.number = 0
        self.avoided: set[str] = set()  # hosts that failed or are stopping
        query = load.query.replace("{id}", record.id)
        self.query = f"size={load.size}{'&' if query else ''}{query}"
        self.body_prefix = b""
        if load.body_bytes:
            self.body_prefix = record.id.encode().ljust(64)
            size = load.body_bytes
            body = hashlib.sha256(self.body_prefix)
            for _ in range(size // len(BODY_CHUNK)):
                body.update(BODY_CHUNK)
            body.update(BODY_CHUNK[: size % len(BODY_CHUNK)])
            record.sha256 = body.hexdigest()

    async def run(self) -> None:
        """Send attempts until the outcome is final or none is left."""
        while self.record.attempts < self.load.attempts:
            self.record.attempts += 1
            if not self.hosts or (self.load.keyed and not self.key):
                self.hosts, key, _ = await self.caller.lookup(self.load)
                self.key = self.key or key
            if not self.hosts or (self.load.keyed and not self.key):
                await asyncio.sleep(0.2)
                continue
            wait_s = await self.attempt()
            if wait_s is None:
                return
            await asyncio.sleep(wait_s * self.caller.rng.uniform(1.0, 1.5))

    async def attempt(self) -> float | None:
        """Send the request once.

        Return the delay before the next attempt in seconds, or None if the
        outcome is final.
        """
        load, record = self.load, self.record
        host = next((h for h in self.hosts if h not in self.avoided), self.hosts[0])
        ledger_id = f"{record.id}.{self.number}"
        headers = {"Request-Id": ledger_id, "Ledger-Id": ledger_id}
        if self.key:
            headers["Idempotency-Key"] = self.key
        prefix = "" if self.caller.plan.direct else f"/v1/services/{load.service}"
        target = f"{prefix}/item?{self.query}"
        record.hosts.append(host)
        record.told.setdefault(ledger_id, "not-sent")
        start, loop_delay = time.monotonic(), self.caller.loop_delay
        delay_before_s = loop_delay.total_s
        try:
            async with asyncio.timeout(self.caller.plan.attempt_timeout_s):
                response = await self.caller.send(
                    host, target, headers, self.body_prefix, load.body_bytes
                )
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            return self.handle_broken_connection(
                host, ledger_id, isinstance(exc, ConnectFailedError)
            )
        outcome = response.headers.get("request-outcome", "")
        if self.caller.plan.direct:
            outcome = "did-not-run" if "request-not-run" in response.headers else "done"
        record.told[ledger_id] = outcome
        record.kind = response.headers.get("error-kind", "")
        if outcome == "did-not-run":
            seconds = time.monotonic() - start - (loop_delay.total_s - delay_before_s)
            return self.handle_refusal(host, response, seconds)
        if outcome == "done" and response.status == 200:
            expected = response_body(ledger_id, ledger_id, load.size)
            record.outcome = (
                "done" if matches_request(response, expected, ledger_id) else "wrong"
            )
        else:
            outcomes = {"done": "failed", "unknown": "unknown"}
            record.outcome = outcomes.get(outcome, "wrong")
        return None

    def handle_broken_connection(
        self, host: str, ledger_id: str, unsent: bool
    ) -> float:
        """Prepare the next attempt after a broken connection or a timeout."""
        load, record = self.load, self.record
        if not unsent:
            record.told[ledger_id] = ""
        record.outcome = "lost" if "" in record.told.values() else "did-not-run"
        self.avoid(host)
        self.caller.lookups.pop((load.service, load.region), None)
        self.number += not load.keyed
        return min(1.0, 0.025 * (1 << record.attempts))

    def avoid(self, host: str) -> None:
        """Avoid a host from now on; look up hosts again if all are avoided."""
        self.avoided.add(host)
        if self.avoided.issuperset(self.hosts):
            self.hosts = []
            self.avoided.clear()

    def handle_refusal(
        self, host: str, response: Response, seconds: float
    ) -> float | None:
        """Prepare the next attempt after "did not run"."""
        record = self.record
        # Without a key, each attempt is a run of its own, and an earlier one
        # whose outcome is unknown may have run.
        may_have_run = "" in record.told.values()
        record.outcome = "unknown" if may_have_run else "did-not-run"
        histogram = self.caller.refusals.setdefault(
            self.load.service, HdrHistogram(1, MAX_LATENCY_US, 3)
        )
        histogram.record_value(max(1, int(seconds * 1e6)))
        self.number += 1
        self.key = response.headers.get("next-idempotency-key", "")
        if record.kind == "HOST_STOPPING":
            self.key = ""  # keys of a host are invalid once it stops
            self.caller.lookups.pop((self.load.service, self.load.region), None)
        if not self.key:
            self.avoid(host)
        wait_ms = response.headers.get("retry-after-ms")
        return None if wait_ms is None else int(wait_ms) / 1000


def matches_request(response: Response, expected: bytes, request_id: str) -> bool:
    """Return whether a response is complete and belongs to the request."""
    digest = response.headers.get("content-digest", content_digest(expected))
    response_id = response.headers.get("request-id", request_id)
    return (
        response.body == expected
        and response_id == request_id
        and digest == content_digest(expected)
    )


def main() -> None:
    """Run the plan in the file given on the command line."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    summary = asyncio.run(Caller(plan).run_all())
    print(msgspec.json.encode(summary).decode(), flush=True)


if __name__ == "__main__":
    main()
