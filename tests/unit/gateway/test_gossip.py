"""Simulates heartbeats in a large fleet, where most state is relayed.

Guards against lost hosts that stay in look-up answers, live hosts that drop
out of them, and a number of packets that grows with the fleet.
"""

from __future__ import annotations

import random

from samphirebend.gateway.gossip import (
    FANOUT,
    MAX_RELAYED,
    SILENT_FANOUT,
    Gossip,
    decode_relayed,
)
from samphirebend.gateway.members import (
    GOSSIP_LIVENESS_TIMEOUT_S,
    GOSSIP_MIN_HOSTS,
    LIVENESS_TIMEOUT_S,
    Member,
    Members,
)
from samphirebend.gateway.peers import HEARTBEAT_INTERVAL_S

PACKET_LOSS = 0.03  # fraction of the packets
STEP_S = HEARTBEAT_INTERVAL_S / 5  # one fifth of the hosts send in each step


def make_member(number: int) -> Member:
    member = Member(f"h{number}", "a1", "a")
    member.incarnation, member.ready = 7, True
    return member


class Host:
    """One simulated host."""

    def __init__(self, number: int, hosts: int, rng: random.Random) -> None:
        self.number = number
        self.alive = True
        self.sent = 0  # number of packets
        self.members = Members(make_member(number), rng)
        for other in range(hosts):
            self.members.add_listed(make_member(other))
        self.gossip = Gossip(self.members, rng)

    def heartbeat(self) -> Member:
        """Return the host's next heartbeat."""
        own = self.members.own
        own.sequence += 1
        heartbeat = make_member(self.number)
        heartbeat.sequence, heartbeat.ready = own.sequence, own.ready
        return heartbeat


class Fleet:
    """Hosts that exchange heartbeats in steps of simulated time."""

    def __init__(self, count: int) -> None:
        self.rng = random.Random(count)
        self.hosts = [Host(number, count, self.rng) for number in range(count)]
        self.now = 100.0
        for host in self.hosts:
            self.announce(host)

    def announce(self, sender: Host) -> None:
        """Send a heartbeat to all live hosts, as at a start or stop."""
        for host in self.hosts:
            if host.alive:
                host.members.record_heartbeat(sender.heartbeat(), self.now)

    def run(self, seconds: float) -> None:
        """Advance the time; each host sends once per heartbeat interval."""
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for sender in self.hosts[step % 5 :: 5]:
                if sender.alive:
                    self.send(sender)

    def send(self, sender: Host) -> None:
        """Send one round of heartbeats, of which some are lost."""
        sender.gossip.next_round()
        relayed = list(decode_relayed(sender.gossip.encode_relayed(self.now)))
        for receiver in sender.gossip.receivers(self.now):
            sender.sent += 1
            host = self.hosts[int(receiver.host[1:])]
            if not host.alive or self.rng.random() < PACKET_LOSS:
                continue
            host.members.record_heartbeat(sender.heartbeat(), self.now)
            for state in relayed:
                host.members.update_relayed(
                    state.host_fingerprint,
                    state.incarnation,
                    state.sequence,
                    state.ready,
                    self.now,
                )

    def live_at(self, host: Host) -> set[str]:
        """Return the names of the hosts that a host considers live."""
        return {member.host for member in host.members.live(self.now)}


def test_liveness_in_a_large_fleet_at_a_bounded_cost() -> None:
    fleet = Fleet(150)
    for _ in range(10):
        fleet.run(1.0)
        for host in fleet.hosts:
            assert len(fleet.live_at(host)) == 149
    rounds = 10.0 / HEARTBEAT_INTERVAL_S
    most_sent = max(host.sent for host in fleet.hosts)
    assert most_sent <= rounds * (FANOUT + SILENT_FANOUT)


def test_lost_hosts_are_detected_by_all() -> None:
    fleet = Fleet(150)
    fleet.run(3.0)
    for host in fleet.hosts[:10]:
        host.alive = False
    # Relays spread the last sequence number of a lost host for a while.
    fleet.run(GOSSIP_LIVENESS_TIMEOUT_S + 2.0)
    lost = {f"h{number}" for number in range(10)}
    for host in fleet.hosts[10:]:
        assert not fleet.live_at(host) & lost


def test_returning_host_is_live_again() -> None:
    fleet = Fleet(150)
    returning = fleet.hosts[3]
    returning.alive = False
    fleet.run(GOSSIP_LIVENESS_TIMEOUT_S + 2.0)
    returning.alive = True
    fleet.run(4.0)
    for host in fleet.hosts:
        if host is not returning:
            assert "h3" in fleet.live_at(host)


def test_stopping_host_is_not_revived_by_relays() -> None:
    """Guards callers against being sent to a host that announced its stop."""
    fleet = Fleet(150)
    fleet.run(2.0)
    stopping = fleet.hosts[5]
    stopping.members.own.ready = False
    fleet.announce(stopping)
    for _ in range(4):
        fleet.run(HEARTBEAT_INTERVAL_S)
        for host in fleet.hosts:
            if host is not stopping:
                ready = {other.host: other.ready for other in host.members.others()}
                assert not ready["h5"]


def test_small_fleet_detects_lost_hosts_directly() -> None:
    """Guards small fleets against the longer timeout that relays need."""
    fleet = Fleet(GOSSIP_MIN_HOSTS - 1)
    fleet.run(2.0)
    fleet.hosts[0].alive = False
    fleet.run(LIVENESS_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
    for host in fleet.hosts[1:]:
        assert "h0" not in fleet.live_at(host)
    assert fleet.hosts[1].gossip.encode_relayed(fleet.now) == b""


def test_relayed_state_is_bounded_and_may_be_truncated() -> None:
    fleet = Fleet(150)
    fleet.run(2.0)
    data = fleet.hosts[0].gossip.encode_relayed(fleet.now)
    assert len(list(decode_relayed(data))) == MAX_RELAYED
    assert len(list(decode_relayed(data[:-1]))) == MAX_RELAYED - 1
