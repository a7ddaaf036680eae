"""Seeds of past soak failures and their causes, run again before a merge."""

from __future__ import annotations

from typing import Final

REGRESSIONS: Final[dict[int, str]] = {
    1033: "bug in the soak test: a draining upstream was registered as ready",
    5023: "bug in the soak test: with 30 s, the load ended before the recovery time",
    5047: "same cause as 5023",
    5048: "with 30 s, SIGTERM during startup ended a process with a failure status",
    1: "bug in the soak test: a process ended with the thread that had started it",
    6117: "open: a host cut off from all upstreams makes all hosts refuse its requests",
}
