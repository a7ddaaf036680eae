"""Runs coroutine tests on the real reactor with a time limit.

The plug-in pytest-twisted waits for the Deferred that a test returns.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Coroutine
from typing import Any, Final, ParamSpec

from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

TEST_TIMEOUT_S: Final = 10
reactor: Any = installed_reactor
P = ParamSpec("P")


def on_reactor(
    test: Callable[P, Coroutine[Any, Any, None]],
) -> Callable[P, Deferred[None]]:
    """Turn a coroutine function into a test function that pytest can run."""

    @functools.wraps(test)
    def start(*args: P.args, **kwargs: P.kwargs) -> Deferred[None]:
        deferred = Deferred.fromCoroutine(test(*args, **kwargs))
        return deferred.addTimeout(TEST_TIMEOUT_S, reactor)

    return start


async def until(condition: Callable[[], bool], timeout_s: float = 5) -> None:
    """Wait until a condition holds; fail the test on a timeout."""
    deadline = reactor.seconds() + timeout_s
    while not condition():
        assert reactor.seconds() < deadline, f"condition not true in {timeout_s} s"
        await deferLater(reactor, 0.01)
