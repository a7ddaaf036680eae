"""Tests that invalid settings are rejected with the path of each fault."""

from __future__ import annotations

import json
from typing import Any

import pytest
from result import Err, Ok

from samphirebend.options import MAX_SETTINGS_BYTES, read_options

VALID_SETTINGS: dict[str, Any] = {
    "host": "norra-1",
    "region": "norra",
    "failure_domain": "Kiruna",
    "entry_address": "127.0.0.1:8000",
    "relay_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "admin_address": "127.0.0.1:8003",
    "table_url": "http://127.0.0.1:9000/",
}


def read_faults(text: str) -> list[tuple[str, str, str]]:
    checked = read_options(text)
    assert isinstance(checked, Err), "the settings were accepted"
    return [(f.path, f.expected, f.found) for f in checked.err_value]


def test_good_settings_are_read() -> None:
    # Guards against wrong defaults or units, and rejected or altered URLs.
    url = "https://10.0.0.1/lists?labelSelector=a"
    settings = {
        **VALID_SETTINGS,
        "lease_ms": 4000,
        "platform_list_url": url,
        "seeds": [],
    }
    checked = read_options("/* of one host */" + json.dumps(settings))
    assert isinstance(checked, Ok)
    cfg = checked.ok_value
    assert (cfg.table_url, cfg.platform_list_url) == ("http://127.0.0.1:9000", url)
    assert (cfg.lease_s, cfg.heartbeat_s, cfg.table_name) == (4.0, 0.5, "samphirebend")


@pytest.mark.parametrize(
    ("field", "value", "path", "expected", "found"),
    [
        ("host", ..., "host", "text of 1 to 63", "nothing"),
        ("host", None, "host", "text of 1 to 63", "null"),
        ("host", "a\u0000", "host", "text without control", r'text "a\x00"'),
        ("region", 5, "region", "text of 1 to 63", "number 5"),
        ("entry_address", "::1:80", "entry_address", "an IPv4 address", "::1:80"),
        ("relay_address", "127.0.0.1:8000", "relay_address", "an address used", "127"),
        ("seeds", ["127.0.0.1:0"], "seeds[0]", "an IPv4 address", "127.0.0.1:0"),
        ("seeds", "127.0.0.1:1", "seeds", "a list of texts", 'text "127.0.0.1:1"'),
        ("table_url", "", "table_url", "text of 1 to 253", 'text ""'),
        ("table_url", "ftp://x", "table_url", "an http or https URL", "another text"),
        ("table_url", "http://[", "table_url", "an http or https URL", "another text"),
        ("table_url", "http://u:secret@x", "table_url", "an http", "another text"),
        ("table_url", "http://x:99999", "table_url", "an http", "another text"),
        ("table_url", "http://x/?a", "table_url", "an http", "another text"),
        ("table_name", None, "table_name", "text of 1 to 253", "null"),
        ("heartbeat_ms", -1, "heartbeat_ms", "a whole number", "number -1"),
        ("heartbeat_ms", 0.5, "heartbeat_ms", "a whole number", "number 0.5"),
        ("lease_ms", 1999, "lease_ms", "at least four heartbeat", "1999 ms"),
        ("lease_ms", None, "lease_ms", "a whole number", "null"),
        ("log_level", "TRACE", "log_level", "one of DEBUG", 'text "TRACE"'),
        ("log_form", None, "log_form", "one of human, json", "null"),
        ("table_pol_ms", 5, "table_pol_ms", "one of the fields", "an unknown field"),
    ],
)
def test_one_fault(
    field: str, value: object, path: str, expected: str, found: str
) -> None:
    # Guards against accepting an invalid field, and against reporting one
    # mistake as several faults.
    settings = {**VALID_SETTINGS, field: value}
    if value is ...:
        del settings[field]
    ((fault_path, fault_expected, fault_found),) = read_faults(json.dumps(settings))
    assert fault_path == path
    assert fault_expected.startswith(expected)
    assert fault_found.startswith(found)


def test_several_faults_and_size() -> None:
    # Guards against reporting only the first fault, and against reporting
    # faults that merely follow from another one.
    settings = {**VALID_SETTINGS, "host": 1, "entry_address": "x", "peer_address": "y"}
    paths = [fault[0] for fault in read_faults(json.dumps(settings))]
    assert paths == ["host", "entry_address", "peer_address"]
    ((path, _, found),) = read_faults(" " * (MAX_SETTINGS_BYTES + 1))
    assert (path, found) == ("(file)", f"{MAX_SETTINGS_BYTES + 1} bytes")
