"""Tests what hosts tell each other of the list of hosts.

Guards against a share that a host uses on the word of another that has not read
the list itself.
"""

from __future__ import annotations

import pytest

from samphirebend.gateway.quotahosts import QuotaHosts
from samphirebend.gateway.quotareports import QuotaReport
from samphirebend.gateway.sharelease import LEASE_S, MAX_LATENCY_S

from .listmodel import ListModel

HOSTS = ["reader", "relay", "marked"]


class Fleet:
    """Three hosts; the reader hears none of the marked one's heartbeats."""

    def __init__(self) -> None:
        self.list = ListModel(HOSTS)
        self.now = 100.0
        self.hosts = {name: QuotaHosts(name, 5.0, 2.0) for name in HOSTS}
        for hosts in self.hosts.values():
            self.list.read(hosts, self.now)
            hosts.update(dict.fromkeys(HOSTS, self.now), True, self.now)

    def tell(self, sender: str, receiver: str) -> None:
        """Send a report from one host to another."""
        report = QuotaReport(self.now)
        self.hosts[sender].fill_report(report, self.now)
        self.hosts[receiver].record_report(sender, report, 0.0, self.now)

    def mark(self) -> None:
        """Mark a host at the time of another one's reading."""
        self.list.mark("marked")
        self.list.read(self.hosts["reader"], self.now)


def test_age_of_the_list_is_passed_on() -> None:
    fleet = Fleet()
    fleet.now += 3.0
    fleet.list.read(fleet.hosts["reader"], fleet.now)
    fleet.tell("reader", "relay")
    fleet.tell("relay", "marked")
    lease = fleet.hosts["marked"].lease
    assert lease.list_age_s(fleet.now) == pytest.approx(2 * MAX_LATENCY_S, abs=0.2)


def test_marked_host_is_not_confirmed_by_one_that_has_not_read_the_mark() -> None:
    """Guards against a share that is used after its registration was deleted."""
    fleet = Fleet()
    fleet.now += 1.0
    fleet.mark()
    fleet.tell("reader", "relay")
    fleet.tell("relay", "marked")
    hosts = fleet.hosts["marked"]
    assert hosts.lease.list_age_s(fleet.now) >= 1.0
    assert not hosts.lease.is_valid(fleet.now - 1.0 + LEASE_S)
    assert hosts.is_list_outdated
