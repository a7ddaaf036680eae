"""Finds the log lines of one request in the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

# Fields that most lines have; `LogLine.text` shows only the others as details.
_COMMON_FIELDS: Final = frozenset(
    ("time", "level", "module", "message", "host", "event", "request_id")
)


class LogLine:
    """One structured log line."""

    __slots__ = ("fields", "host", "message", "time")

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields
        self.time = str(fields.get("time", ""))
        self.host = str(fields.get("host", ""))
        self.message = str(fields.get("message", ""))

    def text(self) -> str:
        """Format the line for people: time, host, message, other fields."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _COMMON_FIELDS and value not in (None, "")
        )
        return f"{self.time} {self.host} {self.message}: {details}"


def find_request(request_id: str, paths: Iterable[Path]) -> Result[list[LogLine], str]:
    """Return a request's lines sorted by time, or why a file is unreadable."""
    lines = []
    for path in paths:
        try:
            with path.open("rb") as log:
                lines += [
                    LogLine(fields)
                    for fields in map(_parse_line, log)
                    if fields.get("request_id") == request_id
                ]
        except OSError as exc:
            return Err(f"{path}: {exc.strerror}")
    return Ok(sorted(lines, key=lambda line: line.time))


def _parse_line(line: bytes) -> dict[str, Any]:
    """Return the fields of a line, or an empty dictionary if it is not JSON.

    A log collector may have added a prefix before the JSON.
    """
    start = line.find(b"{")
    if start < 0:
        return {}
    try:
        fields = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
