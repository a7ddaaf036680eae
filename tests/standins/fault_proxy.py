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

from .answer_faults import ResponseFaults
from .serving import reset_connection, run_stand_in

CHUNK_BYTES = 16384
QUEUE_BYTES = 1 << 20  # limit on the bytes in transit in one direction
# Interval at which frozen connections check whether the rules have changed.
FREEZE_POLL_S = 0.01
SELECTORS = ("listener", "from", "to", "from_region", "to_region")
# Faults that the effect `random` chooses from.
FAULTS = ("cut", "lose_answer", "truncate", "delay", "freeze")
# Effects that a rule can have, with their defaults.
EFFECTS: dict[str, Any] = {
    "cut": False,  # closes existing connections and refuses new ones
    "freeze": False,  # holds bytes back; connections stay open
    "freeze_requests": False,  # holds back bytes to the target only
    "freeze_answers": False,  # holds back bytes from the target only
    "delay_ms": 0.0,  # delay in each direction, added to the link's delay
    # Closes after this many bytes of the response; -1 means never.
    "truncate_after": -1,
    "lose_answer": False,  # drops the response's bytes and closes
    "random": 0.0,  # share of connections that get a seeded random fault
    "answer_faults": 0.0,  # share of HTTP responses that are damaged
}
Rule = dict[str, Any]


class LinkDirection:
    """One direction of a link between regions: rate limit and byte counts.

    A rate of 0 means no limit.
    """

    def __init__(self, bytes_per_s: float, delay_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.delay_s = delay_s
        # Monotonic time when all bytes accepted so far have been sent.
        self.free_at = 0.0
        # Byte counts, keyed by Unix time in tenths of a second.
        self.bytes_by_tenth: collections.Counter[int] = collections.Counter()

    def count(self, size: int) -> None:
        """Count bytes that arrive at the link, before its rate limit."""
        self.bytes_by_tenth[int(time.time() * 10)] += size

    def peak(self) -> int:
        """Return the highest byte count of any second.

        Seconds may start at any tenth of a second.
        """
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

    def __init__(self, proxy: Proxy, selector_values: dict[str, str]) -> None:
        self.proxy = proxy
        self.selector_values = selector_values
        self.fault = ""  # seeded random fault of this connection; empty: none
        self.fault_after = 0  # bytes of the response before the fault begins
        self.response_bytes_sent = 0  # bytes forwarded from the target
        self.response_faults = ResponseFaults(proxy.rng, proxy.faults)
        self.writers: list[asyncio.StreamWriter] = []

    def effects(self) -> Rule:
        """Return the combined effects of the rules that match now."""
        effects = dict(EFFECTS)
        for rule in self.proxy.rules.values():
            if all(self.selector_values[s] == rule[s] for s in SELECTORS if s in rule):
                effects |= {k: v for k, v in rule.items() if k in EFFECTS}
        if self.fault == "delay":
            effects["delay_ms"] += 200.0
        elif self.fault == "truncate":
            effects["truncate_after"] = self.fault_after
        elif self.fault:
            begun = self.response_bytes_sent > self.fault_after
            effects[self.fault] = (
                effects[self.fault] or begun or self.fault == "lose_answer"
            )
        return effects

    def reset(self) -> None:
        """Close both ends at once with a TCP reset."""
        for writer in self.writers:
            reset_connection(writer)

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str
    ) -> None:
        """Connect to the target and forward bytes both ways until the end."""
        self.writers.append(writer)
        effects = self.effects()
        if effects["cut"]:
            self.reset()
            return
        rng = self.proxy.rng
        if effects["random"] and rng.random() < effects["random"]:
            self.fault = rng.choice(FAULTS)
            self.fault_after = rng.randrange(2000)
            self.proxy.faults[self.fault] += 1
        ip, _, port = target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            self.reset()
            return
        self.writers.append(target_writer)
        source_region, target_region = (
            self.selector_values["from_region"],
            self.selector_values["to_region"],
        )
        forward = asyncio.ensure_future(
            self.forward_bytes(
                reader,
                target_writer,
                self.proxy.link_direction(source_region, target_region),
                False,
            )
        )
        backward = asyncio.ensure_future(
            self.forward_bytes(
                target_reader,
                writer,
                self.proxy.link_direction(target_region, source_region),
                True,
            )
        )
        try:
            done, _ = await asyncio.wait(
                (forward, backward), return_when="FIRST_COMPLETED"
            )
            # If the client has only closed its sending direction, the response
            # may still follow. After the end of the response, nothing more can
            # reach the client.
            if forward in done and forward.result():
                await backward
        finally:
            forward.cancel()
            backward.cancel()
            await asyncio.gather(forward, backward, return_exceptions=True)
            for open_writer in self.writers:
                open_writer.close()

    async def forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: LinkDirection,
        is_response: bool,
    ) -> bool:
        """Forward bytes one way; return False if the connection broke."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            QUEUE_BYTES // CHUNK_BYTES
        )
        sender = asyncio.ensure_future(self.deliver(queue, writer, is_response))
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
        is_response: bool,
    ) -> bool:
        """Write queued bytes when they are due, and apply the effects.

        Return False if the connection broke or was closed by an effect.
        """
        while True:
            due, data = await queue.get()
            while (effects := self.effects())["freeze"] or (
                effects["freeze_answers" if is_response else "freeze_requests"]
                or due + effects["delay_ms"] / 1000 > time.monotonic()
            ):
                remaining = due + effects["delay_ms"] / 1000 - time.monotonic()
                await asyncio.sleep(remaining if remaining > 0 else FREEZE_POLL_S)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return True
            close = effects["cut"]
            if is_response and effects["answer_faults"]:
                data = await self.response_faults.feed(data, effects["answer_faults"])
                close = close or self.response_faults.closing
            if is_response and effects["lose_answer"]:
                data, close = b"", True
            if is_response and effects["truncate_after"] >= 0:
                remaining = effects["truncate_after"] - self.response_bytes_sent
                close = close or remaining < len(data)
                data = data[: max(0, remaining)]
            self.response_bytes_sent += len(data) if is_response else 0
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
        # Names and regions of the daemons, keyed by source address.
        self.origins: dict[str, dict[str, str]] = {}
        self.rules: dict[str, Rule] = {}
        self.link_directions: dict[tuple[str, str], LinkDirection] = {}
        self.connections: set[ProxiedConnection] = set()
        self.faults: collections.Counter[str] = collections.Counter()

    def link_direction(self, origin: str, target: str) -> LinkDirection:
        """Return one direction of a link.

        Within a region, and between regions without a link, it has no limit.
        """
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
            connection = ProxiedConnection(self, self.selector_values(spec, writer))
            self.connections.add(connection)
            try:
                await connection.run(reader, writer, spec["target"])
            finally:
                self.connections.discard(connection)
                writer.close()

        server = await asyncio.start_server(connected, self.host, backlog=512)
        return int(server.sockets[0].getsockname()[1])

    def selector_values(
        self, spec: dict[str, Any], writer: asyncio.StreamWriter
    ) -> dict[str, str]:
        """Return the connection's values that selectors are compared with."""
        values = {s: str(spec.get(s, "")) for s in SELECTORS}
        values["listener"] = spec["name"]
        if not values["from"] and self.origins:
            origin = self.origins.get(writer.get_extra_info("peername")[0])
            if origin is not None:
                values["from"] = origin["name"]
                values["from_region"] = origin["region"]
        return values

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
                if connection.effects()["cut"]:
                    connection.reset()
        else:
            raise LookupError(target)
        return {}

    def report(self) -> object:
        """Return the byte counts by ordered pair of regions and the faults."""
        return {
            "faults": self.faults,
            "tunnels": [connection.selector_values for connection in self.connections],
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
