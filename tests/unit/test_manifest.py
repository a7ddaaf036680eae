"""Tests that invalid manifests are refused with the path of each fault."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from result import Err, Ok

from samphirebend.jsonfile import MAX_FAULTS
from samphirebend.manifest import MAX_MANIFEST_BYTES, read_manifest


def make_valid_manifest() -> dict[str, Any]:
    """Return a valid manifest with two regions."""

    def host(name: str, domain: str, last: int) -> dict[str, Any]:
        ports = {"entry": 8000, "relay": 8001, "peer": 8002, "admin": 8003}
        addresses = {k: f"10.0.0.{last}:{port}" for k, port in ports.items()}
        return {"name": name, "failure_domain": domain, **addresses}

    def upstream(name: str, domain: str, last: int) -> dict[str, Any]:
        limits = {"slots": 3, "connections": 300}
        address = f"10.1.0.{last}:80"
        return {"name": name, "failure_domain": domain, "address": address, **limits}

    return {
        "format": 1,
        "organisation": "linjeringsbyran",
        "measure": "headroom",
        "regions": [
            {"name": "norra", "max_in_flight": 40, "failure_domains": ["Kiruna"]},
            {"name": "södra", "max_in_flight": 40, "failure_domains": ["Malmö"]},
        ],
        "links": [{"between": ["norra", "södra"], "mbit_per_s": 280, "delay_ms": 35}],
        "hosts": [host("norra-1", "Kiruna", 1), host("sodra-1", "Malmö", 2)],
        "services": [
            {
                "name": "ledger",
                "idempotent": False,
                "timeout_ms": 2000,
                "max_body_bytes": 65536,
                "upstreams": [upstream("l1", "Kiruna", 1), upstream("l2", "Malmö", 2)],
            }
        ],
        "caller_blocks": [{"prefix": "10.9.0.0/16", "region": "norra"}],
    }


def read_faults(text: str) -> list[tuple[str, str, str]]:
    checked = read_manifest(text)
    assert isinstance(checked, Err), "the manifest was accepted"
    return [(f.path, f.expected, f.found) for f in checked.err_value]


def with_change(path: str, value: object) -> dict[str, Any]:
    """Return a valid manifest with one part replaced; `...` removes it."""
    manifest = copy.deepcopy(make_valid_manifest())
    part: Any = manifest
    keys = path.replace("[", ".").replace("]", "").split(".")
    *parents, last = [int(key) if key.isdecimal() else key for key in keys]
    for key in parents:
        part = part[key]
    if value is ...:
        del part[last]
    else:
        part[last] = value
    return manifest


def test_good_manifest_is_accepted() -> None:
    # Guards against a validation that refuses what operators need, such as
    # comments, non-ASCII names, and upstreams drained by a limit of 0 slots.
    manifest = with_change("services[0].upstreams[0].slots", 0)
    text = "// planned drain\n" + json.dumps(manifest, ensure_ascii=False)
    checked = read_manifest("\ufeff" + text)
    assert isinstance(checked, Ok)
    assert checked.ok_value.hosts_of("södra") == ["sodra-1"]
    assert read_manifest(json.dumps(with_change("caller_blocks", ...))).is_ok()


UPSTREAM = "services[0].upstreams[0]"
NAME = "text of 1 to 63 characters"
CLEAN = "text without control characters or spaces at its ends"
MEASURES = "one of headroom, latency"
WHOLE = "a whole number"
DOMAIN = "a failure domain of some region"
ONE_FAULT: list[tuple[str, object, str, str]] = [
    # Fields: path of the change and of the fault, new value, expected, found.
    ("format", 2, "a whole number from 1 to 1", "number 2"),
    ("format", True, "a whole number from 1 to 1", "true"),
    ("organisation", ..., NAME, "nothing"),
    ("organisation", None, NAME, "null"),
    ("organisation", "", NAME, 'text ""'),
    ("organisation", "x" * 64, NAME, f'text "{"x" * 60}"'),
    ("organisation", "a\nb", CLEAN, r'text "a\nb"'),
    ("measure", None, MEASURES, "null"),
    ("measure", "cost", MEASURES, 'text "cost"'),
    ("extra", 1, "one of the fields", "an unknown field"),
    ("links", [], "a link between norra and södra", "none"),
    ("links[0].mbit_per_s", 0, WHOLE, "number 0"),
    ("links[0].mbit_per_s", 1.5, WHOLE, "number 1.5"),
    ("links[0].delay_ms", -1, WHOLE, "number -1"),
    ("regions[0].max_in_flight", -4, WHOLE, "number -4"),
    ("regions[0].max_in_flight", 0, WHOLE, "number 0"),
    ("regions[0].max_in_flight", "9", WHOLE, 'text "9"'),
    ("hosts[0].failure_domain", None, NAME, "null"),
    ("hosts[0].failure_domain", ["x"], NAME, "a list"),
    ("hosts[0].failure_domain", "Oslo", "a failure", "Oslo"),
    ("hosts[1].name", "norra-1", "a name that no other host", "norra-1"),
    ("hosts[0].entry", "a:80", "an IPv4 address and port", "a:80"),
    ("hosts[0].entry", "0.0.0.0:1", "an address that", "0.0.0.0:1"),
    ("hosts[0].peer", "224.0.0.1:9", "an address that", "224.0.0.1:9"),
    ("hosts[1].entry", "10.0.0.1:8000", "an address used once", "10.0.0.1:8000"),
    ("services", [], "at least one service", "none"),
    ("services[0].name", "a/b", "a name of A-Z", "a/b"),
    ("services[0].name", "..", "a name of A-Z", ".."),
    ("services[0].idempotent", None, "true or false", "null"),
    ("services[0].idempotent", 0, "true or false", "number 0"),
    ("services[0].timeout_ms", None, WHOLE, "null"),
    ("services[0].timeout_ms", float("nan"), WHOLE, "number nan"),
    ("services[0].timeout_ms", float("inf"), WHOLE, "number inf"),
    ("services[0].max_body_bytes", 1 << 3000, WHOLE, "a number of 3001 bits"),
    ("services[0].upstreams", [], "at least one", "none"),
    (UPSTREAM, 5, "an object", "number 5"),
    (f"{UPSTREAM}.slots", -1, WHOLE, "number -1"),
    (f"{UPSTREAM}.connections", 2, "at least its 3 slots", "number 2"),
    (f"{UPSTREAM}.failure_domain", "nowhere", DOMAIN, "nowhere"),
    ("caller_blocks", None, "a list of objects", "null"),
    ("caller_blocks[0].region", "x", "a region of", "x"),
    ("caller_blocks[0].prefix", None, "text of 1", "null"),
    ("caller_blocks[0].prefix", "10.0.0.0", "an IPv4 pr", "10.0.0.0"),
    ("caller_blocks[0].prefix", "10.0.0.1/8", "an IPv4 pr", "10.0.0.1/8"),
    ("caller_blocks[0].prefix", "010.0.0.0/8", "an IPv4 pr", "010.0.0.0/8"),
    ("caller_blocks[0].prefix", "10.0.0.0/33", "an IPv4 pr", "10.0.0.0/33"),
    ("caller_blocks[0].prefix", "::/0", "an IPv4 pr", "::/0"),
    ("caller_blocks[0].prefix", "1.0.0.0/" + "9" * 99, "an IPv4 prefix", "1.0.0"),
]
REGION_DOMAINS = "regions[0].failure_domains"
FAULT_ELSEWHERE: list[tuple[object, ...]] = [
    # Fields: path of the change, new value, path of the fault, expected,
    # found.
    ("x" * 200, 1, "x" * 100 + "...", "one of the fields", "an unknown field"),
    (
        REGION_DOMAINS,
        ["Kiruna", "Malmö"],
        "regions[1].failure_domains[0]",
        "a failure domain name used once",
        "Malmö",
    ),
    (REGION_DOMAINS, ["Kiruna", 5], f"{REGION_DOMAINS}[1]", "text", "number 5"),
    (f"{UPSTREAM}.name", "l2", "services[0].upstreams[1].name", "a name that", "l2"),
    (
        f"{UPSTREAM}.address",
        "10.1.0.2:80",
        "services[0].upstreams[1].address",
        "an address used once",
        "10.1.0.2:80",
    ),
]


@pytest.mark.parametrize(
    ("changed_path", "value", "path", "expected", "found"),
    [(path, value, path, *texts) for path, value, *texts in ONE_FAULT]
    + FAULT_ELSEWHERE,
)
def test_one_fault(
    changed_path: str, value: object, path: str, expected: str, found: str
) -> None:
    # Guards against undetected faults, wrong paths, crashes, and reporting one
    # mistake as several faults.
    faults = read_faults(json.dumps(with_change(changed_path, value)))
    assert len(faults) == 1, faults
    assert faults[0][0] == path
    assert faults[0][1].startswith(expected)
    assert faults[0][2].startswith(found)


def test_several_faults_are_reported_at_once() -> None:
    # Guards against reporting only one fault per attempt to commit.
    manifest = with_change("regions[0].max_in_flight", -1)
    manifest["measure"] = "cost"
    manifest["hosts"][1]["admin"] = "x"
    manifest["links"][0]["between"] = ["norra", "oslo"]
    assert [fault[0] for fault in read_faults(json.dumps(manifest))] == [
        "measure",
        "regions[0].max_in_flight",
        "links[0].between[1]",
        "hosts[1].admin",
        "links",
    ]
    # The missing link between the regions is reported as well.
    assert read_faults(json.dumps(with_change("links", None))) == [
        ("links", "a list of objects", "null"),
        ("links", "a link between norra and södra", "none"),
    ]


def test_region_with_upstreams_needs_a_host() -> None:
    # Guards against upstreams to which no host can send requests.
    manifest = make_valid_manifest()
    del manifest["hosts"][1]
    (fault,) = read_faults(json.dumps(manifest))
    assert fault == ("hosts", "a host in region södra, which has upstreams", "none")


@pytest.mark.parametrize(
    ("text", "expected", "found"),
    [
        ("", "JSON with comments", "line 1: No JSON data found near 0"),
        ("{\n\n 'a': ]", "JSON with comments", "line 3: Expected"),
        ("[" * 100_000, "JSON with comments", "line 1: Maximum nesting level"),
        ('{"a": "\\ud800"}', "JSON with comments", "line 1: Expected"),
        ('{\n"a": "\ud800"}', "Unicode text", "half a surrogate pair on line 2"),
        (" " * (MAX_MANIFEST_BYTES + 1), "at most 16777216 bytes", "16777217 bytes"),
        ("[]", "an object", "a list"),
        (
            '{"a": 1,\n"\\u0061": 2}',
            "each field once in an object",
            "a again on line 2",
        ),
        ("{a: [{b: 1, 'b': 2}]}", "each field once", "b again on line 1"),
    ],
)
def test_unreadable_files(text: str, expected: str, found: str) -> None:
    # Guards against crashes on parser errors and against duplicate fields, of
    # which the parser would silently use the last.
    ((path, fault_expected, fault_found),) = read_faults(text)
    assert path == "(file)"
    assert fault_expected.startswith(expected)
    assert fault_found.startswith(found)
    assert len(fault_found) < 200


def test_number_of_faults_is_bounded() -> None:
    # Guards against a huge response if every part of a large file is wrong.
    hosts = [{"failure_domain": None, "name": None}] * 2_000
    assert len(read_faults(json.dumps(with_change("hosts", hosts)))) == MAX_FAULTS
    regions = [{"name": f"r{i}", "failure_domains": [f"d{i}"]} for i in range(3_000)]
    assert len(read_faults(json.dumps(with_change("regions", regions)))) == MAX_FAULTS
