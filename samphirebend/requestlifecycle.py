"""Life cycle of one request as far as its outcome is concerned.

The request path reports what it did; the machine alone decides which outcome
the caller may be told. "Did not run" is reachable only while no attempt is in
flight and none was lost: an attempt counts as begun before its first byte is
written, and is undone only by the upstream's own statement that it refused.
"""

from __future__ import annotations

from typing import Final, Protocol

from automat import TypeMachineBuilder

from .errorcodes import Outcome


class RequestLifecycle(Protocol):
    """Inputs of the machine."""

    def begin_dispatch(self) -> None:
        """Note that the first byte is about to be written to an upstream."""

    def attempt_refused(self) -> None:
        """Note that the upstream stated that it did not run the attempt."""

    def attempt_uncertain(self) -> None:
        """Note that the attempt ended with neither an answer nor a refusal."""

    def attempt_answered(self) -> None:
        """Note that the whole answer of the attempt arrived."""

    def outcome(self) -> Outcome:
        """Return the outcome that the caller may be told now."""


class _Core:
    """The machine needs no data besides its state."""

    __slots__ = ()


_builder: Final = TypeMachineBuilder(RequestLifecycle, _Core)
_idle: Final = _builder.state("idle")  # nothing dispatched, or all refused
_in_flight: Final = _builder.state("in_flight")  # first attempt runs
_uncertain: Final = _builder.state("uncertain")  # an attempt was lost
_retrying: Final = _builder.state("retrying")  # runs after a lost attempt
_answered: Final = _builder.state("answered")


_idle.upon(RequestLifecycle.begin_dispatch).to(_in_flight).returns(None)
_in_flight.upon(RequestLifecycle.attempt_refused).to(_idle).returns(None)
_in_flight.upon(RequestLifecycle.attempt_uncertain).to(_uncertain).returns(None)
_in_flight.upon(RequestLifecycle.attempt_answered).to(_answered).returns(None)
_uncertain.upon(RequestLifecycle.attempt_uncertain).loop().returns(None)
_uncertain.upon(RequestLifecycle.begin_dispatch).to(_retrying).returns(None)
_retrying.upon(RequestLifecycle.attempt_refused).to(_uncertain).returns(None)
_retrying.upon(RequestLifecycle.attempt_uncertain).to(_uncertain).returns(None)
_retrying.upon(RequestLifecycle.attempt_answered).to(_answered).returns(None)
# An idempotent request may be tried again after an answer of status 5xx.
_answered.upon(RequestLifecycle.begin_dispatch).to(_retrying).returns(None)
# That attempt may end before its first byte is written.
_answered.upon(RequestLifecycle.attempt_uncertain).loop().returns(None)
for _state, _outcome in (
    (_idle, Outcome.DID_NOT_RUN),
    (_in_flight, Outcome.UNKNOWN),
    (_uncertain, Outcome.UNKNOWN),
    (_retrying, Outcome.UNKNOWN),
    (_answered, Outcome.DONE),
):
    _state.upon(RequestLifecycle.outcome).loop().returns(_outcome)

_machine: Final = _builder.build()
_CORE: Final = _Core()


def make_request_lifecycle() -> RequestLifecycle:
    """Return the machine of a new request.

    >>> life = make_request_lifecycle()
    >>> life.begin_dispatch()
    >>> life.attempt_uncertain()
    >>> life.outcome()
    <Outcome.UNKNOWN: 'unknown'>
    """
    return _machine(_CORE)
