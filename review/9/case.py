"""CONFIG: a truncated answer holds its caller beyond the route's timeout.

Some targets truncate one answer in fifty: the announced length is longer than
what comes, and the connection stays open. Requests that may run once get no
end of their answer until the client leaves.
"""

from __future__ import annotations

import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from fleet2 import (
    TROUBLE,
    Answer,
    Gateway,
    Handler,
    Record,
    Store,
    Target,
    ask,
    config,
    make_fleet,
    route,
    run_case,
    service,
    sleep_until,
)

ZONES = {"sigtuna-hall": "mellersta", "malmo-hall": "sodra"}
TIMEOUT_S = 2.0  # of the route
DEADLINE_S = 6.0  # of the clients
LATE_S = 0.5
TARGETS, FAULTY = 4, 2  # half of the targets
TRUNCATED_ONE_IN = 50  # x = 0.02
REQUESTS_PER_S, TRAFFIC_S = 60, 40.0


def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    store = Store(record)
    rules = [
        route(
            "rulings",
            "/rulings/",
            "non_idempotent",
            "beslutsbok",
            timeoutMs=int(TIMEOUT_S * 1000),
        ),
        service("beslutsbok"),
    ]
    store.put("op", "config", config(1, *rules), "configuration 1")
    zones = list(ZONES)
    targets = [
        Target(record, store, f"i-{i}", "beslutsbok", zones[i % 2], slots=30)
        for i in range(TARGETS)
    ]
    counts = {target.name: itertools.count(1) for target in targets}

    def truncate(target: Target, handler: Handler, request_id: str) -> bool:
        if next(counts[target.name]) % TRUNCATED_ONE_IN:
            return False
        record.add(f"{target.name}: truncates the answer to {request_id}")
        handler.send_response(200)
        for name, value in target.answer_headers(request_id).items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", "100")
        handler.end_headers()
        handler.wfile.write(b"x" * 40)
        handler.wfile.flush()
        return True  # the connection stays open for the next request

    if TROUBLE:
        for target in targets[:FAULTY]:
            target.fault = truncate
    make_fleet(record, work, store, gateways, zones, ZONES)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.await_ready()
    time.sleep(2)
    answers: dict[str, Answer] = {}

    def send(number: int) -> None:
        gateway = gateways[number % len(gateways)]
        request_id = f"r{number}"
        headers = {
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        path = f"/rulings/{number}"
        try:
            answers[request_id] = ask(
                gateway.ip, gateway.front, "POST", path, headers, b"ruling", DEADLINE_S
            )
        except OSError as exc:
            record.add(f"client: {request_id}: {exc}")

    began = time.monotonic()
    threads = []
    for number in range(int(REQUESTS_PER_S * TRAFFIC_S)):
        sleep_until(began + number / REQUESTS_PER_S)
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    longer = {k: a for k, a in answers.items() if a.elapsed_s > TIMEOUT_S}
    late = {
        k: a
        for k, a in longer.items()
        if not a.complete and a.elapsed_s > TIMEOUT_S + LATE_S
    }
    for request_id, answer in longer.items():
        record.add(
            f"client: {request_id} status={answer.status} complete={answer.complete}"
            f" client left={answer.timed_out} after {answer.elapsed_s:.2f} s"
        )
    served = sum(a.complete and a.status == 200 for a in answers.values())
    record.add(
        f"{len(answers)} requests, {served} served; {len(longer)} lasted longer than "
        f"the route's {TIMEOUT_S} s; {len(late)} had no final answer {LATE_S} s later"
    )
    return not (len(late) >= 8 and len(late) > len(longer) / 4)


run_case(str(Path(__file__).parent), case)
