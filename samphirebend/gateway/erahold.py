"""Holds what a store restored from a backup would undo.

The first snapshot of a new era may lack rows that were written shortly before
the restore, and may hold rows that were removed or replaced since the backup.
`EraHold` decides which of its rows take effect at once. A row that is written
in the new era always does, and live upstreams write their entries every 1.5 s,
so that an entry that is not used at first is used soon. No content of an entry
shows that it is later than its removal: hosts do not see every entry.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, unique
from functools import singledispatchmethod
from typing import Final

from .registry import UpstreamRegistry
from .updates import (
    EvacuationUpdate,
    Update,
    UpstreamMissing,
    UpstreamRemoved,
    UpstreamUpdate,
)

# Time for which an evacuation that had ended here does not begin again by a
# restored row. An evacuation written in the new era before the snapshot looks
# the same. With the greatest age of a copy (2.25 s) it takes effect within
# 4.85 s, and the bound is 5 s.
OLD_EVACUATION_HOLD_S: Final = 2.6
# Time for which an evacuation that the snapshot lacks stays in force. The
# operator writes it again within seconds, at no fixed time. If it has ended,
# its failure domain is only left unused for longer.
MISSING_EVACUATION_HOLD_S: Final = 8.0


@unique
class Origin(Enum):
    """How a row came into the store."""

    WRITTEN = "written"  # in its present era
    RESTORED = "restored"  # perhaps from a backup
    # As RESTORED, and this host had heard of its removal in an earlier era.
    RESTORED_REMOVED = "restored-removed"


class _HeldEvacuation:
    """A change of an evacuation that takes effect at a time."""

    __slots__ = ("due_at", "update")

    def __init__(self, update: EvacuationUpdate, due_at: float) -> None:
        self.update = update
        self.due_at = due_at


class EraHold:
    """Decides which restored rows take effect; times are in seconds."""

    __slots__ = ("_evacuations", "_registry", "counts")

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._registry = registry
        self._evacuations: dict[str, _HeldEvacuation] = {}  # keyed by zone
        # What was held since the last new era, by kind.
        self.counts: Counter[str] = Counter()

    def admit(self, update: Update, origin: Origin, now: float) -> Update | None:
        """Return the update that takes effect now, or None."""
        if origin is not Origin.WRITTEN:
            return self._admit_restored(update, origin, now)
        if isinstance(update, EvacuationUpdate):
            self._evacuations.pop(update.zone, None)
        return update

    def take_due(self, now: float) -> list[EvacuationUpdate]:
        """Return the held changes of evacuations whose time has passed."""
        due = [zone for zone, held in self._evacuations.items() if held.due_at <= now]
        return [self._evacuations.pop(zone).update for zone in due]

    @singledispatchmethod
    def _admit_restored(
        self, update: Update, origin: Origin, now: float
    ) -> Update | None:
        # A configuration is compared by its own version in `routingstate`.
        return update

    @_admit_restored.register
    def _(self, update: EvacuationUpdate, origin: Origin, now: float) -> Update | None:
        self._evacuations.pop(update.zone, None)
        if update.active == (update.zone in self._registry.evacuated):
            return None
        if not update.active:
            hold_s = MISSING_EVACUATION_HOLD_S
            self.counts["missing_evacuations"] += 1
        elif origin is Origin.RESTORED_REMOVED:
            hold_s = OLD_EVACUATION_HOLD_S
            self.counts["old_evacuations"] += 1
        else:
            return update
        self._evacuations[update.zone] = _HeldEvacuation(update, now + hold_s)
        return None

    @_admit_restored.register
    def _(self, update: UpstreamRemoved, origin: Origin, now: float) -> Update | None:
        known = self._registry.get(update.upstream_id)
        if known is None or known.removed_at is not None:
            return None
        self.counts["missing_upstreams"] += 1
        return UpstreamMissing(update.upstream_id)

    @_admit_restored.register
    def _(self, update: UpstreamUpdate, origin: Origin, now: float) -> Update | None:
        entry = update.entry
        known = self._registry.get(entry.upstream_id)
        if known is None:
            is_admitted = origin is Origin.RESTORED
        elif known.removed_at is not None:
            is_admitted = False
        elif entry.born_ms == known.entry.born_ms:
            # A start that drains does not become ready again. Other contents
            # of the entry may be older than what is known.
            is_admitted = entry.draining
        else:
            is_later = entry.born_ms > known.entry.born_ms
            is_admitted = is_later and origin is Origin.RESTORED
        if is_admitted:
            return update
        self.counts["old_upstreams"] += 1
        return None
