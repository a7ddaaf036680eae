"""Signals that come while a program is still loaded.

Loading the libraries takes most of a second, in which SIGHUP would end the process
and SIGTERM would end it with a failure.
"""

from __future__ import annotations

import signal


class StartupSignals:
    """Takes the signals to stop and to reload until the program does so itself."""

    __slots__ = ("loaded", "reload_requested", "stop_requested")

    def __init__(self) -> None:
        self.loaded = False  # from here on a stop waits for the program
        self.reload_requested = False
        self.stop_requested = False
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, _number: int, _frame: object) -> None:
        self.stop_requested = True
        if not self.loaded:
            raise SystemExit(0)  # nothing is served yet

    def _reload(self, _number: int, _frame: object) -> None:
        self.reload_requested = True
