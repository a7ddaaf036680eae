"""Encoding of what hosts tell each other about quotas in heartbeats."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import Final

MAX_SILENCES: Final = 64  # silent hosts in one heartbeat
MAX_WANTS: Final = 60
MAX_GIFTS: Final = 120
_TIME_RANGE_MS: Final = 2**32
_RATE_STEP_PER_S: Final = 1 / 16
_LIFETIME_STEP_S: Final = 0.05
# Time of sending, digest of the list of hosts, counts of the parts.
_HEAD: Final = struct.Struct("<IIBBB")
_SILENCE: Final = struct.Struct("<IB")  # host, seconds; see `QuotaHosts`
_WANT: Final = struct.Struct("<IH")  # customer, rate
_GIFT: Final = struct.Struct("<IIHB")  # customer, host, tokens, lifetime


class Gift:
    """Tokens that one host transfers to another; they expire soon."""

    __slots__ = ("customer", "lifetime_s", "receiver", "tokens")

    def __init__(
        self, customer: int, receiver: int, tokens: int, lifetime_s: float
    ) -> None:
        self.customer = customer  # fingerprint
        self.receiver = receiver  # fingerprint of the host
        self.tokens = tokens
        self.lifetime_s = lifetime_s  # from the time of sending


class QuotaReport:
    """What one heartbeat says about quotas."""

    __slots__ = ("digest", "gifts", "sent_at", "silences", "wants")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at  # by the sender's clock, modulo 2^32 ms
        # Of the list of hosts that the sender knows; 0: it knows none.
        self.digest = 0
        self.silences: Mapping[int, float] = {}  # seconds, by host
        # Rate of tokens that the sender needs in addition, by customer.
        self.wants: Mapping[int, float] = {}
        self.gifts: list[Gift] = []


def encode_report(report: QuotaReport) -> bytes:
    """Return the encoded report; parts that are too long are cut off."""
    silences = list(report.silences.items())[:MAX_SILENCES]
    wants = list(report.wants.items())[:MAX_WANTS]
    gifts = report.gifts[:MAX_GIFTS]
    sent_ms = round(report.sent_at * 1000) % _TIME_RANGE_MS
    counts = len(silences), len(wants), len(gifts)
    parts = [_HEAD.pack(sent_ms, report.digest, *counts)]
    parts += [_SILENCE.pack(host, min(255, int(age_s))) for host, age_s in silences]
    parts += [
        _WANT.pack(customer, min(65535, round(per_s / _RATE_STEP_PER_S)))
        for customer, per_s in wants
    ]
    parts += [
        _GIFT.pack(
            gift.customer,
            gift.receiver,
            gift.tokens,
            int(gift.lifetime_s / _LIFETIME_STEP_S),
        )
        for gift in gifts
    ]
    return b"".join(parts)


def decode_report(data: bytes) -> QuotaReport | None:
    """Return the report of a heartbeat, or None if it is absent or damaged."""
    if len(data) < _HEAD.size:
        return None
    sent_ms, digest, silence_count, want_count, gift_count = _HEAD.unpack_from(data)
    wants_at = _HEAD.size + silence_count * _SILENCE.size
    gifts_at = wants_at + want_count * _WANT.size
    if len(data) != gifts_at + gift_count * _GIFT.size:
        return None
    report = QuotaReport(sent_ms / 1000)
    report.digest = digest
    if silence_count:
        report.silences = dict(_SILENCE.iter_unpack(data[_HEAD.size : wants_at]))
    if not want_count and not gift_count:
        return report
    report.wants = {
        customer: rate * _RATE_STEP_PER_S
        for customer, rate in _WANT.iter_unpack(data[wants_at:gifts_at])
    }
    report.gifts = [
        Gift(customer, receiver, tokens, lifetime * _LIFETIME_STEP_S)
        for customer, receiver, tokens, lifetime in _GIFT.iter_unpack(data[gifts_at:])
    ]
    return report


class DelayTracker:
    """Estimates how much longer than usual a heartbeat has taken.

    The clocks of hosts differ by unknown amounts, so a delay is relative to the
    smallest one of the last minutes. Older ones are dropped because clocks
    drift.
    """

    __slots__ = ("_count", "_incarnation", "_newer", "_older", "_switched_at")

    _PERIOD_S: Final = 300.0  # clocks drift by less than 30 ms in it
    MIN_SAMPLES: Final = 3  # heartbeats after which the estimate is used

    def __init__(self) -> None:
        self._incarnation = 0
        self._reset(0, 0.0)

    def _reset(self, incarnation: int, now: float) -> None:
        self._incarnation = incarnation
        self._count = 0
        self._older = self._newer = float("inf")
        self._switched_at = now

    def is_new(self, incarnation: int) -> bool:
        """Return whether no heartbeat of this process has arrived before."""
        return incarnation != self._incarnation

    def extra_s(self, incarnation: int, sent_at: float, now: float) -> float | None:
        """Return the extra delay of a heartbeat, or None if it is not known."""
        if incarnation != self._incarnation:
            self._reset(incarnation, now)
        if now - self._switched_at > self._PERIOD_S:
            self._older, self._newer = self._newer, float("inf")
            self._switched_at = now
        range_s = _TIME_RANGE_MS / 1000
        # A difference near the range is a small negative one.
        offset = (now - sent_at) % range_s
        smallest = min(self._older, self._newer)
        if smallest < float("inf"):
            offset = (
                smallest + (offset - smallest + range_s / 2) % range_s - (range_s / 2)
            )
        self._newer = min(self._newer, offset)
        self._count += 1
        if self._count < self.MIN_SAMPLES:
            return None
        return offset - min(self._older, self._newer)
