"""Upstream stand-in: counts requests and records which of them ran.

One process serves many upstreams. Tests check the system by `GET /counts` and
`GET /ledger` on the control port, not by what the daemons report.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import hashlib
import random
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec

from .serving import next_event, reset_connection, run_stand_in

DEFAULT_SETTINGS = {
    "slots": 3,
    "connections": 300,
    "work_ms": 20.0,
    "cold_s": 0.0,  # time after a start during which work is slower
    "cold_factor": 5.0,
    "cold_crowding": False,  # the factor grows with the requests in flight
    "set_misses": 0,  # number of first requests of each `set` that are slower
    "shed": 0.0,  # share of requests refused although a slot is free
    "fail_fast": False,  # respond with 500 at once
    "fail_share": 0.0,  # share of requests that get 500 at once
    "crash_down_s": 1.0,  # time from a crash to the restart
    "drain_refuse_after_s": 2.0,  # time from a drain to the first refusal
    "drain_header": True,  # send an Upstream-State header while draining
    "health_lag_s": 0.0,  # age of the reported load and drain
    # False health report: "pass", "idle" (load 0) or "silent" (no response).
    "health_lie": "",
}
COUNTERS = (
    "arrivals",
    "over_slots",
    "over_connections",
    "refused",
    "late",
    "cancelled",
    "crashes",
    "partial_bodies",
)


def response_body(request_id: str, ledger_id: str, size: int) -> bytes:
    """Return the response body, which only a request with these ids gets."""
    seed = hashlib.sha256(f"{request_id}|{ledger_id}".encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


def content_digest(body: bytes) -> str:
    """Return the Content-Digest field value of a body (RFC 9530)."""
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f"sha-256=:{digest}:"


class Run(msgspec.Struct):
    """One execution of a request; `end` is None while it runs."""

    upstream: str
    start: float
    end: float | None = None
    state: str = "running"
    bytes: int = 0
    sha256: str = ""


class Usage:
    """Requests in flight, with their overall peak and peaks by second."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak = 0
        self.windows: dict[int, int] = {}  # peaks, keyed by Unix second

    def change(self, step: int) -> None:
        """Add `step` requests in flight."""
        before, self.in_flight = self.in_flight, self.in_flight + step
        second = int(time.time())
        highest = max(before, self.in_flight)
        self.windows[second] = max(self.windows.get(second, 0), highest)
        self.peak = max(self.peak, self.in_flight)

    def report(self) -> dict[str, Any]:
        """Return the figures as plain data."""
        return {"in_flight": self.in_flight, "peak": self.peak, "windows": self.windows}


class Upstream:
    """One upstream that listens on a port of its own."""

    def __init__(self, process: UpstreamProcess, spec: dict[str, Any]) -> None:
        self.process = process
        self.name = str(spec["name"])
        self.group = str(spec.get("group", ""))
        self.port = 0
        self.cfg = {
            **DEFAULT_SETTINGS,
            **{k: v for k, v in spec.items() if k in DEFAULT_SETTINGS},
        }
        self.rng = random.Random(f"{process.seed}/{self.name}")
        self.usage = Usage()
        self.counts = dict.fromkeys(COUNTERS, 0)
        # Times of changes and the requests in flight from then on, oldest
        # first; for health reports that lag.
        self.load_history = collections.deque([(0.0, 0)], maxlen=10_000)
        self.writers: set[asyncio.StreamWriter] = set()
        self.drain_at = 0.0
        self.last_arrival = 0.0
        self.idle_at = 0.0  # time when the last request in flight ended
        self.down = False
        self.starts = 0

    async def start(self) -> None:
        """Start listening as a new instance."""
        self.starts += 1
        self.instance = f"{self.name}-{self.process.seed}-{self.starts}"
        self.started = time.time()
        # Numbers of requests, keyed by their query parameter `set`.
        self.sets: collections.Counter[str] = collections.Counter()
        self.server = await asyncio.start_server(
            self.connected, self.process.host, self.port, backlog=512
        )
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.down = False

    def change(self, changes: dict[str, Any]) -> None:
        """Change settings and run the actions `drain` and `crash`."""
        if unknown := set(changes) - set(DEFAULT_SETTINGS) - {"drain", "crash"}:
            raise ValueError(f"unknown settings: {unknown}")
        if "drain" in changes:
            self.drain_at = time.time() if changes["drain"] else 0.0
        self.cfg.update({k: v for k, v in changes.items() if k in DEFAULT_SETTINGS})
        if changes.get("crash"):
            self.crash()

    def crash(self) -> None:
        """Reset all connections, stop listening, and restart after a delay."""
        if self.down:
            return
        self.down = True
        self.counts["crashes"] += 1
        self.server.close()
        for writer in self.writers:
            reset_connection(writer)
        self.drain_at = 0.0
        self.process.spawn(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(float(self.cfg["crash_down_s"]))
        await self.start()

    def report(self) -> dict[str, Any]:
        """Return all counts."""
        return {
            **self.counts,
            **self.usage.report(),
            "group": self.group,
            "slots": self.cfg["slots"],
            "connections": len(self.writers),
            "instance": self.instance,
            "drain_at": self.drain_at,
            "last_arrival": self.last_arrival,
            "idle_at": self.idle_at,
        }

    async def connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it closes."""
        if self.down or len(self.writers) >= self.cfg["connections"]:
            self.counts["over_connections"] += not self.down
            writer.transport.abort()
            return
        self.writers.add(writer)
        conn = h11.Connection(h11.SERVER)
        try:
            while isinstance(event := await next_event(conn, reader), h11.Request):
                await Exchange(self, conn, reader, writer, event).serve()
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    break
                conn.start_next_cycle()
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def health(self) -> dict[str, Any]:
        """Return the health report, delayed or falsified as configured."""
        now, lag_s = time.time(), float(self.cfg["health_lag_s"])
        while len(self.load_history) > 1 and self.load_history[1][0] <= now - lag_s:
            self.load_history.popleft()
        load = self.load_history[0][1] if lag_s else self.usage.in_flight
        status = "fail" if self.cfg["fail_fast"] else "pass"
        if self.drain_at and now - self.drain_at >= lag_s:
            status = "warn"
        if self.cfg["health_lie"] in ("pass", "idle"):
            status = "pass"
        if self.cfg["health_lie"] == "idle":
            load = 0
        value = {"observedValue": load, "observedUnit": "requests", "time": now}
        limit = {"observedValue": self.cfg["slots"], "observedUnit": "requests"}
        return {
            "status": status,
            "instance": self.instance,
            "output": "draining" if status == "warn" else "",
            "checks": {"requests:in-flight": [value], "requests:limit": [limit]},
        }


class Exchange:
    """One request on a connection and its response."""

    def __init__(
        self,
        upstream: Upstream,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
    ) -> None:
        self.upstream = upstream
        self.conn = conn
        self.reader = reader
        self.writer = writer
        self.request = request
        self.headers = {k.decode(): v.decode() for k, v in request.headers}
        target = urlsplit(request.target.decode())
        self.path = target.path
        self.query = dict(parse_qsl(target.query, keep_blank_values=True))
        self.run: Run | None = None
        self.size = 0
        self.digest = hashlib.sha256()

    async def serve(self) -> None:
        """Respond to a health poll, or refuse or run the request."""
        if self.path == "/health":
            await self._health()
            return
        upstream = self.upstream
        upstream.counts["arrivals"] += 1
        upstream.last_arrival = time.time()
        if refusal := self._refusal():
            upstream.counts[refusal] += 1
            await self.send_response(503, refusal.encode(), not_run=True)
            await self._read_body()
            return
        usages = (upstream.usage, upstream.process.group(upstream.group))
        for usage in usages:
            usage.change(1)
        upstream.load_history.append((time.time(), upstream.usage.in_flight))
        try:
            await self._run()
        finally:
            for usage in usages:
                usage.change(-1)
            upstream.idle_at = time.time()
            upstream.load_history.append((upstream.idle_at, upstream.usage.in_flight))

    def _refusal(self) -> str:
        """Return the counter of the reason to refuse; empty to accept."""
        upstream = self.upstream
        if upstream.usage.in_flight >= upstream.cfg["slots"]:
            return "over_slots"
        if self._deadline() <= time.time():
            return "late"
        drain_limit = upstream.drain_at + upstream.cfg["drain_refuse_after_s"]
        if upstream.drain_at and time.time() >= drain_limit:
            return "refused"
        if upstream.cfg["shed"] and upstream.rng.random() < upstream.cfg["shed"]:
            return "refused"
        return ""

    def _deadline(self) -> float:
        text = self.headers.get("request-deadline", "")
        return int(text) / 1000 if text else float("inf")

    async def _health(self) -> None:
        await self._read_body()
        while self.upstream.cfg["health_lie"] == "silent":
            if not await self._wait(0.2):
                return
        body = msgspec.json.encode(self.upstream.health())
        await self.send_response(200, body, content_type="application/health+json")

    async def _read_body(self) -> None:
        """Read the whole body and keep only its size and digest."""
        if self.conn.they_are_waiting_for_100_continue:
            if self.conn.our_state is not h11.SEND_RESPONSE:
                return
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.conn.send(interim_response) or b"")
        while isinstance(event := await next_event(self.conn, self.reader), h11.Data):
            self.size += len(event.data)
            self.digest.update(event.data)

    async def _run(self) -> None:
        try:
            await self._read_body()
        except (OSError, h11.RemoteProtocolError):
            self.upstream.counts["partial_bodies"] += 1
            raise
        if self._deadline() <= time.time():
            self.upstream.counts["late"] += 1
            await self.send_response(503, b"late", not_run=True)
            return
        self.run = Run(self.upstream.name, time.time(), None, "running", self.size, "")
        self.run.sha256 = self.digest.hexdigest()
        ledger_id = self.headers.get("ledger-id") or self.query.get("ledger_id", "")
        if ledger_id:
            self.upstream.process.ledger.setdefault(ledger_id, []).append(self.run)
        # Final state if the connection breaks while the response is sent.
        state = "broken"
        try:
            state = await self._work(ledger_id)
        finally:
            self.run.end, self.run.state = time.time(), state

    async def _work(self, ledger_id: str) -> str:
        """Simulate the work and respond; return the run's final state."""
        upstream = self.upstream
        if self.query.get("crash") == "1":
            upstream.crash()
            return "crashed"
        fail_share = upstream.cfg["fail_share"]
        if upstream.cfg["fail_fast"] or (
            fail_share and upstream.rng.random() < fail_share
        ):
            await self.send_response(500, b"failed")
            return "failed"
        work_s = float(self.query.get("work_ms") or upstream.cfg["work_ms"]) / 1000
        if time.time() - upstream.started < upstream.cfg["cold_s"]:
            work_s *= upstream.cfg["cold_factor"]
            if upstream.cfg["cold_crowding"]:
                work_s *= upstream.usage.in_flight
        if name := self.query.get("set"):
            upstream.sets[name] += 1
            if upstream.sets[name] <= upstream.cfg["set_misses"]:
                work_s *= upstream.cfg["cold_factor"]
        left_s = self._deadline() - time.time()
        if not await self._wait(min(work_s, left_s)):
            upstream.counts["cancelled"] += not upstream.down
            return "crashed" if upstream.down else "cancelled"
        if left_s < work_s:
            await self.send_response(504, b"deadline passed")
            return "deadline"
        size = int(self.query.get("size", "64"))
        request_id = self.headers.get("request-id", "")
        await self.send_response(200, response_body(request_id, ledger_id, size))
        return "done"

    async def _wait(self, seconds: float) -> bool:
        """Wait; return False at once if the connection closes."""
        try:
            async with asyncio.timeout(seconds):
                while data := await self.reader.read(65536):
                    self.conn.receive_data(data)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    async def send_response(
        self,
        status: int,
        body: bytes,
        not_run: bool = False,
        content_type: str = "application/octet-stream",
    ) -> None:
        """Send a complete response."""
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("Content-Digest", content_digest(body)),
        ]
        if "request-id" in self.headers:
            headers.append(("Request-Id", self.headers["request-id"]))
        if not_run:
            headers.append(("Request-Not-Run", "1"))
        if self.upstream.drain_at and self.upstream.cfg["drain_header"]:
            headers.append(("Upstream-State", "draining"))
        response = h11.Response(status_code=status, headers=headers)
        self.writer.write(self.conn.send(response) or b"")
        if self.request.method != b"HEAD":
            self.writer.write(self.conn.send(h11.Data(data=body)) or b"")
        self.writer.write(self.conn.send(h11.EndOfMessage()) or b"")
        await self.writer.drain()


class UpstreamProcess:
    """All upstreams of this process and their common ledger of runs."""

    def __init__(self, host: str, seed: int, specs: list[dict[str, Any]]) -> None:
        self.host = host
        self.seed = seed
        self.ledger: dict[str, list[Run]] = {}
        self.groups: dict[str, Usage] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.upstreams = {s["name"]: Upstream(self, s) for s in specs}

    async def start(self) -> dict[str, int]:
        """Start all upstreams; return their ports."""
        for upstream in self.upstreams.values():
            await upstream.start()
        return {name: upstream.port for name, upstream in self.upstreams.items()}

    def group(self, name: str) -> Usage:
        """Return the common usage of all upstreams of one group."""
        return self.groups.setdefault(name, Usage())

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def control(self, method: str, target: str, body: bytes) -> object:
        """Serve the control port."""
        if (method, target) == ("POST", "/control"):
            for name, changes in msgspec.json.decode(body).items():
                names = self.upstreams if name == "*" else [name]
                for upstream_name in names:
                    self.upstreams[upstream_name].change(changes)
            return {}
        if target == "/counts":
            return {
                "upstreams": {n: u.report() for n, u in self.upstreams.items()},
                "groups": {n: usage.report() for n, usage in self.groups.items()},
            }
        if target == "/ledger":
            return self.ledger
        raise LookupError(target)


if __name__ == "__main__":
    run_stand_in(UpstreamProcess)
