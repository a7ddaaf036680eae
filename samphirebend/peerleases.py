"""Leases of the peers, as their heartbeats report them.

`leasekeeper` uses them to tell which hosts are live and which shards they
hold. All times are on the clock of this process.
"""

from __future__ import annotations

from typing import Final

from .leasetable import ShardRow
from .wire import Heartbeat

# Time for which a host is live after each heartbeat.
LIVENESS_S: Final = 1.5


class _ReportedLeases:
    """The part of a host's last heartbeat that concerns leases."""

    __slots__ = ("drained_version", "heard_at", "shards", "stopping")

    def __init__(self, heartbeat: Heartbeat, now: float) -> None:
        self.heard_at = now
        self.stopping = heartbeat.stopping
        self.drained_version = heartbeat.drained_version
        # Generations of the leases that the host holds, keyed by shard.
        self.shards = {lease.name: lease.generation for lease in heartbeat.shards}


class PeerLeases:
    """Leases of all peers as last reported."""

    __slots__ = ("_heard", "_host", "_live_shards", "_started_at", "highest_version")

    def __init__(self, host: str, started_at: float) -> None:
        self._host = host
        self._started_at = started_at
        self._heard: dict[str, _ReportedLeases] = {}  # keyed by host
        # Shards that live hosts hold, cached during one tick.
        self._live_shards: frozenset[str] | None = None
        # Highest manifest version that any peer has reported.
        self.highest_version = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a host's heartbeat."""
        self._heard[heartbeat.host] = _ReportedLeases(heartbeat, now)
        self.record_version(heartbeat.manifest_version)

    def record_version(self, version: int) -> None:
        """Record a manifest version that a peer knows."""
        self.highest_version = max(self.highest_version, version)

    def is_live(self, host: str, now: float) -> bool:
        """Return whether a peer was heard recently and is not stopping."""
        peer = self._heard.get(host)
        return (
            peer is not None and not peer.stopping and now < peer.heard_at + LIVENESS_S
        )

    def is_silent_for(self, host: str, duration_s: float, now: float) -> bool:
        """Return whether a peer is stopping or was silent for the duration."""
        peer = self._heard.get(host)
        if peer is not None and peer.stopping:
            return True
        since = peer.heard_at if peer else self._started_at
        return host != self._host and now >= since + duration_s

    def is_holder_inactive(self, shard: str, row: ShardRow, now: float) -> bool:
        """Return whether a row's holder is silent or lacks the lease.

        A holder on this host counts as inactive: the row must be of an earlier
        process, because this process does not ask about its own rows.
        """
        peer = self._heard.get(row.holder)
        if row.holder == self._host or peer is None:
            return row.holder == self._host or self.is_silent_for(
                row.holder, LIVENESS_S, now
            )
        listed = peer.shards.get(shard) == row.generation
        return not listed or now >= peer.heard_at + LIVENESS_S

    def configured_host_lacks(self, shard: str, now: float) -> bool:
        """Return whether a shard's configured host is live but lacks it."""
        peer = self._heard.get(shard)
        lacks_shard = peer is not None and shard not in peer.shards
        return shard != self._host and self.is_live(shard, now) and lacks_shard

    def holder_applies(self, shard: str, version: int, now: float) -> bool:
        """Return whether a live holder of the shard meets a version's limits.

        The holder must report exactly this drained version. A later one does
        not count, because a host that skipped this version never applied its
        reductions.
        """
        return any(
            shard in peer.shards
            and peer.drained_version == version
            and now < peer.heard_at + LIVENESS_S
            for peer in self._heard.values()
        )

    def begin_tick(self) -> None:
        """Drop the cached shards, as heartbeats may have arrived since."""
        self._live_shards = None

    def shards_of_live_peers(self, now: float) -> frozenset[str]:
        """Return the shards that recently heard peers hold.

        Cached during a tick, because after the loss of a failure domain many
        shards are looked up among the leases of all hosts.
        """
        if self._live_shards is None:
            live = (p for p in self._heard.values() if now < p.heard_at + LIVENESS_S)
            self._live_shards = frozenset(name for peer in live for name in peer.shards)
        return self._live_shards
