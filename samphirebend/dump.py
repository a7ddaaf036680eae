"""Conversion of state objects to JSON values for `/v1/dump` and the log.

`to_plain` dispatches on the type. A module that needs a special representation
registers a function: `to_plain.register(Kind, fn)` with `fn(value,
traversal)`. Limits on the depth, on the length of each container or text and
on the number of values bound the time of a dump. Bytes are shown as their
length only, and fields whose names indicate secrets or payloads are hidden.
"""

from __future__ import annotations

import math
import re
from collections import deque
from collections.abc import Iterable, Mapping, Set as AbstractSet
from enum import Enum
from functools import singledispatch
from itertools import islice
from typing import Final

MAX_DEPTH: Final = 8  # levels of nested values
MAX_ITEMS: Final = 200  # values of one container
MAX_TEXT_LENGTH: Final = 200  # characters
# 4,000 values take about 16 ms, well below the 50 ms for which one step may
# block the event loop.
MAX_VALUES: Final = 4_000

HIDDEN: Final = "(hidden)"
TRUNCATED: Final = "(more)"
_HIDDEN_WORDS: Final = frozenset(
    (
        *("authorization", "cookie", "credential", "credentials", "passphrase"),
        *("key", "keys", "nonce", "password", "secret", "token", "tokens"),
        *("bodies", "body", "content", "data", "digest", "headers", "payload"),
        *("response", "text"),
    )
)
# Fields whose names contain a hidden word but that hold no secret.
_SHOWN_NAMES: Final = frozenset(("key_epoch", "max_body_bytes"))
# Idempotency keys are cut, because a key is enough to read the stored
# response. The ledger's dictionaries are keyed by the random part of a key
# (`_KEY_NONCE`); elsewhere whole keys occur in strings (`_FULL_KEY`). Other
# strings of the same length, such as request ids, stay readable.
_KEY_NONCE: Final = re.compile(r"(.*?[0-9a-f]{8})[0-9a-f]{24,}", re.DOTALL)
_FULL_KEY: Final = re.compile(r"(\.[0-9a-f]{16}\.\d+\.[0-9a-f]{8})[0-9a-f]{24}")
_OWN_PACKAGE: Final = __name__.partition(".")[0]


def is_hidden(name: str) -> bool:
    """Return whether a field's name indicates a secret or a payload.

    >>> is_hidden("_body"), is_hidden("table_token"), is_hidden("in_flight")
    (True, True, False)
    """
    bare = name.strip("_").lower()
    return bare not in _SHOWN_NAMES and not _HIDDEN_WORDS.isdisjoint(bare.split("_"))


class Traversal:
    """Recursive conversion of one value, within limits."""

    __slots__ = ("_depth", "_packages", "_values_left", "_visiting")

    def __init__(
        self, max_values: int = MAX_VALUES, packages: tuple[str, ...] = (_OWN_PACKAGE,)
    ) -> None:
        self._values_left = max_values
        self._depth = 0
        # Ids of the objects being converted, to detect cycles.
        self._visiting: set[int] = set()
        # Top-level packages whose objects are dumped field by field.
        self._packages = packages

    def is_own(self, value: object) -> bool:
        """Return whether an object's class belongs to the dumped packages."""
        return type(value).__module__.partition(".")[0] in self._packages

    def visit(self, value: object) -> object:
        """Convert a nested value, or return a placeholder at a limit."""
        if self._values_left <= 0 or self._depth >= MAX_DEPTH:
            return TRUNCATED
        self._values_left -= 1
        identity = id(value)
        if identity in self._visiting:
            return "(cycle)"
        self._visiting.add(identity)
        self._depth += 1
        try:
            return to_plain(value, self)
        finally:
            self._depth -= 1
            self._visiting.discard(identity)

    def is_exhausted(self) -> bool:
        """Return whether the limit on the number of values is reached."""
        return self._values_left <= 0


def dump(value: object, traversal: Traversal | None = None) -> object:
    """Convert any object to JSON-compatible data."""
    return (traversal or Traversal()).visit(value)


@singledispatch
def to_plain(value: object, traversal: Traversal) -> object:
    """Convert an object to its fields.

    Of an object of another package, only the type name is shown.
    """
    if not traversal.is_own(value) or isinstance(value, type) or callable(value):
        return f"({type(value).__module__}.{type(value).__qualname__})"
    fields: dict[str, object] = {}
    for name in _field_names(value):
        if traversal.is_exhausted():
            fields[TRUNCATED] = TRUNCATED
            break
        try:
            part = getattr(value, name)
        except AttributeError:  # slot that was never set
            continue
        shown = name.strip("_")
        fields[shown] = HIDDEN if is_hidden(name) else traversal.visit(part)
    return fields


def _field_names(value: object) -> list[str]:
    # Field names in order of definition, those of base classes first.
    names: dict[str, None] = {}
    for kind in reversed(type(value).__mro__):
        slots = kind.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            # Python stores private slots as _Class__name.
            if name.startswith("__") and not name.endswith("__"):
                name = f"_{kind.__name__.lstrip('_')}{name}"
            names[name] = None
    names.update(dict.fromkeys(getattr(value, "__dict__", ())))
    names.pop("__dict__", None)
    names.pop("__weakref__", None)
    return list(names)


@to_plain.register
def _(value: None, traversal: Traversal) -> None:
    return None


@to_plain.register
def _(value: bool, traversal: Traversal) -> object:
    return value


@to_plain.register
def _(value: int, traversal: Traversal) -> object:
    # The JSON encoder supports only 64-bit integers.
    if -(1 << 63) <= value < 1 << 64:
        return int(value)
    return f"(integer of {value.bit_length()} bits)"


@to_plain.register
def _(value: float, traversal: Traversal) -> object:
    return float(value) if math.isfinite(value) else repr(value)


@to_plain.register
def _(value: str, traversal: Traversal) -> object:
    cut = value[:MAX_TEXT_LENGTH].encode("utf-8", "replace").decode()
    cut = _FULL_KEY.sub(r"\1...", cut)
    return cut if len(value) <= MAX_TEXT_LENGTH else f"{cut}{TRUNCATED}"


@to_plain.register(bytes)
@to_plain.register(bytearray)
@to_plain.register(memoryview)
def _(value: bytes | bytearray | memoryview, traversal: Traversal) -> object:
    return f"({len(value)} bytes)"


@to_plain.register
def _(value: Enum, traversal: Traversal) -> object:
    return value.name


@to_plain.register
def _(value: BaseException, traversal: Traversal) -> object:
    # The message may contain part of a payload, so only the type is shown.
    return f"({type(value).__qualname__})"


@to_plain.register
def _(value: Mapping, traversal: Traversal) -> object:  # type: ignore[type-arg]
    fields: dict[str, object] = {}
    for name, part in islice(value.items(), MAX_ITEMS):
        if traversal.is_exhausted():
            break
        shown = _key_to_text(name)
        fields[shown] = HIDDEN if is_hidden(shown) else traversal.visit(part)
    if len(fields) < len(value):
        fields[TRUNCATED] = f"{len(value)} in all"
    return fields


def _key_to_text(name: object) -> str:
    if isinstance(name, Enum):
        return name.name
    if isinstance(name, tuple | frozenset):
        parts = sorted(name, key=str) if isinstance(name, frozenset) else name
        return "/".join(_key_to_text(part) for part in islice(parts, 8))
    if isinstance(name, bytes):
        return f"({len(name)} bytes)"
    if not isinstance(name, str | int | float) and type(name).__str__ is object.__str__:
        return f"({type(name).__qualname__})"
    shown = str(name)[:MAX_TEXT_LENGTH].encode("utf-8", "replace").decode()
    match = _KEY_NONCE.fullmatch(shown)
    return f"{match[1]}..." if match is not None else shown


@to_plain.register(list)
@to_plain.register(tuple)
@to_plain.register(deque)
def _(value: list[object] | tuple[object, ...], traversal: Traversal) -> object:
    return _items(value, len(value), traversal)


@to_plain.register
def _(value: AbstractSet, traversal: Traversal) -> object:  # type: ignore[type-arg]
    shown = _items(value, len(value), traversal)
    # The iteration order of string sets differs between processes.
    return sorted(shown, key=str)


def _items(value: Iterable[object], length: int, traversal: Traversal) -> list[object]:
    parts: list[object] = []
    for part in islice(value, MAX_ITEMS):
        if traversal.is_exhausted():
            break
        parts.append(traversal.visit(part))
    if len(parts) < length:
        parts.append(f"{TRUNCATED} {length} in all")
    return parts
