"""One run of the soak: faults by schedule, load, records, verdict and report."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from .checks import RECOVER_S, check_all
from .faults import run_schedule
from .records import Records
from .schedule import HOSTS, make_schedule
from .world import CALLERS, World

# Time of load after the recovery, by which it is judged.
JUDGED_S: Final = 3.0


class Verdict(msgspec.Struct):
    """What came of a run."""

    seed: int
    seconds: float
    faults: dict[str, int]
    outcomes: dict[str, int]
    violations: dict[str, list[str]]

    @property
    def passed(self) -> bool:
        """Tell whether no promise was broken."""
        return not any(self.violations.values())


def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    callers: int = CALLERS,
    hosts: int = HOSTS,
) -> tuple[Verdict, Records]:
    """Run the programs under faults for some seconds; return what was seen."""
    folder.mkdir(parents=True, exist_ok=True)
    schedule = make_schedule(seed, seconds, hosts)
    with World(folder, seed, callers, hosts) as world:
        world.start_load()
        begun = time.monotonic()
        run_schedule(world, schedule)
        # Faults on one upstream wait for each other, and may end late.
        ends_at = max(begun + seconds, time.monotonic() + RECOVER_S + JUDGED_S)
        time.sleep(max(0.0, ends_at - time.monotonic()))
        records = world.finish()
    verdict = Verdict(
        seed,
        seconds,
        dict(Counter(item.kind for item in records.troubles)),
        dict(Counter(_outcome(item.status) for item in records.sent)),
        check_all(records),
    )
    (folder / "verdict.json").write_bytes(msgspec.json.encode(verdict))
    (folder / "records.json").write_bytes(msgspec.json.encode(records))
    return verdict, records


def _outcome(status: int) -> str:
    return str(status) if status else "no answer"
