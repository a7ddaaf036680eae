"""Simulated list of hosts, for fleets that are played without a store.

`hostfleet` plays the calls of `hostlist`; here they take no time.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from samphirebend.gateway.quotahosts import QuotaHosts
from samphirebend.gateway.registrations import Registration


class ListModel:
    """Registrations of hosts, all in one region."""

    def __init__(self, hosts: Iterable[str]) -> None:
        self._versions = itertools.count(1)
        self.version = 0
        self.rows: dict[str, Registration] = {}
        for host in hosts:
            self._put(host, is_established=True)

    def register(self, host: str) -> None:
        """Add a new host."""
        self._put(host, is_established=False)

    def mark(self, host: str) -> None:
        """Mark a host as suspected."""
        self._put(host, self.rows[host].is_established, is_suspected=True)

    def _put(self, host: str, is_established: bool, is_suspected: bool = False) -> None:
        self.version = next(self._versions)
        known = self.rows.get(host)
        number = self.version if known is None else known.number
        self.rows[host] = Registration(
            host, "a", self.version, is_established, False, 1.0, is_suspected, number
        )

    def read(self, hosts: QuotaHosts, now: float) -> None:
        """Let a host read the list."""
        if hosts.registrations.version != self.version:
            copies = [self._copy(row) for row in self.rows.values()]
            hosts.registrations.replace(copies, self.version, now)
            hosts.is_list_outdated = False
        hosts.confirm_by_list(now)

    def _copy(self, row: Registration) -> Registration:
        """Return a copy, since each host notes when it has seen a row."""
        return Registration(
            row.host,
            row.region,
            row.version,
            row.is_established,
            row.is_stopped,
            row.weight,
            row.is_suspected,
            row.number,
        )

    def synchronize(self, name: str, hosts: QuotaHosts, now: float) -> None:
        """Let a host read the list, and make the changes that it decides on."""
        self.read(hosts, now)
        own = hosts.registrations.own
        if own is None:
            hosts.begin_as_learner()
            self.register(name)
        elif own.is_suspected or hosts.is_promotable():
            self._put(name, own.is_established or hosts.is_promotable())
        for host in hosts.suspects(now):
            self.mark(host)
        for host in hosts.removable(now):
            del self.rows[host]
            self.version = next(self._versions)
        self.read(hosts, now)
