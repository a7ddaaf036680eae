"""A region's machines are lost for good, and the others start again."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet3 import (  # noqa: E402
    TROUBLE,
    Gateway,
    Record,
    Store,
    Target,
    call,
    client_headers,
    config,
    free_port,
    route,
    run_case,
    service,
    tenant,
)

ZONES = {"sv-a": "sudvestur", "sv-b": "sudvestur", "no-a": "nordur", "au-a": "austur"}
STAYING = ("no-a", "no-a", "au-a")
LOST = ("sv-a", "sv-a", "sv-b", "sv-b")  # all machines of a region
BOUNDS = """strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
"""
# What the tenant may send a second, and what its clients send.
RATE_PER_S, CLIENTS, INTERVAL_S = 100, 3, 0.25
# Times after the machines are ready, in seconds.
TRAFFIC_AT_S, LOSS_AT_S, FAULT_AT_S, END_AT_S = 8, 12, 18, 95
RECOVER_S = 15
# 0 leaves out the loss of the region, to show what the final fault does alone.
LOSS = os.environ.get("LOSS", "1") != "0"


async def case(record: Record, folder: Path) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    await store.start()
    for zone, number in itertools.product(ZONES, range(2)):
        target = Target(store, record, f"i-{zone}{number}", "svarbok", zone)
        target.slots = 30
        await target.start()
    rules = [
        route("r", "/r/", "idempotent", "svarbok", 5500),
        service("svarbok"),
        tenant("embassy", ["key-1"], ratePerS=RATE_PER_S, burst=RATE_PER_S),
    ]
    store.put("op", "config", config(1, *rules))
    peer = free_port("127.0.0.1")
    gateways = [
        Gateway(
            store,
            folder,
            f"front-{zone}-{number}",
            zone,
            ZONES,
            peer,
            ip=f"127.0.{os.getpid() % 250 + 1}.{number + 1}",
            bounds=BOUNDS,
        )
        for number, zone in enumerate((*STAYING, *LOST))
    ]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError(f"{gateway.name} does not become ready")
    began = time.monotonic()
    live = list(gateways)
    answers: list[tuple[float, int]] = []

    async def client(number: int) -> None:
        rng = random.Random(number)
        while (at := time.monotonic()) < began + END_AT_S:
            gateway = rng.choice(live)
            headers = {**client_headers(6025), "Key": "key-1"}
            line = b"GET /r/%d" % rng.randrange(1000)
            try:
                status = (await call(gateway.ip, gateway.front, line, headers, 7))[0]
            except (OSError, TimeoutError, ValueError):
                status = 0
            answers.append((at - began, status))
            record.line(f"client {number}: {gateway.name} answers {status}")
            await asyncio.sleep(max(0.0, at + INTERVAL_S - time.monotonic()))

    async def sleep_until(at_s: float) -> None:
        await asyncio.sleep(began + at_s - time.monotonic())

    await sleep_until(TRAFFIC_AT_S)
    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    fault_at = back_at = float(FAULT_AT_S)
    if TROUBLE:
        await sleep_until(LOSS_AT_S)
        if LOSS:
            live[:] = gateways[: len(STAYING)]
            for gateway in gateways[len(STAYING) :]:
                record.line(f"{gateway.name} is lost for good")
                gateway.send(signal.SIGKILL)
        await sleep_until(FAULT_AT_S)
        store.put("op", "config", config(3, *rules))
        record.line("a configuration is acknowledged, and all processes are killed")
        fault_at = time.monotonic() - began
        for gateway in live:
            gateway.end()
        await asyncio.sleep(0.3)
        for gateway in live:
            gateway.start()
        for gateway in live:
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.name} does not become ready again")
        back_at = time.monotonic() - began
        record.line("the machines are back")
    await asyncio.gather(*clients)
    for second in range(TRAFFIC_AT_S, END_AT_S, 6):
        counts = Counter(s for at, s in answers if second <= at < second + 6)
        record.line(f"from {second} s, answers by status: {dict(counts)}")
    before = [status == 200 for at, status in answers if at < fault_at]
    late = [status == 200 for at, status in answers if at > back_at + RECOVER_S]
    before_share, late_share = sum(before) / len(before), sum(late) / len(late)
    record.line(f"served before the final fault: {before_share:.3f}")
    print(
        f"{late_share:.3f} of {len(late)} requests later than {RECOVER_S} s after the "
        f"machines are back were served, {before_share:.3f} before the final fault"
    )
    return before_share >= 0.25 and late_share < 0.25


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, 116))
