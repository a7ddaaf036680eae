"""A short soak in CI, with one seed and fewer callers than by hand."""

from __future__ import annotations

from pathlib import Path

from .run import run_soak

SEED = 20261204
SECONDS = 25.0
CALLERS = 12


def test_promises_hold_under_faults(tmp_path: Path) -> None:
    """Guards all promises of the platform's pages against faults that overlap."""
    verdict, records = run_soak(SEED, SECONDS, tmp_path, CALLERS)
    print(verdict)
    assert verdict.passed, verdict.violations
    assert len(records.sent) > 300, "too few requests to judge"
    assert len(records.troubles) >= 4, "too few faults to judge"
