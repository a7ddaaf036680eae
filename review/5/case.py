"""A target that leaves while a machine is cut off from the platform's store."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Arrival,
    Case,
    Gateway,
    Store,
    Target,
    make_config,
    new_id,
    read_within,
    request_head,
    run_case,
    sealed,
)

DRAIN_S = 2.5  # `drainMs` of the settings
CUT_S = 5.5  # `for_s` of the cut
LEAVES_AFTER_S = 0.5  # after the begin of the cut
SERVES_ON_S = 2.2  # after `drainMs`
WORK_S = 0.3
CALLERS = 8


class CutStore(Store):
    """A store that can stop to answer reads, as one behind a cut."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await super().serve(reader, _HeldWriter(self, writer))


class _HeldWriter:
    """Holds back what is written while the store can't be reached."""

    def __init__(self, store: CutStore, writer: asyncio.StreamWriter) -> None:
        self._store = store
        self._writer = writer
        self._data = b""

    def write(self, data: bytes) -> None:
        self._data += data

    async def drain(self) -> None:
        await self._store.reachable.wait()
        self._writer.write(self._data)
        self._data = b""
        await self._writer.drain()


class LeavingTarget(Target):
    """A target that says in its answers that it leaves."""

    leaving = False


async def work(target: Target, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    answer = sealed(arrival, b"done")
    if isinstance(target, LeavingTarget) and target.leaving:
        answer = answer.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n", 1)
    writer.write(answer)


class Log:
    """What the callers have sent and got."""

    def __init__(self) -> None:
        self.sent_at: dict[str, float] = {}
        self.results: dict[str, str] = {}
        # When the first answer with `Server-Leaving` was passed on.
        self.told_at: float | None = None


async def call(case: Case, gateway: Gateway, log: Log, number: int) -> None:
    """Send orders, one after the other, on kept connections."""
    writer: asyncio.StreamWriter | None = None
    while True:
        request_id = new_id()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    gateway.ip, gateway.front
                )
            head = request_head("POST", f"/order/{number}", request_id, 4000, 5)
            log.sent_at[request_id] = time.monotonic()
            case.record.write("sent", id=request_id)
            writer.write(head + b"order")
            answer = await read_within(reader, 4.5)
            log.results[request_id] = str(answer.status)
            leaving = answer.header("server-leaving")
            if leaving and log.told_at is None:
                log.told_at = time.monotonic()
            case.record.write(
                "answered", id=request_id, status=answer.status, leaving=leaving or 0
            )
            if answer.header("connection") == "close":
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            log.results[request_id] = type(exc).__name__
            case.record.write("unanswered", id=request_id, why=type(exc).__name__)
            if writer is not None:
                writer.close()
                writer = None
        await asyncio.sleep(0.05)


async def body(case: Case) -> bool:
    store = CutStore("127.0.0.1")
    await store.start()
    case.store.stop()
    case.store = store
    targets = []
    for number in range(3):
        target = LeavingTarget("127.0.0.1", store, f"i-{number}", "orders", work)
        await target.start()
        target.register()
        case.targets.append(target)
        targets.append(target)
    route = {"prefix": "/order/", "kind": "non_idempotent", "service": "orders"}
    store.put_json("op", "config", make_config(1, [route], ["orders"]))
    gateway = case.add_gateway(0)
    await gateway.wait_ready()
    log = Log()
    tasks = [asyncio.create_task(call(case, gateway, log, n)) for n in range(CALLERS)]
    await asyncio.sleep(5.0)
    target = max(targets, key=lambda each: len(each.arrivals))

    if case.trouble:
        store.reachable.clear()
        case.record.write("machine-cut-off-from-the-store")
    cut_at = time.monotonic()
    await asyncio.sleep(LEAVES_AFTER_S)
    target.register("draining")
    target.leaving = True
    case.record.write("draining-acknowledged", target=target.name)
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    target.withdraw()
    target.stop()
    case.record.write("target-ended", target=target.name)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    store.reachable.set()
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks, timeout=2)

    told_at = log.told_at if log.told_at is not None else float("inf")
    late = [
        arrival.request_id
        for arrival in target.arrivals
        if log.sent_at[arrival.request_id] > told_at + DRAIN_S
    ]
    lost = [request_id for request_id in late if log.results.get(request_id) != "200"]
    for request_id in late:
        result = log.results.get(request_id)
        case.record.write("DRAIN", id=request_id, target=target.name, result=result)
    print(f"orders at the leaving target, sent later than drainMs: {len(late)}")
    print(f"of these broken off at its end: {len(lost)}")
    return not late


run_case(__file__, body)
