"""The promises of the system, checked on the records of a run.

A bound in seconds holds for a host in touch: one that no unplanned fault has
disturbed, and that had the store undisturbed, for the whole `CONTACT_S` before.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from itertools import pairwise
from typing import Final

from .records import PROMISES, Notice, Records, Run, Sent, Trouble

CONTACT_S: Final = 4.0
DRAIN_S: Final = 2.5
EVACUATION_S: Final = 5.0
CONFIG_S: Final = 2.5
ROLLBACK_SLACK_S: Final = 0.25
LOSS_SLACK_S: Final = 0.2
BUDGET_RATIO: Final = 0.2
BUDGET_SLACK: Final = 50
BUDGET_WINDOW_S: Final = 10.0
COLD_PER_S: Final = 9.0 * 1.5 + 5.0
RECOVER_S: Final = 5.0
RECOVERED_SHARE: Final = 0.9
Check = Callable[[Records], Iterator[str]]


def check_all(records: Records) -> dict[str, list[str]]:
    """Return the violations of each promise."""
    return {check.__name__: list(check(records)) for check in CHECKS}


def runs_at_most_once(records: Records) -> Iterator[str]:
    """Yield requests that may run once and ran again."""
    counts = Counter(run.request_id for run in records.runs if run.ran)
    for sent in records.sent:
        if not sent.idempotent and counts[sent.request_id] > 1:
            yield f"{sent.request_id} ran {counts[sent.request_id]} times"


def refusals_are_true(records: Records) -> Iterator[str]:
    """Yield requests that ran although the caller was told that they did not."""
    ran = {run.request_id for run in records.runs if run.ran}
    for sent in records.sent:
        if not sent.idempotent and sent.status in PROMISES and sent.request_id in ran:
            yield f"{sent.request_id} was answered {sent.status} and ran"


def answers_are_whole(records: Records) -> Iterator[str]:
    """Yield successes that are not the upstream's whole answer to the request."""
    ran = {run.request_id for run in records.runs if run.ran}
    for sent in records.sent:
        if sent.status == 200 and not sent.whole:
            yield f"{sent.request_id}: another answer, or a part of one"
        elif sent.status == 200 and sent.request_id not in ran:
            yield f"{sent.request_id}: answered and did not run"


def proper_requests_are_not_denied(records: Records) -> Iterator[str]:
    """Yield refusals other than promises on routes that every version has."""
    for sent in records.sent:
        denied = 300 <= sent.status < 500 and sent.status not in PROMISES
        if denied and not sent.path.startswith("/v"):
            yield f"{sent.request_id} {sent.path}: {sent.status} from {sent.host}"


def planned_work_cuts_nothing(records: Records) -> Iterator[str]:
    """Yield requests that ended without an answer beside planned work alone."""
    ran = {run.request_id for run in records.runs}
    unplanned = [item for item in records.troubles if not item.planned]
    for sent in records.sent:
        if sent.status or sent.timed_out:
            continue
        begin, end = sent.sent_at - CONTACT_S, sent.ended_at
        if any(item.begun_at <= end and item.ended_at >= begin for item in unplanned):
            continue
        late = sent.ended_at - sent.sent_at > LOSS_SLACK_S
        if sent.request_id in ran or late:
            yield f"{sent.request_id} at {sent.host} ended without an answer"


def configurations_do_not_revert(records: Records) -> Iterator[str]:
    """Yield probes that an older version answered after a newer one was seen."""
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    for sent in sorted(records.sent, key=lambda item: item.sent_at):
        version = _probed_version(sent)
        if not version or sent.status not in (200, 404):
            continue
        key = (sent.host, sent.start)
        seen, seen_at = newest.get(key, (0, 0.0))
        if sent.status == 200 and version > seen:
            newest[key] = (version, sent.ended_at)
        older = sent.status == 404 and version <= seen
        if older and sent.sent_at > seen_at + ROLLBACK_SLACK_S:
            yield f"{sent.host}: version {version} gone, {seen} was in force"


def configurations_come_into_force(records: Records) -> Iterator[str]:
    """Yield probes refused later than the bound after a version's acknowledgement."""
    accepted = {int(n.name): n.at for n in records.notices if n.kind == "config"}
    for sent in records.sent:
        version = _probed_version(sent)
        if not version or sent.status != 404 or version not in accepted:
            continue
        late_s = sent.sent_at - accepted[version] - CONFIG_S
        in_touch = _in_touch(records.troubles, sent)
        if late_s > 0 and in_touch:
            yield f"{sent.host}: version {version} not in force {late_s:.1f} s late"


def leaving_upstreams_get_nothing(records: Records) -> Iterator[str]:
    """Yield requests that reached an upstream after its leaving was acknowledged."""
    leaving: dict[str, float] = {}
    for notice in records.notices:
        if notice.kind in ("drain", "gone"):
            leaving.setdefault(notice.name, notice.at)
    for run, sent in _with_callers(records):
        left_at = leaving.get(run.upstream)
        if left_at is None or sent.sent_at <= left_at + DRAIN_S:
            continue
        if _in_touch(records.troubles, sent):
            yield f"{run.request_id} from {sent.host} at {run.upstream}, which left"


def evacuated_zones_get_nothing(records: Records) -> Iterator[str]:
    """Yield requests that reached an evacuated failure domain after the bound."""
    spans = _evacuations(records.notices)
    for run, sent in _with_callers(records):
        for begin, end in spans.get(run.zone, ()):
            inside = begin + EVACUATION_S < run.at < end
            if inside and _in_touch(records.troubles, sent):
                yield f"{run.request_id} from {sent.host} in evacuated {run.zone}"


def retries_stay_in_budget(records: Records) -> Iterator[str]:
    """Yield services with too many repeated arrivals in some window."""
    asked = sorted(sent.sent_at for sent in records.sent)
    repeats: dict[str, list[float]] = defaultdict(list)
    known: set[str] = set()
    for run in sorted(records.runs, key=lambda item: item.at):
        if run.request_id in known:
            repeats[run.service].append(run.at)
        known.add(run.request_id)
    for service, times in repeats.items():
        for at in times:
            many = _within(times, at, BUDGET_WINDOW_S)
            requests = max(
                _within(asked, at, BUDGET_WINDOW_S),
                _within(asked, at - BUDGET_WINDOW_S, BUDGET_WINDOW_S),
            )
            if many > BUDGET_RATIO * requests + BUDGET_SLACK:
                yield f"{service}: {many} repeats for {requests} requests"
                break


def cold_upstreams_are_spared(records: Records) -> Iterator[str]:
    """Yield upstreams that got too many requests in a second while cold."""
    arrivals: dict[str, list[float]] = defaultdict(list)
    for run in records.runs:
        if run.at < records.cold.get(run.upstream, 0.0):
            arrivals[run.upstream].append(run.at)
    for upstream, times in arrivals.items():
        times.sort()
        most = max(_within(times, at, 1.0) for at in times)
        if most > COLD_PER_S:
            yield f"{upstream}: {most} requests in a second"


def service_recovers(records: Records) -> Iterator[str]:
    """Yield a run in which too few requests are answered after the last fault."""
    begin = records.faults_ended_at + RECOVER_S
    late = [sent for sent in records.sent if sent.sent_at > begin]
    proper = [sent for sent in late if not sent.path.startswith("/v")]
    good = sum(sent.status == 200 for sent in proper)
    if not proper or good < RECOVERED_SHARE * len(proper):
        yield f"{good} of {len(proper)} answered after the last fault"


def programs_have_no_bugs(records: Records) -> Iterator[str]:
    """Yield unexpected errors in logs and processes that ended by themselves."""
    yield from records.bugs


CHECKS: Final[tuple[Check, ...]] = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_whole,
    proper_requests_are_not_denied,
    planned_work_cuts_nothing,
    configurations_do_not_revert,
    configurations_come_into_force,
    leaving_upstreams_get_nothing,
    evacuated_zones_get_nothing,
    retries_stay_in_budget,
    cold_upstreams_are_spared,
    service_recovers,
    programs_have_no_bugs,
)


def _probed_version(sent: Sent) -> int:
    """Return the version whose own route a probe asks for, 0 for other requests."""
    name = sent.path.split("/")[1]
    return int(name[1:]) if name[:1] == "v" and name[1:].isdigit() else 0


def _with_callers(records: Records) -> Iterator[tuple[Run, Sent]]:
    """Yield what reached upstreams together with the callers' requests."""
    by_id = {sent.request_id: sent for sent in records.sent}
    for run in records.runs:
        if run.request_id in by_id:
            yield run, by_id[run.request_id]


def _in_touch(troubles: list[Trouble], sent: Sent) -> bool:
    """Tell whether nothing disturbed the host and the store before a request."""
    begin = sent.sent_at - CONTACT_S
    for item in troubles:
        concerns = item.host == sent.host or not (item.host or item.upstream)
        overlaps = item.begun_at <= sent.sent_at + 1.0 and item.ended_at >= begin
        if concerns and overlaps and (not item.planned or item.host):
            return False
    return True


def _evacuations(notices: list[Notice]) -> dict[str, list[tuple[float, float]]]:
    """Return the spans for which each failure domain was evacuated."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    by_zone: dict[str, list[Notice]] = defaultdict(list)
    for notice in notices:
        if notice.kind in ("evacuate", "return"):
            by_zone[notice.name].append(notice)
    for zone, items in by_zone.items():
        for begin, end in pairwise(sorted(items, key=lambda item: item.at)):
            if begin.kind == "evacuate":
                spans[zone].append((begin.at, end.at))
    return spans


def _within(times: list[float], begin: float, seconds: float) -> int:
    return sum(begin <= at < begin + seconds for at in times)
