"""Tests that docs/OPERATIONS.md documents the log events of the gateway.

On-call engineers search for events and fields by name. Guards against events
and fields that are renamed or added without the page.
"""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from pathlib import Path

import samphirebend

PACKAGE = Path(samphirebend.__file__).parent
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| `(\w+)` \| [^|]+ \| ([^|]*) \|$", re.MULTILINE)


def logged_events() -> dict[str, set[str]]:
    """Return the logged events with the fields common to their lines."""
    fields: dict[str, list[set[str]]] = defaultdict(list)
    for folder in ("gateway", "platform"):
        for path in (PACKAGE / folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call):
                    continue
                arguments = {
                    keyword.arg: keyword.value
                    for keyword in node.keywords
                    if keyword.arg
                }
                event = arguments.pop("event", None)
                if isinstance(event, ast.Constant):
                    fields[str(event.value)].append(set(arguments))
    return {event: set.intersection(*sets) for event, sets in fields.items()}


def documented_events() -> dict[str, set[str]]:
    """Return the events on the page with their fields."""
    return {
        event: set(re.findall(r"`(\w+)`", fields))
        for event, fields in ROW.findall(PAGE.read_text())
    }


def test_every_event_is_documented() -> None:
    assert set(logged_events()) == set(documented_events())


def test_every_documented_field_is_logged() -> None:
    logged = logged_events()
    missing = {
        event: fields - logged.get(event, set())
        for event, fields in documented_events().items()
        if fields - logged.get(event, set())
    }
    assert not missing
