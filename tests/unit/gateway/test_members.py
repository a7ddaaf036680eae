"""Tests the addresses given to callers and the count of hosts.

Guards against callers sent to lost, stopping or overloaded hosts, and against
shares of fleet-wide limits that add up to more than the limit.
"""

from __future__ import annotations

import random

from samphirebend.addresses import Address
from samphirebend.gateway.members import (
    ASSUMED_HOSTS,
    LIVENESS_TIMEOUT_S,
    Member,
    Members,
)


def make_member(
    host: str, region: str, ready: bool = True, sequence: int = 1
) -> Member:
    member = Member(host, region + "1", region)
    member.front = Address("127.0.0.1", 1000 + ord(host[-1]))
    member.ready = ready
    member.incarnation = 1
    member.sequence = sequence
    return member


def make_members() -> Members:
    return Members(make_member("h0", "a"), random.Random(1))


def host_numbers(
    members: Members, region: str, home_regions: frozenset[str], now: float
) -> set[int]:
    """Return the numbers of the hosts whose addresses are returned."""
    addresses = members.addresses(region, home_regions, now)
    return {address.port - 1000 - ord("0") for address in addresses}


def test_callers_get_ready_hosts_of_their_region() -> None:
    members = make_members()
    members.record_heartbeat(make_member("h1", "a"), 10.0)
    members.record_heartbeat(make_member("h2", "b"), 10.0)
    members.record_heartbeat(make_member("h3", "a", ready=False), 10.0)
    assert host_numbers(members, "a", frozenset(), 10.5) == {0, 1}
    assert host_numbers(members, "b", frozenset(), 10.5) == {2}


def test_silent_host_is_not_returned() -> None:
    members = make_members()
    members.record_heartbeat(make_member("h1", "a"), 10.0)
    assert host_numbers(members, "a", frozenset(), 10.0 + LIVENESS_TIMEOUT_S + 0.1) == {
        0
    }


def test_callers_of_a_lost_region_get_the_home_regions() -> None:
    members = make_members()
    members.record_heartbeat(make_member("h2", "b"), 10.0)
    assert host_numbers(members, "c", frozenset({"b"}), 10.5) == {2}
    assert host_numbers(members, "c", frozenset(), 10.5) == {0, 2}


def test_old_heartbeat_does_not_replace_a_newer_one() -> None:
    members = make_members()
    assert members.record_heartbeat(make_member("h1", "a", False, sequence=5), 10.0)
    assert not members.record_heartbeat(make_member("h1", "a", True, sequence=4), 10.1)
    assert host_numbers(members, "a", frozenset(), 10.2) == {0}


def test_host_count_is_assumed_until_the_list_is_read() -> None:
    members = make_members()
    assert members.count() == ASSUMED_HOSTS
    members.add_listed(make_member("h1", "a"))
    members.host_list_read = True
    assert members.count() == 2


def make_hosts(*capacities: float) -> Members:
    members = make_members()
    members.own.capacity_per_s = capacities[0]
    for number, capacity in enumerate(capacities[1:], start=1):
        member = make_member(f"h{number}", "a")
        member.capacity_per_s = capacity
        members.record_heartbeat(member, 10.0)
    return members


def test_low_capacity_hosts_are_returned_less_often() -> None:
    # An even share of callers delayed requests by seconds on a 5 Mbit/s link.
    members = make_hosts(700.0, 700.0, 600.0, 40.0)
    samples = [host_numbers(members, "a", frozenset(), 10.5) for _ in range(400)]
    assert sum(3 in hosts for hosts in samples) < 60
    assert all({0, 1} <= hosts for hosts in samples)


def test_many_low_capacity_hosts_are_returned_less_often() -> None:
    """Guards against an even share where most hosts have a narrow link."""
    members = make_hosts(700.0, 700.0, 40.0, 40.0, 40.0)
    samples = [host_numbers(members, "a", frozenset(), 10.5) for _ in range(400)]
    assert sum(2 in hosts for hosts in samples) < 60
    assert all({0, 1} <= hosts for hosts in samples)


def test_only_host_is_returned_without_capacity() -> None:
    members = make_hosts(0.0)
    assert host_numbers(members, "a", frozenset(), 0.0) == {0}


def test_moved_host_is_returned_in_its_new_region_only() -> None:
    """Guards the region index against hosts that restart in another region."""
    members = make_hosts(100.0, 100.0)
    moved = make_member("h1", "b", sequence=9)
    moved.incarnation = 5
    assert members.record_heartbeat(moved, 11.0)
    assert host_numbers(members, "a", frozenset(), 11.1) == {0}
    assert host_numbers(members, "b", frozenset(), 11.1) == {1}
    members.drop_silent(1000.0)
    assert host_numbers(members, "b", frozenset(), 11.1) == {0}
