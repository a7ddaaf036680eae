"""Decides whether this host may still use its shares, from its contact to others.

Other hosts may divide the shares of a host that is lost. They have to be certain
that it has ceased to use them, so each host gives them up in time if it cannot
exclude that it is taken for lost:

- More than half of the voters may remove a host that is silent to them. A host
  therefore needs half of the voters.
- A host of the same region may remove a host that is silent to all that it hears
  and has not renewed its registration. A host to which one of its region is silent
  therefore needs a renewal that the store has acknowledged.
- After a longer time, hosts of other regions may do so, too.

A partition between regions leaves all hosts of a region in contact. A region that
is cut off from the store with half of the voters thus keeps its shares for some
minutes.
"""

from __future__ import annotations

import math
from typing import Final

# Time for which a host keeps its share without contact. Cuts of a few seconds
# cause no refusals.
KEEP_SHARE_S: Final = 20.0
# Silence after which a host may be removed. It exceeds KEEP_SHARE_S by the time
# for which the requests of that host count, and the age of reports.
REMOVE_S: Final = 35.0
# The same if only hosts of other regions are not in contact. While the store is
# away, one of them that fails must not cost all hosts their shares soon.
KEEP_DISTANT_S: Final = 300.0
REMOVE_DISTANT_S: Final = 330.0
# The same silences where a learner removes a host. Hosts that have the store have
# read of the learner by the first. The second outlasts a partition of an hour: a
# region without the store may not know that new hosts were started elsewhere.
REMOVE_BY_LEARNER_S: Final = 150.0
REMOVE_DISTANT_BY_LEARNER_S: Final = 3900.0
# Ages of the contact to the own region, and to the others, at which the
# registration is renewed.
RENEW_S: Final = 8.0
RENEW_DISTANT_S: Final = 60.0
# Time before the end of its share at which a host asks others not to count it in a
# majority. Those hosts have to give up their shares in time, too.
UNCERTAIN_BEFORE_S: Final = 10.0


class Contact:
    """Times of this host's last contact, in seconds."""

    __slots__ = (
        "_fleet_at",
        "_majority_at",
        "_reachable_at",
        "_region_at",
        "_renewed_at",
    )

    def __init__(self) -> None:
        self._majority_at = -math.inf  # to half of the voters
        # The same if those count that are uncertain.
        self._reachable_at = -math.inf
        self._region_at = -math.inf  # to all hosts of the own region
        self._fleet_at = -math.inf  # to all hosts
        self._renewed_at = -math.inf  # start of the last acknowledged renewal

    def update(
        self, majority: bool, reachable: bool, region: bool, fleet: bool, now: float
    ) -> None:
        """Record with whom this host is in contact."""
        if majority:
            self._majority_at = now
        if reachable:
            self._reachable_at = now
        if region:
            self._region_at = now
        if fleet:
            self._fleet_at = now

    def record_renewal(self, started_at: float) -> None:
        """Record a renewal that the store has acknowledged."""
        self._renewed_at = max(self._renewed_at, started_at)

    @property
    def was_made(self) -> bool:
        """Return whether this process has been in contact to a majority."""
        return not math.isinf(self._majority_at)

    def has_majority(self, now: float) -> bool:
        """Return whether half of the voters were in contact lately."""
        return now - self._majority_at < KEEP_SHARE_S

    def is_reachable(self, now: float) -> bool:
        """Return whether half of the voters hear this host, uncertain ones included."""
        return now - self._reachable_at < KEEP_SHARE_S

    def keeps_share(self, now: float) -> bool:
        """Return whether no other host can have removed this one."""
        return (
            self.has_majority(now)
            and self._region_age_s(now) < KEEP_SHARE_S
            and self._fleet_age_s(now) < KEEP_DISTANT_S
        )

    def is_uncertain(self, now: float) -> bool:
        """Return whether this host must not count in the majority of another."""
        return (
            self._region_age_s(now) >= KEEP_SHARE_S - UNCERTAIN_BEFORE_S
            or self._fleet_age_s(now) >= KEEP_DISTANT_S - UNCERTAIN_BEFORE_S
        )

    def needs_renewal(self, now: float) -> bool:
        """Return whether the registration is to be renewed.

        A host that hears no majority has lost its share anyway.
        """
        if not self.is_reachable(now):
            return False
        return (
            self._region_age_s(now) >= RENEW_S
            or self._fleet_age_s(now) >= RENEW_DISTANT_S
        )

    def _region_age_s(self, now: float) -> float:
        return now - max(self._region_at, self._renewed_at)

    def _fleet_age_s(self, now: float) -> float:
        return now - max(self._fleet_at, self._renewed_at)
