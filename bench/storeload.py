"""Load generator for the table service, with the daemon's own client.

`python -m bench.storeload URL COUNT IN_FLIGHT` prints one JSON line with the
calls per second and the processor time per call. `bench.slopes` runs it.
"""

from __future__ import annotations

import os
import sys
import time
from typing import Any

import msgspec
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults

from samphirebend.options import Options
from samphirebend.tablestore import Row, TableStore, make_store

reactor: Any = installed_reactor


async def _make_calls(store: TableStore, count: int, name: str) -> None:
    for number in range(count):
        if number % 8:
            result = await store.get("manifest#current")
        else:
            row = Row(f"bench#{os.getpid()}-{name}-{number}", {"holder": "h" * 16})
            result = await store.put(row, 0)
        assert result.is_ok(), result


async def _run(url: str, count: int, in_flight: int) -> None:
    cfg = Options()
    cfg.table_url = url
    store = make_store(cfg, reactor)
    await _make_calls(store, 50, f"warm-{in_flight}")
    start, start_cpu = time.perf_counter(), time.process_time()
    workers = [
        Deferred.fromCoroutine(
            _make_calls(store, count // in_flight, f"{in_flight}-{i}")
        )
        for i in range(in_flight)
    ]
    await gatherResults(workers)
    done = count // in_flight * in_flight
    cpu_us = (time.process_time() - start_cpu) / done * 1e6
    per_s = done / (time.perf_counter() - start)
    print(msgspec.json.encode({"per_s": per_s, "cpu_us": cpu_us}).decode(), flush=True)


def main() -> None:
    """Run the calls given on the command line."""
    url, count, in_flight = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])

    def begin() -> None:
        done = Deferred.fromCoroutine(_run(url, count, in_flight))
        done.addErrback(lambda failure: failure.printTraceback())
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()


if __name__ == "__main__":
    main()
