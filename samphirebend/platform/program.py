"""The gateway on the platform: reads the settings, builds the parts, runs."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any, Final

from result import Err, Result

from ..gateway.app import App, run_app
from ..gateway.logbudget import LogBudget, NonBlockingStream, event_of
from ..gateway.settings import GatewaySettings
from ..gctuning import tune_garbage_collector
from ..logs import configure_logging
from ..startupsignals import StartupSignals
from . import httpcodec
from .rows import TABLES
from .settings import SETTINGS_VARIABLE, decode_settings
from .store import make_platform_store

EXIT_BAD_SETTINGS: Final = 2


def read_settings() -> Result[GatewaySettings, str]:
    """Return the settings, or what is wrong with their file."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{SETTINGS_VARIABLE}={path}: {exc}")
    return decode_settings(text).map_err(lambda fault: f"{path}: {fault}")


def main(signals: StartupSignals) -> int:
    """Read the settings and run until told to stop; return the exit status.

    `signals` holds those that came while the program was loaded.
    """
    read = read_settings()
    if isinstance(read, Err):
        sys.stderr.write(f"{read.err_value}\n")
        return EXIT_BAD_SETTINGS
    cfg = read.ok_value
    budget = LogBudget()
    configure_logging(
        "INFO",
        "json",
        cfg.host,
        NonBlockingStream(sys.stdout.fileno(), budget),
        record_filter=lambda record: budget.admits(event_of(record), time.monotonic()),
    )

    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    # Twisted's timers follow the wall clock by default, which may be set.
    reactor.seconds = time.monotonic
    store = make_platform_store(cfg.store.address, reactor, time.monotonic, cfg.host_ip)
    app = App(cfg, httpcodec, store, TABLES, budget, reactor)
    tune_garbage_collector()
    return run_app(app, read_settings, reactor, signals)
