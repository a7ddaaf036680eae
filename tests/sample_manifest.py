"""The text of a small valid manifest for tests."""

from __future__ import annotations

import json

from samphirebend.addresses import Address

from .manifests import assign_addresses, small_manifest


def manifest_text(peers: dict[str, Address], organisation: str = "test") -> str:
    """Return the text of a manifest with hosts of the given peer addresses."""
    data = small_manifest({"r1": len(peers)}, upstreams=1, domains="a")
    data["organisation"] = organisation
    assign_addresses(data)
    for host, (name, address) in zip(data["hosts"], peers.items(), strict=True):
        host |= {"name": name, "peer": str(address)}
    return json.dumps(data)
