"""Requests suspected of crashing upstreams.

`requesthandler` asks for a verdict before each dispatch and reports how it ended. A
reset without an answer makes everything in flight on that upstream suspect. A
suspect runs only alone on an upstream, one trial at a time; after two crashes
it is blocked. While a suspect waits, one upstream takes no other new work, since
a busy service seldom has an upstream with nothing in flight. Suspects are told
to the peers before the caller is answered, so that a caller that sends the
request again through another host meets the same verdict. Two hosts that run the
same request before either has told the other are outside this bound.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, unique
from typing import Final

from .suspects import Suspect

SUSPECT_TTL_S: Final = 60.0
BLOCK_TTL_S: Final = 600.0
CRASHES_TO_BLOCK: Final = 2
MAX_SUSPECTS: Final = 4096
# A host stops telling a suspect this long before it forgets it, so that a peer
# that forgot it a moment earlier does not learn it again for a full period.
GOSSIP_MARGIN_S: Final = 5.0


@unique
class Verdict(Enum):
    """How a request may run now."""

    CLEAR = "clear"
    ALONE = "alone"  # only on an upstream that runs nothing else meanwhile
    WAIT = "wait"  # a suspect whose trial is in flight; ask again after it
    BLOCKED = "blocked"


class _Suspect:
    """A suspect request."""

    __slots__ = ("always_concurrent", "crashes", "expires_at", "local")

    def __init__(self, crashes: int, always_concurrent: bool, local: bool) -> None:
        self.crashes = crashes
        self.expires_at = 0.0
        self.always_concurrent = (
            always_concurrent  # each crash had other requests in flight
        )
        self.local = local  # a crash was seen by this host

    def blocked(self) -> bool:
        return self.crashes >= CRASHES_TO_BLOCK


class Quarantine:
    """Suspects, and the requests in flight on each upstream of this host."""

    __slots__ = ("_claims", "_connecting", "_in_flight", "_suspects", "_trials")

    def __init__(self) -> None:
        # Upstream to fingerprints with their counts.
        self._in_flight: dict[str, dict[int, int]] = {}
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()  # oldest first
        self._trials: dict[int, str] = {}  # suspect in flight, and its upstream
        self._connecting: dict[str, int] = {}  # requests that wait for a connection
        self._claims: dict[str, int] = {}  # suspects that wait for each upstream

    def _find(self, fingerprint: int, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now >= suspect.expires_at:
            del self._suspects[fingerprint]
            return None
        return suspect

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Return how the request may run now."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return Verdict.CLEAR
        if suspect.blocked():
            return Verdict.BLOCKED
        return Verdict.WAIT if fingerprint in self._trials else Verdict.ALONE

    def idle(self, upstream: str) -> bool:
        """Return whether nothing is in flight, as a suspect's trial requires."""
        return not self._in_flight.get(upstream) and not self._connecting.get(upstream)

    def held_for_trial(self, upstream: str) -> bool:
        """Return whether a suspect runs or waits there, so that nothing may join."""
        return upstream in self._claims or upstream in self._trials.values()

    def claimed(self, upstream: str) -> bool:
        """Return whether a suspect waits for the upstream to become idle."""
        return upstream in self._claims

    def claim(self, upstream: str) -> None:
        """Keep new work from the upstream until `release_claim`.

        Several suspects may claim one upstream; they run there in turn.
        """
        self._claims[upstream] = self._claims.get(upstream, 0) + 1

    def release_claim(self, upstream: str) -> None:
        """End one claim."""
        _subtract(self._claims, upstream)

    def note_connect(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record that a connection is sought for the request.

        A trial begins here: while a connection is opened, neither may another
        request join it nor a second trial of the same request begin.
        """
        self._connecting[upstream] = self._connecting.get(upstream, 0) + 1
        if self._find(fingerprint, now) is not None:
            self._trials[fingerprint] = upstream

    def note_connect_end(self, fingerprint: int, upstream: str) -> None:
        """Record that the connection is open, or that nothing will be sent."""
        _subtract(self._connecting, upstream)
        if fingerprint not in self._in_flight.get(upstream, ()):
            self._end_trial(fingerprint, upstream)

    def note_dispatch(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record that the request is sent to the upstream."""
        counts = self._in_flight.setdefault(upstream, {})
        counts[fingerprint] = counts.get(fingerprint, 0) + 1
        if self._find(fingerprint, now) is not None:
            self._trials[fingerprint] = upstream

    def note_end(self, fingerprint: int, upstream: str) -> None:
        """Record an end that shows nothing: cancelled, timed out or refused."""
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

    def note_answer(self, fingerprint: int, upstream: str, now: float) -> None:
        """Record an answer; it clears a suspect that crashed only in company."""
        self.note_end(fingerprint, upstream)
        suspect = self._find(fingerprint, now)
        if suspect is not None and suspect.always_concurrent and not suspect.blocked():
            del self._suspects[fingerprint]

    def note_crash(self, upstream: str, now: float) -> list[int]:
        """Record a reset without an answer; return the requests now suspect.

        All connections to the upstream are reset by one crash: the first call
        takes everything that was in flight, later calls find nothing. A reset
        request that is reported here needs no `note_end`.
        """
        counts = self._in_flight.pop(upstream, {})
        always_concurrent = sum(counts.values()) > 1
        for item in counts:
            self._end_trial(item, upstream)
            suspect = self._find(item, now)
            if suspect is None:
                suspect = self._add(item, _Suspect(0, always_concurrent, local=True))
            suspect.crashes += 1
            suspect.always_concurrent = suspect.always_concurrent and always_concurrent
            suspect.local = True
            self._renew(item, suspect, now)
        return list(counts)

    def _add(self, fingerprint: int, suspect: _Suspect) -> _Suspect:
        while len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._suspects[fingerprint] = suspect
        return suspect

    def _renew(self, fingerprint: int, suspect: _Suspect, now: float) -> None:
        period_s = BLOCK_TTL_S if suspect.blocked() else SUSPECT_TTL_S
        suspect.expires_at = now + period_s
        self._suspects.move_to_end(fingerprint)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Take the larger of the known and the heard crashes of each suspect.

        What is heard again without a further crash does not prolong the
        period. Whether a heard crash was in company is not known; an answer
        here clears it, and the teller's next heartbeat restores it.
        """
        for heard in suspects:
            if heard.crashes < 1:
                continue
            known = self._find(heard.fingerprint, now)
            if known is None:
                known = self._add(heard.fingerprint, _Suspect(0, True, local=False))
            if heard.crashes > known.crashes:
                known.crashes = heard.crashes
                self._renew(heard.fingerprint, known, now)

    def suspects(self, now: float) -> list[Suspect]:
        """Return the suspects that this host saw crash an upstream, for peers.

        Hearsay is not passed on, since hosts would otherwise renew each
        other's suspects for ever.
        """
        return [
            Suspect(item, suspect.crashes)
            for item, suspect in self._suspects.items()
            if suspect.local and now < suspect.expires_at - GOSSIP_MARGIN_S
        ]


def _subtract(counts: dict[str, int], name: str) -> None:
    """Count one down, and drop a count of zero."""
    left = counts.get(name, 0) - 1
    if left > 0:
        counts[name] = left
    else:
        counts.pop(name, None)
