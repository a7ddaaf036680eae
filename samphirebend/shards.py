"""Division of upstreams and limits into shards, one for each configured host.

All functions are pure functions of a manifest, so that every host computes the
same result. `limits` enforces the shares of the shards whose leases this host
holds, `links` paces traffic by their link shares, and `leasekeeper` uses their
witnesses.
"""

from __future__ import annotations

from typing import Final

import xxhash

from .manifest import Manifest

# Maximum number of witnesses of one lease, its configured host included.
MAX_WITNESSES: Final = 7
BYTES_PER_MBIT: Final = 125_000
# Percentages of each direction of a link for bytes sent by the hosts of the
# sending region, and for bytes that the other region reads from callers. The
# remaining 5% is reserved for control and table service traffic.
SENDING_PERCENT: Final = 80
RECEIVING_PERCENT: Final = 15


class LinkShare:
    """A shard's share of the link to another region, in bytes per second."""

    __slots__ = ("receiving", "sending")

    def __init__(self, sending: int, receiving: int) -> None:
        # Share for traffic from the shard's region to the other.
        self.sending = sending
        # Share for traffic that is read from callers in the other region.
        self.receiving = receiving


def rendezvous_score(key: str, host: str) -> int:
    """Return the rendezvous hash of a key and a host."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def assign_upstreams(manifest: Manifest) -> dict[str, str]:
    """Return the shard of each upstream."""
    shards: dict[str, str] = {}
    for region in manifest.regions:
        shards.update(assign_region_upstreams(manifest, region))
    return shards


def assign_region_upstreams(manifest: Manifest, region: str) -> dict[str, str]:
    """Assign a region's upstreams by rendezvous hashing with bounded loads.

    The pairs of an upstream and a host are considered in descending order of
    their score. A host gets at most ceil(n / hosts) of a service's n upstreams
    in its region.
    """
    groups: dict[str, list[str]] = {}  # upstreams, keyed by service
    for upstream in manifest.upstreams.values():
        if upstream.region == region:
            groups.setdefault(upstream.service, []).append(upstream.name)
    hosts = manifest.hosts_of(region)
    shards: dict[str, str] = {}
    for names in groups.values():
        shards.update(_assign_group(names, hosts))
    return shards


def _assign_group(upstreams: list[str], hosts: list[str]) -> dict[str, str]:
    if not hosts:
        return {}
    remaining = dict.fromkeys(hosts, -(-len(upstreams) // len(hosts)))
    pairs = sorted(
        (
            (rendezvous_score(name, host), name, host)
            for name in upstreams
            for host in hosts
        ),
        reverse=True,
    )
    shards: dict[str, str] = {}
    for _, name, host in pairs:
        if name not in shards and remaining[host]:
            shards[name] = host
            remaining[host] -= 1
    return shards


def split_by_weight(total: int, weights: dict[str, int]) -> dict[str, int]:
    """Split a total in proportion to weights, by the largest remainder method.

    >>> split_by_weight(10, {"a": 1, "b": 1, "c": 1})
    {'a': 4, 'b': 3, 'c': 3}
    >>> split_by_weight(3, {"a": 0, "b": 0})
    {'a': 2, 'b': 1}
    """
    if not weights:
        return {}
    if not any(weights.values()):
        weights = dict.fromkeys(weights, 1)
    weight_sum = sum(weights.values())
    shares = {name: total * weight // weight_sum for name, weight in weights.items()}
    by_remainder = sorted(
        weights, key=lambda name: (-(total * weights[name] % weight_sum), name)
    )
    for name in by_remainder[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def cap_shares(manifest: Manifest, region: str) -> dict[str, int]:
    """Split a region's cap over its shards in proportion to their slots."""
    slots = dict.fromkeys(manifest.hosts_of(region), 0)
    for name, shard in assign_region_upstreams(manifest, region).items():
        slots[shard] += manifest.upstreams[name].slots
    return split_by_weight(manifest.regions[region].max_in_flight, slots)


def witnesses(manifest: Manifest, shard: str) -> list[str]:
    """Return the witnesses of a shard's lease, configured host first.

    The witnesses of a large region are its own hosts, so that it keeps its
    leases during a network partition even if some of its hosts are down. The
    witnesses of a small region are chosen from all hosts. The configured host
    is left out if it is no longer in the manifest.
    """
    configured = [shard] if shard in manifest.hosts else []
    if configured:
        in_region = _witnesses_in_region(manifest, shard)
        if in_region:
            return in_region
    others = _by_score(shard, [name for name in manifest.hosts if name != shard])
    return [*configured, *others[: MAX_WITNESSES - len(configured)]]


def _by_score(shard: str, names: list[str]) -> list[str]:
    return sorted(names, key=lambda name: (-rendezvous_score(shard, name), name))


def _witnesses_in_region(manifest: Manifest, shard: str) -> list[str]:
    """Return witnesses spread over the failure domains of the region.

    Return an empty list if the region has too few hosts, or if one failure
    domain would contain a majority. After the loss of that domain, the other
    witnesses could neither keep a lease nor take it over.
    """
    hosts = manifest.hosts
    names = [n for n in manifest.hosts_of(hosts[shard].region) if n != shard]
    in_domain: dict[str, int] = {}
    ranked: list[tuple[int, int, str]] = []
    for name in [shard, *_by_score(shard, names)]:
        domain = hosts[name].failure_domain
        ranked.append((in_domain.get(domain, 0), len(ranked), name))
        in_domain[domain] = in_domain.get(domain, 0) + 1
    chosen = [name for _, _, name in sorted(ranked)[:MAX_WITNESSES]]
    domains = [hosts[name].failure_domain for name in chosen]
    largest = max(domains.count(domain) for domain in domains)
    if len(chosen) < MAX_WITNESSES or largest > MAX_WITNESSES // 2:
        return []
    return chosen


def link_shares(manifest: Manifest, region: str, other: str) -> dict[str, LinkShare]:
    """Return the shares of a region's shards in the link to another.

    `sending` is a share of the direction to the other region, `receiving` of
    the opposite direction. The result is empty if there is no link.
    """
    link = manifest.link(region, other)
    if link is None or region == other:
        return {}
    one_percent = link.mbit_per_s * BYTES_PER_MBIT // 100
    weights = dict.fromkeys(manifest.hosts_of(region), 1)
    sending = split_by_weight(one_percent * SENDING_PERCENT, weights)
    receiving = split_by_weight(one_percent * RECEIVING_PERCENT, weights)
    return {name: LinkShare(sending[name], receiving[name]) for name in weights}
