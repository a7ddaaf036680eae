"""Token buckets for the links between this host's region and the others.

`requesthandler` and the relay code ask for a delay before each piece that they send to
another region or read from a caller there. The rates are the shares of the
shards that this host holds (see `shards.link_shares`), so that all hosts of a
region together stay within the region's part of the link.

Sizes are those of the serialised HTTP messages, heads and chunk framing
included. On top, each started segment of 1,448 bytes is charged 90 bytes for
Ethernet, IP and TCP, and 4% is charged for the acknowledgements that flow the
other way and for retransmissions. Together that is about 10% on full
segments.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

from .manifest import Manifest

SEGMENT_BYTES: Final = 1448
SEGMENT_OVERHEAD_BYTES: Final = 90
ACK_OVERHEAD: Final = 0.04
# Burst and one second at the rate add up to the share, so that no one-second
# window passes more than the share.
BURST_SHARE: Final = 0.1
RATE_SHARE: Final = 0.9


class LinkShare(Protocol):
    """A shard's part of a link in bytes per second, as `shards` gives it."""

    @property
    def sending(self) -> float: ...

    @property
    def receiving(self) -> float: ...


# Manifest, region and other region to the share of each shard.
LinkShares = Callable[[Manifest, str, str], Mapping[str, LinkShare]]


def wire_bytes(size_bytes: int) -> int:
    """Return the bytes on the link for a piece of an HTTP message.

    >>> wire_bytes(1448)
    1596
    """
    segments = max(1, math.ceil(size_bytes / SEGMENT_BYTES))
    return math.ceil(
        size_bytes * (1 + ACK_OVERHEAD) + segments * SEGMENT_OVERHEAD_BYTES
    )


class _Bucket:
    """Token bucket; a reservation ahead of time leaves a negative level."""

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
        """Change the share; what it gains starts empty."""
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
        """Take the bytes; return the seconds to wait, or infinity and take none."""
        self._refill(now)
        if self._share <= 0.0:
            return math.inf
        self._level -= size
        return self.wait(now)


class LinkBudgets:
    """Budgets of this host for sending to and reading from other regions."""

    __slots__ = ("_receive", "_region", "_send", "_shares")

    def __init__(self, region: str, shares: LinkShares) -> None:
        self._region = region
        self._shares = shares
        self._send: dict[str, _Bucket] = {}
        self._receive: dict[str, _Bucket] = {}

    def apply(self, manifest: Manifest, held: Iterable[str], now: float) -> None:
        """Set the rates for the manifest in force and the shards held."""
        names = list(held)
        for other in manifest.regions:
            if other == self._region:
                continue
            shares = self._shares(manifest, self._region, other)
            mine = [shares[name] for name in names if name in shares]
            send = sum(share.sending for share in mine)
            receive = sum(share.receiving for share in mine)
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

        Zero within the own region; infinite, and nothing reserved, if this
        host has no share. A longer piece than `piece_bytes`
        must be split.
        """
        return self._reserve(self._send, region, size_bytes, now)

    def reserve_receive(self, region: str, size_bytes: int, now: float) -> float:
        """Do the same for reading from a caller that is in the other region."""
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
        """Return the seconds until what is reserved for the region is sent."""
        if region == self._region:
            return 0.0
        bucket = self._send.get(region)
        return math.inf if bucket is None else bucket.wait(now)

    def piece_bytes(self, region: str, reading: bool = False) -> int:
        """Return the longest piece of one call, for the bound to hold."""
        if region == self._region:
            return 1 << 30
        bucket = (self._receive if reading else self._send).get(region)
        return 0 if bucket is None else max(0, int(bucket.burst() / 1.11) - 100)
