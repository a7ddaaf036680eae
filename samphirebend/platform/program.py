"""Main program of a gateway on the platform."""

from __future__ import annotations

import argparse
import math
import os
import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from ..gateway.app import App, run_app
from ..gateway.hedging import MAX_FRACTION
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


def _hedge_fraction(text: str) -> float:
    """Return the value of `--hedge-fraction`.

    >>> _hedge_fraction("0.05")
    0.05
    """
    try:
        fraction = float(text)
    except ValueError:
        fraction = math.nan
    if not 0.0 <= fraction <= MAX_FRACTION:  # also if it is NaN
        raise argparse.ArgumentTypeError(
            f"expected a number from 0 to {MAX_FRACTION}, found {text!r:.60}"
        )
    return fraction


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command line; print an error and exit with status 2 if wrong."""
    parser = argparse.ArgumentParser(
        prog="python3 -m samphirebend.platform", allow_abbrev=False
    )
    parser.add_argument(
        "--hedge-fraction",
        type=_hedge_fraction,
        default=0.0,
        metavar="F",
        help="second attempts alongside slow repeatable requests, as a fraction "
        f"of the requests of a service: 0 to {MAX_FRACTION} (default: 0, none)",
    )
    parser.add_argument(
        "--admission",
        action="store_true",
        help="prefer urgent requests and fair shares while a service is short, "
        "where the configuration has customers (default: first come, first served)",
    )
    return parser.parse_args(arguments)


def read_settings(
    hedge_fraction: float = 0.0, admission: bool = False
) -> Result[GatewaySettings, str]:
    """Read the settings file; return the settings or an error text.

    The arguments come from the command line, so they stay after a reload.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{SETTINGS_VARIABLE}={path}: {exc}")
    result = decode_settings(text).map_err(lambda fault: f"{path}: {fault}")
    if isinstance(result, Ok):
        result.ok_value.hedge_fraction = hedge_fraction
        result.ok_value.admission = admission
    return result


def main(signals: StartupSignals, arguments: Sequence[str] = ()) -> int:
    """Run the gateway until a signal stops it; return the exit status.

    `signals` holds the signals that arrived during startup.
    """
    options = parse_arguments(arguments)
    read = partial(read_settings, options.hedge_fraction, options.admission)
    result = read()
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
    return run_app(app, read, reactor, signals)
