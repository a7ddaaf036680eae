"""Keeps what a host knows of customers' keys within the bound on its age.

The host of a failure domain that stands for it asks the store; the others ask
that host, then the store, then hosts of other domains, until one of them
confirms that the keys are known as of late. See `credentials` for the bound.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .follower import Follower
from .members import Member, Members
from .peers import Peers

# Interval of the checks, as a fraction of the bound, and without a bound.
CHECK_INTERVAL_FRACTION: Final = 0.06
IDLE_CHECK_INTERVAL_S: Final = 1.0
ASK_TIMEOUT_S: Final = 0.6  # limit for a call to another host
# Hosts of other failure domains that are asked if all else fails.
MAX_OTHERS_ASKED: Final = 2
MAX_LOGGED_AGE_S: Final = 1e6  # JSON has no infinity


class CredentialRefresh:
    """Keeps the credentials fresh, from a host of the same domain if possible.

    A call to the store costs more than one within a failure domain, so only one
    host of each domain asks the store as long as the others get its answers.
    """

    __slots__ = (
        "_clock",
        "_credentials",
        "_follower",
        "_honoured",
        "_members",
        "_peers",
        "_reactor",
        "_rng",
        "running",
    )

    def __init__(
        self,
        follower: Follower,
        members: Members,
        peers: Peers,
        reactor: Any,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._credentials = follower.credentials
        self._members = members
        self._peers = peers
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._honoured = True  # as last logged
        self.running = False

    def start(self) -> None:
        """Start refreshing."""
        self.running = True
        done = Deferred.fromCoroutine(self._run())
        done.addErrback(self._restart_after_bug)

    def stop(self) -> None:
        """Stop after the calls in progress."""
        self.running = False

    async def refresh(self) -> None:
        """Confirm the operator's table, by whichever source answers."""
        leader = self._members.domain_leader(self._clock())
        is_leader = leader is self._members.own
        if not self._credentials.needs_refresh(is_leader):
            return
        if not is_leader:
            await self._ask(leader)
        if self._credentials.needs_refresh(is_leader):
            await self._follower.confirm_credentials()
        others = self._hosts_of_other_domains()
        while others and self._credentials.needs_refresh(is_leader):
            await self._ask(others.pop())

    async def _ask(self, member: Member) -> None:
        await self._peers.fetch(self._follower.operator_table, member, ASK_TIMEOUT_S)

    def _hosts_of_other_domains(self) -> list[Member]:
        """Return some live hosts of other failure domains, in random order."""
        zone = self._members.own.zone
        live = self._members.live(self._clock())
        others = [member for member in live if member.zone != zone]
        return self._rng.sample(others, min(MAX_OTHERS_ASKED, len(others)))

    async def _run(self) -> None:
        while self.running:
            await self.refresh()
            self._log_change()
            await deferLater(self._reactor, self._interval_s())

    def _interval_s(self) -> float:
        revoke_s = self._credentials.revoke_s
        if revoke_s is None:
            return IDLE_CHECK_INTERVAL_S
        return revoke_s * CHECK_INTERVAL_FRACTION

    def _log_change(self) -> None:
        honoured = self._credentials.honoured()
        if honoured is self._honoured:
            return
        self._honoured = honoured
        logger.warning(
            "keys of customers are honoured again"
            if honoured
            else "keys of customers are not honoured: their changes are not known",
            event="credentials",
            honoured=honoured,
            age_s=round(min(self._credentials.age_s(), MAX_LOGGED_AGE_S), 2),
        )

    def _restart_after_bug(self, failure: Any) -> None:
        logger.opt(exception=failure.value).error(
            "unexpected error while refreshing credentials", event="bug"
        )
        if self.running:
            self._reactor.callLater(IDLE_CHECK_INTERVAL_S, self.start)
