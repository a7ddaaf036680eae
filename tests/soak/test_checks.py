"""Each promise of the soak fails on records that break it, and on no others."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from . import checks
from .records import Notice, Records, Run, Sent, Trouble
from .schedule import QUIET_END_S, make_schedule

T = 1000.0


def sent(
    request_id: str = "r", at: float = T, status: int = 200, **more: object
) -> Sent:
    made = Sent(request_id, "h0", 1, "/write/1", False, at, at + 0.1, status, True)
    for name, value in more.items():
        setattr(made, name, value)
    return made


def run(request_id: str = "r", at: float = T, upstream: str = "u1") -> Run:
    return Run(request_id, "/write/1", upstream, "s", "a1", at, True)


def good() -> Records:
    """Return records of a run that keeps every promise."""
    records = Records(
        [sent(f"r{n}", T + n) for n in range(20)],
        [run(f"r{n}", T + n) for n in range(20)],
    )
    records.faults_ended_at = T + 2
    records.load_ended_at = T + 20
    return records


def twice(records: Records) -> None:
    records.runs.append(run("r3", T + 3.5, "u2"))


def false_refusal(records: Records) -> None:
    records.sent[3].status = 503


def foreign_answer(records: Records) -> None:
    records.sent[3].whole = False


def denial(records: Records) -> None:
    records.sent[3].status = 404


def cut_beside_a_stop(records: Records) -> None:
    records.troubles.append(Trouble("StopHost", T + 2, T + 5, True, "h0"))
    records.sent[3].status = 0


def revert(records: Records) -> None:
    records.sent.append(sent("p1", T + 5, path="/v6/x"))
    records.sent.append(sent("p2", T + 6, status=404, path="/v6/x"))
    records.runs.append(run("p1", T + 5))


def late_config(records: Records) -> None:
    records.notices.append(Notice("config", "6", T + 1))
    records.sent.append(sent("p2", T + 6, status=404, path="/v6/x"))


def work_after_leaving(records: Records) -> None:
    records.notices.append(Notice("drain", "u1", T + 1))


def work_in_evacuated(records: Records) -> None:
    records.notices += [Notice("evacuate", "a1", T), Notice("return", "a1", T + 12)]


def many_repeats(records: Records) -> None:
    for number in range(80):
        records.runs.append(run("r3", T + 3 + number * 0.01))
    for item in records.sent:
        item.idempotent = True


def cold_burst(records: Records) -> None:
    records.cold["u1"] = T + 10
    records.runs += [run(f"x{n}", T + 3 + n * 0.01) for n in range(30)]


def no_recovery(records: Records) -> None:
    for item in records.sent[10:]:
        item.status = 502


def bug(records: Records) -> None:
    records.bugs.append("h0: request failed unexpectedly")


@pytest.mark.parametrize(
    ("damage", "promise"),
    [
        (twice, checks.runs_at_most_once),
        (false_refusal, checks.refusals_are_true),
        (foreign_answer, checks.answers_are_whole),
        (denial, checks.proper_requests_are_not_denied),
        (cut_beside_a_stop, checks.planned_work_cuts_nothing),
        (revert, checks.configurations_do_not_revert),
        (late_config, checks.configurations_come_into_force),
        (work_after_leaving, checks.leaving_upstreams_get_nothing),
        (work_in_evacuated, checks.evacuated_zones_get_nothing),
        (many_repeats, checks.retries_stay_in_budget),
        (cold_burst, checks.cold_upstreams_are_spared),
        (no_recovery, checks.service_recovers),
        (bug, checks.programs_have_no_bugs),
    ],
)
def test_a_broken_promise_is_seen(
    damage: Callable[[Records], None], promise: checks.Check
) -> None:
    records = good()
    assert not list(promise(records))
    damage(records)
    assert list(promise(records))


def test_every_promise_is_shown_to_fail() -> None:
    assert len(checks.CHECKS) == 13


def test_a_host_out_of_touch_is_not_bound_by_times() -> None:
    records = good()
    work_after_leaving(records)
    records.troubles.append(Trouble("DisturbStore", T, T + 25, False))
    assert not list(checks.leaving_upstreams_get_nothing(records))


def test_a_seed_gives_the_same_schedule_and_ends_quietly() -> None:
    first = make_schedule(7, 60.0)
    assert first == make_schedule(7, 60.0)
    assert first != make_schedule(8, 60.0)
    assert all(item.at_s + item.for_s <= 60.0 - QUIET_END_S for item in first)
