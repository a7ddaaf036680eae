"""Parser and field validation for JSON with comments.

`manifest` and `options` read their fields with a `Reader`, which records a
`Fault` for each invalid field and continues, so that an operator sees all
faults of a file at once. This module does not depend on what the files
describe.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, Final

import pyjson5
from result import Err, Ok, Result

from .timeslices import Steps, run_all

MAX_FILE_BYTES: Final = 64 * 1024 * 1024
MAX_DEPTH: Final = 32  # nested lists and objects
# Limits the size of the report about a file in which all fields are invalid.
MAX_FAULTS: Final = 1_000
MAX_FOUND_LENGTH: Final = 100  # characters of a found value in a fault
# Tokens checked in one step on the event loop; 4,096 take about 3 ms.
TOKENS_PER_STEP: Final = 4_096

# Marker of a missing field. None would stand for a null in the file.
_MISSING: Final = object()
_POSITION: Final = re.compile(r"near (\d+)")
_TOKEN: Final = re.compile(
    r"""//[^\n\r\u2028\u2029]* | /\*.*?\*/
    | (?P<name> "[^"\\]*(?:\\.[^"\\]*)*" | '[^'\\]*(?:\\.[^'\\]*)*'
        | [^\s{}\[\]:,"'/]+ )
    | (?P<mark> [{}:])""",
    re.VERBOSE | re.DOTALL,
)


class Fault:
    """A validation error: where, what was expected and what was found."""

    __slots__ = ("expected", "found", "path")

    def __init__(self, path: str, expected: str, found: str) -> None:
        # Path of the field, such as services[2].upstreams[0].slots.
        self.path = path
        self.expected = expected
        self.found = found

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}, found {self.found}"


def parse(text: str, max_bytes: int = MAX_FILE_BYTES) -> Result[Any, Fault]:
    """Parse JSON with comments; return the value or the first syntax error."""
    return run_all(parse_steps(text, max_bytes))


def parse_steps(
    text: str, max_bytes: int = MAX_FILE_BYTES
) -> Steps[Result[Any, Fault]]:
    """Parse as `parse` does, in steps; the parser itself runs in one step."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as exc:
        found = f"half a surrogate pair on line {_line_at(text, exc.start)}"
        return Err(Fault("(file)", "Unicode text", found))
    if size > max_bytes:
        return Err(Fault("(file)", f"at most {max_bytes} bytes", f"{size} bytes"))
    yield
    try:
        value = pyjson5.decode(text, MAX_DEPTH)
    except pyjson5.Json5Exception as exc:
        # The exception's other arguments contain everything parsed so far.
        return Err(
            Fault(
                "(file)", "JSON with comments", _describe_parse_error(text, exc.args[0])
            )
        )
    except (ValueError, RecursionError) as exc:
        return Err(Fault("(file)", "JSON with comments", shorten(str(exc))))
    yield
    repeated = yield from _repeated_field(text)
    return Err(repeated) if repeated is not None else Ok(value)


def _line_at(text: str, position: int) -> int:
    return text.count("\n", 0, position) + 1


def _describe_parse_error(text: str, message: str) -> str:
    match = _POSITION.search(message)
    if match is None:
        return shorten(message)
    return f"line {_line_at(text, int(match[1]))}: {shorten(message)}"


def _repeated_field(text: str) -> Steps[Fault | None]:
    """Return a fault for the first repeated field of an object, or None.

    The parser silently keeps the last occurrence. The text must be valid JSON
    with comments.

    >>> str(run_all(_repeated_field("{a: 1, // a: 2\\n 'b': {a: 1}, \\"a\\": 3}")))
    '(file): expected each field once in an object, found a again on line 2'
    """
    objects: list[set[str]] = []  # field names seen so far in each open object
    last_token = ""
    for count, match in enumerate(_TOKEN.finditer(text)):
        if count % TOKENS_PER_STEP == 0:
            yield
        if match.lastgroup == "name":
            last_token = match[0]
        elif match.lastgroup == "mark":
            if match[0] == "{":
                objects.append(set())
            elif match[0] == "}":
                objects.pop()
            else:
                name = _field_name(last_token)
                if name in objects[-1]:
                    found = (
                        f"{shorten(name)} again on line {_line_at(text, match.start())}"
                    )
                    return Fault("(file)", "each field once in an object", found)
                objects[-1].add(name)
    return None


def _field_name(token: str) -> str:
    if "\\" in token:
        quoted = token if token[0] in "\"'" else f'"{token}"'
        return str(pyjson5.decode(quoted))
    return token[1:-1] if token[0] in "\"'" else token


def shorten(text: str) -> str:
    """Truncate a text to fit a terminal line and escape control characters.

    >>> print(shorten("a" + chr(10)))
    a\\n
    """
    cut = text[:MAX_FOUND_LENGTH]
    if not cut.isprintable():
        cut = "".join(c if c.isprintable() else repr(c)[1:-1] for c in cut)
    return cut if len(text) <= MAX_FOUND_LENGTH else f"{cut}..."


def describe(value: object) -> str:
    """Return a short description of a value found in a file.

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
    if isinstance(value, int) and value.bit_length() > 128:
        # Python refuses to convert very long integers to strings.
        return f"a number of {value.bit_length()} bits"
    if isinstance(value, (int, float)):
        return f"number {value}"
    return "a list" if isinstance(value, list) else "an object"


_CLEAN_TEXT: Final = "text without control characters or spaces at its ends"


def _is_clean(text: str) -> bool:
    # Names are used in HTTP headers, log lines and terminal output.
    return text.isprintable() and text == text.strip()


class Reader:
    """Validates the fields of one JSON object and records all faults."""

    __slots__ = ("_data", "_is_object", "_path", "_requested", "faults")

    def __init__(self, data: object, path: str, faults: list[Fault]) -> None:
        self.faults = faults  # list that all readers of a file share
        self._path = path
        self._requested: set[str] = set()  # names of all fields that were read
        self._data: dict[str, Any] = {}
        self._is_object = isinstance(data, dict)
        if isinstance(data, dict):
            self._data = data
        else:
            self._add(Fault(path or "(file)", "an object", describe(data)))

    def _add(self, fault: Fault) -> None:
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(fault)

    def path(self, field: str) -> str:
        """Return the full path of a field."""
        return f"{self._path}.{field}" if self._path else field

    def fault(self, field: str, expected: str, found: object) -> None:
        """Record a fault of a field.

        If the data is not an object, only that fault is recorded, by
        `__init__`. A string in `found` is shown unchanged, other values
        through `describe`.
        """
        if self._is_object:
            text = found if isinstance(found, str) else describe(found)
            self._add(Fault(self.path(field), expected, shorten(text)))

    def has(self, field: str) -> bool:
        """Return whether the object has a field, which becomes a known one."""
        self._requested.add(field)
        return field in self._data

    def value(self, field: str) -> object:
        """Return a field's value without validation; None if missing."""
        self._requested.add(field)
        return self._data.get(field)

    def _get(self, field: str, expected: str, default: object) -> Any:
        """Return the value or the default.

        Without either, record a fault and return `_MISSING`.
        """
        self._requested.add(field)
        if field in self._data:
            return self._data[field]
        if default is None:
            self.fault(field, expected, "nothing")
            return _MISSING
        return default

    def text(
        self,
        field: str,
        default: str | None = None,
        max_length: int = 253,
        lines: bool = False,
    ) -> str:
        """Return a non-empty string field; `lines` allows line breaks."""
        expected = f"text of 1 to {max_length} characters"
        value = self._get(field, expected, default)
        if value is _MISSING:
            return ""
        if default is not None and value == default:
            return default
        if not isinstance(value, str) or not 0 < len(value) <= max_length:
            self.fault(field, expected, describe(value))
            return default or ""
        if not lines and not _is_clean(value):
            self.fault(field, _CLEAN_TEXT, describe(value))
            return default or ""
        return value

    def choice(
        self, field: str, choices: tuple[str, ...], default: str | None = None
    ) -> str:
        """Return a string field that is one of the choices."""
        expected = "one of " + ", ".join(choices)
        value = self._get(field, expected, default)
        if value in choices:
            return str(value)
        if value is not _MISSING:
            self.fault(field, expected, describe(value))
        return choices[0]

    def integer(
        self, field: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Return an integer field from `low` to `high`, both included."""
        expected = f"a whole number from {low} to {high}"
        value = self._get(field, expected, default)
        if (
            isinstance(value, int)
            and not isinstance(value, bool)
            and low <= value <= high
        ):
            return value
        if value is not _MISSING:
            self.fault(field, expected, describe(value))
        return low if default is None else default

    def flag(self, field: str, default: bool | None = None) -> bool:
        """Return a boolean field."""
        value = self._get(field, "true or false", default)
        if isinstance(value, bool):
            return value
        if value is not _MISSING:
            self.fault(field, "true or false", value)
        return False

    def texts(self, field: str, default: list[str] | None = None) -> list[str]:
        """Return a field that is a list of non-empty strings."""
        value = self._get(field, "a list of texts", default)
        if value is _MISSING:
            return []
        if not isinstance(value, list):
            self.fault(field, "a list of texts", describe(value))
            return []
        valid = []
        for index, text in enumerate(value):
            if not isinstance(text, str) or not text:
                self.fault(f"{field}[{index}]", "text", describe(text))
            elif not _is_clean(text):
                self.fault(f"{field}[{index}]", _CLEAN_TEXT, describe(text))
            else:
                valid.append(text)
        return valid

    def objects(
        self, field: str, default: list[object] | None = None
    ) -> Iterator[Reader]:
        """Yield a reader for each object in a list field."""
        value = self._get(field, "a list of objects", default)
        if value is _MISSING:
            return
        if not isinstance(value, list):
            self.fault(field, "a list of objects", describe(value))
            return
        for index, data in enumerate(value):
            yield Reader(data, f"{self.path(field)}[{index}]", self.faults)

    def finish(self) -> None:
        """Record a fault for every field that was not read."""
        for field in self._data:
            if field not in self._requested:
                known = ", ".join(sorted(self._requested))
                expected = f"one of the fields {known}"
                self.fault(shorten(field), expected, "an unknown field")
