"""Pipelined requests behind an answer that a faulty target breaks off."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Arrival,
    Case,
    Gateway,
    Target,
    make_config,
    new_id,
    read_within,
    request_head,
    run_case,
    sealed,
)

VIEW_BYTES = 160_000  # first answer of a batch
ITEM_BYTES = 2_000
BREAK_AT_BYTES = 120_000
# Of every 50 answers of a faulty target, one is broken off (x = 0.02), and half
# of the targets are faulty (share = 0.5).
BREAK_EVERY = 50
TARGETS = 6
PIPELINED = 3
CLIENTS = 24
PLAY_S = 40.0
ALLOWED = 3


class Work:
    """Answers of one target, whose faulty ones end early."""

    def __init__(self, faulty: bool) -> None:
        self.faulty = faulty
        self.broken: list[str] = []
        self._answers = itertools.count(1)

    async def __call__(
        self, target: Target, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        is_view = arrival.path.startswith("/view/")
        answer = sealed(arrival, bytes(VIEW_BYTES if is_view else ITEM_BYTES))
        if is_view and self.faulty and next(self._answers) % BREAK_EVERY == 0:
            self.broken.append(arrival.request_id)
            writer.write(answer[:BREAK_AT_BYTES])
            await writer.drain()
            raise ConnectionResetError("breaks off")
        writer.write(answer)


async def play(
    case: Case, gateway: Gateway, number: int, ends_at: float, lost: dict[str, str]
) -> None:
    """Send batches of pipelined requests on kept connections."""
    turns = itertools.count(number * 1000)
    while time.monotonic() < ends_at:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        try:
            while time.monotonic() < ends_at:
                batch = [new_id() for _ in range(PIPELINED)]
                for index, request_id in enumerate(batch):
                    path = f"/{'item' if index else 'view'}/{next(turns) % 24}"
                    writer.write(request_head("GET", path, request_id, 4000))
                    case.record.write("sent", id=request_id, client=number)
                await writer.drain()
                for index, request_id in enumerate(batch):
                    try:
                        answer = await read_within(reader, 5)
                    except (OSError, asyncio.IncompleteReadError) as exc:
                        lost |= dict.fromkeys(batch[index:], type(exc).__name__)
                        for unanswered in batch[index:]:
                            case.record.write("closed-without-answer", id=unanswered)
                        raise
                    case.record.write("answered", id=request_id, status=answer.status)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def body(case: Case) -> bool:
    works = [Work(case.trouble and number % 2 == 0) for number in range(TARGETS)]
    for number, work in enumerate(works):
        await case.add_target(f"i-{number}", "archive", work)
    routes = [
        {"prefix": prefix, "kind": "idempotent", "service": "archive"}
        for prefix in ("/view/", "/item/")
    ]
    case.store.put_json("op", "config", make_config(1, routes, ["archive"]))
    gateways = [case.add_gateway(n) for n in range(2)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(1.0)
    lost: dict[str, str] = {}
    ends_at = time.monotonic() + PLAY_S
    await asyncio.gather(
        *(play(case, gateways[n % 2], n, ends_at, lost) for n in range(CLIENTS))
    )

    broken = {request_id for work in works for request_id in work.broken}
    sound_runs: dict[str, str] = {}
    for target, work in zip(case.targets, works, strict=True):
        for arrival in target.arrivals:
            if arrival.request_id not in work.broken:
                sound_runs[arrival.request_id] = target.name
    counted = [rid for rid in lost if rid not in broken and rid in sound_runs]
    for request_id in counted:
        case.record.write("LOST", id=request_id, ran_at=sound_runs[request_id])
    total = sum(len(target.arrivals) for target in case.targets)
    print(f"requests at targets: {total}, answers broken off: {len(broken)}")
    print(f"passed on, run in full, and closed without an answer: {len(counted)}")
    return len(counted) <= ALLOWED


run_case(__file__, body)
