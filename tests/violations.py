"""Comparison of callers' records with the runs that upstreams recorded."""

from __future__ import annotations

from .manifests import Data


def find_violations(records: list[Data], ledger: dict[str, list[Data]]) -> list[str]:
    """Return all contradictions of callers' records and the upstreams' ledger.

    Guards against lost, wrong or untrue answers and against several runs of a
    request with an idempotency key.
    """
    found = []
    for record in records:
        name, outcome = record["id"], record["outcome"]
        runs = {each: ledger.get(each, []) for each in record["told"]}
        if outcome in ("lost", "wrong"):
            found.append(f"{name}: {outcome} answer")
        for ledger_id, told in record["told"].items():
            if told == "did-not-run" and runs[ledger_id]:
                found.append(f"{ledger_id}: ran, told did-not-run")
        all_runs = [run for each in runs.values() for run in each]
        if record["keyed"] and len(all_runs) > 1:
            found.append(f"{name}: {len(all_runs)} runs of one keyed request")
        whole = [
            run
            for run in all_runs
            if run["state"] == "done" and record["sha256"] in ("", run["sha256"])
        ]
        if outcome == "done" and not whole:
            found.append(f"{name}: told done without a complete run")
    return found
