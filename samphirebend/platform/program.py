"""Main program of a gateway on the platform."""

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
    """Read the settings file; return the settings or an error text."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{SETTINGS_VARIABLE}={path}: {exc}")
    return decode_settings(text).map_err(lambda fault: f"{path}: {fault}")


def main(signals: StartupSignals) -> int:
    """Run the gateway until a signal stops it; return the exit status.

    `signals` holds the signals that arrived during startup.
    """
    result = read_settings()
    if isinstance(result, Err):
        sys.stderr.write(f"{result.err_value}\n")
        return EXIT_BAD_SETTINGS
    cfg = result.ok_value
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
    # By default, Twisted's timers use the wall clock, which may be adjusted.
    reactor.seconds = time.monotonic
    store = make_platform_store(cfg.store.address, reactor, time.monotonic, cfg.host_ip)
    app = App(cfg, httpcodec, store, TABLES, budget, reactor)
    tune_garbage_collector()
    return run_app(app, read_settings, reactor, signals)
