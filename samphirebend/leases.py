"""Shard leases: validity at the holder, grants and votes, takeover steps.

`leasekeeper` runs these classes against peers and the table. A lease of
(shard, generation) is valid while the holder has one of: grants of a majority
of witnesses (M), grants of all other configured hosts of the region (R), its
own recent renewal of the table row (T). A takeover blocks all three before it
writes generation + 1.

Assumptions: clock rates differ from real time by at most 1%, and at most one
process at a time receives messages at a host's peer address. A former process
of a host may resume after a freeze and may still send and hold a lease.
"""

from __future__ import annotations

from typing import Final

RENEW_MARGIN_S: Final = 1.5
# Two clocks that are each within 1% of real time differ by up to 2.03%.
CLOCK_DRIFT_FACTOR: Final = 1.03
PROCESSING_MARGIN_S: Final = 0.05
NEVER: Final = float("-inf")


def blocking_time(lease_s: float) -> float:
    """Return how long a witness or an observer waits for a lease to expire."""
    return lease_s * CLOCK_DRIFT_FACTOR + PROCESSING_MARGIN_S


class Quorum:
    """The hosts whose grants count for a lease, as its table row records them.

    A lease keeps these sets across manifest changes until its holder has
    written others to the row. Holder and candidate would otherwise count
    majorities of different sets, which need not intersect.
    """

    __slots__ = ("region_hosts", "witnesses")

    def __init__(self, witnesses: frozenset[str], region_hosts: frozenset[str]) -> None:
        self.witnesses = witnesses
        self.region_hosts = region_hosts  # configured hosts of the shard's region

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Quorum)
            and self.witnesses == other.witnesses
            and self.region_hosts == other.region_hosts
        )

    def __hash__(self) -> int:
        return hash((self.witnesses, self.region_hosts))

    def majority(self) -> int:
        """Return the number of witnesses, holder included, that condition M needs."""
        return len(self.witnesses) // 2 + 1


class _Lease:
    __slots__ = ("generation", "granted_at", "proposed", "quorum", "renewed_at")

    def __init__(self, generation: int, quorum: Quorum, renewed_at: float) -> None:
        self.generation = generation
        self.quorum = quorum
        self.proposed: list[Quorum] = []  # in writes that may yet take effect
        self.renewed_at = renewed_at  # send time of the last renewal
        self.granted_at: dict[str, float] = {}  # witness to send time


class HeldLeases:
    """Leases that this process holds, and how long each is valid."""

    __slots__ = ("_host", "_lease_s", "_leases")

    def __init__(self, host: str, lease_s: float) -> None:
        self._host = host
        self._lease_s = lease_s
        self._leases: dict[str, _Lease] = {}

    def acquire(
        self, shard: str, generation: int, quorum: Quorum, sent_at: float
    ) -> None:
        """Record an acknowledged write of the row that was sent at `sent_at`."""
        self._leases[shard] = _Lease(generation, quorum, sent_at)

    def drop(self, shard: str) -> None:
        """Give up a lease; the process must not use this generation again."""
        self._leases.pop(shard, None)

    def shards(self) -> dict[str, int]:
        """Return the leases held, valid or not, with their generations."""
        return {name: lease.generation for name, lease in self._leases.items()}

    def quorum(self, shard: str) -> Quorum | None:
        """Return the quorum that the holder last knew to be in the row."""
        lease = self._leases.get(shard)
        return lease.quorum if lease else None

    def propose_quorum(self, shard: str, quorum: Quorum) -> None:
        """Require old and new quorum from before the row is written with new ones."""
        proposed = self._leases[shard].proposed
        if quorum not in proposed:
            proposed.append(quorum)

    def confirm_quorum(self, shard: str, quorum: Quorum) -> None:
        """Record the row's quorum once no earlier write can change them."""
        self._leases[shard].quorum = quorum
        self._leases[shard].proposed.clear()

    def note_grant(
        self, shard: str, generation: int, witness: str, sent_at: float
    ) -> None:
        """Count a grant from the send time of the heartbeat that it answers."""
        lease = self._leases.get(shard)
        if lease is None or lease.generation != generation or witness == self._host:
            return
        lease.granted_at[witness] = max(sent_at, lease.granted_at.get(witness, NEVER))

    def note_renewal(self, shard: str, generation: int, sent_at: float) -> None:
        """Count an acknowledged renewal of the row from its send time."""
        lease = self._leases.get(shard)
        if lease is not None and lease.generation == generation:
            lease.renewed_at = max(lease.renewed_at, sent_at)

    def valid(self, shard: str, now: float) -> bool:
        """Tell whether M, R or T holds."""
        lease = self._leases.get(shard)
        if lease is None:
            return False
        return max(self._peers_until(lease), lease.renewed_at + self._lease_s) > now

    def granted_by_peers(self, shard: str, now: float) -> bool:
        """Tell whether M or R holds."""
        lease = self._leases.get(shard)
        return lease is not None and self._peers_until(lease) > now

    def needs_renewal(self, shard: str, now: float) -> bool:
        """Tell whether M and R have too little left, and T as well."""
        lease = self._leases.get(shard)
        if lease is None:
            return False
        until = max(self._peers_until(lease), lease.renewed_at + self._lease_s)
        return until < now + RENEW_MARGIN_S

    def _peers_until(self, lease: _Lease) -> float:
        """Return the end of M or R; both sets count while a change is pending."""
        both = [lease.quorum, *lease.proposed]
        majority = min(self._majority_at(lease, quorum) for quorum in both)
        region = min(self._region_at(lease, quorum) for quorum in both)
        return max(majority, region) + self._lease_s

    def _majority_at(self, lease: _Lease, quorum: Quorum) -> float:
        others = quorum.witnesses - {self._host}
        needed = quorum.majority() - (self._host in quorum.witnesses)
        if needed < 1:
            # A process that needs no other grant could never be blocked.
            return NEVER
        times = sorted(lease.granted_at.get(name, NEVER) for name in others)
        return times[-needed] if needed <= len(times) else NEVER

    def _region_at(self, lease: _Lease, quorum: Quorum) -> float:
        others = quorum.region_hosts - {self._host}
        return min(
            (lease.granted_at.get(name, NEVER) for name in others), default=NEVER
        )


class Witness:
    """Grants and votes of this process.

    A new process has lost its record of votes. Before its first grant for a
    shard it must therefore raise the revision of the shard's row ("fence"):
    a takeover that counts a vote of the former process then fails its
    conditional write. It abstains from voting until the grants of the former
    process have expired.
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
        self._known: dict[str, int] = {}  # newest generation known
        self._released: dict[str, int] = {}  # newest generation voted for
        self._granted_until: dict[str, float] = {}
        self._fenced: set[str] = set()
        self._unfenced: set[str] = set()  # asked for, not fenced yet

    def learn(self, shard: str, generation: int) -> None:
        """Note a generation that exists in a row or that a holder reported."""
        self._known[shard] = max(generation, self._known.get(shard, 0))

    def to_fence(self) -> list[str]:
        """Return shards for which a grant was refused because of a missing fence."""
        return sorted(self._unfenced)

    def note_fenced(self, shard: str, generation: int) -> None:
        """Record that this process raised the revision of a row with `generation`."""
        self.learn(shard, generation)
        self._fenced.add(shard)
        self._unfenced.discard(shard)

    def forget(self, shard: str) -> None:
        """Stop asking for a fence of a shard that has no row."""
        self._unfenced.discard(shard)

    def grant(self, shard: str, generation: int, now: float) -> bool:
        """Grant a lease from the time of receipt of a heartbeat, or refuse."""
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
        """Vote to release a generation and all before it, or abstain."""
        if now < self._started_at + self._blocking_s:
            return False
        if generation < self._known.get(shard, 0):
            return False
        if now < self._granted_until.get(shard, NEVER):
            return False
        self._released[shard] = max(generation, self._released.get(shard, 0))
        return True


class Takeover:
    """One candidate's attempt to take over one shard that another process holds."""

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
        self._votes: set[str] = set()
        self.generation = 0
        self.revision = 0
        self.round = first_round  # raised with each revision seen

    def observe(
        self, holder: str, generation: int, revision: int, quorum: Quorum, now: float
    ) -> None:
        """Note the row as just read; a new revision voids votes and waiting time.

        Votes given before the revision was first seen do not count, because
        the voter may have restarted and fenced the row since.
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

    def note_vote(self, witness: str, generation: int, round_: int) -> None:
        """Count a vote that answers a request of the current round."""
        if round_ == self.round and generation == self.generation:
            self._votes.add(witness)

    def waited(self, now: float) -> bool:
        """Tell whether the row was unchanged until any renewal has expired."""
        return now >= self._since + self._blocking_s

    def missing(self) -> list[str]:
        """Return the hosts that have not voted in this round."""
        hosts = self._quorum.witnesses | self._quorum.region_hosts
        return sorted(hosts - self._votes - {self._holder})

    def may_write(self, now: float) -> bool:
        """Tell whether M, R and T of the former holder are all blocked."""
        return self._majority_blocked() and self._region_blocked() and self.waited(now)

    def _majority_blocked(self) -> bool:
        # A vote of the holder's own host does not count: a former process of
        # that host, resumed after a freeze, still counts itself as a witness.
        others = self._quorum.witnesses - {self._holder}
        needed = len(self._quorum.witnesses) - self._quorum.majority() + 1
        return not others or len(others & self._votes) >= needed

    def _region_blocked(self) -> bool:
        others = self._quorum.region_hosts - {self._holder}
        return not others or bool(others & self._votes)
