"""Runs a gateway on the platform: `python3 -m samphirebend.platform`."""

from __future__ import annotations

import sys

from ..startupsignals import StartupSignals

signals = StartupSignals()

# Loaded after signals are held, since this takes most of the time of a start.
from .program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(signals))
