"""Command line of the soak: runs seeds and prints what was seen."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from typing import Annotated, Final

import typer

from .picture import draw
from .run import Verdict, run_soak
from .schedule import HOSTS
from .seeds import REGRESSIONS
from .world import CALLERS

SECONDS: Final = 40.0
app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed; 0 draws one.")] = 0,
    minutes: Annotated[float, typer.Option(help="Stop after this time.")] = 1.0,
    runs: Annotated[int, typer.Option(help="Runs at most; 0: no bound.")] = 0,
    seconds: Annotated[float, typer.Option(help="Length of one run.")] = SECONDS,
    callers: Annotated[int, typer.Option(help="Callers of a run.")] = CALLERS,
    hosts: Annotated[int, typer.Option(help="Gateway processes of a run.")] = HOSTS,
    folder: Annotated[Path, typer.Option(help="Where reports go.")] = Path("build"),
    regressions: Annotated[bool, typer.Option(help="Run the kept seeds.")] = False,
) -> None:
    """Run seeds one after another until the time is over; fail on a broken promise."""
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    seeds = list(REGRESSIONS) if regressions else []
    until = time.monotonic() + minutes * 60
    failed, done = [], 0
    while seeds or not regressions:
        if not regressions and done and (time.monotonic() >= until or done == runs):
            break
        number = seeds.pop(0) if regressions else first + done
        reports = folder / f"soak-{number}"
        verdict, records = run_soak(number, seconds, reports, callers, hosts)
        draw(records, reports / "outcomes.png")
        _print(verdict)
        done += 1
        if not verdict.passed:
            failed.append(number)
    print(f"{done} runs, failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _print(verdict: Verdict) -> None:
    result = "passed" if verdict.passed else "FAILED"
    print(f"seed {verdict.seed} ({verdict.seconds:.0f} s): {result}")
    faults = ", ".join(f"{k} {n}" for k, n in sorted(verdict.faults.items()))
    print(f"  faults: {faults}")
    outcomes = ", ".join(f"{k} {n}" for k, n in sorted(verdict.outcomes.items()))
    print(f"  answers: {outcomes}")
    for promise, broken in verdict.violations.items():
        for line in broken[:5]:
            print(f"  broken: {promise}: {line}")
    sys.stdout.flush()


app()
