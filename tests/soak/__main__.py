"""Command line of the soak test: runs seeds and prints the results."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from typing import Annotated, Final

import typer

from .environment import CALLERS
from .plot import plot_outcomes
from .run import Verdict, run_soak
from .schedule import HOSTS
from .seeds import REGRESSIONS

SECONDS: Final = 40.0  # default length of one run, in seconds
app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed; 0 for a random one.")] = 0,
    minutes: Annotated[
        float, typer.Option(help="Start no new run after this time.")
    ] = 1.0,
    runs: Annotated[
        int, typer.Option(help="Maximum number of runs; 0 for no limit.")
    ] = 0,
    seconds: Annotated[
        float, typer.Option(help="Length of one run, in seconds.")
    ] = SECONDS,
    callers: Annotated[int, typer.Option(help="Number of callers.")] = CALLERS,
    hosts: Annotated[int, typer.Option(help="Number of gateway processes.")] = HOSTS,
    folder: Annotated[Path, typer.Option(help="Folder for reports.")] = Path("build"),
    regressions: Annotated[
        bool, typer.Option(help="Run the regression seeds.")
    ] = False,
) -> None:
    """Run seeds until the time is over; fail if a check found a violation."""
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
        plot_outcomes(records, reports / "outcomes.png")
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
    for check, violations in verdict.violations.items():
        for line in violations[:5]:
            print(f"  broken: {check}: {line}")
    sys.stdout.flush()


app()
