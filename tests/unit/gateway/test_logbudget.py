"""Tests the rate limits of the log and its non-blocking output.

Guards against a log that grows with the load, failures whose lines are dropped
in favour of successes, and a process that blocks because nobody reads its
output.
"""

from __future__ import annotations

import os
import time

from samphirebend.gateway.logbudget import (
    LINES_PER_S,
    MAX_UNSENT_BYTES,
    UNREAD,
    LogBudget,
    NonBlockingStream,
)


def test_burst_drops_successes_and_keeps_failures_and_changes() -> None:
    budget = LogBudget()
    kept = {"answered": 0, "request_failed": 0, "config_in_force": 0}
    for number in range(70):
        for event in kept:
            kept[event] += budget.admits(event, 5.0 + number / 100)
    assert kept == {
        "answered": LINES_PER_S["answered"],
        "request_failed": 70,
        "config_in_force": 70,
    }
    assert budget.take_dropped() == {"answered": 70 - LINES_PER_S["answered"]}
    assert budget.take_dropped() == {}
    assert budget.admits("answered", 6.0)


def test_unread_output_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    budget = LogBudget()
    stream = NonBlockingStream(writer, budget)
    line = "x" * 1000 + "\n"
    begun = time.monotonic()
    for _ in range(2000):
        stream.write(line)
    assert time.monotonic() - begun < 1.0
    assert budget.dropped[UNREAD] >= 2000 - (MAX_UNSENT_BYTES + 70_000) // len(line)
    os.close(reader)
    stream.write(line)
    os.close(writer)
