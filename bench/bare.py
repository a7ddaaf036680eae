"""Runs an idle event loop with the daemon's libraries imported.

It is the baseline for the memory and processor time of an idle daemon.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor as installed_reactor

import samphirebend.daemon  # noqa: F401


def main() -> None:
    """Print one line when ready, and run until the process is killed."""
    reactor: Any = installed_reactor
    reactor.callWhenRunning(print, "{}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
