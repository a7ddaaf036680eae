"""Lease protocol: validity of held leases, grants and votes, and takeovers.

`leasekeeper` connects these classes to the peers and the table. A lease is for
one generation of a shard. It is valid while at least one of three conditions
holds, to which the comments refer by letter:

- M: the holder has recent grants of a majority of the witnesses.
- R: the holder has recent grants of all other configured hosts of the shard's
  region.
- T: the holder has recently renewed the lease's row in the table.

A takeover writes the next generation only when none of the three can hold any
more for the former holder.

The protocol assumes that clock rates deviate from real time by at most 1%, and
that at most one process at a time receives messages at a host's peer address.
An earlier process of a host may resume after a freeze, send messages and still
hold a lease.
"""

from __future__ import annotations

from typing import Final

# Remaining validity in seconds below which the holder renews the row.
RENEW_MARGIN_S: Final = 1.5
# The rates of two clocks that are each within 1% of real time differ by up to
# 2.03%.
CLOCK_DRIFT_FACTOR: Final = 1.03
PROCESSING_MARGIN_S: Final = 0.05
NEVER: Final = float("-inf")  # time of an event that has not happened


def blocking_time(lease_s: float) -> float:
    """Return the seconds until a lease has expired on every clock."""
    return lease_s * CLOCK_DRIFT_FACTOR + PROCESSING_MARGIN_S


class Quorum:
    """The hosts whose grants count for a lease, as its table row records them.

    A manifest change does not change the quorum of a lease until the holder
    has written the new quorum to the row. Otherwise the holder and a candidate
    could count majorities of different sets, which need not intersect.
    """

    __slots__ = ("region_hosts", "witnesses")

    def __init__(self, witnesses: frozenset[str], region_hosts: frozenset[str]) -> None:
        self.witnesses = witnesses
        # Configured hosts of the shard's region.
        self.region_hosts = region_hosts

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Quorum)
            and self.witnesses == other.witnesses
            and self.region_hosts == other.region_hosts
        )

    def __hash__(self) -> int:
        return hash((self.witnesses, self.region_hosts))

    def majority(self) -> int:
        """Return the number of grants that M needs, the holder's included."""
        return len(self.witnesses) // 2 + 1


class _Lease:
    __slots__ = ("generation", "granted_at", "proposed", "quorum", "renewed_at")

    def __init__(self, generation: int, quorum: Quorum, renewed_at: float) -> None:
        self.generation = generation
        self.quorum = quorum
        # Quorums of writes to the row whose results are not known.
        self.proposed: list[Quorum] = []
        # Send time of the last acknowledged renewal.
        self.renewed_at = renewed_at
        # Send time of the last heartbeat that each host answered with a grant.
        self.granted_at: dict[str, float] = {}


class HeldLeases:
    """The leases that this process holds and their validity."""

    __slots__ = ("_host", "_lease_s", "_leases")

    def __init__(self, host: str, lease_s: float) -> None:
        self._host = host
        self._lease_s = lease_s
        self._leases: dict[str, _Lease] = {}  # keyed by shard

    def acquire(
        self, shard: str, generation: int, quorum: Quorum, sent_at: float
    ) -> None:
        """Record a lease whose row was written.

        `sent_at` is the time at which the write request was sent.
        """
        self._leases[shard] = _Lease(generation, quorum, sent_at)

    def drop(self, shard: str) -> None:
        """Give up a lease. Its generation must not be used again."""
        self._leases.pop(shard, None)

    def shards(self) -> dict[str, int]:
        """Return the generations of all leases held, valid or not."""
        return {name: lease.generation for name, lease in self._leases.items()}

    def quorum(self, shard: str) -> Quorum | None:
        """Return the quorum that was last confirmed to be in the row."""
        lease = self._leases.get(shard)
        return lease.quorum if lease else None

    def propose_quorum(self, shard: str, quorum: Quorum) -> None:
        """Also require a quorum that is about to be written to the row."""
        proposed = self._leases[shard].proposed
        if quorum not in proposed:
            proposed.append(quorum)

    def confirm_quorum(self, shard: str, quorum: Quorum) -> None:
        """Require only the row's quorum.

        Called once no earlier write can change it.
        """
        self._leases[shard].quorum = quorum
        self._leases[shard].proposed.clear()

    def record_grant(
        self, shard: str, generation: int, witness: str, sent_at: float
    ) -> None:
        """Record a grant, which counts from the send time of its heartbeat."""
        lease = self._leases.get(shard)
        if lease is None or lease.generation != generation or witness == self._host:
            return
        lease.granted_at[witness] = max(sent_at, lease.granted_at.get(witness, NEVER))

    def record_renewal(self, shard: str, generation: int, sent_at: float) -> None:
        """Record an acknowledged renewal, which counts from its send time."""
        lease = self._leases.get(shard)
        if lease is not None and lease.generation == generation:
            lease.renewed_at = max(lease.renewed_at, sent_at)

    def valid(self, shard: str, now: float) -> bool:
        """Return whether the lease is valid, by condition M, R or T."""
        lease = self._leases.get(shard)
        if lease is None:
            return False
        return max(self._peers_until(lease), lease.renewed_at + self._lease_s) > now

    def granted_by_peers(self, shard: str, now: float) -> bool:
        """Return whether the lease is valid by condition M or R."""
        lease = self._leases.get(shard)
        return lease is not None and self._peers_until(lease) > now

    def needs_renewal(self, shard: str, now: float) -> bool:
        """Return whether the lease becomes invalid within `RENEW_MARGIN_S`."""
        lease = self._leases.get(shard)
        if lease is None:
            return False
        until = max(self._peers_until(lease), lease.renewed_at + self._lease_s)
        return until < now + RENEW_MARGIN_S

    def _peers_until(self, lease: _Lease) -> float:
        """Return the time until which M or R holds.

        While a change is pending, each condition must hold for the confirmed
        quorum and for all proposed ones.
        """
        quorums = [lease.quorum, *lease.proposed]
        majority_at = min(
            self._majority_granted_at(lease, quorum) for quorum in quorums
        )
        region_at = min(self._region_granted_at(lease, quorum) for quorum in quorums)
        return max(majority_at, region_at) + self._lease_s

    def _majority_granted_at(self, lease: _Lease, quorum: Quorum) -> float:
        """Return the send time from which the grants of a majority count."""
        others = quorum.witnesses - {self._host}
        needed = quorum.majority() - (self._host in quorum.witnesses)
        if needed < 1:
            # No takeover could block a holder whose own grant is a majority.
            return NEVER
        times = sorted(lease.granted_at.get(name, NEVER) for name in others)
        return times[-needed] if needed <= len(times) else NEVER

    def _region_granted_at(self, lease: _Lease, quorum: Quorum) -> float:
        """Return the send time from which the grants of the region count."""
        others = quorum.region_hosts - {self._host}
        return min(
            (lease.granted_at.get(name, NEVER) for name in others), default=NEVER
        )


class Witness:
    """Grants that this process gives to holders, and its votes for takeovers.

    Grants and votes are kept in memory, so that a restarted process does not
    know those of its predecessor. Before its first grant for a shard, it must
    therefore raise the revision of the shard's row, called fencing. A takeover
    that counts a vote of the predecessor then fails in its conditional write.
    The process does not vote until the grants of its predecessor have expired.
    """

    __slots__ = (
        "_blocking_s",
        "_fenced",
        "_granted_until",
        "_known",
        "_released",
        "_started_at",
        "_unfenced",
    )

    def __init__(self, started_at: float, lease_s: float) -> None:
        self._started_at = started_at
        self._blocking_s = blocking_time(lease_s)
        # Newest known generation, keyed by shard.
        self._known: dict[str, int] = {}
        # Newest generation that this process voted to release, keyed by shard.
        self._released: dict[str, int] = {}
        # Time at which the last grant has expired, keyed by shard.
        self._granted_until: dict[str, float] = {}
        # Shards whose rows this process has fenced.
        self._fenced: set[str] = set()
        # Shards for which grants were refused for lack of a fence.
        self._unfenced: set[str] = set()

    def learn(self, shard: str, generation: int) -> None:
        """Record a generation read from a row or reported by a holder."""
        self._known[shard] = max(generation, self._known.get(shard, 0))

    def to_fence(self) -> list[str]:
        """Return the shards that must be fenced before they can be granted."""
        return sorted(self._unfenced)

    def record_fenced(self, shard: str, generation: int) -> None:
        """Record that this process has fenced a row with the generation."""
        self.learn(shard, generation)
        self._fenced.add(shard)
        self._unfenced.discard(shard)

    def forget(self, shard: str) -> None:
        """Stop asking to fence a shard that has no row."""
        self._unfenced.discard(shard)

    def grant(self, shard: str, generation: int, now: float) -> bool:
        """Grant a lease from the time `now` at which its heartbeat arrived.

        Return False if the lease is refused.
        """
        self.learn(shard, generation)
        if shard not in self._fenced:
            self._unfenced.add(shard)
            return False
        if generation < self._known[shard] or generation <= self._released.get(
            shard, 0
        ):
            return False
        until = now + self._blocking_s
        self._granted_until[shard] = max(until, self._granted_until.get(shard, NEVER))
        return True

    def vote(self, shard: str, generation: int, now: float) -> bool:
        """Vote to release a generation and all earlier ones.

        Return False to abstain.
        """
        if now < self._started_at + self._blocking_s:
            return False
        if generation < self._known.get(shard, 0):
            return False
        if now < self._granted_until.get(shard, NEVER):
            return False
        self._released[shard] = max(generation, self._released.get(shard, 0))
        return True


class Takeover:
    """An attempt to take over a shard that another process holds."""

    __slots__ = (
        "_blocking_s",
        "_holder",
        "_quorum",
        "_since",
        "_votes",
        "generation",
        "revision",
        "round",
    )

    def __init__(self, lease_s: float, first_round: int = 0) -> None:
        self._blocking_s = blocking_time(lease_s)
        self._holder = ""
        self._quorum = Quorum(frozenset(), frozenset())
        self._since = NEVER
        self._votes: set[str] = set()  # hosts that voted in this round
        self.generation = 0
        self.revision = 0
        self.round = first_round  # incremented for each new revision

    def observe(
        self, holder: str, generation: int, revision: int, quorum: Quorum, now: float
    ) -> None:
        """Record the row as just read; a new revision starts a new round.

        Votes and waiting time of earlier rounds do not count, because a voter
        may have restarted and fenced the row since, or the holder may have
        renewed it.
        """
        if revision == self.revision:
            return
        self._holder = holder
        self._quorum = quorum
        self._since = now
        self._votes.clear()
        self.generation = generation
        self.revision = revision
        self.round += 1

    def record_vote(self, witness: str, generation: int, round_: int) -> None:
        """Count a vote if it answers a request of the current round."""
        if round_ == self.round and generation == self.generation:
            self._votes.add(witness)

    def waited(self, now: float) -> bool:
        """Return whether any renewal before this round has expired."""
        return now >= self._since + self._blocking_s

    def missing(self) -> list[str]:
        """Return the hosts, except the holder's, that have not voted."""
        hosts = self._quorum.witnesses | self._quorum.region_hosts
        return sorted(hosts - self._votes - {self._holder})

    def may_write(self, now: float) -> bool:
        """Return whether none of M, R and T can hold for the former holder."""
        return self._majority_blocked() and self._region_blocked() and self.waited(now)

    def _majority_blocked(self) -> bool:
        # The vote of the holder's host does not count: an earlier process of
        # that host may resume after a freeze and count itself as a witness.
        others = self._quorum.witnesses - {self._holder}
        needed = len(self._quorum.witnesses) - self._quorum.majority() + 1
        return not others or len(others & self._votes) >= needed

    def _region_blocked(self) -> bool:
        others = self._quorum.region_hosts - {self._holder}
        return not others or bool(others & self._votes)
