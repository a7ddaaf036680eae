"""Seeds that failed once, each with its cause; they are run again before a landing."""

from __future__ import annotations

from typing import Final

REGRESSIONS: Final[dict[int, str]] = {}
