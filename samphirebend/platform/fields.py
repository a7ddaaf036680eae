"""Typed access to decoded JSON and TOML; errors name the field's path.

`rows`, `settings` and `store` use it.
"""

from __future__ import annotations

from typing import Any, Final

from ..addresses import Address, parse_address

# Largest integer that a float represents exactly. Larger numbers could not be
# converted to other units.
MAX_NUMBER: Final = 2**53


class FieldError(Exception):
    """A field is missing or invalid; the message starts with its path."""


def get_field(data: Any, name: str, path: str) -> Any:
    """Return a field of a table; raise FieldError if it is missing."""
    if not isinstance(data, dict) or name not in data:
        raise FieldError(f"{path}.{name}: missing")
    return data[name]


def get_string(data: Any, name: str, path: str) -> str:
    """Return a non-empty string field."""
    value = get_field(data, name, path)
    if not isinstance(value, str) or not value:
        raise FieldError(
            f"{path}.{name}: expected a non-empty string, found {value!r:.60}"
        )
    return value


def get_number(data: Any, name: str, path: str, low: float = 0.0) -> float:
    """Return a numeric field from `low` to MAX_NUMBER."""
    value = get_field(data, name, path)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= MAX_NUMBER:
        raise FieldError(
            f"{path}.{name}: expected a number of at least {low:g}, found {value!r:.60}"
        )
    return value


def get_integer(
    data: Any, name: str, path: str, low: int = 0, high: int = MAX_NUMBER
) -> int:
    """Return an integer field from `low` to `high`."""
    value = get_field(data, name, path)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not low <= value <= high:
        raise FieldError(
            f"{path}.{name}: expected an integer from {low} to {high}, "
            f"found {value!r:.60}"
        )
    return value


def get_boolean(data: Any, name: str, path: str, default: bool) -> bool:
    """Return a boolean field, or the default if it is missing."""
    value = data.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{path}.{name}: expected true or false, found {value!r:.60}")
    return value


def get_strings(data: Any, name: str, path: str) -> list[str]:
    """Return a field that is a list of strings; empty if missing."""
    if not isinstance(data, dict):
        raise FieldError(f"{path}: expected a table")
    value = data.get(name, [])
    if not isinstance(value, list) or not all(
        isinstance(element, str) for element in value
    ):
        raise FieldError(f"{path}.{name}: expected a list of strings")
    return value


def get_address(data: Any, name: str, path: str) -> Address:
    """Return a field of the form IP:PORT as an address."""
    text = get_string(data, name, path)
    address = parse_address(text)
    if address is None:
        raise FieldError(f"{path}.{name}: expected IP:PORT, found {text!r:.60}")
    return address
