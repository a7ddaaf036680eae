"""Planned stop of a gateway host, so that no request is cut.

The host leaves the look-ups first and serves on while callers still use older
answers; then it refuses new requests and ends when none is in flight.
"""

from __future__ import annotations

from typing import Any, Final

from loguru import logger
from twisted.internet.task import deferLater

from .context import GatewayContext
from .front import Front
from .members import Members
from .peers import Peers

# Time for which requests are still taken after the stop began.
DRAIN_S: Final = 3.2
# The process ends this long before it would be killed.
KILL_MARGIN_S: Final = 0.4
POLL_INTERVAL_S: Final = 0.05


class GracefulShutdown:
    """Runs the planned stop of one host."""

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
        self.grace_s = grace_s  # from the signal to stop until the kill
        self._reactor = reactor

    async def run(self) -> None:
        """Leave the look-ups, serve on, refuse, and wait for what is in flight."""
        begun = self._reactor.seconds()
        logger.info("stop begun", event="stop_begun", in_flight=self._gateway.in_flight)
        self._members.own.ready = False
        self._peers.notify_all()
        # Callers that get an answer from now on connect anew, elsewhere.
        self._front.requests.draining = True
        ends_at = begun + self.grace_s - KILL_MARGIN_S
        serve_until = min(begun + DRAIN_S, ends_at)
        while self._reactor.seconds() < serve_until:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        self._gateway.refusing = True
        while self._gateway.in_flight and self._reactor.seconds() < ends_at:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        logger.info(
            "stop ends",
            event="stop_ended",
            in_flight=self._gateway.in_flight,
            elapsed_ms=round((self._reactor.seconds() - begun) * 1000),
        )
