"""Runs the benchmarks: speed, and the routing comparison if it is present."""

from __future__ import annotations

import importlib
import importlib.util

from . import speed


def main() -> None:
    """Run all benchmarks."""
    speed.main()
    if importlib.util.find_spec("bench.routing") is not None:
        importlib.import_module("bench.routing").main()


if __name__ == "__main__":
    main()
