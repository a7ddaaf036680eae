"""Encoding of what hosts tell each other about quotas in heartbeats."""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping
from typing import Final

MAX_NOTES: Final = 64  # hosts that are silent or suspected, in one heartbeat
MAX_WANTS: Final = 60
MAX_GIFTS: Final = 120
_TIME_RANGE_MS: Final = 2**32
_RATE_STEP_PER_S: Final = 1 / 16
_LIFETIME_STEP_S: Final = 0.05
_LIST_AGE_STEP_S: Final = 0.1
_NO_LIST_AGE: Final = 255
# Time of sending, digest and age of the list of hosts, counts of the parts.
_HEAD: Final = struct.Struct("<IIBBBB")
_NOTE: Final = struct.Struct("<IB")  # host, bits of what is said of it
_IS_SILENT: Final = 1
_IS_SUSPECTED: Final = 2
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

    __slots__ = (
        "digest",
        "gifts",
        "list_age_s",
        "sent_at",
        "silent",
        "suspected",
        "wants",
    )

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at  # by the sender's clock, modulo 2^32 ms
        # Of the list of hosts that the sender knows; 0: it knows none.
        self.digest = 0
        # Time since that list was known to be current; infinite: for long.
        self.list_age_s = math.inf
        # Hosts that the sender does not hear, and those whose registrations may be
        # deleted, by their fingerprints.
        self.silent: frozenset[int] = frozenset()
        self.suspected: frozenset[int] = frozenset()
        # Rate of tokens that the sender needs in addition, by customer.
        self.wants: Mapping[int, float] = {}
        self.gifts: list[Gift] = []


def encode_report(report: QuotaReport) -> bytes:
    """Return the encoded report; parts that are too long are cut off."""
    notes = _notes(report)
    # A suspected host that is left out would rely on the age of the list.
    is_whole = len(notes) <= MAX_NOTES
    list_age = _encode_list_age(report.list_age_s) if is_whole else _NO_LIST_AGE
    notes = notes[:MAX_NOTES]
    wants = list(report.wants.items())[:MAX_WANTS]
    gifts = report.gifts[:MAX_GIFTS]
    sent_ms = round(report.sent_at * 1000) % _TIME_RANGE_MS
    counts = len(notes), len(wants), len(gifts)
    parts = [_HEAD.pack(sent_ms, report.digest, list_age, *counts)]
    parts += [_NOTE.pack(host, bits) for host, bits in notes]
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


def _notes(report: QuotaReport) -> list[tuple[int, int]]:
    """Return what is said of each host, as bits."""
    return [
        (
            host,
            _IS_SILENT * (host in report.silent)
            + _IS_SUSPECTED * (host in report.suspected),
        )
        for host in [*report.suspected, *(report.silent - report.suspected)]
    ]


def _encode_list_age(age_s: float) -> int:
    """Return the age in steps, rounded up."""
    if age_s >= _NO_LIST_AGE * _LIST_AGE_STEP_S:
        return _NO_LIST_AGE
    return math.ceil(max(0.0, age_s) / _LIST_AGE_STEP_S)


def decode_report(data: bytes) -> QuotaReport | None:
    """Return the report of a heartbeat, or None if it is absent or damaged."""
    if len(data) < _HEAD.size:
        return None
    sent_ms, digest, list_age, *counts = _HEAD.unpack_from(data)
    note_count, want_count, gift_count = counts
    wants_at = _HEAD.size + note_count * _NOTE.size
    gifts_at = wants_at + want_count * _WANT.size
    if len(data) != gifts_at + gift_count * _GIFT.size:
        return None
    report = QuotaReport(sent_ms / 1000)
    report.digest = digest
    if list_age != _NO_LIST_AGE:
        report.list_age_s = list_age * _LIST_AGE_STEP_S
    if note_count:
        notes = list(_NOTE.iter_unpack(data[_HEAD.size : wants_at]))
        report.silent = frozenset(host for host, bits in notes if bits & _IS_SILENT)
        report.suspected = frozenset(
            host for host, bits in notes if bits & _IS_SUSPECTED
        )
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
