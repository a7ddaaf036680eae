"""Token buckets that limit the traffic between this host's region and others.

Before a piece is sent to another region, or read from a caller there, its
bytes are reserved through `router.LinkPacer`. It is passed on after the
returned delay. The rates are the sums of the link shares of the shards that
this host holds (see `shards.link_shares`), so that all hosts of a region
together stay within the region's budget of the link.

Sizes are those of the serialised HTTP messages, including heads and chunk
framing. In addition, each started segment of 1,448 bytes is charged 90 bytes
for Ethernet, IP and TCP headers, and 4% is charged for the acknowledgements in
the opposite direction and for retransmissions. Together this is about 10% for
full segments.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

from .manifest import Manifest

SEGMENT_BYTES: Final = 1448
SEGMENT_OVERHEAD_BYTES: Final = 90
# Share of the size that is added for acknowledgements and retransmissions.
ACK_OVERHEAD: Final = 0.04
# Burst size in seconds at the full share, and refill rate relative to the
# share. The burst and one second of refill add up to the share, so that the
# traffic of no window of one second exceeds it.
BURST_SHARE: Final = 0.1
RATE_SHARE: Final = 0.9


class LinkShare(Protocol):
    """A shard's share of a link in bytes per second."""

    @property
    def sending(self) -> float: ...

    @property
    def receiving(self) -> float: ...


# Function of the manifest, this region and the other region. Returns the link
# share of each shard of this region.
LinkShares = Callable[[Manifest, str, str], Mapping[str, LinkShare]]


def wire_bytes(size_bytes: int) -> int:
    """Return the bytes that a piece of an HTTP message takes on the link.

    >>> wire_bytes(1448)
    1596
    """
    segments = max(1, math.ceil(size_bytes / SEGMENT_BYTES))
    return math.ceil(
        size_bytes * (1 + ACK_OVERHEAD) + segments * SEGMENT_OVERHEAD_BYTES
    )


class _Bucket:
    """Token bucket; reservations ahead of time make its level negative."""

    __slots__ = ("_level", "_level_at", "_share")

    def __init__(self, now: float) -> None:
        self._share = 0.0  # bytes per second
        self._level = 0.0  # bytes
        self._level_at = now

    def _refill(self, now: float) -> None:
        age_s = max(0.0, now - self._level_at)
        self._level_at = max(self._level_at, now)
        self._level = min(
            self._share * BURST_SHARE,
            self._level + age_s * self._share * RATE_SHARE,
        )

    def set_share(self, share: float, now: float) -> None:
        """Change the share. An increase adds no tokens at once."""
        self._refill(now)
        self._share = share
        self._level = min(self._level, share * BURST_SHARE)

    def burst(self) -> float:
        return self._share * BURST_SHARE

    def wait(self, now: float) -> float:
        """Return the seconds until all reserved bytes have been sent."""
        self._refill(now)
        if self._level >= 0.0:
            return 0.0
        if self._share <= 0.0:
            return math.inf
        return -self._level / (self._share * RATE_SHARE)

    def reserve(self, size: int, now: float) -> float:
        """Reserve the bytes; return the seconds to wait before sending them.

        Return infinity and reserve nothing if the share is zero.
        """
        self._refill(now)
        if self._share <= 0.0:
            return math.inf
        self._level -= size
        return self.wait(now)


class LinkBudgets:
    """Token buckets of this host for traffic to and from other regions."""

    __slots__ = ("_receive", "_region", "_send", "_shares")

    def __init__(self, region: str, shares: LinkShares) -> None:
        self._region = region
        self._shares = shares
        # Buckets for sending and for receiving, keyed by the other region.
        self._send: dict[str, _Bucket] = {}
        self._receive: dict[str, _Bucket] = {}

    def apply(self, manifest: Manifest, held: Iterable[str], now: float) -> None:
        """Set the rates for the manifest in force and the shards held."""
        names = list(held)
        for other in manifest.regions:
            if other == self._region:
                continue
            shares = self._shares(manifest, self._region, other)
            held_shares = [shares[name] for name in names if name in shares]
            send = sum(share.sending for share in held_shares)
            receive = sum(share.receiving for share in held_shares)
            self._bucket(self._send, other, now).set_share(send, now)
            self._bucket(self._receive, other, now).set_share(receive, now)
        for buckets in (self._send, self._receive):
            for other in set(buckets) - set(manifest.regions):
                del buckets[other]

    @staticmethod
    def _bucket(buckets: dict[str, _Bucket], other: str, now: float) -> _Bucket:
        if other not in buckets:
            buckets[other] = _Bucket(now)
        return buckets[other]

    def reserve_send(self, region: str, size_bytes: int, now: float) -> float:
        """Reserve the bytes; return the seconds to wait before sending them.

        Return zero within this host's region. Return infinity and reserve
        nothing if this host has no share of the link. Pieces longer than
        `piece_bytes` must be split.
        """
        return self._reserve(self._send, region, size_bytes, now)

    def reserve_receive(self, region: str, size_bytes: int, now: float) -> float:
        """Reserve bytes to be read from a caller in the region.

        The result is that of `reserve_send`.
        """
        return self._reserve(self._receive, region, size_bytes, now)

    def _reserve(
        self, buckets: dict[str, _Bucket], region: str, size_bytes: int, now: float
    ) -> float:
        if region == self._region:
            return 0.0
        bucket = buckets.get(region)
        if bucket is None:
            return math.inf
        return bucket.reserve(wire_bytes(size_bytes), now)

    def backlog(self, region: str, now: float) -> float:
        """Return the seconds until the region's reserved bytes are sent."""
        if region == self._region:
            return 0.0
        bucket = self._send.get(region)
        return math.inf if bucket is None else bucket.wait(now)

    def piece_bytes(self, region: str, reading: bool = False) -> int:
        """Return the maximum size of one reservation in bytes.

        A larger piece would exceed the burst, and with it the limit.
        """
        if region == self._region:
            return 1 << 30  # no limit within the region
        bucket = (self._receive if reading else self._send).get(region)
        # The inverse of `wire_bytes`, rounded down: the bytes on the link are
        # at most 1.1022 times the size plus 91.
        return 0 if bucket is None else max(0, int(bucket.burst() / 1.11) - 100)
