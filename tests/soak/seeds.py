"""Seeds that failed once, each with its cause; they are run again before a landing."""

from __future__ import annotations

from typing import Final

REGRESSIONS: Final[dict[int, str]] = {
    1033: "the soak's own fault: a draining upstream was registered as ready",
    5023: "the soak's own fault: with 30 s, the load ended before the time to recover",
    5047: "as 5023",
    5048: "with 30 s, SIGTERM ended a process that was still loaded with a failure",
    1: "the soak's own fault: a process ended with the thread that had started it",
}
