"""Quotas of customers, kept by all hosts together without a coordinator.

The number of requests that a customer may send in any window is divided among
the hosts in whole tokens. A host counts the requests that it has sent in the
last window against its share, so the sum is kept whichever hosts are in
contact. A host that needs more says so in its heartbeats, and hosts that need
less transfer tokens with theirs. A transferred token counts against the share
of the giver until every window in which it may be used has passed; it may be
lost, but it cannot be used twice.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Collection, Mapping
from typing import Final

from .observations import fingerprint
from .quotahosts import QuotaHosts
from .quotarelease import Release
from .quotareports import (
    MAX_GIFTS,
    DelayTracker,
    Gift,
    QuotaReport,
    decode_report,
    encode_report,
)
from .ratedivision import DemandAverage, PeerRates, divide_by_weight

# Parts of the allowed excess that are used. The rest covers the time between
# the taking of a token and the arrival of the request at the upstream.
USED_OVER: Final = 0.9
USED_SLACK: Final = 0.9
# Time constants of the averages of the demand. The short one follows demand that
# moves, but a single request makes it 1.4 requests a second.
SHORT_AVERAGE_S: Final = 0.7
LONG_AVERAGE_S: Final = 6.0
# Demand from which the short average is used under a small share.
SHORT_DEMAND_PER_S: Final = 3.0
# Share, in tokens of a window, up to which it is small: the long average is used,
# and such a host gives one token at a time and must do so soon.
SMALL_SHARE: Final = 4
SMALL_SHARE_EAGERNESS: Final = 2.0
WANT_LIFETIME_S: Final = 1.7  # three heartbeats
# Lifetime of a transferred token: the time of a few requests of the receiver,
# within bounds. With the latency, the lower bound is below the time between two
# heartbeats, so that a giver has the token again for the heartbeat after.
LIFETIME_REQUESTS: Final = 4.0
MIN_LIFETIME_S: Final = 0.35
MAX_LIFETIME_S: Final = 2.0
# Latency of a heartbeat that takes no longer than usual.
MAX_USUAL_LATENCY_S: Final = 0.05
# Demand for which a host wants to have tokens, and the time in which a lack of
# them is to be made up for.
STOCK_S: Final = 1.5
FILL_S: Final = 2.0
RESERVE_S: Final = 1.0  # demand for which a giver keeps tokens
# A host gives to hosts that need this many times its own demand. Among hosts
# with similar demand, tokens are better used where they are.
GIVE_RATIO: Final = 4.0
# Part of the pace of its share below which a host's demand leaves tokens for hosts
# that have restarted, whatever they need.
SPARE_DEMAND: Final = 0.8
MAX_RECEIVERS: Final = 8  # of one customer's tokens in one heartbeat
# Rate at which tokens are given, relative to the rate at which the share allows
# it. Given at once, they would reach the receiver faster than its requests.
GIVE_PACE: Final = 1.2
MAX_ROUND_S: Final = 1.0  # time between heartbeats for which tokens are given
MAX_RETRY_AFTER_S: Final = 5.0
LIMITED_S: Final = 5.0  # time after a refusal for which a customer is limited


class QuotaLimit:
    """Quota of one customer, for all hosts together."""

    __slots__ = ("burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst


class _Account:
    """Tokens of one customer at this host."""

    __slots__ = (
        "created_at",
        "demand",
        "given",
        "given_count",
        "long_demand",
        "name",
        "promised_at",
        "received",
        "refused_at",
        "release",
        "share_version",
        "used",
        "used_received",
        "wants",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.created_at = now
        self.demand = DemandAverage(SHORT_AVERAGE_S, now)
        self.long_demand = DemandAverage(LONG_AVERAGE_S, now)
        self.wants = PeerRates(WANT_LIFETIME_S)
        # Times at which own tokens were taken in the last window, in order.
        self.used: deque[float] = deque()
        # Tokens given to others, as (time until which they count, tokens).
        self.given: list[tuple[float, int]] = []
        self.given_count = 0
        # Tokens received, as [expiry, tokens]; the first to expire comes first.
        self.received: list[list[float]] = []
        # Received tokens that were taken and may be returned: (time, expiry).
        self.used_received: deque[tuple[float, float]] = deque()
        self.release = Release(0, 0.0, 1.0)  # of the own tokens in a window
        self.share_version: tuple[int, int] | None = None
        self.promised_at = 0.0  # latest time that a refused caller was told
        self.refused_at = -math.inf

    def expire(self, window_s: float, now: float) -> None:
        """Forget what no longer counts."""
        while self.used and self.used[0] <= now - window_s:
            self.used.popleft()
        while self.given and self.given[0][0] <= now:
            self.given_count -= heapq.heappop(self.given)[1]
        while self.received and self.received[0][0] <= now:
            heapq.heappop(self.received)
        while self.used_received and self.used_received[0][1] <= now:
            self.used_received.popleft()

    def record_demand(self, now: float) -> None:
        """Count one request, sent or not."""
        self.demand.record(now)
        self.long_demand.record(now)

    def demand_per_s(self, share: int, now: float) -> float:
        """Return the rate of requests."""
        per_s = self.demand.per_s(now)
        if share > SMALL_SHARE or per_s >= SHORT_DEMAND_PER_S:
            return per_s
        # An average that began lately lacks the requests of before.
        part = -math.expm1((self.created_at - now) / LONG_AVERAGE_S)
        return min(SHORT_DEMAND_PER_S, self.long_demand.per_s(now) / max(0.01, part))

    @property
    def charged(self) -> int:
        """Return the tokens of the share that are used or given."""
        return len(self.used) + self.given_count

    def stock(self) -> float:
        """Return the tokens received and not used."""
        return sum(tokens for _, tokens in self.received)


class Quotas:
    """This host's tokens of all customers with a quota."""

    __slots__ = (
        "_accounts",
        "_by_fingerprint",
        "_delays",
        "_fingerprint",
        "_host",
        "_limits",
        "_limits_version",
        "_new_at",
        "_over",
        "_rng",
        "_round_at",
        "_slack",
        "_window_s",
        "hosts",
        "refused",
        "tokens_given",
        "tokens_received",
    )

    def __init__(
        self,
        host: str,
        window_s: float = 5.0,
        over: float = 0.1,
        slack: float = 20.0,
        rng: random.Random | None = None,
    ) -> None:
        self._host = host
        self._fingerprint = fingerprint(host)
        self._rng = rng or random.Random(host)
        self._window_s = window_s
        self._over = over
        self._slack = slack
        self._limits: dict[str, QuotaLimit] = {}
        self._limits_version = 0
        self._accounts: dict[str, _Account] = {}
        self._by_fingerprint: dict[int, str] = {}
        self._delays: dict[str, DelayTracker] = {}
        self._new_at: dict[str, float] = {}  # when hosts were heard after a start
        self._round_at: float | None = None  # time of the last heartbeat
        self.hosts = QuotaHosts(host, window_s, MAX_LIFETIME_S)
        # Counters; the first is keyed by customer.
        self.refused: dict[str, int] = {}
        self.tokens_given = 0
        self.tokens_received = 0

    def set_bounds(self, window_s: float, over: float, slack: float) -> None:
        """Replace the bounds of all quotas."""
        self._window_s, self._over, self._slack = window_s, over, slack
        self.hosts.set_window(window_s, MAX_LIFETIME_S)
        self._limits_version += 1

    def set_limits(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Replace the quotas, keyed by customer; a rate of 0 is no limit.

        What was used under an earlier quota counts under a new one.
        """
        self._limits = {
            customer: limit
            for customer, limit in limits.items()
            if limit.rate_per_s > 0.0
        }
        self._limits_version += 1
        for customer, account in list(self._accounts.items()):
            account.expire(self._window_s, now)
            if customer not in self._limits and not account.charged:
                del self._accounts[customer]
        for customer in self._limits:
            self._accounts.setdefault(customer, _Account(customer, now))
        self._by_fingerprint = {
            fingerprint(customer): customer for customer in self._limits
        }

    # Requests.

    def is_limited(self, customer: str) -> bool:
        """Return whether a customer has a quota."""
        return customer in self._limits

    def take(self, customer: str, now: float) -> float:
        """Take a token for a request; return 0.0, or when to expect one.

        The result is in seconds from now.
        """
        if customer not in self._limits:
            return 0.0
        account = self._accounts[customer]
        account.record_demand(now)
        account.expire(self._window_s, now)
        if account.received:
            first = account.received[0]
            first[1] -= 1
            if not first[1]:
                heapq.heappop(account.received)
            account.used_received.append((now, first[0]))
            return 0.0
        if self._free(account, 0.0, now) > 0:
            account.used.append(now)
            return 0.0
        account.refused_at = now
        self.refused[customer] = self.refused.get(customer, 0) + 1
        return self._promise(account, now)

    def give_back(self, customer: str, taken_at: float, now: float) -> None:
        """Return the token that a request took at a time and has not used."""
        account = self._accounts.get(customer)
        if account is None:
            return
        account.expire(self._window_s, now)
        index = bisect_left(account.used, taken_at)
        if index < len(account.used) and account.used[index] == taken_at:
            del account.used[index]
            return
        for entry in account.used_received:
            if entry[0] == taken_at:
                account.used_received.remove(entry)
                heapq.heappush(account.received, [entry[1], 1])
                return

    def _promise(self, account: _Account, now: float) -> float:
        """Return when a refused caller may expect a token.

        Each refused caller gets a later time than the one before, at the pace
        at which tokens come, so that callers do not return all at once.
        """
        share = self._share(account, now)
        interval_s = self._window_s / max(1, share)
        first_at = now + interval_s
        if account.used and share:
            first_at = max(now + 0.01, account.used[0] + self._window_s)
        account.promised_at = max(account.promised_at, first_at) + interval_s
        if account.promised_at > now + MAX_RETRY_AFTER_S:
            # Begin again, between the times that were told before.
            first_at = min(first_at, now + MAX_RETRY_AFTER_S - interval_s)
            account.promised_at = first_at + interval_s * self._rng.random()
        return account.promised_at - now

    def _share(self, account: _Account, now: float) -> int:
        """Return how many tokens of a window this host has itself."""
        age_s = self.hosts.release_age_s(now)
        if not self.hosts.has_share(now) and age_s is None:
            return 0
        version = (self.hosts.version, self._limits_version)
        if account.share_version != version:
            account.share_version = version
            account.release = self._divided(account.name)
        if age_s is None:
            return account.release.share
        return min(account.release.share, account.release.after(age_s))

    def _free(self, account: _Account, lifetime_s: float, now: float) -> int:
        """Return the own tokens that may be used, or given for a lifetime."""
        share = self._share(account, now)
        if account.charged >= share:
            return 0
        free = account.release.free(account.used, account.given, lifetime_s, now)
        return min(share - account.charged, free)

    def _divided(self, customer: str) -> Release:
        """Return this host's part of a quota, in whole tokens.

        Fractions of a token would be of no use to any host.
        """
        limit = self._limits.get(customer)
        if limit is None:
            return Release(0, 0.0, self._window_s)
        quota = limit.rate_per_s * self._window_s + limit.burst
        total = int(quota * (1 + USED_OVER * self._over) + USED_SLACK * self._slack)
        weights = self.hosts.weights()
        share = divide_by_weight(total, weights, customer)[self._host]
        return Release(share, limit.burst / quota, self._window_s)

    # Heartbeats.

    def encode_report(self, now: float) -> bytes:
        """Return this host's report for the heartbeat to all hosts in contact.

        Tokens that it transfers are charged at once.
        """
        report = QuotaReport(now)
        self.hosts.fill_report(report, now)
        since = self._round_at if self._round_at is not None else now
        interval_s = min(MAX_ROUND_S, now - since)
        self._round_at = now
        wants: dict[int, float] = {}
        if self.hosts.divides_by_contact:
            # In random order, since a report has room for some customers only.
            for customer in self._rng.sample(list(self._limits), len(self._limits)):
                account = self._accounts[customer]
                account.expire(self._window_s, now)
                want = self._wanted_per_s(account, now)
                if want:
                    wants[fingerprint(customer)] = want
                elif len(report.gifts) <= MAX_GIFTS - MAX_RECEIVERS:
                    report.gifts += self._give(account, interval_s, now)
        report.wants = wants
        return encode_report(report)

    def merge(self, host: str, incarnation: int, data: bytes, now: float) -> None:
        """Merge the report in a heartbeat that another host sent to this one."""
        report = decode_report(data)
        if report is None:
            return
        for number, customer in self._by_fingerprint.items():
            account = self._accounts[customer]
            if number in report.wants:
                account.wants.record(host, report.wants[number], now)
            else:
                account.wants.forget(host)
        delay = self._delays.setdefault(host, DelayTracker())
        if delay.is_new(incarnation):
            self._new_at[host] = now
        extra_s = delay.extra_s(incarnation, report.sent_at, now)
        self.hosts.record_report(host, report, extra_s, now)
        if extra_s is None:
            return
        for gift in report.gifts:
            left_s = gift.lifetime_s - extra_s
            name = self._by_fingerprint.get(gift.customer)
            if gift.receiver == self._fingerprint and name is not None and left_s > 0:
                received = self._accounts[name].received
                heapq.heappush(received, [now + left_s, gift.tokens])
                self.tokens_received += gift.tokens

    def forget_absent(self, hosts: Collection[str]) -> None:
        """Forget what is kept of hosts that are not members any more."""
        for kept in (self._delays, self._new_at):
            for host in kept.keys() - hosts:
                del kept[host]

    def _wanted_per_s(self, account: _Account, now: float) -> float:
        """Return the rate of tokens that this host needs from others."""
        share = self._share(account, now)
        demand = account.demand_per_s(max(share, account.release.share), now)
        stock = self._free(account, 0.0, now) + account.stock()
        lack = (STOCK_S * demand - stock) / FILL_S
        if lack <= 0.0:
            return 0.0
        # More than the demand could not be used before it expires.
        return max(0.0, min(demand, demand - share / self._window_s + lack))

    def _give(self, account: _Account, interval_s: float, now: float) -> list[Gift]:
        """Transfer tokens to the hosts that need them; return the transfers."""
        share = self._share(account, now)
        demand = account.demand_per_s(share, now)
        has_spare = demand < SPARE_DEMAND * share / self._window_s
        wants = {
            host: want
            for host, want in account.wants.fresh(now).items()
            if want > GIVE_RATIO * demand or (has_spare and self._is_new(host, now))
        }
        # A token must not outlive the share that it is taken from.
        latest_s = MAX_LIFETIME_S + MAX_USUAL_LATENCY_S
        if not wants or not self.hosts.may_give(latest_s, now):
            return []
        free = self._free(account, 0.0, now)
        reserve = RESERVE_S * demand + 0.5 * math.sqrt(demand)
        givers = max(1, self.hosts.silences.heard_count(now) + 1 - len(wants))
        most = GIVE_PACE * share / self._window_s * interval_s
        asked = sum(wants.values()) * interval_s / givers
        if share <= SMALL_SHARE:
            most, asked = 1.0, asked * SMALL_SHARE_EAGERNESS
        given = min(free - reserve, most, asked)
        if given <= 0:
            return []
        if len(wants) > MAX_RECEIVERS:
            hosts = list(wants)
            chosen = self._rng.choices(hosts, list(wants.values()), k=MAX_RECEIVERS)
            wants = {host: wants[host] for host in chosen}
        return self._split(account, wants, given, now)

    def _is_new(self, host: str, now: float) -> bool:
        """Return whether a host has started lately and lacks a share."""
        started_at = self._new_at.get(host, -math.inf)
        return now - started_at < self._window_s + MAX_LIFETIME_S

    def _split(
        self,
        account: _Account,
        wants: Mapping[str, float],
        given: float,
        now: float,
    ) -> list[Gift]:
        """Divide tokens among receivers, rounded so that the mean is exact."""
        gifts, done, total = [], 0, sum(wants.values())
        position = self._rng.random()
        for host, want in wants.items():
            position += given * want / total
            lifetime_s = _lifetime_s(want)
            counted_s = lifetime_s + MAX_USUAL_LATENCY_S
            tokens = min(int(position) - done, self._free(account, counted_s, now))
            if tokens <= 0:
                continue
            done += tokens
            account.given_count += tokens
            number = fingerprint(account.name)
            gifts.append(Gift(number, fingerprint(host), tokens, lifetime_s))
            until = now + counted_s + self._window_s
            heapq.heappush(account.given, (until, tokens))
        self.tokens_given += done
        return gifts

    # State for metrics and the log.

    def limited(self, now: float) -> dict[str, float]:
        """Return the customers refused lately, and the used part of the share."""
        found = {}
        for customer in self._limits:
            account = self._accounts[customer]
            if now - account.refused_at < LIMITED_S:
                account.expire(self._window_s, now)
                share = self._share(account, now)
                found[customer] = account.charged / share if share else 1.0
        return found


def _lifetime_s(want: float) -> float:
    return min(MAX_LIFETIME_S, MIN_LIFETIME_S + LIFETIME_REQUESTS / want)
