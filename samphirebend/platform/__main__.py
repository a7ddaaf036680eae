"""Entry point of a platform gateway: `python3 -m samphirebend.platform`."""

from __future__ import annotations

import sys

from ..startupsignals import StartupSignals

signals = StartupSignals()

# Imported after the signal handlers are installed, because the imports take
# most of the startup time.
from .program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(signals, sys.argv[1:]))
