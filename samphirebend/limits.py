"""Limits on the slots and connections that this host uses.

The request path reserves a slot before it dispatches a request. The limits are
those of the shards whose leases this host holds. Each limit is the minimum
over the active manifest version and all versions applied after it. Reductions
thus apply immediately, and additional slots only after `activate`, which is
called once no other host exceeds its new limits.
"""

from __future__ import annotations

from result import Err, Ok, Result

from .errorcodes import ErrorKind
from .manifest import Manifest, Upstream
from .shards import assign_region_upstreams, cap_shares
from .slotusage import SlotUsage


class Slot:
    """A reserved slot of an upstream."""

    __slots__ = ("in_use", "overflow", "region", "shard", "upstream")

    def __init__(self, upstream: str, region: str, shard: str) -> None:
        self.upstream = upstream
        self.shard = shard  # its lease must be valid at the dispatch
        self.region = region
        self.in_use = True
        self.overflow = False  # whether a full region relayed its request


class _Takeovers:
    """Times of shard takeovers and the latest time that `Limits` was given."""

    __slots__ = ("now", "taken_at")

    def __init__(self) -> None:
        self.now = 0.0
        self.taken_at: dict[str, float] = {}  # keyed by shard


class _LimitSet:
    """Limits of each shard under one manifest version.

    Shards and shares of a region are computed on first use, because a host
    uses only those of its own region.
    """

    __slots__ = (
        "_caps",
        "_held",
        "_held_regions",
        "_held_upstreams",
        "_shards",
        "manifest",
        "version",
    )

    def __init__(self, version: int, manifest: Manifest) -> None:
        self.version = version
        self.manifest = manifest
        # Shards, keyed by region and upstream.
        self._shards: dict[str, dict[str, str]] = {}
        # Shares of the region's cap, keyed by region and shard.
        self._caps: dict[str, dict[str, int]] = {}
        # The shards held for which the two attributes below were computed.
        self._held: frozenset[str] = frozenset()
        self._held_regions: frozenset[str] = frozenset()
        # Upstreams whose shards are held, keyed by service.
        self._held_upstreams: dict[str, list[Upstream]] = {}

    def shards(self, region: str) -> dict[str, str]:
        """Return the shard of each upstream of a region."""
        if region not in self._shards:
            self._shards[region] = assign_region_upstreams(self.manifest, region)
        return self._shards[region]

    def shard(self, upstream: str) -> str | None:
        """Return an upstream's shard, None if it is not configured."""
        configured = self.manifest.upstreams.get(upstream)
        return self.shards(configured.region)[upstream] if configured else None

    def find(self, upstream: str, held: frozenset[str]) -> Upstream | None:
        """Return the upstream if its shard is held, otherwise None."""
        configured = self.manifest.upstreams.get(upstream)
        if configured is None or configured.region not in self.held_regions(held):
            return None
        return configured if self.shards(configured.region)[upstream] in held else None

    def held_regions(self, held: frozenset[str]) -> frozenset[str]:
        """Return the regions of the shards held.

        Upstreams of other regions are not usable on this host.
        """
        if held != self._held:
            self._held = held
            hosts = self.manifest.hosts
            names = (hosts[shard].region for shard in held if shard in hosts)
            self._held_regions = frozenset(names)
            self._held_upstreams.clear()
        return self._held_regions

    def held_upstreams(self, service: str, held: frozenset[str]) -> list[Upstream]:
        """Return a service's upstreams whose shards are held.

        Cached, because each request would otherwise go over all upstreams of
        the service.
        """
        self.held_regions(held)
        if service not in self._held_upstreams:
            configured = self.manifest.services.get(service)
            upstreams = configured.upstreams if configured else []
            self._held_upstreams[service] = [
                u for u in upstreams if self.find(u.name, held)
            ]
        return self._held_upstreams[service]

    def cap(self, region: str, held: frozenset[str], takeovers: _Takeovers) -> int:
        """Return the part of a region's cap that this host may use.

        After a takeover, requests of the former holder may occupy the slots of
        the shard until they time out. These slots are subtracted from the
        shard's share of the cap.
        """
        if region not in self._caps:
            known = region in self.manifest.regions
            self._caps[region] = cap_shares(self.manifest, region) if known else {}
        occupied: dict[str, int] = {}
        if takeovers.taken_at:
            for name, shard in self.shards(region).items():
                if self.awaits_former_holder(name, takeovers):
                    slots = self.manifest.upstreams[name].slots
                    occupied[shard] = occupied.get(shard, 0) + slots
        return sum(
            max(0, share - occupied.get(shard, 0))
            for shard, share in self._caps[region].items()
            if shard in held
        )

    def awaits_former_holder(self, upstream: str, takeovers: _Takeovers) -> bool:
        """Return whether a former holder's requests may still be running."""
        taken_at = takeovers.taken_at.get(self.shard(upstream) or "")
        service = self.manifest.services[self.manifest.upstreams[upstream].service]
        return taken_at is not None and takeovers.now < taken_at + service.timeout_s


class Limits:
    """Slots and connections in use on this host."""

    __slots__ = (
        "_active",
        "_connections",
        "_drained",
        "_held",
        "_in_flight",
        "_pending",
        "_region_in_flight",
        "_takeovers",
        "_usable_by_service",
    )

    def __init__(self) -> None:
        self._active: _LimitSet | None = None
        # Limit sets newer than the active one, in ascending order.
        self._pending: list[_LimitSet] = []
        self._held: frozenset[str] = frozenset()
        self._in_flight: dict[str, int] = {}  # keyed by upstream
        self._region_in_flight: dict[str, int] = {}  # keyed by region
        self._connections: dict[str, int] = {}  # keyed by upstream
        self._drained = 0  # highest version whose limits are not exceeded
        self._takeovers = _Takeovers()
        # Usable upstreams with their regions and limits, keyed by service.
        self._usable_by_service: dict[str, list[tuple[str, str, int]]] = {}

    def apply(self, version: int, manifest: Manifest, now: float) -> None:
        """Apply the reductions of a newer version, but no increases."""
        self._takeovers.now = max(self._takeovers.now, now)
        if version > self._newest_version():
            self._pending.append(_LimitSet(version, manifest))
            self._usable_by_service.clear()
            self._update_drained()

    def activate(self, version: int) -> None:
        """Allow the additional slots of an applied version."""
        for index, limit_set in enumerate(self._pending):
            if limit_set.version == version:
                self._active = limit_set
                del self._pending[: index + 1]
                self._usable_by_service.clear()
                return

    def active_version(self) -> int:
        """Return the active version, or 0 if there is none."""
        return self._active.version if self._active else 0

    def set_held(self, shards: frozenset[str], now: float) -> None:
        """Replace the set of shards whose slots this host may use."""
        self._takeovers.now = max(self._takeovers.now, now)
        if shards != self._held:
            self._held = shards
            self._usable_by_service.clear()
        self._forget_expired_takeovers()
        self._update_drained()

    def record_takeover(self, shard: str, now: float) -> None:
        """Withhold a shard while its former holder's requests may run."""
        self._takeovers.taken_at[shard] = now
        self._usable_by_service.clear()

    def reserve(self, upstream: str, now: float) -> Result[Slot, ErrorKind]:
        """Reserve a slot, or return the error that prevents it."""
        self._takeovers.now = max(self._takeovers.now, now)
        if not self._limit_sets():
            return Err(ErrorKind.NO_MANIFEST)
        configured = self._limit_sets()[-1].manifest.upstreams.get(upstream)
        if configured is None:
            return Err(ErrorKind.NO_UPSTREAM)
        if not self._usable(configured):
            return Err(ErrorKind.LEASE_LAPSED)
        if self._in_flight.get(upstream, 0) >= self._limit(upstream):
            return Err(ErrorKind.CAP_REACHED)
        if self._region_free(configured.region) < 1:
            return Err(ErrorKind.REGION_CAP_REACHED)
        _adjust(self._in_flight, upstream, 1)
        _adjust(self._region_in_flight, configured.region, 1)
        shard = self._limit_sets()[-1].shards(configured.region)[upstream]
        return Ok(Slot(upstream, configured.region, shard))

    def release(self, slot: Slot) -> None:
        """Release a slot, unless it has been released."""
        if slot.in_use:
            slot.in_use = False
            _adjust(self._in_flight, slot.upstream, -1)
            _adjust(self._region_in_flight, slot.region, -1)
            self._update_drained()

    def reserve_connection(self, upstream: str) -> Result[None, ErrorKind]:
        """Count a new connection, or return the error that prevents it."""
        limit_sets = self._limit_sets()
        if not limit_sets:
            return Err(ErrorKind.NO_MANIFEST)
        configured = limit_sets[-1].manifest.upstreams.get(upstream)
        if configured is None:
            return Err(ErrorKind.NO_UPSTREAM)
        if not self._usable(configured):
            return Err(ErrorKind.LEASE_LAPSED)
        limit = min(
            self._connection_limit(limit_set, upstream) for limit_set in limit_sets
        )
        if self._connections.get(upstream, 0) >= limit:
            return Err(ErrorKind.CAP_REACHED)
        _adjust(self._connections, upstream, 1)
        return Ok(None)

    def release_connection(self, upstream: str) -> None:
        """Count a closed connection."""
        _adjust(self._connections, upstream, -1)
        self._update_drained()

    def excess_connections(self) -> list[str]:
        """Return the upstreams with more connections than allowed."""
        limit_sets = self._limit_sets()
        return [
            name
            for name, count in self._connections.items()
            if any(
                count > self._connection_limit(limit_set, name)
                for limit_set in limit_sets
            )
        ]

    def slot_usages(self, service: str) -> list[SlotUsage]:
        """Return the slot usage of each usable upstream of a service."""
        in_flight = self._in_flight
        return [
            SlotUsage(name, in_flight.get(name, 0), limit)
            for name, _, limit in self._usable_upstreams(service)
        ]

    def free(self, service: str) -> int:
        """Return how many slots of a service can be reserved now."""
        free: dict[str, int] = {}
        for name, region, limit in self._usable_upstreams(service):
            unused = max(0, limit - self._in_flight.get(name, 0))
            free[region] = free.get(region, 0) + unused
        return sum(min(n, self._region_free(region)) for region, n in free.items())

    def total(self, service: str) -> int:
        """Return how many slots a service has at usable upstreams."""
        return sum(limit for _, _, limit in self._usable_upstreams(service))

    def _usable_upstreams(self, service: str) -> list[tuple[str, str, int]]:
        """Return the usable upstreams of a service with region and limit.

        Cached until a version or the shards held change, because each request
        needs them several times. Not cached while upstreams are withheld after
        a takeover, because they become usable by the passing of time.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = self._find_usable_upstreams(service)
            if not self._takeovers.taken_at:
                self._usable_by_service[service] = usable
        return usable

    def _find_usable_upstreams(self, service: str) -> list[tuple[str, str, int]]:
        if self._active is None:
            return []
        usable = []
        for upstream in self._limit_sets()[-1].held_upstreams(service, self._held):
            limit = self._limit(upstream.name)
            if limit and self._usable(upstream):
                usable.append((upstream.name, upstream.region, limit))
        return usable

    def shard_in_flight(self, shard: str) -> int:
        """Return how many requests are in flight at a shard's upstreams."""
        limit_sets = self._limit_sets()
        return sum(
            count
            for name, count in self._in_flight.items()
            if any(limit_set.shard(name) == shard for limit_set in limit_sets)
        )

    def drained_version(self) -> int:
        """Return the highest version whose limits are not exceeded."""
        return self._drained

    def _limit_sets(self) -> list[_LimitSet]:
        return ([self._active] if self._active else []) + self._pending

    def _newest_version(self) -> int:
        limit_sets = self._limit_sets()
        return limit_sets[-1].version if limit_sets else 0

    def _usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be used under all limit sets.

        Its shard must be held, and requests of a former holder must have
        ended.
        """
        if self._active is None:
            return False
        if any(
            not limit_set.find(upstream.name, self._held)
            for limit_set in self._limit_sets()
        ):
            return False
        return not any(
            p.awaits_former_holder(upstream.name, self._takeovers)
            for p in self._limit_sets()
        )

    def _limit(self, upstream: str) -> int:
        if self._active is None:
            return 0
        versions = [
            limit_set.find(upstream, self._held) for limit_set in self._limit_sets()
        ]
        return min(version.slots if version else 0 for version in versions)

    def _forget_expired_takeovers(self) -> None:
        """Forget takeovers older than the longest timeout of any service."""
        if not self._takeovers.taken_at or not self._limit_sets():
            return
        longest_s = max(
            service.timeout_s
            for limit_set in self._limit_sets()
            for service in limit_set.manifest.services.values()
        )
        for shard, taken_at in list(self._takeovers.taken_at.items()):
            if self._takeovers.now >= taken_at + longest_s:
                del self._takeovers.taken_at[shard]

    def _connection_limit(self, limit_set: _LimitSet, upstream: str) -> int:
        usable = limit_set.find(upstream, self._held)
        return usable.connections if usable else 0

    def _cap(self, region: str) -> int:
        if self._active is None:
            return 0
        return min(
            limit_set.cap(region, self._held, self._takeovers)
            for limit_set in self._limit_sets()
        )

    def _region_free(self, region: str) -> int:
        return max(0, self._cap(region) - self._region_in_flight.get(region, 0))

    def _update_drained(self) -> None:
        for limit_set in reversed(self._limit_sets()):
            if limit_set.version <= self._drained:
                return
            if self._is_within(limit_set):
                self._drained = limit_set.version
                return

    def _is_within(self, limit_set: _LimitSet) -> bool:
        """Return whether all slots and connections are within a limit set."""
        for name, count in self._in_flight.items():
            usable = limit_set.find(name, self._held)
            if count > (usable.slots if usable else 0):
                return False
        for name, count in self._connections.items():
            if count > self._connection_limit(limit_set, name):
                return False
        return all(
            count <= limit_set.cap(region, self._held, self._takeovers)
            for region, count in self._region_in_flight.items()
        )


def _adjust(counts: dict[str, int], name: str, change: int) -> None:
    count = counts.get(name, 0) + change
    if count > 0:
        counts[name] = count
    else:
        counts.pop(name, None)
