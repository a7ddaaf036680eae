"""Cooperative multitasking for long computations on the event loop.

A long computation is a generator that yields after each step of bounded length
and returns its result. `manifest` and `callerblocks` provide such generators.
`manifestsync` runs them in time slices between other work of the event loop,
and command-line tools run them without interruption.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Generator
from typing import Any, Final, TypeVar

# The event loop may be blocked for at most 50 ms. A slice overruns its length
# by up to one step, and the process may be preempted meanwhile.
SLICE_S: Final = 0.01

T = TypeVar("T")
Steps = Generator[None, None, T]


def run_all(steps: Steps[T]) -> T:
    """Run all steps without interruption and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result


async def run_in_slices(steps: Steps[T], pause: Callable[[], Awaitable[Any]]) -> T:
    """Run the steps in slices, awaiting `pause` after each slice."""
    while True:
        end_at = time.perf_counter() + SLICE_S
        while time.perf_counter() < end_at:
            try:
                next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
        await pause()
