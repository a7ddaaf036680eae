"""Minimal HTTP load generator and upstream for benchmarks.

Both do as little as possible per request, so that the results show the cost of
the daemon: the upstream looks only for the end of the header, and the load
generator also for the content length. Run as `python -m bench.load upstream
COUNT WORK_MS IP` or `python -m bench.load send PLAN`; each prints one JSON
line.
"""

from __future__ import annotations

import asyncio
import collections
import random
import sys
import time
from typing import Any, Final

import msgspec

END: Final = b"\r\n\r\n"
HEALTH: Final = b'{"status":"pass"}'
BODY: Final = b"x" * 64


def _response(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class UpstreamProtocol(asyncio.Protocol):
    """Responds to every request after a fixed time."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        while END in self.data:
            head, _, self.data = self.data.partition(END)
            if head.startswith(b"GET /health"):
                self.transport.write(_response(HEALTH))
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(self.work_s, self.transport.write, _response(BODY))


class Plan(msgspec.Struct):
    """Parameters of a run of the load generator."""

    address: str
    target: str
    seconds: float
    connections: int = 16  # closed loop: always this many requests in flight
    rate: float = 0.0  # open loop if above 0: requests per second, on average
    seed: int = 1


class Sender:
    """Sends one kind of request, in a closed or open loop."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        text = f"GET {plan.target} HTTP/1.1\r\nHost: {plan.address}\r\n\r\n"
        self.request = text.encode()
        self.idle: list[CallerProtocol] = []
        self.waiting: collections.deque[float] = collections.deque()
        self.latencies: list[float] = []
        self.errors = 0
        self.end_at = 0.0

    async def run(self) -> dict[str, float]:
        """Run the plan; return counts and latencies in milliseconds."""
        ip, _, port = self.plan.address.rpartition(":")
        loop = asyncio.get_running_loop()
        for _ in range(self.plan.connections):
            await loop.create_connection(lambda: CallerProtocol(self), ip, int(port))
        start = time.perf_counter()
        self.end_at = start + self.plan.seconds
        if self.plan.rate:
            await self._send_at_random_times(start)
        else:
            for conn in self.idle[:]:
                conn.send(time.perf_counter())
            await asyncio.sleep(self.plan.seconds)
        took_s = time.perf_counter() - start
        times = sorted(self.latencies) or [0.0]
        return {
            "answers": len(self.latencies),
            "errors": self.errors,
            "per_s": len(self.latencies) / took_s,
            "p50_ms": times[len(times) // 2] * 1000,
            "p99_ms": times[len(times) * 99 // 100] * 1000,
        }

    async def _send_at_random_times(self, start: float) -> None:
        """Send at random times; latency is counted from the planned time."""
        rng = random.Random(self.plan.seed)
        at = start
        while at < self.end_at:
            at += rng.expovariate(self.plan.rate)
            wait_s = at - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.waiting.append(at)
            if self.idle:
                self.idle.pop().send(self.waiting.popleft())

    def done(self, conn: CallerProtocol, ok: bool, sent_at: float) -> None:
        """Count a response and reuse the connection."""
        now = time.perf_counter()
        if ok:
            self.latencies.append(now - sent_at)
        else:
            self.errors += 1
        if self.waiting:
            conn.send(self.waiting.popleft())
        elif not self.plan.rate and now < self.end_at:
            conn.send(now)
        else:
            self.idle.append(conn)


class CallerProtocol(asyncio.Protocol):
    """Connection with at most one request in flight."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.data = b""
        self.sent_at = 0.0
        sender.idle.append(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def send(self, at: float) -> None:
        """Send the request; its latency is counted from `at`."""
        self.sent_at = at
        self.transport.write(self.sender.request)

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, rest = self.data.partition(END)
        if not end:
            return
        lower = head.lower()
        length = int(lower.partition(b"content-length:")[2].split(b"\r", 1)[0])
        if len(rest) >= length:
            self.data = b""
            ok = head.startswith(b"HTTP/1.1 200")
            self.sender.done(self, ok, self.sent_at)


async def serve(count: int, work_ms: float, ip: str) -> None:
    """Serve upstreams until the process is killed."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(
            lambda: UpstreamProtocol(work_ms / 1000), ip, 0
        )
        ports.append(server.sockets[0].getsockname()[1])
    print(msgspec.json.encode({"ports": ports}).decode(), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the upstreams or the load generator."""
    if sys.argv[1] == "upstream":
        asyncio.run(serve(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
    else:
        plan = msgspec.json.decode(sys.argv[2], type=Plan)
        print(msgspec.json.encode(asyncio.run(Sender(plan).run())).decode(), flush=True)


if __name__ == "__main__":
    main()
