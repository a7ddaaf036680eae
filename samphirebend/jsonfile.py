"""Reads JSON with comments and checks its shape, collecting every fault.

`manifest` and `options` describe their fields with a `Reader`, which records a
`Fault` for each wrong field and carries on, so that an operator sees all
faults of a file at once. This module knows neither manifests nor settings.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import pyjson5
from result import Err, Ok, Result

MAX_FILE_BYTES: Final = 64 * 1024 * 1024


class Fault:
    """One fault in a file: where, what was expected and what was found."""

    __slots__ = ("expected", "found", "path")

    def __init__(self, path: str, expected: str, found: str) -> None:
        self.path = path  # such as services[2].upstreams[0].slots
        self.expected = expected
        self.found = found

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}, found {self.found}"


def parse(text: str, max_bytes: int = MAX_FILE_BYTES) -> Result[Any, Fault]:
    """Parse JSON with comments; return the value or the fault that stops it."""
    size = len(text.encode())
    if size > max_bytes:
        return Err(Fault("(file)", f"at most {max_bytes} bytes", f"{size} bytes"))
    try:
        return Ok(pyjson5.decode(text))
    except (pyjson5.Json5Exception, ValueError, RecursionError) as exc:
        return Err(Fault("(file)", "JSON with comments", str(exc)))


def describe(value: object) -> str:
    """Return a short description of a found value.

    >>> describe("x" * 100)[:12]
    'text "xxxxxx'
    >>> describe(None)
    'null'
    """
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'text "{value[:60]}"'
    if isinstance(value, (int, float)):
        return f"number {value}"
    return "a list" if isinstance(value, list) else "an object"


class Reader:
    """Reads the fields of one JSON object and records faults by path."""

    __slots__ = ("_data", "_path", "_seen", "faults")

    def __init__(self, data: object, path: str, faults: list[Fault]) -> None:
        self.faults = faults  # shared by all readers of one file
        self._path = path
        self._seen: set[str] = set()  # fields that were asked for
        self._data: dict[str, Any] = {}
        if isinstance(data, dict):
            self._data = data
        else:
            self.faults.append(Fault(path or "(file)", "an object", describe(data)))

    def path(self, field: str) -> str:
        """Return the full path of a field."""
        return f"{self._path}.{field}" if self._path else field

    def fault(self, field: str, expected: str, found: object) -> None:
        """Record a fault of a field."""
        text = found if isinstance(found, str) else describe(found)
        self.faults.append(Fault(self.path(field), expected, text))

    def _take(self, field: str, expected: str, default: object) -> Any:
        self._seen.add(field)
        if field in self._data:
            return self._data[field]
        if default is None:
            self.fault(field, expected, "nothing")
        return default

    def text(
        self, field: str, default: str | None = None, max_length: int = 253
    ) -> str:
        """Return a non-empty text field, or the default."""
        expected = f"text of 1 to {max_length} characters"
        value = self._take(field, expected, default)
        if value is None:
            return ""
        if not isinstance(value, str) or not 0 < len(value) <= max_length:
            if value != default:
                self.fault(field, expected, value)
            return default or ""
        return value

    def choice(
        self, field: str, choices: tuple[str, ...], default: str | None = None
    ) -> str:
        """Return a text field that is one of the choices."""
        expected = "one of " + ", ".join(choices)
        value = self._take(field, expected, default)
        if value in choices:
            return str(value)
        if value is not None:
            self.fault(field, expected, value)
        return choices[0]

    def integer(
        self, field: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Return a whole number from low to high, both included."""
        expected = f"a whole number from {low} to {high}"
        value = self._take(field, expected, default)
        if (
            isinstance(value, int)
            and not isinstance(value, bool)
            and low <= value <= high
        ):
            return value
        if value is not None:
            self.fault(field, expected, value)
        return low

    def flag(self, field: str, default: bool | None = None) -> bool:
        """Return true or false."""
        value = self._take(field, "true or false", default)
        if isinstance(value, bool):
            return value
        if value is not None:
            self.fault(field, "true or false", value)
        return False

    def texts(self, field: str, default: list[str] | None = None) -> list[str]:
        """Return a list of non-empty texts."""
        value = self._take(field, "a list of texts", default)
        if value is None:
            return []
        if not isinstance(value, list):
            self.fault(field, "a list of texts", value)
            return []
        good = []
        for index, item in enumerate(value):
            if isinstance(item, str) and item:
                good.append(item)
            else:
                self.fault(f"{field}[{index}]", "text", item)
        return good

    def objects(
        self, field: str, default: list[object] | None = None
    ) -> Iterator[Reader]:
        """Yield a reader for each object of a list."""
        value = self._take(field, "a list of objects", default)
        if value is None:
            return
        if not isinstance(value, list):
            self.fault(field, "a list of objects", value)
            return
        for index, item in enumerate(value):
            yield Reader(item, f"{self.path(field)}[{index}]", self.faults)

    def finish(self) -> None:
        """Record a fault for every field that was never asked for."""
        for field in self._data:
            if field not in self._seen:
                known = ", ".join(sorted(self._seen))
                self.fault(field, f"one of the fields {known}", "an unknown field")
