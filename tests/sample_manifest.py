"""Small valid manifests for tests."""

from __future__ import annotations

import json

from samphirebend.addresses import Address


def manifest_text(peers: dict[str, Address], organisation: str = "test") -> str:
    """Return a manifest whose hosts have the given names and peer addresses."""
    hosts = [
        {
            "name": name,
            "failure_domain": "d1",
            "peer": str(address),
            **{
                field: f"127.0.1.{index + 1}:{8000 + offset}"
                for offset, field in enumerate(("entry", "relay", "admin"))
            },
        }
        for index, (name, address) in enumerate(peers.items())
    ]
    upstream = {
        "name": "u1",
        "failure_domain": "d1",
        "address": "127.0.0.1:9000",
        "slots": 3,
        "connections": 300,
    }
    service = {
        "name": "s1",
        "idempotent": True,
        "timeout_ms": 1000,
        "max_body_bytes": 1000,
        "upstreams": [upstream],
    }
    region = {"name": "r1", "max_in_flight": 10, "failure_domains": ["d1"]}
    return json.dumps(
        {
            "format": 1,
            "organisation": organisation,
            "measure": "latency",
            "regions": [region],
            "links": [],
            "hosts": hosts,
            "services": [service],
            "caller_blocks": [],
        }
    )
