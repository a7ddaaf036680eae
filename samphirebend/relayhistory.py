"""What this host knows of its peers' slots beside the last heartbeat.

`router` fills the log with what relays show, and `peerchoice` reads it.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

# Requests that find the region full at most this far apart belong to one overflow.
OVERFLOW_GAP_S: Final = 1.0
RELAY_HISTORY_S: Final = 3.0
HEARTBEAT_WEIGHT: Final = 0.2  # of the newest heartbeat in the average of free slots
OWN_SAMPLE_INTERVAL_S: Final = 0.5  # the interval of heartbeats


class RelayCandidate:
    """A live peer as a target of a relay of one service."""

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
        self.free = free  # slots of the service, from the last heartbeat
        self.total = total
        self.host_free = host_free  # slots of all services
        self.host_total = host_total
        self.heard_at = heard_at  # time of that heartbeat
        self.delay_s = delay_s  # one way
        self.backlog_s = backlog_s  # of the link to its region


class RelayHistory:
    """What this host knows of its peers' slots beside the last heartbeat.

    Keeps the relays sent lately, the refusals met, and a moving average of the
    free share that each peer tells.
    """

    __slots__ = ("_averages", "_overflow", "_refused", "_reported", "_sent")

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], deque[float]] = {}
        self._refused: dict[tuple[str, str], float] = {}
        # First and last request of a service that found the region full.
        self._overflow: dict[str, tuple[float, float]] = {}
        self._reported: dict[tuple[str, str], tuple[float, int]] = {}
        # Time of the newest heartbeat and the average of the told free slots.
        self._averages: dict[tuple[str, str], tuple[float, float]] = {}

    def note_relay(self, host: str, service: str, now: float) -> None:
        """Record that a request of the service is relayed to the host."""
        sent = self._sent.setdefault((host, service), deque())
        sent.append(now)
        while sent and sent[0] < now - RELAY_HISTORY_S:
            sent.popleft()

    def note_refused(self, host: str, service: str, now: float) -> None:
        """Record that the host refused a relay for lack of a slot."""
        self._refused[(host, service)] = now

    def note_reported_free(
        self, host: str, service: str, free: int, now: float
    ) -> None:
        """Record the free slots that came with the answer to a relay."""
        self._reported[(host, service)] = (now, free)

    def latest_free(self, candidate: RelayCandidate, service: str) -> tuple[float, int]:
        """Return when the host's free slots were last heard, and how many."""
        answered = self._reported.get((candidate.host, service), (-math.inf, 0))
        return max(answered, (candidate.heard_at, candidate.free))

    def note_overflow(self, service: str, now: float) -> float:
        """Record that the region is full; return since when it has been."""
        since, last = self._overflow.get(service, (now, now))
        if now - last > OVERFLOW_GAP_S:
            since = now
        self._overflow[service] = (since, now)
        return since

    def sent_since(self, host: str, service: str, since: float) -> int:
        """Return how many relays of the service went to the host since then."""
        sent = self._sent.get((host, service), ())
        count = 0
        for sent_at in reversed(sent):
            if sent_at < since:
                break
            count += 1
        return count

    def refused_at(self, host: str, service: str) -> float:
        """Return when the host last refused a relay of the service."""
        return self._refused.get((host, service), -math.inf)

    def average_free(self, candidate: RelayCandidate, service: str) -> float:
        """Return the moving average of the free slots that the peer tells."""
        key = (candidate.host, service)
        average = self._average(key, candidate.free, candidate.heard_at)
        return min(average, float(candidate.total))

    def host_free(self, candidate: RelayCandidate) -> float:
        """Return the moving average of the peer's free slots of all services."""
        return self._average(
            (candidate.host, ""), candidate.host_free, candidate.heard_at
        )

    def own_free(self, free: int, now: float) -> float:
        """Return the same average of this host's own slots."""
        heard_at, average = self._averages.get(("", ""), (-math.inf, float(free)))
        if now - heard_at < OWN_SAMPLE_INTERVAL_S:
            return average
        return self._average(("", ""), free, now)

    def _average(self, key: tuple[str, str], free: int, heard_at: float) -> float:
        last_at, average = self._averages.get(key, (-math.inf, float(free)))
        if heard_at > last_at:
            average += HEARTBEAT_WEIGHT * (free - average)
            self._averages[key] = (heard_at, average)
        return average
