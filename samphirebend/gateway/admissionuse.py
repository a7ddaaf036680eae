"""Recent use of services by priority, customer and failure domain.

Each host counts its own requests, sends the counts in heartbeats and adds
those of other hosts. `admission` decides by the sums. A host alone sees too
few requests of a customer, and none of other failure domains.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Iterable
from typing import Final

from .observations import fingerprint

# Time constant of the recent counts. Bursts last about 5 s, and heartbeats
# bring the counts of other hosts every 0.5 s.
RECENT_S: Final = 1.0
# Time constant of the usual rate, far longer than a burst.
USUAL_S: Final = 60.0
# Time for which rates are learned before any use counts as excessive.
LEARNING_S: Final = 4.0
# Factor over the usual rate, relative to that of all others, up to which use
# counts as fair.
FAIR_FACTOR: Final = 1.25
# Standard deviations of a count that also count as fair, against noise.
FAIR_DEVIATIONS: Final = 2.0
# Least usual rate of a user, as a fraction of the mean over all users, so
# that a new customer may begin.
MIN_USUAL_FRACTION: Final = 0.25
# Multiple of the usual rate of urgent requests for which room is kept at most.
# A burst of one kind is 2.4 times the usual rate.
MAX_GROWTH: Final = 2.5
# Requests added to a rank's recent count, so that a single refusal among few
# requests is not taken for a shortage.
PRIOR_REQUESTS: Final = 3.0
# Entries of a report; further counts wait for the next heartbeat.
MAX_REPORT_ENTRIES: Final = 40
MAX_COUNT: Final = 0xFFFF
# Users beyond these count towards the total only.
MAX_USERS: Final = 2000
# Users whose recent count has decayed below this are deleted with their usual
# rate when there are MAX_USERS.
IDLE_COUNT: Final = 0.01
# Greatest rank that `admission` gives a request. Reports of others are ignored,
# because all ranks are looked at several times a second.
MAX_RANK: Final = 302

# Types of the entries of a report.
RANK: Final = 0  # key: rank; counts: requests and refusals
CUSTOMER: Final = 1  # key: fingerprint of the customer; counts: requests, fair ones
ZONE: Final = 2  # key: fingerprint of the failure domain; the same counts
_ENTRY: Final = struct.Struct("<IBIHH")  # service, type, key, two counts

EntryKey = tuple[int, int, int]  # service fingerprint, type, key


class DecayedCount:
    """Number of recent events, with an exponentially decaying weight."""

    __slots__ = ("_at", "_constant_s", "_value")

    def __init__(self, constant_s: float) -> None:
        self._constant_s = constant_s
        self._value = 0.0
        self._at = 0.0

    def add(self, count: float, now: float) -> None:
        """Add events."""
        self._value = self.at(now) + count
        self._at = now

    def at(self, now: float) -> float:
        """Return the weighted number of events."""
        return self._value * math.exp(min(0.0, self._at - now) / self._constant_s)


class RankCounts:
    """Recent requests and refusals of one rank of urgency."""

    __slots__ = ("begun_at", "refusals", "requests", "usual")

    def __init__(self, now: float) -> None:
        self.begun_at = now
        self.usual = DecayedCount(USUAL_S)  # requests
        self.requests = DecayedCount(RECENT_S)
        self.refusals = DecayedCount(RECENT_S)

    def needed_per_s(self, now: float) -> float:
        """Return the rate of requests for which to keep room.

        It is bounded by the usual rate, because callers that repeat refused
        requests at once come many times.
        """
        learned_s = now - self.begun_at
        usual_per_s = self.usual.at(now) / (
            USUAL_S * -math.expm1(-max(1.0, learned_s) / USUAL_S)
        )
        return min(self.requests.at(now) / RECENT_S, MAX_GROWTH * usual_per_s)

    def served_fraction(self, now: float) -> float:
        """Return the fraction of recent requests that were not refused."""
        requests = self.requests.at(now) + PRIOR_REQUESTS
        return max(0.0, 1.0 - self.refusals.at(now) / requests)


class UserCounts:
    """Recent and usual requests of one user, a customer or failure domain."""

    __slots__ = ("recent", "usual")

    def __init__(self) -> None:
        self.recent = DecayedCount(RECENT_S)
        # Counts fair use only; otherwise a burst would soon count as usual.
        self.usual = DecayedCount(USUAL_S)


class Users:
    """Customers or failure domains that share a service."""

    __slots__ = ("_all", "_begun_at", "_cleaned_at", "_total")

    def __init__(self) -> None:
        self._all: dict[int, UserCounts] = {}  # keyed by fingerprint
        self._total = UserCounts()
        self._begun_at: float | None = None  # time of the first request
        self._cleaned_at = -math.inf  # when idle users were last deleted

    def __len__(self) -> int:
        return len(self._all)

    def add(self, key: int, requests: float, fair: float, now: float) -> None:
        """Count requests of a user, of which `fair` are within its share."""
        if self._begun_at is None:
            self._begun_at = now
        user = self._all.get(key)
        if user is None and self._has_space(now):
            user = self._all[key] = UserCounts()
        for counts in (user, self._total):
            if counts is not None:
                counts.recent.add(requests, now)
                counts.usual.add(fair, now)

    def fair_fraction(self, key: int, now: float) -> float:
        """Return the fraction of a user's recent requests within its share.

        A user's share is its usual rate, scaled as the rate of all other
        users together has changed, so that a burst of all is nobody's excess.
        """
        user = self._all.get(key)
        if user is None or self._begun_at is None or len(self._all) < 2:
            return 1.0
        learned_s = now - self._begun_at
        if learned_s < LEARNING_S:
            return 1.0
        # Scale a sum over USUAL_S, or over the time learned, to RECENT_S.
        scale = RECENT_S / (USUAL_S * -math.expm1(-learned_s / USUAL_S))
        total_usual = self._total.usual.at(now) * scale
        usual = user.usual.at(now) * scale
        recent = user.recent.at(now)
        # Rounding may make the differences of nearly equal sums negative.
        recent_others = max(0.0, self._total.recent.at(now) - recent)
        others = recent_others / max(1e-9, total_usual - usual)
        least = MIN_USUAL_FRACTION * total_usual / len(self._all)
        expected = max(usual, least) * others
        allowed = FAIR_FACTOR * expected + FAIR_DEVIATIONS * math.sqrt(expected + 1.0)
        return min(1.0, allowed / recent) if recent > 0 else 1.0

    def _has_space(self, now: float) -> bool:
        """Return whether one more user fits, after idle ones are deleted."""
        if len(self._all) >= MAX_USERS and now - self._cleaned_at >= RECENT_S:
            self._cleaned_at = now
            self._all = {
                key: user
                for key, user in self._all.items()
                if user.recent.at(now) > IDLE_COUNT
            }
        return len(self._all) < MAX_USERS


class ServiceUse:
    """Recent use of one service by requests of all hosts."""

    __slots__ = ("customers", "ranks", "zones")

    def __init__(self) -> None:
        self.ranks: dict[int, RankCounts] = {}
        self.customers = Users()
        self.zones = Users()

    def add(self, kind: int, key: int, first: int, second: int, now: float) -> None:
        """Add the two counts of an entry."""
        if kind == RANK:
            counts = self.ranks.get(key)
            if counts is None:
                counts = self.ranks[key] = RankCounts(now)
            counts.requests.add(first, now)
            counts.usual.add(first, now)
            counts.refusals.add(second, now)
        elif kind == CUSTOMER:
            self.customers.add(key, first, second, now)
        elif kind == ZONE:
            self.zones.add(key, first, second, now)

    def served_fraction(self, ranks: Iterable[int], now: float) -> float:
        """Return the fraction of recent requests of some ranks not refused."""
        requests = refusals = 0.0
        for rank in ranks:
            counts = self.ranks.get(rank)
            if counts is not None:
                requests += counts.requests.at(now)
                refusals += counts.refusals.at(now)
        return max(0.0, 1.0 - refusals / requests) if requests > 0 else 1.0


class UseTable:
    """Use of all services, and this host's counts for its next heartbeat."""

    __slots__ = ("_by_service", "_first", "_second")

    def __init__(self) -> None:
        self._by_service: dict[int, ServiceUse] = {}  # keyed by fingerprint
        # Both counts of entries that were not sent yet.
        self._first: Counter[EntryKey] = Counter()
        self._second: Counter[EntryKey] = Counter()

    def service(self, service_fingerprint: int) -> ServiceUse:
        """Return the use of a service."""
        return self._by_service.setdefault(service_fingerprint, ServiceUse())

    def count(self, key: EntryKey, first: int, second: int, now: float) -> None:
        """Count own requests, for this host and for its next report."""
        service, kind, name = key
        self.service(service).add(kind, name, first, second, now)
        self._first[key] += first
        self._second[key] += second

    def take_encoded(self) -> bytes:
        """Return the encoded report since the last call.

        Ranks and failure domains go first, then the customers with the most
        requests; what does not fit is added to the next report.
        """
        keys = sorted(
            self._first.keys() | self._second.keys(),
            key=lambda key: (key[1] == CUSTOMER, -self._first[key], key),
        )
        parts = []
        for key in keys[:MAX_REPORT_ENTRIES]:
            first = min(MAX_COUNT, self._first.pop(key, 0))
            second = min(MAX_COUNT, self._second.pop(key, 0))
            parts.append(_ENTRY.pack(*key, first, second))
        return b"".join(parts)

    def merge(self, report: bytes, now: float) -> None:
        """Add the report of another host.

        A truncated last entry is ignored, and so are entries beyond those that
        a host sends and ranks that do not exist.
        """
        count = min(MAX_REPORT_ENTRIES, len(report) // _ENTRY.size)
        for entry in _ENTRY.iter_unpack(report[: count * _ENTRY.size]):
            service, kind, key, first, second = entry
            if kind == RANK and key > MAX_RANK:
                continue
            # A service that this host does not serve must not take memory.
            if service in self._by_service:
                self._by_service[service].add(kind, key, first, second, now)


def user_key(name: str) -> int:
    """Return the key of a customer or failure domain."""
    return fingerprint(name)
