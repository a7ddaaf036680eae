"""Compares callers' records with the runs that upstreams recorded."""

from __future__ import annotations

from .manifests import Data


def find_violations(records: list[Data], ledger: dict[str, list[Data]]) -> list[str]:
    """Return all contradictions between callers' records and the ledger.

    These are lost and wrong responses, false outcomes, and several runs of a
    request with an idempotency key.
    """
    violations = []
    for record in records:
        request_id, outcome = record["id"], record["outcome"]
        runs = {id_: ledger.get(id_, []) for id_ in record["told"]}
        if outcome in ("lost", "wrong"):
            violations.append(f"{request_id}: {outcome} response")
        for ledger_id, told_outcome in record["told"].items():
            if told_outcome == "did-not-run" and runs[ledger_id]:
                violations.append(
                    f"{ledger_id}: ran, but its caller was told did-not-run"
                )
        all_runs = [run for runs_of_id in runs.values() for run in runs_of_id]
        if record["keyed"] and len(all_runs) > 1:
            violations.append(
                f"{request_id}: {len(all_runs)} runs of one keyed request"
            )
        complete_runs = [
            run
            for run in all_runs
            if run["state"] == "done" and record["sha256"] in ("", run["sha256"])
        ]
        if outcome == "done" and not complete_runs:
            violations.append(f"{request_id}: outcome done without a complete run")
    return violations
