"""Checks whether an upstream has crashed after it lost a request.

`forward` requests the check, and `crashes` counts the crashes of each request.
"""

from __future__ import annotations

from typing import Any, Final

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..connectionpool import ConnectionPool
from .feedback import Feedback
from .upstreams import Upstream

# Delay between the loss and the check. A crashed upstream refuses connections
# by then; one that only lost a response still accepts them.
CHECK_DELAY_S: Final = 0.15


class CrashChecks:
    """Opens a test connection to each upstream that lost requests."""

    __slots__ = ("_feedback", "_lost", "_pool", "_reactor")

    def __init__(self, feedback: Feedback, pool: ConnectionPool, reactor: Any) -> None:
        self._feedback = feedback
        self._pool = pool
        self._reactor = reactor
        # Ids of the requests lost at upstreams being checked, keyed by
        # upstream and request fingerprint.
        self._lost: dict[str, dict[int, str]] = {}

    def begin(self, upstream: Upstream, fingerprint: int, request_id: str) -> None:
        """Check an upstream that closed a connection without a response.

        Requests lost while a check is under way join that check.
        """
        in_progress = upstream.name in self._lost
        self._lost.setdefault(upstream.name, {})[fingerprint] = request_id
        if not in_progress:
            done = Deferred.fromCoroutine(self._check(upstream))
            done.addErrback(self._log_bug, upstream.name)

    async def _check(self, upstream: Upstream) -> None:
        await deferLater(self._reactor, CHECK_DELAY_S)
        entry = upstream.entry
        alive = await self._pool.can_connect(entry.address, entry.upstream_id)
        lost = self._lost.pop(upstream.name)
        if alive:
            return
        now = self._reactor.seconds()
        self._feedback.record_unreachable(upstream, now)
        for fingerprint, request_id in lost.items():
            crashes = self._feedback.crashes.record_crash(
                fingerprint, upstream.name, now
            )
            logger.info(
                "upstream accepts no connections after losing a request",
                event="crash_suspected",
                request_id=request_id,
                upstream=upstream.name,
                crashes=crashes,
            )

    def _log_bug(self, failure: Any, upstream: str) -> None:
        self._lost.pop(upstream, None)
        logger.opt(exception=failure.value).error(
            "unexpected error in the crash check", event="bug", upstream=upstream
        )
