"""Graceful shutdown of a gateway host without interrupted requests.

The host is first left out of look-up answers but still accepts requests, since
callers may use cached answers. Then it refuses new requests, and the process
ends when none is in flight.
"""

from __future__ import annotations

from typing import Any, Final

from loguru import logger
from twisted.internet.task import deferLater

from .context import GatewayContext
from .front import Front
from .members import Members
from .peers import Peers

# Time after the start of the shutdown for which requests are still accepted.
DRAIN_S: Final = 3.2
# The process ends this long before the end of the grace period, at which it
# would be killed.
KILL_MARGIN_S: Final = 0.4
POLL_INTERVAL_S: Final = 0.05  # interval between checks for requests in flight


class GracefulShutdown:
    """Runs the graceful shutdown of this host."""

    __slots__ = ("_front", "_gateway", "_members", "_peers", "_reactor", "grace_s")

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

    async def run(self) -> None:
        """Drain this host, then refuse new requests and await the rest."""
        started_at = self._reactor.seconds()
        logger.info(
            "shutdown started",
            event="stop_begun",
            in_flight=self._gateway.in_flight,
        )
        self._members.own.ready = False
        self._peers.notify_all()
        # Close connections after their next response, so that callers connect
        # to another host.
        self._front.requests.draining = True
        ends_at = started_at + self.grace_s - KILL_MARGIN_S
        serve_until = min(started_at + DRAIN_S, ends_at)
        while self._reactor.seconds() < serve_until:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        self._gateway.refusing = True
        while self._gateway.in_flight and self._reactor.seconds() < ends_at:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        logger.info(
            "shutdown finished",
            event="stop_ended",
            in_flight=self._gateway.in_flight,
            elapsed_ms=round((self._reactor.seconds() - started_at) * 1000),
        )
