"""Signal handling while a program is still importing its libraries.

The imports take most of a second. Without handlers, SIGHUP would end the
process in that time, and SIGTERM would end it with a failure status.
"""

from __future__ import annotations

import signal


class StartupSignals:
    """Records signals until the program installs its own handlers."""

    __slots__ = ("loaded", "reload_requested", "stop_requested")

    def __init__(self) -> None:
        # Set by the program once it acts on the two requests below; from then
        # on, a signal to stop no longer ends the process at once.
        self.loaded = False
        self.reload_requested = False
        self.stop_requested = False
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, _number: int, _frame: object) -> None:
        self.stop_requested = True
        if not self.loaded:
            raise SystemExit(0)  # nothing to drain yet

    def _reload(self, _number: int, _frame: object) -> None:
        self.reload_requested = True
