"""TCP proxy that delays, closes, freezes and counts traffic between regions.

The origin of a connection is the listener's `from` or, if it has none, the
daemon that the connection's source address belongs to. A rule applies to a
connection if all its selectors (`listener`, `from`, `to`, `from_region`,
`to_region`) match. Rules can change while connections are open.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time
from typing import Any

import msgspec

from .answer_faults import AnswerFaults
from .serving import reset_connection, run_stand_in

CHUNK_BYTES = 16384
QUEUE_BYTES = 1 << 20  # limit on the bytes in transit in one direction
# Interval at which frozen connections check whether the rules have changed.
FREEZE_POLL_S = 0.01
SELECTORS = ("listener", "from", "to", "from_region", "to_region")
FAULTS = ("cut", "lose_answer", "truncate", "delay", "freeze")
EFFECTS: dict[str, Any] = {
    "cut": False,  # closes existing connections and refuses new ones
    "freeze": False,  # holds bytes back; connections stay open
    "freeze_requests": False,  # holds back bytes to the target only
    "freeze_answers": False,  # holds back bytes from the target only
    "delay_ms": 0.0,  # delay in each direction, added to the link's delay
    "truncate_after": -1,  # closes after so many bytes of the answer; -1: never
    "lose_answer": False,  # drops the answer's bytes and closes
    "random": 0.0,  # share of connections that get a seeded random fault
    "answer_faults": 0.0,  # share of HTTP answers that are damaged
}
Rule = dict[str, Any]


class LinkDirection:
    """One direction of a link between regions: rate limit and byte counts."""

    def __init__(self, bytes_per_s: float, delay_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.delay_s = delay_s
        self.free_at = 0.0  # time when all bytes accepted so far have been sent
        # Bytes by tenth of a second of Unix time.
        self.bytes_by_tenth: collections.Counter[int] = collections.Counter()

    def count(self, size: int) -> None:
        """Count bytes that arrive at the link, before its rate limit."""
        self.bytes_by_tenth[int(time.time() * 10)] += size

    def peak(self) -> int:
        """Return the highest byte count of a second that starts at a tenth."""
        return max(
            (
                sum(self.bytes_by_tenth.get(t + i, 0) for i in range(10))
                for t in self.bytes_by_tenth
            ),
            default=0,
        )

    def departure_time(self, size: int) -> float:
        """Return when bytes that arrive now will reach the other region."""
        start = max(time.monotonic(), self.free_at)
        self.free_at = start + (size / self.bytes_per_s if self.bytes_per_s else 0.0)
        return self.free_at + self.delay_s


class ProxiedConnection:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, ends: dict[str, str]) -> None:
        self.proxy = proxy
        self.ends = ends
        self.fault = ""  # seeded random fault of this connection; empty: none
        self.fault_after = 0  # bytes of the answer before the fault begins
        self.answered = 0  # bytes of the answer that were forwarded
        self.answer_faults = AnswerFaults(proxy.rng, proxy.faults)
        self.writers: list[asyncio.StreamWriter] = []

    def effect(self) -> Rule:
        """Return the combined effects of the rules that match now."""
        total = dict(EFFECTS)
        for rule in self.proxy.rules.values():
            if all(self.ends[s] == rule[s] for s in SELECTORS if s in rule):
                total |= {k: v for k, v in rule.items() if k in EFFECTS}
        if self.fault == "delay":
            total["delay_ms"] += 200.0
        elif self.fault == "truncate":
            total["truncate_after"] = self.fault_after
        elif self.fault:
            late = self.answered > self.fault_after
            total[self.fault] = total[self.fault] or late or self.fault == "lose_answer"
        return total

    def reset(self) -> None:
        """Close both ends at once with a TCP reset."""
        for writer in self.writers:
            reset_connection(writer)

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str
    ) -> None:
        """Connect to the target and forward bytes both ways until the end."""
        self.writers.append(writer)
        effect = self.effect()
        if effect["cut"]:
            self.reset()
            return
        rng = self.proxy.rng
        if effect["random"] and rng.random() < effect["random"]:
            self.fault = rng.choice(FAULTS)
            self.fault_after = rng.randrange(2000)
            self.proxy.faults[self.fault] += 1
        ip, _, port = target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            self.reset()
            return
        self.writers.append(far_writer)
        near, far = self.ends["from_region"], self.ends["to_region"]
        forward = asyncio.ensure_future(
            self.forward_bytes(
                reader, far_writer, self.proxy.link_direction(near, far), False
            )
        )
        backward = asyncio.ensure_future(
            self.forward_bytes(
                far_reader, writer, self.proxy.link_direction(far, near), True
            )
        )
        try:
            done, _ = await asyncio.wait(
                (forward, backward), return_when="FIRST_COMPLETED"
            )
            # If the client has only closed its sending direction, the answer
            # may still follow. After the end of the answer, nothing more can
            # reach the client.
            if forward in done and forward.result():
                await backward
        finally:
            forward.cancel()
            backward.cancel()
            await asyncio.gather(forward, backward, return_exceptions=True)
            for each in self.writers:
                each.close()

    async def forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: LinkDirection,
        is_answer: bool,
    ) -> bool:
        """Forward bytes one way; return False if the connection broke."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            QUEUE_BYTES // CHUNK_BYTES
        )
        sender = asyncio.ensure_future(self.deliver(queue, writer, is_answer))
        try:
            while data := await reader.read(CHUNK_BYTES):
                direction.count(len(data))
                await queue.put((direction.departure_time(len(data)), data))
            await queue.put((time.monotonic() + direction.delay_s, b""))
            return await sender
        except OSError:
            return False
        finally:
            sender.cancel()

    async def deliver(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> bool:
        """Write queued bytes when they are due, subject to the rules."""
        while True:
            due, data = await queue.get()
            while (effect := self.effect())["freeze"] or (
                effect["freeze_answers" if is_answer else "freeze_requests"]
                or due + effect["delay_ms"] / 1000 > time.monotonic()
            ):
                left = due + effect["delay_ms"] / 1000 - time.monotonic()
                await asyncio.sleep(left if left > 0 else FREEZE_POLL_S)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return True
            close = effect["cut"]
            if is_answer and effect["answer_faults"]:
                data = await self.answer_faults.feed(data, effect["answer_faults"])
                close = close or self.answer_faults.closing
            if is_answer and effect["lose_answer"]:
                data, close = b"", True
            if is_answer and effect["truncate_after"] >= 0:
                left = effect["truncate_after"] - self.answered
                close = close or left < len(data)
                data = data[: max(0, left)]
            self.answered += len(data) if is_answer else 0
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                return False
            if close:
                writer.close()
                return False


class Proxy:
    """All listeners, the rules, and the links between regions."""

    def __init__(self, host: str, seed: int, plan: Rule) -> None:
        self.host = host
        self.rng = random.Random(seed)
        self.listeners: list[dict[str, Any]] = plan["listeners"]
        self.links: list[dict[str, Any]] = plan.get("links", [])
        # Name and region of the daemon at each source address.
        self.origins: dict[str, dict[str, str]] = {}
        self.rules: dict[str, Rule] = {}
        self.link_directions: dict[tuple[str, str], LinkDirection] = {}
        self.connections: set[ProxiedConnection] = set()
        self.faults: collections.Counter[str] = collections.Counter()

    def link_direction(self, origin: str, target: str) -> LinkDirection:
        """Return one direction of a link; without a limit within a region."""
        if (origin, target) not in self.link_directions:
            rate = delay_s = 0.0
            for link in self.links:
                if {origin, target} == set(link["between"]):
                    rate = float(link.get("mbit_per_s", 0)) * 125_000
                    delay_s = float(link.get("delay_ms", 0)) / 1000
            self.link_directions[origin, target] = LinkDirection(rate, delay_s)
        return self.link_directions[origin, target]

    async def start(self) -> dict[str, int]:
        """Open all listeners; return their ports."""
        return {spec["name"]: await self.listen(spec) for spec in self.listeners}

    async def listen(self, spec: dict[str, Any]) -> int:
        """Open one listener; return its port."""

        async def connected(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connection = ProxiedConnection(self, self.ends(spec, writer))
            self.connections.add(connection)
            try:
                await connection.run(reader, writer, spec["target"])
            finally:
                self.connections.discard(connection)
                writer.close()

        server = await asyncio.start_server(connected, self.host, backlog=512)
        return int(server.sockets[0].getsockname()[1])

    def ends(
        self, spec: dict[str, Any], writer: asyncio.StreamWriter
    ) -> dict[str, str]:
        """Return the values that selectors are compared with."""
        ends = {s: str(spec.get(s, "")) for s in SELECTORS}
        ends["listener"] = spec["name"]
        if not ends["from"] and self.origins:
            origin = self.origins.get(writer.get_extra_info("peername")[0])
            if origin is not None:
                ends["from"] = origin["name"]
                ends["from_region"] = origin["region"]
        return ends

    def control(self, method: str, target: str, body: bytes) -> object:
        """Serve the control port."""
        if target == "/counts":
            return self.report()
        data = msgspec.json.decode(body)
        if target == "/origins":
            self.origins.update(data)
        elif target == "/rules":
            for name, rule in data.items():
                if unknown := set(rule or {}) - set(SELECTORS) - set(EFFECTS):
                    raise ValueError(f"unknown fields: {unknown}")
                self.rules.pop(name, None)
                if rule:
                    self.rules[name] = rule
            for connection in list(self.connections):
                if connection.effect()["cut"]:
                    connection.reset()
        else:
            raise LookupError(target)
        return {}

    def report(self) -> object:
        """Return the byte counts by ordered pair of regions and the faults."""
        return {
            "faults": self.faults,
            "tunnels": [connection.ends for connection in self.connections],
            "pairs": [
                {
                    "from": origin,
                    "to": target,
                    "bytes": sum(direction.bytes_by_tenth.values()),
                    "peak_bytes_per_s": direction.peak(),
                    "limit_bytes_per_s": direction.bytes_per_s,
                }
                for (origin, target), direction in self.link_directions.items()
            ],
        }


if __name__ == "__main__":
    run_stand_in(Proxy)
