"""Plots the outcomes of a soak run over time, with its faults below."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Final

from matplotlib.figure import Figure

from .records import Records, SentRequest

BIN_S: Final = 0.5  # width of a time bin
KINDS: Final = ("answered", "refused", "failed", "no answer")
COLORS: Final = ("tab:green", "tab:orange", "tab:red", "black")


def plot_outcomes(records: Records, path: Path) -> None:
    """Write the plot to a PNG file."""
    start = min(sent.sent_at for sent in records.sent)
    bins = int((records.load_ended_at - start) / BIN_S) + 1
    figure = Figure(figsize=(12, 8), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    counts = Counter(
        (_outcome(s), int((s.sent_at - start) / BIN_S)) for s in records.sent
    )
    rates = [[counts[kind, index] / BIN_S for index in range(bins)] for kind in KINDS]
    times = [index * BIN_S for index in range(bins)]
    upper.stackplot(times, rates, labels=KINDS, colors=COLORS)
    upper.set_ylabel("requests per second")
    upper.legend(loc="upper left")
    faults = sorted(records.troubles, key=lambda record: record.begun_at)
    for position, record in enumerate(faults):
        color = "tab:blue" if record.planned else "tab:red"
        length = max(0.1, record.ended_at - record.begun_at)
        lower.barh(position, length, left=record.begun_at - start, color=color)
    labels = [f"{fault.kind} {fault.host or fault.upstream}" for fault in faults]
    lower.set_yticks(range(len(faults)), labels, fontsize=7)
    lower.set_xlabel("seconds")
    figure.savefig(path, dpi=80)


def _outcome(sent: SentRequest) -> str:
    if sent.status == 0:
        return "no answer"
    if sent.status < 300:
        return "answered"
    return "refused" if sent.status in (404, 429, 503) else "failed"
