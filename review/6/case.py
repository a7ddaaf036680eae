"""RECOVER: after machines have left for good, a restarted fleet wedges.

Seven machines serve a tenant well within its quota. Four of them are removed
for good. A configuration is acknowledged, and all processes are killed and
start again. Later than `recoverS` the three machines refuse all its requests.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from fleet2 import (
    TROUBLE,
    Gateway,
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
    tenant,
)

ZONES = {"sv-a": "sudvestur", "no-a": "nordur", "au-a": "austur"}
PLACED = ["sv-a", "no-a", "au-a", "sv-a", "no-a", "au-a", "sv-a"]
STAYING = 3
BOUNDS = {
    "ackMs": 6000,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "budgetSlack": 216,
    "quotaWindowS": 5,
    "quotaOver": 0.1,
    "quotaSlack": 20,
    "coldSlack": 8,
    "recoverS": 15,
}
RECOVER_S = 15
QUOTA = {"ratePerS": 100, "burst": 100}
CLIENTS, INTERVAL_S = 3, 0.25  # 12 requests a second
TRAFFIC_AT_S, REMOVE_AT_S, FAULT_AT_S, END_AT_S = 9, 12, 20, 105
# Leaves out the removal alone, to show what the final fault does by itself.
REMOVAL = os.environ.get("REMOVAL", "1") != "0"


def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    store = Store(record)
    rules = [
        route("rsvp", "/rsvp/", "idempotent", "svarbok"),
        service("svarbok"),
        tenant("embassy", ["key-1"], **QUOTA),
    ]
    store.put("op", "config", config(1, *rules), "configuration 1")
    for zone in ZONES:
        for number in range(2):
            Target(record, store, f"i-{zone}{number}", "svarbok", zone, slots=30)
    make_fleet(record, work, store, gateways, PLACED, ZONES, BOUNDS)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.await_ready()
    began = time.monotonic()
    live = list(gateways)
    answers: list[tuple[float, int]] = []

    def client(number: int) -> None:
        sent = 0
        while time.monotonic() < began + END_AT_S:
            at = time.monotonic()
            sent += 1
            gateway = live[(sent + number) % len(live)]
            headers = {
                "Attempt-Id": f"c{number}-{sent}",
                "Deadline-Ms": "3000",
                "Key": "key-1",
            }
            path = f"/rsvp/{number}-{sent}"
            try:
                answer = ask(gateway.ip, gateway.front, "GET", path, headers)
                status = answer.status
            except OSError:
                status = 0
            answers.append((at - began, status))
            record.add(f"client {number}: {gateway.name} answers {status}")
            sleep_until(at + INTERVAL_S)

    sleep_until(began + TRAFFIC_AT_S)
    clients = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in clients:
        thread.start()
    back_at = fault_at = float(FAULT_AT_S)
    if TROUBLE:
        sleep_until(began + REMOVE_AT_S)
        if REMOVAL:
            leaving = gateways[STAYING:]
            live[:] = gateways[:STAYING]
            for gateway in leaving:
                gateway.send(signal.SIGTERM)
            for gateway in leaving:
                gateway.await_end(6.5)
        sleep_until(began + FAULT_AT_S)
        store.put("op", "config", config(3, *rules), "configuration 3")
        fault_at = time.monotonic() - began
        for gateway in live:
            gateway.kill()
        time.sleep(0.3)
        for gateway in live:
            gateway.start()
        for gateway in live:
            gateway.await_ready()
        back_at = time.monotonic() - began
    for thread in clients:
        thread.join()
    for second in range(TRAFFIC_AT_S, END_AT_S, 6):
        counts = Counter(s for at, s in answers if second <= at < second + 6)
        record.add(f"from {second} s, answers by status: {dict(counts)}")
    before = [status == 200 for at, status in answers if at < fault_at]
    late = [status == 200 for at, status in answers if at > back_at + RECOVER_S]
    before_share = sum(before) / len(before)
    late_share = sum(late) / len(late)
    record.add(f"served before the final fault: {before_share:.3f}")
    record.add(
        f"served of {len(late)} sent later than {RECOVER_S} s after the machines "
        f"are back: {late_share:.3f}"
    )
    return late_share >= 0.25 or before_share < 0.25


run_case(str(Path(__file__).parent), case)
