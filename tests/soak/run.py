"""Runs the soak test once: starts load, injects faults, checks the records."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from .checks import RECOVER_S, check_all
from .environment import CALLERS, SoakEnvironment
from .faults import run_schedule
from .records import Records
from .schedule import HOSTS, make_schedule

# Time with load after the recovery time; its requests show the recovery.
EVALUATION_S: Final = 3.0


class Verdict(msgspec.Struct):
    """Result of a run."""

    seed: int
    seconds: float
    faults: dict[str, int]
    outcomes: dict[str, int]
    violations: dict[str, list[str]]

    @property
    def passed(self) -> bool:
        """Return whether no check found a violation."""
        return not any(self.violations.values())


def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    callers: int = CALLERS,
    hosts: int = HOSTS,
) -> tuple[Verdict, Records]:
    """Run the gateways under load and faults; return verdict and records.

    Both are also written to `folder` as JSON files.
    """
    folder.mkdir(parents=True, exist_ok=True)
    schedule = make_schedule(seed, seconds, hosts)
    with SoakEnvironment(folder, seed, callers, hosts) as env:
        env.start_load()
        begun = time.monotonic()
        run_schedule(env, schedule)
        # Drains and slow stops may end after `seconds`. Requests must follow
        # the recovery from the last fault.
        ends_at = max(begun + seconds, time.monotonic() + RECOVER_S + EVALUATION_S)
        time.sleep(max(0.0, ends_at - time.monotonic()))
        records = env.finish()
    verdict = Verdict(
        seed,
        seconds,
        dict(Counter(fault.kind for fault in records.troubles)),
        dict(Counter(_outcome(request.status) for request in records.sent)),
        check_all(records),
    )
    (folder / "verdict.json").write_bytes(msgspec.json.encode(verdict))
    (folder / "records.json").write_bytes(msgspec.json.encode(records))
    return verdict, records


def _outcome(status: int) -> str:
    return str(status) if status else "no answer"
