"""History of relays to peers and of the free slots that peers reported.

`router` records the relays and their results; `peerchoice` reads them to
choose a peer.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

# Requests that find the region full within this time of each other belong to
# the same overflow.
OVERFLOW_GAP_S: Final = 1.0
# Age up to which the times of relays are kept.
RELAY_HISTORY_S: Final = 3.0
# Weight of the newest heartbeat in the moving average of free slots.
HEARTBEAT_WEIGHT: Final = 0.2
# Own free slots are sampled at the heartbeat interval, like those of peers.
OWN_SAMPLE_INTERVAL_S: Final = 0.5


class RelayCandidate:
    """A live peer to which requests of one service may be relayed."""

    __slots__ = (
        "backlog_s",
        "delay_s",
        "free",
        "heard_at",
        "host",
        "host_free",
        "host_total",
        "region",
        "total",
    )

    def __init__(
        self,
        host: str,
        region: str,
        free: int,
        total: int,
        host_free: int,
        host_total: int,
        heard_at: float,
        delay_s: float,
        backlog_s: float,
    ) -> None:
        self.host = host
        self.region = region
        # Slots of the service, from the last heartbeat.
        self.free = free
        self.total = total
        # Slots of all services, from the last heartbeat.
        self.host_free = host_free
        self.host_total = host_total
        # Time at which the peer was last heard, as in `PeerView`. Replies
        # count too, so that it may be later than the heartbeat with the slots.
        self.heard_at = heard_at
        self.delay_s = delay_s  # one-way delay to the peer
        self.backlog_s = backlog_s  # time until the link has sent its backlog


class RelayHistory:
    """History of relays and of the free slots that peers reported.

    Keeps the times of recent relays, the last refusal of each host and
    service, and moving averages of the free slots in heartbeats.
    """

    __slots__ = ("_averages", "_overflow", "_refused", "_reported", "_sent")

    def __init__(self) -> None:
        # Times of relays and of the last refusal, keyed by host and service.
        self._sent: dict[tuple[str, str], deque[float]] = {}
        self._refused: dict[tuple[str, str], float] = {}
        # Times of the first and last request of the last overflow, keyed by
        # service.
        self._overflow: dict[str, tuple[float, float]] = {}
        # Time and free slots of the last response to a relay, keyed by host
        # and service.
        self._reported: dict[tuple[str, str], tuple[float, int]] = {}
        # Time of the newest sample and moving average of free slots, keyed by
        # host and service. An empty service stands for all services, an
        # empty host for this one.
        self._averages: dict[tuple[str, str], tuple[float, float]] = {}

    def record_relay(self, host: str, service: str, now: float) -> None:
        """Record a relay of the service to the host; drop old ones."""
        sent = self._sent.setdefault((host, service), deque())
        sent.append(now)
        while sent and sent[0] < now - RELAY_HISTORY_S:
            sent.popleft()

    def record_refused(self, host: str, service: str, now: float) -> None:
        """Record that the host refused a relay for lack of a slot."""
        self._refused[(host, service)] = now

    def record_reported_free(
        self, host: str, service: str, free: int, now: float
    ) -> None:
        """Record the free slots that a response to a relay reported."""
        self._reported[(host, service)] = (now, free)

    def latest_free(self, candidate: RelayCandidate, service: str) -> tuple[float, int]:
        """Return the arrival time and the value of the latest free count."""
        reported = self._reported.get((candidate.host, service), (-math.inf, 0))
        return max(reported, (candidate.heard_at, candidate.free))

    def record_overflow(self, service: str, now: float) -> float:
        """Record that the region is full; return when the overflow began."""
        since, last = self._overflow.get(service, (now, now))
        if now - last > OVERFLOW_GAP_S:
            since = now
        self._overflow[service] = (since, now)
        return since

    def sent_since(self, host: str, service: str, since: float) -> int:
        """Return the number of relays to the host since the given time."""
        sent = self._sent.get((host, service), ())
        count = 0
        for sent_at in reversed(sent):
            if sent_at < since:
                break
            count += 1
        return count

    def refused_at(self, host: str, service: str) -> float:
        """Return when the host last refused a relay, -inf if never."""
        return self._refused.get((host, service), -math.inf)

    def average_free(self, candidate: RelayCandidate, service: str) -> float:
        """Return the average of the peer's free slots of the service."""
        key = (candidate.host, service)
        average = self._average(key, candidate.free, candidate.heard_at)
        return min(average, float(candidate.total))

    def average_host_free(self, candidate: RelayCandidate) -> float:
        """Return the average of the peer's free slots of all services."""
        return self._average(
            (candidate.host, ""), candidate.host_free, candidate.heard_at
        )

    def average_own_free(self, free: int, now: float) -> float:
        """Return the average of this host's own free slots of all services.

        `free` is the current number, sampled once per interval.
        """
        sampled_at, average = self._averages.get(("", ""), (-math.inf, float(free)))
        if now - sampled_at < OWN_SAMPLE_INTERVAL_S:
            return average
        return self._average(("", ""), free, now)

    def _average(self, key: tuple[str, str], free: int, heard_at: float) -> float:
        """Return a moving average, updated if the count is new."""
        last_at, average = self._averages.get(key, (-math.inf, float(free)))
        if heard_at > last_at:
            average += HEARTBEAT_WEIGHT * (free - average)
            self._averages[key] = (heard_at, average)
        return average
