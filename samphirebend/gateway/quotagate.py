"""Applies customers' quotas to requests.

`quotas` decides; this module gives it the time, the configuration, the hosts
and the heartbeats, and reports its state. Times are from the clock that counts
suspended time, because a host that was suspended must not use old tokens.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..errorcodes import Outcome
from ..metrics import Metrics
from .config import Config
from .credentials import boot_clock
from .members import GOSSIP_MIN_HOSTS, Members
from .quotas import QuotaLimit, Quotas


class QuotaToken:
    """Token that a request has taken, or the time until one is expected."""

    __slots__ = ("_customer", "_gate", "_taken_at", "wait_s")

    def __init__(
        self,
        gate: QuotaGate | None = None,
        customer: str = "",
        taken_at: float = 0.0,
        wait_s: float = 0.0,
    ) -> None:
        self._gate = gate  # None: the request needs no token
        self._customer = customer
        self._taken_at = taken_at
        self.wait_s = wait_s  # 0.0: the request may be sent

    def end(self, outcome: Outcome) -> None:
        """Return the token if the request did not run."""
        if self._gate is not None and outcome is Outcome.DID_NOT_RUN:
            self._gate.give_back(self._customer, self._taken_at)
        self._gate = None


NO_TOKEN: Final = QuotaToken()


class QuotaGate:
    """Takes and returns tokens, and exchanges reports with other hosts."""

    __slots__ = ("_clock", "_limited", "quotas")

    def __init__(self, quotas: Quotas, clock: Callable[[], float] = boot_clock) -> None:
        self.quotas = quotas
        self._clock = clock
        self._limited: set[str] = set()  # customers logged as limited

    def take(self, customer: str) -> QuotaToken:
        """Take a token for a request of a customer; an empty name needs none."""
        if not self.quotas.is_limited(customer):
            return NO_TOKEN
        now = self._clock()
        wait_s = self.quotas.take(customer, now)
        gate = None if wait_s else self
        return QuotaToken(gate, customer, now, wait_s)

    def wait_s(self, customer: str) -> float:
        """Return when a token is expected, in seconds, and take none."""
        if not self.quotas.is_limited(customer):
            return 0.0
        return copy.deepcopy(self.quotas).take(customer, self._clock())

    def give_back(self, customer: str, taken_at: float) -> None:
        """Return a token that was not used."""
        self.quotas.give_back(customer, taken_at, self._clock())

    def apply_config(self, config: Config) -> None:
        """Replace the quotas by those of a configuration."""
        limits = {
            name: QuotaLimit(customer.rate_per_s, customer.burst)
            for name, customer in config.customers.items()
        }
        self.quotas.set_limits(limits, self._clock())

    def update(self, members: Members, now: float) -> None:
        """Update the known hosts, and log which customers are limited.

        `now` is on the clock of `members`.
        """
        others = members.others()
        difference_s = self._clock() - now
        heard_at = {
            member.host: member.heard_at + difference_s if member.heard_at else 0.0
            for member in others
        }
        self.quotas.forget_absent(heard_at.keys())
        hosts = self.quotas.hosts
        hosts.divides_by_contact = len(others) < GOSSIP_MIN_HOSTS
        hosts.record_capacity(members.own.host, members.own.capacity_per_s)
        for member in others:
            if member.heard_at:
                hosts.record_capacity(member.host, member.capacity_per_s)
        hosts.update(heard_at, members.host_list_read, now + difference_s)
        members.confirm_registered(hosts.lease.list_at - difference_s)
        members.without_share = hosts.without_share()
        members.is_removed = hosts.is_removed(now + difference_s)
        fraction = hosts.contact_fraction(now + difference_s)
        # Without the list of hosts, others may be unknown.
        known = len(hosts.names) / members.count()
        members.contact_fraction = min(fraction, known)
        self._log_changes(now + difference_s)

    def _log_changes(self, now: float) -> None:
        limited = self.quotas.limited(now)
        for customer in limited.keys() ^ self._limited:
            logger.info(
                "quota of a customer begins or ceases to limit it",
                event="quota_limited",
                customer=customer,
                limited=customer in limited,
                refused=self.quotas.refused.get(customer, 0),
                has_share=self.quotas.hosts.has_share(now),
                hosts=len(self.quotas.hosts.names),
            )
        self._limited = set(limited)

    def encode_report(self) -> bytes:
        """Return the report for the heartbeat to all hosts in contact."""
        return self.quotas.encode_report(self._clock())

    def merge(self, host: str, incarnation: int, data: bytes) -> None:
        """Merge the report in another host's heartbeat."""
        if data:
            self.quotas.merge(host, incarnation, data, self._clock())

    def set_metrics(self, metrics: Metrics) -> None:
        """Set the metrics of quotas."""
        quotas = self.quotas
        tokens = {"given": quotas.tokens_given, "received": quotas.tokens_received}
        metrics.set_quotas(quotas.refused, quotas.limited(self._clock()), tokens)
