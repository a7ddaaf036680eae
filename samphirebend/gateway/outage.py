"""Tells when the store may lack entries of live upstreams.

Entries lapse while the store is away, and live upstreams write them again
within two seconds of its return. An entry that is missing later is gone. The
time counts from the return of the store, not from when a host hears of a
removal: a removal that is held must still take effect in time.

A store that was restored from a backup lacks entries as well, without an
outage and only in its first snapshot.
"""

from __future__ import annotations

import math
from typing import Final

# Time without a confirmation, by the store or a peer, that counts as an outage.
# It is shorter than the time in which an entry lapses, and longer than the age
# that `freshness` allows while the store responds to any host.
MIN_OUTAGE_S: Final = 2.5
# Time after the return of the store in which entries are written again.
RESTORE_S: Final = 2.2
# Time after the first snapshot of a restored store in which the entries that it
# lacks are written again (within 2 s) and delivered. Feeds of entries pause for
# up to 0.8 s, so that most are; a longer time would delay the end of upstreams
# that are gone.
RESTORED_SNAPSHOT_S: Final = 2.6


class StoreOutage:
    """Detects outages of the store from confirmations; times are in seconds."""

    __slots__ = ("_confirmed_at", "_restored_at", "_returned_at")

    def __init__(self) -> None:
        self._confirmed_at = math.inf  # until the first confirmation
        self._returned_at = -math.inf  # end of the last outage
        self._restored_at = -math.inf  # last first snapshot of a new era

    def confirm(self, as_of: float) -> None:
        """Record that the store, at a time, had no unknown change."""
        if as_of - self._confirmed_at > MIN_OUTAGE_S:
            self._returned_at = as_of
        if math.isinf(self._confirmed_at) or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def entries_may_be_missing(self, now: float) -> bool:
        """Return whether an entry that vanished may be one of a live upstream."""
        in_outage = now - self._confirmed_at > MIN_OUTAGE_S
        return in_outage or now < self._returned_at + RESTORE_S

    def record_restore(self, now: float) -> None:
        """Record that a table was read for the first time in a new era."""
        self._restored_at = now

    def removals_are_held(self, now: float) -> bool:
        """Return whether removals that are held must still wait."""
        in_restore = now < self._restored_at + RESTORED_SNAPSHOT_S
        return in_restore or self.entries_may_be_missing(now)
