"""Runs long computations in short slices, so that the event loop stays free.

A long computation is a generator that yields after each bounded step and
returns its result. `manifest` and `callerblocks` provide such generators,
`manifestsync` runs them between other work of the event loop, and tools run
them at once.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Generator
from typing import Any, Final, TypeVar

# The loop may be blocked for 50 ms at most; a slice ends with the first step
# that passes this limit, and the machine may run other processes meanwhile.
SLICE_S: Final = 0.01

T = TypeVar("T")
Steps = Generator[None, None, T]


def run_all(steps: Steps[T]) -> T:
    """Run all steps at once; return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result


async def run_in_slices(steps: Steps[T], pause: Callable[[], Awaitable[Any]]) -> T:
    """Run the steps in slices of `SLICE_S`, and `pause` after each slice."""
    while True:
        end_at = time.perf_counter() + SLICE_S
        while time.perf_counter() < end_at:
            try:
                next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
        await pause()
