"""What is known of one upstream: its life cycle, reports and own outcomes.

`upstreamstate` keeps a record for each upstream of the region and decides which
news may change it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum, unique
from typing import Final, Protocol

from automat import TypeMachineBuilder

OUTCOME_DECAY_S: Final = 10.0


@unique
class LifecycleState(Enum):
    """State of an upstream as this host knows it."""

    COLD = "cold"
    UP = "up"
    EJECTED = "ejected"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class ListedState(Enum):
    """What the platform's list says of an upstream."""

    SERVING = "serving"
    LEAVING = "leaving"
    ABSENT = "absent"


@unique
class DispatchOutcome(Enum):
    """How one dispatch to an upstream ended, as far as the upstream caused it."""

    ANSWERED = "answered"
    FAILED = "failed"  # broken, truncated, late, wrong or no connection
    REFUSED = "refused"  # explicitly not run
    CANCELLED = "cancelled"  # ended by the caller; says nothing


class Report:
    """One answer of an upstream's health endpoint."""

    __slots__ = ("draining", "failing", "in_use", "instance")

    def __init__(
        self, instance: str, failing: bool, draining: bool, in_use: int | None
    ) -> None:
        self.instance = instance  # empty: not given
        self.failing = failing  # status "fail"
        self.draining = draining
        self.in_use = in_use  # slots, None: unknown


class _Inputs(Protocol):
    def warmed(self) -> None: ...
    def ejected(self) -> None: ...
    def recovered(self) -> None: ...
    def left(self) -> None: ...
    def vanished(self) -> None: ...
    def reset(self) -> None: ...
    def state(self) -> LifecycleState: ...


class _Core:
    """Data of the machine; the transitions need none."""

    __slots__ = ()


def _build_machine() -> Callable[[_Core], _Inputs]:
    builder = TypeMachineBuilder(_Inputs, _Core)
    up = builder.state("up")  # the initial state
    cold = builder.state("cold")
    ejected = builder.state("ejected")
    leaving = builder.state("leaving")
    gone = builder.state("gone")
    for source, event, target in (
        (up, _Inputs.ejected, ejected),
        (cold, _Inputs.ejected, ejected),
        (cold, _Inputs.warmed, up),
        (ejected, _Inputs.recovered, up),
        (up, _Inputs.left, leaving),
        (cold, _Inputs.left, leaving),
        (ejected, _Inputs.left, leaving),
        (leaving, _Inputs.left, leaving),
        (gone, _Inputs.left, gone),
    ):
        source.upon(event).to(target).returns(None)
    for state, value in (
        (up, LifecycleState.UP),
        (cold, LifecycleState.COLD),
        (ejected, LifecycleState.EJECTED),
        (leaving, LifecycleState.LEAVING),
        (gone, LifecycleState.GONE),
    ):
        state.upon(_Inputs.vanished).to(gone).returns(None)
        state.upon(_Inputs.reset).to(cold).returns(None)
        state.upon(_Inputs.state).loop().returns(value)
    return builder.build()


_make_machine: Final = _build_machine()


class UpstreamRecord:
    """All that is known of one upstream."""

    __slots__ = (
        "address",
        "cold_since",
        "consecutive_failures",
        "ejected_at",
        "ejection_s",
        "failures",
        "instance",
        "latency_at",
        "latency_s",
        "listed",
        "listed_unavailable_at",
        "locally_observed",
        "machine",
        "outcomes_at",
        "past_instances",
        "recovered_at",
        "report",
        "report_sent_at",
        "reported_by",
        "reset_at",
        "service",
        "slots",
        "state",
        "successes",
        "trial_sent_at",
        "unconfirmed_since",
    )

    def __init__(self, service: str, address: str, slots: int) -> None:
        self.service = service
        self.address = address
        self.slots = slots
        self.machine = _make_machine(_Core())
        self.state = LifecycleState.UP  # of the machine, kept for fast reads
        self.cold_since = -math.inf
        self.reset_at = -math.inf  # last new instance or return in the list
        self.instance = ""
        self.past_instances: list[str] = []
        self.listed: ListedState | None = None
        self.listed_unavailable_at = (
            -math.inf
        )  # when the list showed it leaving or absent
        self.locally_observed = False  # leaving by this host's own observation
        self.reported_by: set[str] = set()  # peers by which it is leaving
        self.report: Report | None = None
        self.report_sent_at = -math.inf
        self.consecutive_failures = 0  # failures and refusals since the last answer
        self.successes = 0.0  # decayed counts at outcomes_at
        self.failures = 0.0
        self.outcomes_at = -math.inf
        self.latency_s = 0.0
        self.latency_at = -math.inf  # never: -inf
        self.ejected_at = -math.inf
        self.ejection_s = 0.0
        self.recovered_at = -math.inf
        self.trial_sent_at: float | None = None
        # Last broken or failed connection, None once a report confirmed the instance.
        self.unconfirmed_since: float | None = None

    def send(self, event: str) -> None:
        """Feed one input to the machine."""
        getattr(self.machine, event)()
        self.state = self.machine.state()

    def decay(self, now: float) -> None:
        """Age the counts of outcomes to the given time."""
        age_s = now - self.outcomes_at
        if age_s > 0:
            factor = math.exp(-age_s / OUTCOME_DECAY_S)
            self.successes *= factor
            self.failures *= factor
            self.outcomes_at = now

    def reset(self, now: float) -> None:
        """Start anew as cold and drop what was measured of the old instance."""
        self.send("reset")
        self.cold_since = self.reset_at = now
        self.locally_observed = False
        self.reported_by.clear()
        self.consecutive_failures = 0
        self.successes = self.failures = 0.0
        self.latency_at = -math.inf
        self.ejection_s = 0.0
        self.trial_sent_at = None
        self.unconfirmed_since = None

    def ramp_started_at(self) -> float | None:
        """Return the start of the ramp that bounds new work, None if none does."""
        if self.state is not LifecycleState.COLD:
            return self.unconfirmed_since
        return max(self.cold_since, self.unconfirmed_since or -math.inf)
