"""State machine that decides which outcome of a request may be reported.

The request path reports each event of an attempt, and the machine alone
decides the outcome that the caller is told. "Did not run" is reported only
while no attempt is in flight and every earlier attempt was refused. An attempt
counts as started before its first byte is written, and only the upstream's own
statement that it refused the request reverses that.
"""

from __future__ import annotations

from typing import Final, Protocol

from automat import TypeMachineBuilder

from .errorcodes import Outcome


class RequestLifecycle(Protocol):
    """Inputs of the machine."""

    def begin_dispatch(self) -> None:
        """Start an attempt: its first byte is about to be written."""

    def attempt_refused(self) -> None:
        """End an attempt that the upstream refused, so that it did not run."""

    def attempt_uncertain(self) -> None:
        """End an attempt without a response or a refusal; it may have run."""

    def attempt_answered(self) -> None:
        """End an attempt whose whole response arrived."""

    def outcome(self) -> Outcome:
        """Return the outcome that the caller may be told now."""


class _Core:
    """Data of the machine, which needs none besides its state."""

    __slots__ = ()


_builder: Final = TypeMachineBuilder(RequestLifecycle, _Core)
_idle: Final = _builder.state("idle")  # no attempt, or all attempts refused
# An attempt is in flight, and all earlier ones were refused.
_in_flight: Final = _builder.state("in_flight")
# No attempt is in flight, and an earlier one may have run.
_uncertain: Final = _builder.state("uncertain")
# An attempt is in flight, and an earlier one may have run.
_retrying: Final = _builder.state("retrying")
# Two attempts are in flight at a time, and all earlier ones were refused.
_both_in_flight: Final = _builder.state("both_in_flight")
# Two attempts are in flight at a time, and an earlier one may have run.
_both_retrying: Final = _builder.state("both_retrying")
_answered: Final = _builder.state("answered")  # the last attempt was answered


_idle.upon(RequestLifecycle.begin_dispatch).to(_in_flight).returns(None)
_in_flight.upon(RequestLifecycle.attempt_refused).to(_idle).returns(None)
_in_flight.upon(RequestLifecycle.attempt_uncertain).to(_uncertain).returns(None)
_in_flight.upon(RequestLifecycle.attempt_answered).to(_answered).returns(None)
_uncertain.upon(RequestLifecycle.attempt_uncertain).loop().returns(None)
_uncertain.upon(RequestLifecycle.begin_dispatch).to(_retrying).returns(None)
_retrying.upon(RequestLifecycle.attempt_refused).to(_uncertain).returns(None)
_retrying.upon(RequestLifecycle.attempt_uncertain).to(_uncertain).returns(None)
_retrying.upon(RequestLifecycle.attempt_answered).to(_answered).returns(None)
# A second attempt alongside the first one. A response that is not the final one
# leaves the other attempt in flight.
_in_flight.upon(RequestLifecycle.begin_dispatch).to(_both_in_flight).returns(None)
_both_in_flight.upon(RequestLifecycle.attempt_refused).to(_in_flight).returns(None)
_both_in_flight.upon(RequestLifecycle.attempt_uncertain).to(_retrying).returns(None)
_both_in_flight.upon(RequestLifecycle.attempt_answered).to(_retrying).returns(None)
_retrying.upon(RequestLifecycle.begin_dispatch).to(_both_retrying).returns(None)
_both_retrying.upon(RequestLifecycle.attempt_refused).to(_retrying).returns(None)
_both_retrying.upon(RequestLifecycle.attempt_uncertain).to(_retrying).returns(None)
_both_retrying.upon(RequestLifecycle.attempt_answered).to(_retrying).returns(None)
# An idempotent request may be retried after a response with a 5xx status.
_answered.upon(RequestLifecycle.begin_dispatch).to(_retrying).returns(None)
# The retry may end before its first byte is written.
_answered.upon(RequestLifecycle.attempt_uncertain).loop().returns(None)
for _state, _outcome in (
    (_idle, Outcome.DID_NOT_RUN),
    (_in_flight, Outcome.UNKNOWN),
    (_uncertain, Outcome.UNKNOWN),
    (_retrying, Outcome.UNKNOWN),
    (_both_in_flight, Outcome.UNKNOWN),
    (_both_retrying, Outcome.UNKNOWN),
    (_answered, Outcome.DONE),
):
    _state.upon(RequestLifecycle.outcome).loop().returns(_outcome)

_machine: Final = _builder.build()
_CORE: Final = _Core()


def make_request_lifecycle() -> RequestLifecycle:
    """Return the state machine of a new request.

    >>> lifecycle = make_request_lifecycle()
    >>> lifecycle.begin_dispatch()
    >>> lifecycle.attempt_uncertain()
    >>> lifecycle.outcome()
    <Outcome.UNKNOWN: 'unknown'>
    """
    return _machine(_CORE)
