"""A small manifest for unit tests."""

from __future__ import annotations

from result import Ok

from samphirebend.manifest import Manifest, check_manifest

from ..manifests import Data, assign_addresses, small_manifest

# Names of the hosts by region.
REGIONS = {"north": ["n1", "n2", "n3"], "south": ["s1", "s2"], "west": ["w1", "w2"]}


def make_manifest(
    hosts: dict[str, list[str]] | None = None,
    upstreams: int = 5,
    cap: int = 40,
    slots: int = 3,
) -> Manifest:
    """Return a manifest with services "read" and "write" in each region."""
    hosts = dict(sorted((hosts or REGIONS).items()))
    data = small_manifest(
        {region: len(names) for region, names in hosts.items()},
        upstreams,
        slots,
        cap,
        mbit_per_s=281,
        delay_ms=35,
        connections=30,
        domains="a",
    )
    read, write, _ = data["services"]
    data["services"] = [read | {"timeout_ms": 1000}, write | {"timeout_ms": 4000}]
    names = [name for region in hosts.values() for name in region]
    for host, name in zip(data["hosts"], names, strict=True):
        host["name"] = name
    return read_data(data)


def read_data(data: Data) -> Manifest:
    """Add addresses to manifest data and return the checked manifest."""
    assign_addresses(data)
    checked = check_manifest(data)
    assert isinstance(checked, Ok), [str(fault) for fault in checked.err_value]
    return checked.ok_value
