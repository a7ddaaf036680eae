"""Quarantine of requests that are suspected of crashing upstreams.

`targets` asks for the verdict on each request before it is dispatched, and
`dispatch` reports how each dispatch ended. A connection reset without a
response counts as a crash of the upstream and makes all requests in flight
there suspects.

A suspect runs only alone on an upstream (a trial), and only one trial of it
runs at a time. After two crashes it is blocked. While a suspect waits for a
trial, one upstream accepts no other requests, because a busy service seldom
has an idle upstream.

Suspects are reported to the peers before the caller gets a response, so that a
caller that repeats the request through another host meets the same verdict. If
two hosts run the same request before either has informed the other, it may
crash more than two upstreams.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, unique
from typing import Final

from .suspects import Suspect

# Times since the last crash after which suspects and blocked requests expire.
SUSPECT_TTL_S: Final = 60.0
BLOCK_TTL_S: Final = 600.0
CRASHES_TO_BLOCK: Final = 2
MAX_SUSPECTS: Final = 4096  # above it, the oldest suspects are dropped
# A host stops reporting a suspect to peers this long before the suspect
# expires. Otherwise a peer on which it has just expired would add it for
# another period.
GOSSIP_MARGIN_S: Final = 5.0


@unique
class Verdict(Enum):
    """Whether and how a request may run now."""

    CLEAR = "clear"
    ALONE = "alone"  # only on an upstream without other requests in flight
    WAIT = "wait"  # only after the trial that is in flight has ended
    BLOCKED = "blocked"


class _Suspect:
    """The known crashes of a suspect."""

    __slots__ = ("always_concurrent", "crashes", "expires_at", "local")

    def __init__(self, crashes: int, always_concurrent: bool, local: bool) -> None:
        self.crashes = crashes
        self.expires_at = 0.0
        # Whether other requests were in flight at each of the crashes.
        self.always_concurrent = always_concurrent
        self.local = local  # whether this host itself has seen a crash

    def blocked(self) -> bool:
        return self.crashes >= CRASHES_TO_BLOCK


class Quarantine:
    """Suspects and the requests in flight on the upstreams of this host."""

    __slots__ = ("_claims", "_connecting", "_in_flight", "_suspects", "_trials")

    def __init__(self) -> None:
        # Numbers of requests in flight, keyed by upstream and fingerprint.
        self._in_flight: dict[str, dict[int, int]] = {}
        # Suspects, keyed by fingerprint, least recent crash first.
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        # Upstreams on which trials run, keyed by fingerprint.
        self._trials: dict[int, str] = {}
        # Numbers of requests that wait for a connection, keyed by upstream.
        self._connecting: dict[str, int] = {}
        # Numbers of suspects that wait for a trial, keyed by upstream.
        self._claims: dict[str, int] = {}

    def _find(self, fingerprint: int, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now >= suspect.expires_at:
            del self._suspects[fingerprint]
            return None
        return suspect

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Return whether and how the request may run now."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return Verdict.CLEAR
        if suspect.blocked():
            return Verdict.BLOCKED
        return Verdict.WAIT if fingerprint in self._trials else Verdict.ALONE

    def idle(self, upstream: str) -> bool:
        """Return whether no request is in flight or connecting there."""
        return not self._in_flight.get(upstream) and not self._connecting.get(upstream)

    def held_for_trial(self, upstream: str) -> bool:
        """Return whether a suspect runs on an upstream or waits for it.

        No other request may be dispatched to it meanwhile.
        """
        return upstream in self._claims or upstream in self._trials.values()

    def claimed(self, upstream: str) -> bool:
        """Return whether a suspect waits for the upstream to become idle."""
        return upstream in self._claims

    def claim(self, upstream: str) -> None:
        """Withhold other requests from the upstream until `release_claim`.

        Several suspects may claim the same upstream. They run there one by
        one.
        """
        self._claims[upstream] = self._claims.get(upstream, 0) + 1

    def release_claim(self, upstream: str) -> None:
        """End one claim of the upstream."""
        _subtract(self._claims, upstream)

    def record_connect(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record that a connection is being opened for the request.

        The trial of a suspect begins here, so that no other request joins it
        and no second trial of it begins while the connection is being opened.
        """
        self._connecting[upstream] = self._connecting.get(upstream, 0) + 1
        if self._find(fingerprint, now) is not None:
            self._trials[fingerprint] = upstream

    def record_connect_end(self, fingerprint: int, upstream: str) -> None:
        """Record that the connection is open, or that nothing will be sent."""
        _subtract(self._connecting, upstream)
        if fingerprint not in self._in_flight.get(upstream, ()):
            self._end_trial(fingerprint, upstream)

    def record_dispatch(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record that the request is sent to the upstream."""
        counts = self._in_flight.setdefault(upstream, {})
        counts[fingerprint] = counts.get(fingerprint, 0) + 1
        if self._find(fingerprint, now) is not None:
            self._trials[fingerprint] = upstream

    def record_end(self, fingerprint: int, upstream: str) -> None:
        """Record an end without evidence: cancelled, timed out or refused."""
        counts = self._in_flight.get(upstream, {})
        left = counts.get(fingerprint, 0) - 1
        if left > 0:
            counts[fingerprint] = left
        else:
            counts.pop(fingerprint, None)
            if not counts:
                self._in_flight.pop(upstream, None)
            self._end_trial(fingerprint, upstream)

    def _end_trial(self, fingerprint: int, upstream: str) -> None:
        if self._trials.get(fingerprint) == upstream:
            del self._trials[fingerprint]

    def record_answer(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record a response; clear a suspect that never crashed alone."""
        self.record_end(fingerprint, upstream)
        suspect = self._find(fingerprint, now)
        if suspect is not None and suspect.always_concurrent and not suspect.blocked():
            del self._suspects[fingerprint]

    def record_crash(self, upstream: str, now: float) -> list[int]:
        """Record a reset without a response; return suspects' fingerprints.

        One crash resets all connections to the upstream. The first call makes
        all requests in flight suspects, and the calls for the other resets
        have no effect. The requests need no call of `record_end`.
        """
        counts = self._in_flight.pop(upstream, {})
        always_concurrent = sum(counts.values()) > 1
        for fingerprint in counts:
            self._end_trial(fingerprint, upstream)
            suspect = self._find(fingerprint, now)
            if suspect is None:
                suspect = self._add(
                    fingerprint, _Suspect(0, always_concurrent, local=True)
                )
            suspect.crashes += 1
            suspect.always_concurrent = suspect.always_concurrent and always_concurrent
            suspect.local = True
            self._renew(fingerprint, suspect, now)
        return list(counts)

    def _add(self, fingerprint: int, suspect: _Suspect) -> _Suspect:
        while len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._suspects[fingerprint] = suspect
        return suspect

    def _renew(self, fingerprint: int, suspect: _Suspect, now: float) -> None:
        """Restart the period of a suspect after a further crash."""
        period_s = BLOCK_TTL_S if suspect.blocked() else SUSPECT_TTL_S
        suspect.expires_at = now + period_s
        self._suspects.move_to_end(fingerprint)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Merge suspects reported by a peer, keeping the higher crash counts.

        A report without a further crash does not extend the suspect's period.
        Peers do not report whether other requests were in flight at a crash.
        A response therefore clears the suspect here, and the next heartbeat of
        the peer adds it again.
        """
        for reported in suspects:
            if reported.crashes < 1:
                continue
            known = self._find(reported.fingerprint, now)
            if known is None:
                known = self._add(reported.fingerprint, _Suspect(0, True, local=False))
            if reported.crashes > known.crashes:
                known.crashes = reported.crashes
                self._renew(reported.fingerprint, known, now)

    def suspects(self, now: float) -> list[Suspect]:
        """Return the suspects to report to peers.

        Only suspects whose crashes this host has seen itself are reported.
        Otherwise hosts would keep extending each other's suspects
        indefinitely.
        """
        return [
            Suspect(fingerprint, suspect.crashes)
            for fingerprint, suspect in self._suspects.items()
            if suspect.local and now < suspect.expires_at - GOSSIP_MARGIN_S
        ]


def _subtract(counts: dict[str, int], name: str) -> None:
    """Decrement a count, and remove it when it reaches zero."""
    left = counts.get(name, 0) - 1
    if left > 0:
        counts[name] = left
    else:
        counts.pop(name, None)
