"""Runs the speed benchmark and the comparison of routing policies."""

from __future__ import annotations

from . import routing, speed


def main() -> None:
    """Run both benchmarks."""
    speed.main()
    routing.main()


if __name__ == "__main__":
    main()
