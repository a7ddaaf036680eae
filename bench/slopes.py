"""Measures how the cost of each part grows with the size of the system.

`python -m bench.slopes [PART...]` prints one line per size. Decisions and
manifests are measured in this process with the daemon's own classes; startup,
polls, table calls and the command-line tool in real processes. CAPACITY.md
derives the costs at the target scale from these lines.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Final

from .decisions import heartbeats, leases, lookups, requests
from .harness import load_note
from .manifests import delta_memory, deltas, memory, spread
from .processes import measurements, mesh, starts, store, tool


def membership() -> None:
    """Measure heartbeats by services and shards, and idle daemons by peers."""
    heartbeats()
    mesh()


PARTS: Final[dict[str, Callable[[], None]]] = {
    function.__name__: function
    for function in (
        lookups,
        requests,
        leases,
        membership,
        spread,
        deltas,
        measurements,
        store,
        tool,
        starts,
        memory,
        delta_memory,
    )
}


def main() -> None:
    """Run the parts given on the command line, by default all."""
    print(f"slopes: {load_note()}")
    for name in sys.argv[1:] or PARTS:
        start = time.monotonic()
        PARTS[name]()
        print(f"{name}: {time.monotonic() - start:.0f} s, {load_note()}", flush=True)


if __name__ == "__main__":
    main()
