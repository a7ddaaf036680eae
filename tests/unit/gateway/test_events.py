"""The log events of a gateway are those that docs/OPERATIONS.md explains.

An on-call engineer searches for events and fields by name, so a renamed one must
not go unnoticed.
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


def logged() -> dict[str, set[str]]:
    """Return the events in the code, each with the fields that all its lines have."""
    fields: dict[str, list[set[str]]] = defaultdict(list)
    for folder in ("gateway", "platform"):
        for path in (PACKAGE / folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call):
                    continue
                named = {item.arg: item.value for item in node.keywords if item.arg}
                event = named.pop("event", None)
                if isinstance(event, ast.Constant):
                    fields[str(event.value)].append(set(named))
    return {event: set.intersection(*sets) for event, sets in fields.items()}


def documented() -> dict[str, set[str]]:
    """Return the events of the page with their fields."""
    return {
        event: set(re.findall(r"`(\w+)`", fields))
        for event, fields in ROW.findall(PAGE.read_text())
    }


def test_every_event_is_explained() -> None:
    assert set(logged()) == set(documented())


def test_every_explained_field_is_logged() -> None:
    in_code = logged()
    missing = {
        event: fields - in_code.get(event, set())
        for event, fields in documented().items()
        if fields - in_code.get(event, set())
    }
    assert not missing
