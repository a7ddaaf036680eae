"""Draws the outcomes of a run over time against its faults."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Final

from matplotlib.figure import Figure

from .records import Records, Sent

BIN_S: Final = 0.5
KINDS: Final = ("answered", "refused", "failed", "no answer")
COLORS: Final = ("tab:green", "tab:orange", "tab:red", "black")


def draw(records: Records, path: Path) -> None:
    """Write a PNG file."""
    start = min(sent.sent_at for sent in records.sent)
    bins = int((records.load_ended_at - start) / BIN_S) + 1
    figure = Figure(figsize=(12, 8), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    counts = Counter((_kind(s), int((s.sent_at - start) / BIN_S)) for s in records.sent)
    rates = [[counts[kind, item] / BIN_S for item in range(bins)] for kind in KINDS]
    times = [item * BIN_S for item in range(bins)]
    above.stackplot(times, rates, labels=KINDS, colors=COLORS)
    above.set_ylabel("requests per second")
    above.legend(loc="upper left")
    troubles = sorted(records.troubles, key=lambda item: item.begun_at)
    for place, item in enumerate(troubles):
        color = "tab:blue" if item.planned else "tab:red"
        length = max(0.1, item.ended_at - item.begun_at)
        below.barh(place, length, left=item.begun_at - start, color=color)
    labels = [f"{t.kind} {t.host or t.upstream}" for t in troubles]
    below.set_yticks(range(len(troubles)), labels, fontsize=7)
    below.set_xlabel("seconds")
    figure.savefig(path, dpi=80)


def _kind(sent: Sent) -> str:
    if sent.status == 0:
        return "no answer"
    if sent.status < 300:
        return "answered"
    return "refused" if sent.status in (404, 429, 503) else "failed"
