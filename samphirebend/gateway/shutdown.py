"""Graceful shutdown of a gateway host without interrupted requests.

The host is first left out of look-up answers but still accepts requests, since
callers may use cached answers. Then it refuses new requests, and the process
ends when none is in flight. `stopschedule` decides what can still be finished.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from twisted.internet.task import deferLater

from .context import GatewayContext
from .front import Front
from .members import Members
from .peers import Peers
from .stopschedule import StopSchedule

POLL_INTERVAL_S: Final = 0.05  # interval between checks of requests in flight


class GracefulShutdown:
    """Runs the graceful shutdown of this host."""

    __slots__ = (
        "_front",
        "_gateway",
        "_members",
        "_peers",
        "_reactor",
        "grace_s",
        "on_refusing",
    )

    def __init__(
        self,
        gateway: GatewayContext,
        front: Front,
        members: Members,
        peers: Peers,
        grace_s: float,
        reactor: Any,
    ) -> None:
        self._gateway = gateway
        self._front = front
        self._members = members
        self._peers = peers
        self.grace_s = grace_s  # time from the stop signal to the kill
        self._reactor = reactor
        # Called when the host has ceased to accept requests.
        self.on_refusing: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Drain this host, then refuse new requests and await the rest."""
        started_at = self._reactor.seconds()
        logger.info(
            "shutdown started",
            event="stop_begun",
            in_flight=self._gateway.in_flight,
        )
        schedule = StopSchedule(started_at, self.grace_s)
        self._gateway.stop_schedule = schedule
        self._members.own.ready = False
        self._peers.notify_all()
        # Close connections after their next response, so that callers connect
        # to another host.
        self._front.requests.draining = True
        while schedule.accepts(self._reactor.seconds()):
            await self._wait(schedule)
        self.on_refusing()
        while self._is_busy(schedule):
            await self._wait(schedule)
        await self._front.requests.close_port()
        left_s = schedule.exits_by - self._reactor.seconds()
        await self._front.requests.close_idle(self._reactor, left_s)
        logger.info(
            "shutdown finished",
            event="stop_ended",
            in_flight=self._gateway.in_flight,
            elapsed_ms=round((self._reactor.seconds() - started_at) * 1000),
        )

    def _is_busy(self, schedule: StopSchedule) -> bool:
        """Return whether requests are in flight that may still end in time."""
        in_time = self._reactor.seconds() < schedule.exits_by
        return bool(self._gateway.in_flight) and in_time

    async def _wait(self, schedule: StopSchedule) -> None:
        """Wait for a moment, then end the requests that cannot be finished."""
        await deferLater(self._reactor, POLL_INTERVAL_S)
        now = self._reactor.seconds()
        for request in list(self._gateway.active):
            request.check_stop(schedule, now)
