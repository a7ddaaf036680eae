"""State of one upstream: life cycle, health reports and request outcomes.

`upstreamstate` has a record for each upstream of the region and decides which
observations change it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum, unique
from typing import Final, Protocol

from automat import TypeMachineBuilder

# Time constant with which the counts of outcomes decay.
OUTCOME_DECAY_S: Final = 10.0


@unique
class LifecycleState(Enum):
    """Life cycle state of an upstream, as this host knows it."""

    COLD = "cold"
    UP = "up"
    EJECTED = "ejected"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class ListedState(Enum):
    """State of an upstream in the platform's list of instances."""

    SERVING = "serving"
    LEAVING = "leaving"
    ABSENT = "absent"


@unique
class DispatchOutcome(Enum):
    """How a dispatch to an upstream ended."""

    ANSWERED = "answered"  # a whole response without a 5xx status
    # No connection, a 5xx status, or a broken, truncated, late or wrong
    # response.
    FAILED = "failed"
    REFUSED = "refused"  # the upstream stated that it did not run the request
    CANCELLED = "cancelled"  # ended by the caller, so that it is no evidence


class Report:
    """One response of an upstream's health endpoint."""

    __slots__ = ("draining", "failing", "in_use", "instance")

    def __init__(
        self, instance: str, failing: bool, draining: bool, in_use: int | None
    ) -> None:
        self.instance = instance  # empty if not reported
        self.failing = failing  # whether the status is "fail"
        self.draining = draining
        self.in_use = in_use  # slots in use, None if not reported


class _Inputs(Protocol):
    """Inputs of the state machine of an upstream's life cycle."""

    def warmed(self) -> None: ...
    def ejected(self) -> None: ...
    def recovered(self) -> None: ...
    def left(self) -> None: ...
    def vanished(self) -> None: ...
    def reset(self) -> None: ...
    def state(self) -> LifecycleState: ...


class _Core:
    """Data of the machine, which needs none besides its state."""

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
    """State and measurements of one upstream."""

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
        self.state = LifecycleState.UP  # cached state of the machine
        self.cold_since = -math.inf
        # Time of the last reset: after a new instance, an addition by a later
        # manifest, or the end of the leaving state.
        self.reset_at = -math.inf
        self.instance = ""
        self.past_instances: list[str] = []
        self.listed: ListedState | None = None
        # Time at which the list last showed it as leaving or absent.
        self.listed_unavailable_at = -math.inf
        # Whether this host itself has observed that it is leaving.
        self.locally_observed = False
        self.reported_by: set[str] = set()  # peers that report it as leaving
        self.report: Report | None = None
        self.report_sent_at = -math.inf
        # Failures and refusals since the last success.
        self.consecutive_failures = 0
        self.successes = 0.0  # decayed count at `outcomes_at`
        # Failures and refusals, as a decayed count at `outcomes_at`.
        self.failures = 0.0
        self.outcomes_at = -math.inf
        self.latency_s = 0.0  # moving average
        # Time of the last sample, -inf without one.
        self.latency_at = -math.inf
        self.ejected_at = -math.inf
        self.ejection_s = 0.0
        self.recovered_at = -math.inf
        # None without a trial in flight.
        self.trial_sent_at: float | None = None
        # Time of the last broken or failed connection. None once a later
        # report has confirmed the instance.
        self.unconfirmed_since: float | None = None

    def send(self, event: str) -> None:
        """Send the input of this name to the state machine."""
        getattr(self.machine, event)()
        self.state = self.machine.state()

    def decay(self, now: float) -> None:
        """Decay the counts of outcomes to the given time."""
        age_s = now - self.outcomes_at
        if age_s > 0:
            factor = math.exp(-age_s / OUTCOME_DECAY_S)
            self.successes *= factor
            self.failures *= factor
            self.outcomes_at = now

    def reset(self, now: float) -> None:
        """Start as a cold instance without measurements."""
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
        """Return when the limit began to rise, None if it is not limited."""
        if self.state is not LifecycleState.COLD:
            return self.unconfirmed_since
        return max(self.cold_since, self.unconfirmed_since or -math.inf)
