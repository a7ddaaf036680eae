"""Measures the cost of an idle gateway: `python -m bench.control 4 30 60`.

For each number of hosts, starts a store stand-in and gateway processes without
callers, and measures their processor time, memory and wake-ups.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import mean
from typing import Final

from tests.gateways import GatewayProcess, make_config
from tests.processes import eventually, loopback_ip
from tests.standins.platform import StoreStandIn

SETTLE_S: Final = 6.0  # time from the start to the measurement
MEASURED_S: Final = 15.0  # length of the measurement
START_PER_HOST_S: Final = 1.0  # added to the start timeout per host
ZONES: Final = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
ENTRIES: Final = 200  # number of registered upstreams


class Usage:
    """Resources that one process has used so far."""

    def __init__(self, pid: int) -> None:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{pid}/status").read_text()
        self.cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        self.rss_mb = _field(status, "VmRSS") / 1024
        self.wakeups = _field(status, "voluntary_ctxt_switches")


def _field(status: str, name: str) -> int:
    line = next(line for line in status.splitlines() if line.startswith(f"{name}:"))
    return int(line.split()[1])


def put_entries(store: StoreStandIn) -> None:
    """Write a configuration and upstreams, which receive no requests."""
    store.put("op", "config", make_config(3, "s", read=("/read/", "idempotent")))
    for number in range(ENTRIES):
        info = {"service": "s", "version": "v1", "zone": "a1", "slots": 3}
        status = {"state": "ready", "seq": 1, "coldLeftMs": 0}
        entry = {"address": "127.0.0.1:9", "info": info, "status": status, "born": 1}
        store.put("servers", f"u{number}", entry)


def measure(count: int, folder: Path) -> None:
    """Print the resources that each of `count` idle hosts uses."""
    store = StoreStandIn(loopback_ip(1))
    put_entries(store)
    zones = list(ZONES)
    hosts = [
        GatewayProcess(
            store.address, loopback_ip(10 + n), zones[n % 4], ZONES, folder, f"host-{n}"
        )
        for n in range(count)
    ]
    try:
        for host in hosts:
            eventually(host.is_ready, 20 + START_PER_HOST_S * count, host.name)
        time.sleep(SETTLE_S)
        before = [Usage(host.child.pid) for host in hosts]
        time.sleep(MEASURED_S)
        after = [Usage(host.child.pid) for host in hosts]
    finally:
        for host in hosts:
            host.end()
        store.stop()
    pairs = list(zip(before, after, strict=True))
    cpu = [(b.cpu_s - a.cpu_s) / MEASURED_S * 100 for a, b in pairs]
    wakeups = [(b.wakeups - a.wakeups) / MEASURED_S for a, b in pairs]
    print(
        f"{count} hosts at rest: {mean(cpu):.2f}% of a core (most {max(cpu):.2f}), "
        f"{mean(wakeups):.0f} wake-ups a second, "
        f"{mean(usage.rss_mb for usage in after):.1f} MB resident",
        flush=True,
    )


def main() -> None:
    """Measure each number of hosts given on the command line."""
    for count in map(int, sys.argv[1:] or ["4", "30"]):
        with tempfile.TemporaryDirectory() as folder:
            measure(count, Path(folder))


if __name__ == "__main__":
    main()
