"""Manifests for tests, as plain data."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any, Final

import pyjson5

from .processes import ROOT

ADDRESS_FIELDS: Final = ("entry", "relay", "peer", "admin")
Data = dict[str, Any]


def load_example(name: str) -> tuple[Data, dict[str, Data]]:
    """Return an example's manifest, and its settings keyed by host."""
    folder = ROOT / "examples" / name
    files = {p.stem: pyjson5.decode(p.read_text()) for p in folder.glob("*.json")}
    return files.pop("manifest"), files


def small_manifest(
    regions: dict[str, int],
    upstreams: int = 2,
    slots: int = 3,
    cap: int = 1000,
    timeout_ms: int = 2000,
    mbit_per_s: int = 280,
    delay_ms: int = 5,
    connections: int = 300,
    domains: str = "ab",
) -> Data:
    """Return a manifest without addresses.

    `regions` gives the number of hosts by region, and `upstreams` the number
    per service and region. The services are `read` and `upload` (idempotent)
    and `write` (at most once). Each letter of `domains` is a failure domain of
    every region.
    """

    def domain(region: str, index: int) -> str:
        return f"{region}-{domains[index % len(domains)]}"

    return {
        "format": 1,
        "organisation": "test",
        "measure": "headroom",
        "regions": [
            {
                "name": r,
                "max_in_flight": cap,
                "failure_domains": [f"{r}-{letter}" for letter in domains],
            }
            for r in regions
        ],
        "links": [
            {"between": list(pair), "mbit_per_s": mbit_per_s, "delay_ms": delay_ms}
            for pair in itertools.combinations(regions, 2)
        ],
        "hosts": [
            {"name": f"{r}-{i}", "failure_domain": domain(r, i)}
            for r, count in regions.items()
            for i in range(count)
        ],
        "services": [
            {
                "name": service,
                "idempotent": service != "write",
                "timeout_ms": timeout_ms,
                "max_body_bytes": 1 << 28,
                "upstreams": [
                    {
                        "name": f"{service}-{r}-{i}",
                        "failure_domain": domain(r, i),
                        "slots": slots,
                        "connections": connections,
                    }
                    for r in regions
                    for i in range(upstreams)
                ],
            }
            for service in ("read", "write", "upload")
        ],
        "caller_blocks": [],
    }


def all_upstreams(manifest: Data) -> Iterator[Data]:
    """Yield the upstreams of all services."""
    for service in manifest["services"]:
        yield from service["upstreams"]


def assign_addresses(manifest: Data) -> None:
    """Assign loopback addresses to all hosts and upstreams.

    They are placeholders, and nothing needs to listen on them.
    """
    ports = itertools.count(2000)
    for host in manifest["hosts"]:
        host |= {field: f"127.0.0.1:{next(ports)}" for field in ADDRESS_FIELDS}
    for upstream in all_upstreams(manifest):
        upstream["address"] = f"127.0.0.1:{next(ports)}"
