"""Divides the request rates that upstreams name as limits among the hosts.

An upstream in need names in its responses the rate that it takes from all
hosts together. Each host tells the others which limits it knows and how many
requests a second it has for each limited upstream. A host's share follows its
part of that demand, and a token bucket holds it to the share. Shares of equal
size would leave the limit unused where callers prefer some hosts.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator
from typing import Final

from .ratedivision import DemandAverage, PeerRates, first_hosts
from .rendezvous import SCORE_LIMIT, score

# Rate at which a limited upstream gets requests at the least, so that its next
# response can lift the limit.
MIN_RATE_PER_S: Final = 0.2
# Tokens that a host may always save. With one, a host with a small share would
# lose what it gets between its next token and its next request.
MIN_BURST: Final = 2.0
# Rate below which only a few hosts send: with shares of it, all would wait for
# their next token for too long.
LOW_RATE_PER_S: Final = 1.0
LOW_RATE_HOSTS: Final = 4
# Demand, as a fraction of the limit, below which hosts save tokens.
LOW_DEMAND_FRACTION: Final = 0.5
# Requests above its rate that an upstream takes at once from all hosts: those
# of a time at the limit, and some.
BURST_S: Final = 1.0
BURST_SLACK: Final = 4.0
SHARE_INTERVAL_S: Final = 0.1  # time for which a computed share is reused
FIXED_SHARE_INTERVAL_S: Final = 2.0  # the same if the demand is not known
DEMAND_AVERAGE_S: Final = 3.0  # time constant of the average of the demand
# Age at which the demand of a host that is silent no longer counts.
DEMAND_LIFETIME_S: Final = 3.0
# Time after a limit was learned in which the demand of other hosts is unknown.
LEARN_S: Final = 1.2
# Age at which a lifted limit is forgotten, after all hosts have heard of it.
FORGET_LIFTED_S: Final = 5.0
# Age at which a limit is forgotten that no response has repeated: its upstream
# has ended.
FORGET_S: Final = 60.0
MAX_REPORTS: Final = 60  # limits reported in one heartbeat
MAX_REPORTED_AGE_S: Final = 600.0
NO_LIMIT: Final = math.inf
_LAYOUT: Final = struct.Struct("<Ifff")  # upstream, limit, age, demand


class LimitReport:
    """What a host knows of the limit of one upstream, and its demand there."""

    __slots__ = ("age_s", "demand_per_s", "limit_per_s", "upstream")

    def __init__(
        self, upstream: int, limit_per_s: float, age_s: float, demand_per_s: float
    ) -> None:
        self.upstream = upstream  # fingerprint
        self.limit_per_s = limit_per_s
        self.age_s = age_s  # time since the upstream named or lifted the limit
        self.demand_per_s = demand_per_s


class _LimitedUpstream:
    """Limit of one upstream, the demand of all hosts, and this host's tokens."""

    __slots__ = (
        "demand",
        "learned_at",
        "limit_per_s",
        "named_at",
        "peer_demand",
        "reported_demand",
        "share",
        "share_at",
        "started",
        "tokens",
        "tokens_at",
    )

    def __init__(self, limit_per_s: float, named_at: float, now: float) -> None:
        self.limit_per_s = limit_per_s
        self.named_at = named_at  # time of the response that the limit is from
        self.learned_at = now
        self.demand = DemandAverage(DEMAND_AVERAGE_S, now)  # this host's
        # Its demand as other hosts know it. Shares are computed from it rather
        # than from newer values, so that they add up to one in a burst.
        self.reported_demand = 0.0
        self.peer_demand = PeerRates(DEMAND_LIFETIME_S)
        self.share = 0.0  # this host's part of the limit
        self.share_at = -math.inf  # time when it was computed
        self.tokens = 0.0
        self.tokens_at = now
        self.started = False  # whether the first tokens were given

    @property
    def rate_per_s(self) -> float:
        """Return the rate that all hosts together may send."""
        return max(MIN_RATE_PER_S, self.limit_per_s)


class RateLimits:
    """The limits of all upstreams, and this host's share of each."""

    __slots__ = (
        "_host",
        "_limited",
        "_next_report",
        "contact_fraction",
        "gossip_hosts",
        "host_count",
    )

    def __init__(self, host: str) -> None:
        self._host = host
        self._limited: dict[int, _LimitedUpstream] = {}  # keyed by fingerprint
        self._next_report = 0  # position of the next report among the limits
        self.host_count = 1  # hosts among which a new limit is divided
        # Part of the hosts whose demand is known. The rest may use their part of a
        # limit, although they are not in contact.
        self.contact_fraction = 1.0
        # Names of all hosts if a heartbeat reaches only some of them, so that
        # the demand is not known; empty otherwise.
        self.gossip_hosts: list[str] = []

    def limited_count(self) -> int:
        """Return how many upstreams are limited."""
        return sum(not _is_lifted(limited) for limited in self._limited.values())

    def limit_per_s(self, upstream: int) -> float:
        """Return the limit of an upstream, or NO_LIMIT."""
        limited = self._limited.get(upstream)
        return limited.limit_per_s if limited is not None else NO_LIMIT

    def record_response(self, upstream: int, limit_per_s: float, now: float) -> bool:
        """Record the limit in an upstream's response; return whether it is new.

        NO_LIMIT lifts it.
        """
        return self._update(upstream, limit_per_s, now, now)

    def merge(self, host: str, reports: Iterable[LimitReport], now: float) -> None:
        """Merge the reports of another host."""
        for report in reports:
            self._update(report.upstream, report.limit_per_s, now - report.age_s, now)
            limited = self._limited.get(report.upstream)
            if limited is not None:
                limited.peer_demand.record(host, report.demand_per_s, now)

    def reports(self, now: float) -> list[LimitReport]:
        """Return reports for one heartbeat; many limits take turns."""
        self._forget_old(now)
        # Tokens are added for the time since the last call, at a rate that
        # must not be much older.
        for upstream, limited in self._limited.items():
            self._refill(upstream, limited, now)
        known = list(self._limited.items())
        first = self._next_report if self._next_report < len(known) else 0
        chosen = (known[first:] + known[:first])[:MAX_REPORTS]
        self._next_report = (first + len(chosen)) % len(known) if known else 0
        return [_make_report(upstream, limited, now) for upstream, limited in chosen]

    def record_demand(self, upstream: int, now: float) -> None:
        """Count a request for an upstream, whether it may be sent or not."""
        limited = self._limited.get(upstream)
        if limited is not None:
            self._refill(upstream, limited, now)
            limited.demand.record(now)

    def allows(self, upstream: int, now: float) -> bool:
        """Return whether this host may send one more request now."""
        return self.wait_s(upstream, now) <= 0.0

    def wait_s(self, upstream: int, now: float) -> float:
        """Return the time until this host may send one more request."""
        limited = self._limited.get(upstream)
        if limited is None:
            return 0.0
        per_s = self._refill(upstream, limited, now)
        if limited.tokens >= 1.0 or math.isinf(per_s):
            return 0.0
        return (1.0 - limited.tokens) / per_s if per_s else math.inf

    def take(self, upstream: int, now: float) -> None:
        """Count a request that is sent to an upstream."""
        limited = self._limited.get(upstream)
        if limited is not None:
            self._refill(upstream, limited, now)
            limited.tokens = max(0.0, limited.tokens - 1.0)

    def _refill(self, upstream: int, limited: _LimitedUpstream, now: float) -> float:
        """Add the tokens since the last call; return this host's rate."""
        if _is_lifted(limited):
            limited.tokens_at = now
            return NO_LIMIT
        interval_s = FIXED_SHARE_INTERVAL_S if self.gossip_hosts else SHARE_INTERVAL_S
        if now - limited.share_at >= interval_s:
            limited.share = self._share(upstream, limited, now)
            limited.share_at = now
        per_s = limited.rate_per_s * limited.share
        if not limited.started and now - limited.learned_at >= LEARN_S:
            limited.started = True
            limited.tokens += self._first_tokens(upstream, limited, now)
        added = per_s * max(0.0, now - limited.tokens_at)
        most = max(MIN_BURST, per_s) if per_s else 0.0
        limited.tokens = min(limited.tokens + added, most)
        limited.tokens_at = now
        return per_s

    def _share(self, upstream: int, limited: _LimitedUpstream, now: float) -> float:
        """Return this host's part of the limit.

        While the demand is far below the limit, hosts save tokens, so only as
        many send as may do so at the same time.
        """
        if self.gossip_hosts:
            return self._fixed_share(upstream, limited) * self.contact_fraction
        demand = limited.peer_demand.fresh(now)
        demand[self._host] = limited.reported_demand
        rate_per_s = limited.rate_per_s
        if sum(demand.values()) < LOW_DEMAND_FRACTION * rate_per_s:
            room = int(rate_per_s * BURST_S + BURST_SLACK)
            demand = _demand_of_first(demand, upstream, room)
        elif rate_per_s < LOW_RATE_PER_S:
            demand = _demand_of_first(demand, upstream, LOW_RATE_HOSTS)
        own, total = demand.get(self._host, 0.0), sum(demand.values())
        share = self.contact_fraction * own / total if total else 0.0
        if now - limited.learned_at < LEARN_S:
            return min(share, 1.0 / max(1, self.host_count))
        return share

    def _first_tokens(
        self, upstream: int, limited: _LimitedUpstream, now: float
    ) -> float:
        """Return the tokens with which this host starts under a limit.

        Many hosts that all start with none would leave a small limit unused
        until each has saved a whole token. Starts are spread evenly, so that the
        part of the hosts that has a token is the part of the demand that the
        limit admits.
        """
        spread = score(self._host, upstream) / SCORE_LIMIT
        if self.gossip_hosts:
            return spread
        total = sum(limited.peer_demand.fresh(now).values()) + limited.reported_demand
        admitted = min(1.0, limited.rate_per_s / total) if total else 1.0
        return admitted + spread

    def _fixed_share(self, upstream: int, limited: _LimitedUpstream) -> float:
        """Return an even part for the first hosts in the upstream's order."""
        room = int(limited.rate_per_s * BURST_S + BURST_SLACK)
        senders = first_hosts(self.gossip_hosts, upstream, room)
        return 1.0 / len(senders) if self._host in senders else 0.0

    def _update(
        self, upstream: int, limit_per_s: float, named_at: float, now: float
    ) -> bool:
        limited = self._limited.get(upstream)
        if limited is None:
            if math.isinf(limit_per_s) or now - named_at > FORGET_S:
                return False
            self._limited[upstream] = _LimitedUpstream(limit_per_s, named_at, now)
            return True
        if named_at < limited.named_at:
            return False
        was_lifted = _is_lifted(limited)
        limited.limit_per_s, limited.named_at = limit_per_s, named_at
        if was_lifted and not _is_lifted(limited):
            limited.learned_at = now
            limited.started = False
        return was_lifted is not _is_lifted(limited)

    def _forget_old(self, now: float) -> None:
        for upstream, limited in list(self._limited.items()):
            most_s = FORGET_LIFTED_S if _is_lifted(limited) else FORGET_S
            if now - limited.named_at > most_s:
                del self._limited[upstream]


def _is_lifted(limited: _LimitedUpstream) -> bool:
    return math.isinf(limited.limit_per_s)


def _make_report(upstream: int, limited: _LimitedUpstream, now: float) -> LimitReport:
    limited.reported_demand = limited.demand.per_s(now)
    age_s = now - limited.named_at
    return LimitReport(upstream, limited.limit_per_s, age_s, limited.reported_demand)


def _demand_of_first(
    demand: dict[str, float], upstream: int, most: int
) -> dict[str, float]:
    """Return the demand of at most the first hosts in an upstream's order."""
    if len(demand) <= most:
        return demand
    return {host: demand[host] for host in first_hosts(demand, upstream, most)}


def encode_reports(reports: Iterable[LimitReport]) -> bytes:
    """Return the encoded reports for a heartbeat."""
    return b"".join(
        _LAYOUT.pack(
            report.upstream,
            report.limit_per_s,
            min(report.age_s, MAX_REPORTED_AGE_S),
            report.demand_per_s,
        )
        for report in reports
    )


def decode_reports(data: bytes) -> Iterator[LimitReport]:
    """Yield the reports of a heartbeat; ignore damaged ones."""
    usable_bytes = len(data) - len(data) % _LAYOUT.size
    for upstream, limit, age_s, demand in _LAYOUT.iter_unpack(data[:usable_bytes]):
        if limit >= 0.0 and age_s >= 0.0 and 0.0 <= demand < math.inf:
            yield LimitReport(upstream, limit, age_s, demand)
