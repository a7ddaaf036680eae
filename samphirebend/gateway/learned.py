"""What a host learned from its upstreams and tells the other hosts."""

from __future__ import annotations

from collections.abc import Iterable

from ..suspects import Suspect
from .book import UpstreamBook
from .crashes import CrashWatch
from .idle import IdleLimit
from .observations import Observation, Observations, decode
from .upstreams import Upstream


class Learned:
    """What answers taught this host, with what it heard from the others."""

    __slots__ = ("_book", "_recent", "crashes", "idle")

    def __init__(self, book: UpstreamBook) -> None:
        self._book = book
        self._recent = Observations()
        self.crashes = CrashWatch()
        self.idle = IdleLimit()

    def note_answer(
        self, upstream: Upstream, object_fingerprint: int, load: int | None
    ) -> None:
        """Record a good answer, to be told to the others."""
        self._recent.note(Observation(upstream.fingerprint, object_fingerprint, load))

    def note_failure(self, upstream: Upstream, now: float) -> None:
        """Record a failed answer, to be told to the others."""
        upstream.note_failure(now)
        self._recent.note(Observation(upstream.fingerprint, 0, None, failed=True))

    def note_refusal(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream refused a request: a failure if it has free slots."""
        if upstream.load(now) < upstream.slots:
            self.note_failure(upstream, now)

    def note_unreachable(self, upstream: Upstream, now: float) -> None:
        """Record a failed connection, to be told to the others."""
        upstream.note_unreachable(now)
        self._recent.note(Observation(upstream.fingerprint, 0, None, failed=True))

    def take_observed(self) -> bytes:
        """Return the observations since the last call, encoded for peers."""
        return self._recent.take()

    def merge(
        self,
        idle_rest_s: float,
        observed: bytes,
        suspects: Iterable[Suspect],
        now: float,
    ) -> None:
        """Take what another host learned."""
        self.idle.merge(idle_rest_s, now)
        self.crashes.merge(suspects, now)
        for item in decode(observed):
            upstream = self._book.get_by_fingerprint(item.upstream_fingerprint)
            if upstream is None:
                continue
            if item.failed:
                upstream.note_shared_failure(now)
            else:
                upstream.note_shared(item.object_fingerprint, item.load)
