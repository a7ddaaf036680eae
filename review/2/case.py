"""An empty entry in the targets' table, and then the release of a service."""

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
    Target,
    make_config,
    new_id,
    read_within,
    request_head,
    run_case,
    sealed,
)

DRAIN_S = 2.5  # `drainMs` of the settings
CONTACT_S = 4.0  # `contactMs` of linjering-riks
WORK_S = 0.3
INTERVAL_S = 0.05


async def work(target: Target, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    writer.write(sealed(arrival, b"done"))


async def send(
    case: Case, gateway: Gateway, method: str, results: dict[str, str]
) -> None:
    """Send one request on a new connection and record its answer."""
    request_id = new_id()
    path = "/view/1" if method == "GET" else "/order/1"
    body = b"" if method == "GET" else b"order"
    case.record.write("sent", id=request_id, method=method, gateway=gateway.name)
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(request_head(method, path, request_id, 4000, len(body)) + body)
        answer = await read_within(reader, 4.5)
        result = str(answer.status)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        result = type(exc).__name__
    results[request_id] = result
    case.record.write("answered", id=request_id, result=result)


async def body(case: Case) -> bool:
    old = [await case.add_target(f"i-old-{n}", "orders", work) for n in range(2)]
    routes = [
        {"prefix": "/view/", "kind": "idempotent", "service": "orders"},
        {"prefix": "/order/", "kind": "non_idempotent", "service": "orders"},
    ]
    case.store.put_json("op", "config", make_config(1, routes, ["orders"]))
    gateways = [case.add_gateway(n) for n in range(2)]
    for gateway in gateways:
        await gateway.wait_ready()

    tasks = set()
    results: dict[str, str] = {}

    async def traffic() -> None:
        number = 0
        while True:
            number += 1
            method = "POST" if number % 4 == 0 else "GET"
            gateway = gateways[number % 2]
            task = asyncio.create_task(send(case, gateway, method, results))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(CONTACT_S)
    if case.trouble:
        case.store.put("servers", "i-other-writer", b"")
        case.record.write("entry-of-another-writer", key="i-other-writer", bytes=0)
    await asyncio.sleep(CONTACT_S)

    # The release: new targets start first, then the old ones drain.
    new = [await case.add_target(f"i-new-{n}", "orders", work) for n in range(2)]
    await asyncio.sleep(2.0)
    for target in old:
        target.register("draining")
    draining_at = time.monotonic()
    case.record.write("old-targets-draining-acknowledged")
    await asyncio.sleep(DRAIN_S + 2.5)
    for target in old:
        target.withdraw()
        target.stop()
    case.record.write("old-targets-ended")
    await asyncio.sleep(4.0)
    sender.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    late = [
        arrival
        for target in old
        for arrival in target.arrivals
        if arrival.at > draining_at + DRAIN_S
    ]
    fresh = sum(len(target.arrivals) for target in new)
    case.record.write("DRAIN", late_arrivals=len(late), at_new_targets=fresh)
    print(f"requests at draining targets after drainMs: {len(late)}")
    print(f"requests at the new targets: {fresh}")
    cut = sum(results.get(arrival.request_id) != "200" for arrival in late)
    unserved = sum(result != "200" for result in results.values())
    print(f"of the late ones, not answered with 200: {cut}; of all: {unserved}")
    return not late


run_case(__file__, body)
