"""Tests that the shares of a limit never exceed it."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, strategies as st

from samphirebend.shards import (
    assign_upstreams,
    cap_shares,
    link_shares,
    rendezvous_score,
    split_by_weight,
    witnesses,
)

from .small_manifest import REGIONS, make_manifest

SIZES = st.tuples(st.integers(1, 6), st.integers(1, 20), st.integers(1, 500))


@given(SIZES)
def test_assignment_is_bounded_and_caps_add_up(sizes: tuple[int, int, int]) -> None:
    """Guards against an overloaded shard and a cap that is assigned twice."""
    hosts, upstreams, cap = sizes
    names = [f"h{index}" for index in range(hosts)]
    manifest = make_manifest({"north": names}, upstreams, cap)
    shards = assign_upstreams(manifest)
    assert set(shards) == set(manifest.upstreams)
    for service in manifest.services.values():
        counts = Counter(shards[upstream.name] for upstream in service.upstreams)
        assert max(counts.values()) <= -(-upstreams // hosts)
    shares = cap_shares(manifest, "north")
    assert set(shares) == set(names)
    assert sum(shares.values()) == cap


@given(st.integers(0, 10_000), st.lists(st.integers(0, 50), min_size=1))
def test_split_is_exact(total: int, weights: list[int]) -> None:
    """Guards against rounding that loses or adds units."""
    shares = split_by_weight(total, {str(index): w for index, w in enumerate(weights)})
    assert sum(shares.values()) == total
    assert min(shares.values()) >= 0


def test_shards_stay_in_their_region() -> None:
    """Guards against an upstream served across a link in normal operation."""
    manifest = make_manifest()
    for name, shard in assign_upstreams(manifest).items():
        assert manifest.hosts[shard].region == manifest.upstreams[name].region


def test_link_shares_leave_the_reserve() -> None:
    """Guards the 5% of each direction that is reserved for control traffic."""
    manifest = make_manifest()
    budget = 281 * 125_000
    sent = sum(x.sending for x in link_shares(manifest, "north", "south").values())
    read = sum(x.receiving for x in link_shares(manifest, "south", "north").values())
    assert sent == budget * 80 // 100
    assert read == budget * 15 // 100
    assert link_shares(manifest, "north", "north") == {}


def test_witnesses_are_bounded_and_include_the_own_host() -> None:
    """Guards the sizes of witness sets, whose majorities must intersect."""
    hosts = REGIONS | {"east": [f"e{index}" for index in range(9)]}
    for shard in make_manifest().hosts:
        assert set(witnesses(make_manifest(), shard)) == set(make_manifest().hosts)
    for shard in make_manifest(hosts).hosts:
        chosen = witnesses(make_manifest(hosts), shard)
        assert chosen[0] == shard
        assert len(set(chosen)) == len(chosen) == 7


@given(st.lists(st.integers(0, 3), min_size=1, max_size=20))
def test_loss_of_a_failure_domain_leaves_a_majority_of_a_regions_witnesses(
    domains: list[int],
) -> None:
    """Guards takeovers and leases after the loss of a whole failure domain."""
    names = [f"e{index}" for index in range(len(domains))]
    manifest = make_manifest({"east": names, "west": ["w1"]})
    for name, domain in zip(names, domains, strict=True):
        manifest.hosts[name].failure_domain = f"d{domain}"
    for shard in names:
        chosen = witnesses(manifest, shard)
        assert chosen[0] == shard
        assert len(set(chosen)) == len(chosen) == min(7, len(names) + 1)
        lost = Counter(manifest.hosts[name].failure_domain for name in chosen)
        if max(lost.values()) > 3:
            # The other witnesses would be no majority, so that all hosts are
            # used.
            others = sorted(
                set(manifest.hosts) - {shard},
                key=lambda name, shard=shard: (-rendezvous_score(shard, name), name),  # type: ignore[misc]
            )
            assert chosen == [shard, *others][:7]


def test_witnesses_of_a_large_region_are_its_own_hosts() -> None:
    """Guards the leases of a region during a network partition."""
    names = [f"e{index:02d}" for index in range(83)]
    manifest = make_manifest({"east": names, "west": ["w1", "w2"]})
    for index, name in enumerate(names):
        manifest.hosts[name].failure_domain = f"d{index % 3}"
    for shard in names:
        assert set(witnesses(manifest, shard)) < set(names)
    assert set(witnesses(manifest, "w1")) & set(names)
