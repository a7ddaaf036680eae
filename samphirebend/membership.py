"""State of the peers, from their heartbeats and replies.

`peers` records the messages, and `router` and others ask which hosts are live
and what they reported last. Messages of one process may arrive out of order
after a reconnection, and a frozen process may resume after its host was
restarted. Heartbeats with older sequence numbers and all messages of replaced
incarnations are therefore ignored.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum, unique
from typing import Final

from .wire import Heartbeat, HeartbeatReply, ServiceLoad, ShardLease

# Three heartbeat intervals, so that one lost heartbeat does not make a peer
# silent.
LIVENESS_S: Final = 1.5
# Maximum number of replaced incarnations stored for each host. It bounds the
# memory used for a host that keeps restarting.
MAX_REPLACED: Final = 256


@unique
class PeerState(Enum):
    """Whether a peer was heard within the last `LIVENESS_S`."""

    LIVE = "live"
    SILENT = "silent"


class PeerView:
    """The last report of one incarnation of a peer."""

    __slots__ = (
        "drained_version",
        "heard_at",
        "host",
        "incarnation",
        "key_epoch",
        "leaving",
        "loads",
        "manifest_version",
        "sequence",
        "shards",
        "stopping",
        "table_age_ms",
    )

    def __init__(self, host: str, incarnation: int, heard_at: float) -> None:
        self.host = host
        self.incarnation = incarnation
        # Arrival time of the last heartbeat, or the send time of the last
        # heartbeat that the peer replied to, whichever is later.
        self.heard_at = heard_at
        # Sequence number of the last heartbeat, -1 if only replies were heard.
        self.sequence = -1
        self.manifest_version = 0
        # Highest manifest version whose limits the peer does not exceed.
        self.drained_version = 0
        self.key_epoch = 0  # current epoch of the peer's idempotency keys
        self.stopping = False  # whether the peer is shutting down
        self.shards: list[ShardLease] = []  # leases that the peer holds
        self.loads: dict[str, ServiceLoad] = {}  # keyed by service
        self.leaving: list[str] = []  # upstreams that are shutting down
        self.table_age_ms = 0  # time since the table last answered the peer

    def state(self, now: float) -> PeerState:
        """Return whether the peer is live at the given time."""
        silent = now - self.heard_at > LIVENESS_S
        return PeerState.SILENT if silent else PeerState.LIVE

    def free(self, service: str) -> int:
        """Return the number of free slots of a service, as last reported."""
        load = self.loads.get(service)
        return load.free if load else 0

    def overflow_free(self, service: str) -> int:
        """Return the free slots for overflow requests, as last reported."""
        load = self.loads.get(service)
        return load.overflow_free if load else 0

    def total(self, service: str) -> int:
        """Return the number of all slots of a service, as last reported."""
        load = self.loads.get(service)
        return load.total if load else 0


class Membership:
    """The last reports of the peers of this host."""

    __slots__ = ("_own", "_replaced", "_views")

    def __init__(self, own: str) -> None:
        self._own = own  # name of this host, whose messages are ignored
        self._views: dict[str, PeerView] = {}  # keyed by host
        # Replaced incarnations, oldest first, keyed by host.
        self._replaced: dict[str, dict[int, None]] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it was ignored as outdated."""
        view = self._admit(heartbeat.host, heartbeat.incarnation, now)
        if view is None or heartbeat.sequence <= view.sequence:
            return False
        self._mark_heard(view, now)
        view.sequence = heartbeat.sequence
        view.manifest_version = max(view.manifest_version, heartbeat.manifest_version)
        view.drained_version = heartbeat.drained_version
        view.key_epoch = max(view.key_epoch, heartbeat.key_epoch)
        view.stopping = heartbeat.stopping
        view.shards = heartbeat.shards
        view.loads = {load.service: load for load in heartbeat.loads}
        view.leaving = heartbeat.leaving
        view.table_age_ms = heartbeat.table_age_ms
        return True

    def record_reply(self, reply: HeartbeatReply, now: float) -> bool:
        """Record a reply; return False if its sender was replaced."""
        view = self._admit(reply.host, reply.incarnation, now)
        if view is None:
            return False
        self._mark_heard(view, now)
        view.manifest_version = max(view.manifest_version, reply.manifest_version)
        view.key_epoch = max(view.key_epoch, reply.key_epoch)
        return True

    def peer(self, host: str) -> PeerView | None:
        """Return the last report of a host, or None if it was never heard."""
        return self._views.get(host)

    def live(self, now: float) -> list[PeerView]:
        """Return the live peers, sorted by name."""
        names = sorted(self._views)
        views = [self._views[name] for name in names]
        return [view for view in views if view.state(now) is PeerState.LIVE]

    def was_replaced(self, host: str, incarnation: int) -> bool:
        """Return whether a later incarnation of the host has been heard."""
        return incarnation in self._replaced.get(host, {})

    def retain(self, hosts: Collection[str]) -> None:
        """Forget the reports of other hosts, but not replaced incarnations."""
        for host in [name for name in self._views if name not in hosts]:
            del self._views[host]

    def _admit(self, host: str, incarnation: int, now: float) -> PeerView | None:
        """Return the sender's view, or None if its message must be ignored."""
        if host == self._own or self.was_replaced(host, incarnation):
            return None
        view = self._views.get(host)
        if view is not None and view.incarnation == incarnation:
            return view
        if view is not None:
            self._remember_replaced(host, view.incarnation)
        view = PeerView(host, incarnation, now)
        self._views[host] = view
        return view

    def _remember_replaced(self, host: str, incarnation: int) -> None:
        replaced = self._replaced.setdefault(host, {})
        replaced[incarnation] = None
        if len(replaced) > MAX_REPLACED:
            del replaced[next(iter(replaced))]

    def _mark_heard(self, view: PeerView, now: float) -> None:
        view.heard_at = max(view.heard_at, now)
