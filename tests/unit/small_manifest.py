"""A small manifest for unit tests."""

from __future__ import annotations

from result import Ok

from samphirebend.manifest import Manifest, check_manifest

REGIONS = {"north": ["n1", "n2", "n3"], "south": ["s1", "s2"], "west": ["w1", "w2"]}


def make_manifest(
    hosts: dict[str, list[str]] | None = None,
    upstreams: int = 5,
    cap: int = 40,
    slots: int = 3,
) -> Manifest:
    """Return a manifest with two services in each region."""
    hosts = hosts or REGIONS
    port = iter(range(2000, 60000))

    def address() -> str:
        return f"127.0.0.1:{next(port)}"

    names = sorted(hosts)
    data = {
        "format": 1,
        "organisation": "test",
        "measure": "latency",
        "regions": [
            {"name": name, "max_in_flight": cap, "failure_domains": [f"{name}-a"]}
            for name in names
        ],
        "links": [
            {"between": [name, other], "mbit_per_s": 281, "delay_ms": 35}
            for index, name in enumerate(names)
            for other in names[index + 1 :]
        ],
        "hosts": [
            {"name": host, "failure_domain": f"{name}-a"}
            | {kind: address() for kind in ("entry", "relay", "peer", "admin")}
            for name in names
            for host in hosts[name]
        ],
        "services": [
            {
                "name": service,
                "idempotent": True,
                "timeout_ms": timeout_ms,
                "max_body_bytes": 1000,
                "upstreams": [
                    {
                        "name": f"{service}-{name}-{index}",
                        "failure_domain": f"{name}-a",
                        "address": address(),
                        "slots": slots,
                        "connections": 30,
                    }
                    for name in names
                    for index in range(upstreams)
                ],
            }
            for service, timeout_ms in (("read", 1000), ("write", 4000))
        ],
    }
    checked = check_manifest(data)
    assert isinstance(checked, Ok), checked
    return checked.ok_value
