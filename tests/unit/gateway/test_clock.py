"""Tests that no module of the gateway reads the time of day.

Guards against timeouts and intervals that break when the system clock is set.
Log lines carry the time of day, which the logging library reads by itself.
"""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

LIST_MODULES = """
import sys
import samphirebend.platform.program
for name, module in list(sys.modules.items()):
    if name.startswith("samphirebend") and module.__file__:
        print(module.__file__)
"""
TIME_OF_DAY = {"time", "time_ns", "ctime", "gmtime", "localtime", "strftime"}


def loaded_sources() -> list[Path]:
    """Return the source files of the project that a gateway process loads."""
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES], capture_output=True, text=True, check=True
    )
    return [Path(line) for line in result.stdout.splitlines()]


def time_of_day_reads(source: str) -> list[int]:
    """Return the numbers of the lines that read the time of day."""
    lines = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            if node.value.id == "time" and node.attr in TIME_OF_DAY:
                lines.append(node.lineno)
        elif isinstance(node, ast.Import):
            lines += [node.lineno for alias in node.names if alias.name == "datetime"]
        elif isinstance(node, ast.ImportFrom):
            names = {alias.name for alias in node.names}
            if node.module == "datetime" or (
                node.module == "time" and names & TIME_OF_DAY
            ):
                lines.append(node.lineno)
    return lines


def test_gateway_modules_do_not_read_the_time_of_day() -> None:
    sources = loaded_sources()
    assert len(sources) > 30
    assert {str(path): time_of_day_reads(path.read_text()) for path in sources} == {
        str(path): [] for path in sources
    }


def test_reads_of_the_time_of_day_are_found() -> None:
    assert time_of_day_reads("import time\nnow = time.time()") == [2]
    assert time_of_day_reads("from time import time") == [1]
    assert time_of_day_reads("import datetime") == [1]
    assert time_of_day_reads("import time\nnow = time.monotonic()") == []
