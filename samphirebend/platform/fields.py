"""Reads fields of decoded documents and names the path of each fault."""

from __future__ import annotations

from typing import Any

from ..addresses import Address, parse_address


class FieldError(Exception):
    """A field is missing or has a wrong type; the text names its path."""


def get_field(data: Any, name: str, path: str) -> Any:
    """Return a field of a table; raise FieldError if there is none."""
    if not isinstance(data, dict) or name not in data:
        raise FieldError(f"{path}.{name}: missing")
    return data[name]


def get_string(data: Any, name: str, path: str) -> str:
    """Return a field that is a text which is not empty."""
    value = get_field(data, name, path)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{path}.{name}: expected a text, found {value!r:.60}")
    return value


def get_number(data: Any, name: str, path: str, low: float = 0.0) -> float:
    """Return a field that is a number of at least `low`."""
    value = get_field(data, name, path)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < low:
        raise FieldError(
            f"{path}.{name}: expected a number of at least {low:g}, found {value!r:.60}"
        )
    return value


def get_integer(data: Any, name: str, path: str, low: int = 0) -> int:
    """Return a field that is a whole number of at least `low`."""
    value = get_field(data, name, path)
    if isinstance(value, bool) or not isinstance(value, int) or value < low:
        raise FieldError(
            f"{path}.{name}: expected a whole number of at least {low}, "
            f"found {value!r:.60}"
        )
    return value


def get_boolean(data: Any, name: str, path: str, default: bool) -> bool:
    """Return a field that is true or false, or the default if there is none."""
    value = data.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{path}.{name}: expected true or false, found {value!r:.60}")
    return value


def get_strings(data: Any, name: str, path: str) -> list[str]:
    """Return a field that is a list of texts; empty if there is none."""
    value = data.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise FieldError(f"{path}.{name}: expected a list of texts")
    return value


def get_address(data: Any, name: str, path: str) -> Address:
    """Return a field that is an address of the form IP:PORT."""
    text = get_string(data, name, path)
    address = parse_address(text)
    if address is None:
        raise FieldError(f"{path}.{name}: expected IP:PORT, found {text!r:.60}")
    return address
