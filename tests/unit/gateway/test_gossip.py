"""Plays heartbeats among many hosts: bounded cost, and the lost ones are noticed.

Guards large fleets, in which each host hears few others itself, against hosts that are
named while dead or left out while alive.
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
from samphirebend.gateway.peers import HEARTBEAT_S

LOST_SHARE = 0.03  # of the packets
STEP_S = HEARTBEAT_S / 5


def make_member(number: int) -> Member:
    member = Member(f"h{number}", "a1", "a")
    member.incarnation, member.ready = 7, True
    return member


class Host:
    """One host of the play."""

    def __init__(self, number: int, hosts: int, rng: random.Random) -> None:
        self.number = number
        self.alive = True
        self.sent = 0
        self.members = Members(make_member(number), rng)
        for other in range(hosts):
            self.members.note_listed(make_member(other))
        self.gossip = Gossip(self.members, rng)

    def heartbeat(self) -> Member:
        """Return what it tells of itself now."""
        own = self.members.own
        own.sequence += 1
        told = make_member(self.number)
        told.sequence, told.ready = own.sequence, own.ready
        return told


class Fleet:
    """Hosts that send each other heartbeats, in steps of simulated time."""

    def __init__(self, count: int) -> None:
        self.rng = random.Random(count)
        self.hosts = [Host(number, count, self.rng) for number in range(count)]
        self.now = 100.0
        for host in self.hosts:
            self.greet_all(host)

    def greet_all(self, sender: Host) -> None:
        """Let a host tell all others of its start or its stop."""
        for host in self.hosts:
            if host.alive:
                host.members.note_heartbeat(sender.heartbeat(), self.now)

    def play(self, seconds: float) -> None:
        """Let time pass; each host sends in one step of each interval."""
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for sender in self.hosts[step % 5 :: 5]:
                if sender.alive:
                    self.send(sender)

    def send(self, sender: Host) -> None:
        """Send one round of heartbeats."""
        sender.gossip.next_round()
        relayed = list(decode_relayed(sender.gossip.encode_relayed(self.now)))
        for receiver in sender.gossip.receivers(self.now):
            sender.sent += 1
            host = self.hosts[int(receiver.host[1:])]
            if not host.alive or self.rng.random() < LOST_SHARE:
                continue
            host.members.note_heartbeat(sender.heartbeat(), self.now)
            for item in relayed:
                host.members.note_relayed(
                    item.host_fingerprint,
                    item.incarnation,
                    item.sequence,
                    item.ready,
                    self.now,
                )

    def live_at(self, host: Host) -> set[str]:
        """Return the hosts that a host takes for live."""
        return {member.host for member in host.members.live(self.now)}


def test_many_hosts_know_who_lives_at_a_bounded_cost() -> None:
    fleet = Fleet(150)
    for _ in range(10):
        fleet.play(1.0)
        for host in fleet.hosts:
            assert len(fleet.live_at(host)) == 149
    rounds = 10.0 / HEARTBEAT_S
    most = max(host.sent for host in fleet.hosts)
    assert most <= rounds * (FANOUT + SILENT_FANOUT)


def test_lost_hosts_are_noticed_by_all() -> None:
    fleet = Fleet(150)
    fleet.play(3.0)
    for host in fleet.hosts[:10]:
        host.alive = False
    # The newest sequence number of a lost host is on its way for a while.
    fleet.play(GOSSIP_LIVENESS_TIMEOUT_S + 2.0)
    lost = {f"h{number}" for number in range(10)}
    for host in fleet.hosts[10:]:
        assert not fleet.live_at(host) & lost


def test_a_host_that_comes_back_is_known_again() -> None:
    fleet = Fleet(150)
    back = fleet.hosts[3]
    back.alive = False
    fleet.play(GOSSIP_LIVENESS_TIMEOUT_S + 2.0)
    back.alive = True
    fleet.play(4.0)
    for host in fleet.hosts:
        if host is not back:
            assert "h3" in fleet.live_at(host)


def test_a_stopping_host_is_not_named_by_old_news() -> None:
    """Guards callers against a host that told all of its stop."""
    fleet = Fleet(150)
    fleet.play(2.0)
    stopping = fleet.hosts[5]
    stopping.members.own.ready = False
    fleet.greet_all(stopping)
    for _ in range(4):
        fleet.play(HEARTBEAT_S)
        for host in fleet.hosts:
            if host is not stopping:
                shown = {item.host: item.ready for item in host.members.others()}
                assert not shown["h5"]


def test_few_hosts_hear_each_other_directly() -> None:
    """Guards the small fleets against later notice of a lost host."""
    fleet = Fleet(GOSSIP_MIN_HOSTS - 1)
    fleet.play(2.0)
    fleet.hosts[0].alive = False
    fleet.play(LIVENESS_TIMEOUT_S + HEARTBEAT_S)
    for host in fleet.hosts[1:]:
        assert "h0" not in fleet.live_at(host)
    assert fleet.hosts[1].gossip.encode_relayed(fleet.now) == b""


def test_what_is_passed_on_stays_small_and_bears_damage() -> None:
    fleet = Fleet(150)
    fleet.play(2.0)
    data = fleet.hosts[0].gossip.encode_relayed(fleet.now)
    assert len(list(decode_relayed(data))) == MAX_RELAYED
    assert len(list(decode_relayed(data[:-1]))) == MAX_RELAYED - 1
