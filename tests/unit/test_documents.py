"""Tests that the operators' guide documents every name in the interface.

Guards against fields, metrics, error kinds, exit codes and commands that
operators meet but cannot look up.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Final

import pytest
from result import Err
from typer.main import get_command
from typer.testing import CliRunner

from samphirebend.cli import app
from samphirebend.errorcodes import ERROR_RESPONSES, ErrorKind
from samphirebend.exitcodes import ExitCode
from samphirebend.manifest import read_manifest
from samphirebend.metrics import Metrics
from samphirebend.options import read_options

GUIDE: Final = (
    Path(__file__).parents[2].joinpath("docs/operators.md").read_text(encoding="utf-8")
)
# A manifest with an unknown field in each object. The fault for an unknown
# field lists the known fields of its object.
PROBE: Final = {
    "x-probe": 1,
    "regions": [{"x-probe": 1}],
    "links": [{"x-probe": 1}],
    "hosts": [{"x-probe": 1}],
    "services": [{"x-probe": 1, "upstreams": [{"x-probe": 1}]}],
    "caller_blocks": [{"x-probe": 1}],
}


def section(title: str) -> str:
    return GUIDE.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def known_fields(text: str, settings: bool) -> dict[str, list[str]]:
    """Return the known fields of each object, by the object's path."""
    checked = read_options(text) if settings else read_manifest(text)
    assert isinstance(checked, Err)
    prefix = "one of the fields "
    return {
        fault.path.removesuffix("x-probe").replace("[0]", "[]"): (
            fault.expected.removeprefix(prefix).split(", ")
        )
        for fault in checked.err_value
        if fault.path.endswith("x-probe")
    }


def test_every_settings_field_is_explained() -> None:
    (fields,) = known_fields('{"x-probe": 1}', settings=True).values()
    assert len(fields) == 19
    for field in fields:
        assert f"\n| `{field}` |" in section("Settings"), field


def test_every_manifest_field_is_explained() -> None:
    known = known_fields(json.dumps(PROBE), settings=False)
    assert len(known) == 7
    lists = {"regions", "links", "hosts", "services", "caller_blocks", "upstreams"}
    for path, fields in known.items():
        for field in set(fields) - lists:
            # The table has one row for all four addresses of a host.
            shared = path == "hosts[]." and field in ("relay", "peer", "admin")
            shown = f"`{field}`" if shared else f"`{path}{field}`"
            assert shown in section("Manifest"), path + field


def test_every_metric_is_explained() -> None:
    for name in Metrics().names():
        assert f"\n| `{name}` |" in section("Metrics"), name


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_is_explained_with_its_outcome(kind: ErrorKind) -> None:
    outcome = ERROR_RESPONSES[kind].outcome.value.replace("-", " ")
    assert f"\n| `{kind.value}` | {outcome} |" in section("Error kinds")


def test_every_exit_code_and_command_is_explained() -> None:
    for code in ExitCode:
        assert f"\n| {int(code)} | `{code.name}` |" in GUIDE
    commands = CliRunner().invoke(app, ["--help"]).stdout
    for name in getattr(get_command(app), "commands", {}):
        assert name in commands
        assert f"\n| `samphirebend {name} " in GUIDE or (
            f"\n| `samphirebend {name}` |" in GUIDE
        )
