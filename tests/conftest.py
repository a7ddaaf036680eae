"""Hypothesis settings for all tests, and the files that failed runs leave."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Final

import pytest
from hypothesis import HealthCheck, settings

# Pytest deletes the temporary files of all runs but the last three.
KEPT_RUNS: Final = Path(__file__).resolve().parent.parent / "target" / "failed-tests"

# The examples are fixed, so that a failure in CI can be reproduced anywhere.
settings.register_profile(
    "shared",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("shared")


@pytest.fixture(scope="session", autouse=True)
def keep_files_of_failed_run(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[None]:
    """Keep the logs of the processes that the tests ran, if a test failed."""
    yield
    if request.session.testsfailed:
        kept = KEPT_RUNS / datetime.now(UTC).strftime("%Y%m%dT%H%M%S.%f")
        shutil.copytree(tmp_path_factory.getbasetemp(), kept, symlinks=True)
        print(f"\nfiles of the failed run: {kept}")
