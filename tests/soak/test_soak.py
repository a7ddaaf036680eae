"""Short soak run for CI, with one seed and fewer callers than by default."""

from __future__ import annotations

from pathlib import Path

from .run import run_soak

SEED = 20261204
SECONDS = 25.0
CALLERS = 12


def test_guarantees_hold_under_faults(tmp_path: Path) -> None:
    """Guards against violations of any guarantee under overlapping faults."""
    verdict, records = run_soak(SEED, SECONDS, tmp_path, CALLERS)
    print(verdict)
    assert verdict.passed, verdict.violations
    assert len(records.sent) > 300, "too few requests for a conclusive run"
    assert len(records.troubles) >= 4, "too few faults for a conclusive run"
