"""Tests what hosts may use of divided limits after any loss and any restart.

Guards against customers that are refused for minutes after others were lost, and
against shares that two hosts use at the same time. `DIVIDED_LIMITS=all` plays all
cases, and `DIVIDED_LIMITS=N` the seed N.
"""

from __future__ import annotations

import itertools
import os
import random
from collections.abc import Callable
from typing import Final

import pytest

from samphirebend.gateway.sharelease import LEASE_S

from .hostfleet import (
    COLD_ALLOWED,
    LIMIT_PER_S,
    LIMIT_WINDOW_S,
    RATE_PER_S,
    Fleet,
)

SEVEN: Final = "abcabca"  # regions of seven hosts
SETTLE_S: Final = 15.0
RECOVER_S: Final = 15.0  # after the last change
CHECK_S: Final = 10.0
MIN_SERVED: Final = 0.95  # of a demand below the quota
MIN_USED: Final = 0.90  # of the rate under a demand above it
USUAL: Final = RATE_PER_S / 1.6
HEAVY: Final = 4.0 * RATE_PER_S
SAMPLE: Final = 48  # cases that run in CI
SEED: Final = 48

LOST: Final = {
    "one": ["h6"],
    "majority": ["h3", "h4", "h5", "h6"],
    "region": ["h0", "h3", "h6"],
    "all but one": ["h1", "h2", "h3", "h4", "h5", "h6"],
}
Step = Callable[[Fleet, list[str]], None]


def kill(fleet: Fleet, names: list[str]) -> None:
    fleet.kill(*names)


def stop(fleet: Fleet, names: list[str]) -> None:
    fleet.stop(*names)


def freeze(fleet: Fleet, names: list[str]) -> None:
    fleet.freeze(*names)
    fleet.lost |= set(names)


def cut(fleet: Fleet, names: list[str]) -> None:
    """Cut hosts off from the others and from the store."""
    fleet.cut(*names, store=False)
    fleet.lost |= set(names)


def cut_from_hosts(fleet: Fleet, names: list[str]) -> None:
    """Cut hosts off from the others only; the store lets them keep their shares."""
    fleet.cut(*names)


def mute(fleet: Fleet, names: list[str]) -> None:
    """Lose what hosts send to the others."""
    fleet.muted |= set(names)
    fleet.store.refused |= set(names)
    fleet.lost |= set(names)


def deafen(fleet: Fleet, names: list[str]) -> None:
    """Lose what the others send to hosts."""
    fleet.deaf |= set(names)
    fleet.store.refused |= set(names)
    fleet.lost |= set(names)


def restart_none(fleet: Fleet, names: list[str]) -> None:
    pass


def restart_some(fleet: Fleet, names: list[str]) -> None:
    fleet.restart(*names[: (len(names) + 1) // 2])


def restart_all(fleet: Fleet, names: list[str]) -> None:
    fleet.restart(*names)


def restart_in_turn(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        fleet.restart(name)
        fleet.run(2.0)


def replace_lost(fleet: Fleet, names: list[str]) -> None:
    """Start a host for each that was killed or has stopped."""
    for number, region in enumerate(SEVEN):
        if f"h{number}" not in fleet.hosts:
            fleet.start(f"new{number}", region)


def replace_in_turn(fleet: Fleet, names: list[str]) -> None:
    replace_lost(fleet, names)
    for name in names:
        region = fleet.hosts[name].region
        fleet.kill(name)
        fleet.start(f"{name}-new", region)
        fleet.run(3.0)


LOSSES: Final[list[Step]] = [kill, stop, freeze, cut, cut_from_hosts, mute, deafen]
RESTARTS: Final[list[Step]] = [
    restart_none,
    restart_some,
    restart_all,
    restart_in_turn,
    replace_lost,
    replace_in_turn,
]
STORES: Final = ["there", "away before", "away during", "away after"]
DEMANDS: Final = {"usual": USUAL, "heavy": HEAVY}
Case = tuple[str, Step, Step, str, str]


def all_cases() -> list[Case]:
    return list(itertools.product(LOST, LOSSES, RESTARTS, STORES, DEMANDS))


def chosen_cases() -> list[Case]:
    """Return the cases to play, drawn by a seed unless all are asked for."""
    chosen = os.environ.get("DIVIDED_LIMITS", str(SEED))
    if chosen == "all":
        return all_cases()
    return random.Random(int(chosen)).sample(all_cases(), SAMPLE)


def name_of(case: Case) -> str:
    lost, lose, restart, store, demand = case
    return "-".join([lost, lose.__name__, restart.__name__, store, demand])


class Story:
    """A fleet that goes through a loss and a restart."""

    def __init__(self, case: Case) -> None:
        lost, self.lose, self.restart, self.store, demand = case
        self.rng = random.Random(name_of(case))
        self.fleet = Fleet(SEVEN, DEMANDS[demand], self.rng.randrange(1000))
        self.lost = LOST[lost]
        self.left = [f"h{n}" for n in range(7) if f"h{n}" not in self.lost]

    def wait(self) -> None:
        self.fleet.run(self.rng.choice([0.3, 1.0, 3.0, 6.0, 9.0, 13.0, 20.0]))

    def set_store(self, is_away: bool) -> None:
        """Take the store away from all hosts, or give it back."""
        if is_away:
            self.fleet.store.refused = set(self.fleet.hosts) | set(self.left)
            return
        self.fleet.store.refused.clear()
        if self.lose in (cut, mute, deafen):
            self.fleet.store.refused = set(self.lost)

    def play(self) -> None:
        """Play until the last change."""
        self.fleet.run(SETTLE_S)
        if self.store == "away before":
            self.set_store(True)
            self.wait()
            self.set_store(False)
            self.wait()
        if self.store == "away during":
            self.set_store(True)
            self.wait()
        self.lose(self.fleet, self.lost)
        self.wait()
        if self.store == "away after":
            self.set_store(True)
            self.wait()
        self.restart(self.fleet, self.left)
        if self.store in ("away during", "away after"):
            self.wait()
            self.set_store(False)

    def heal(self) -> None:
        """Bring back the hosts that were frozen or cut off."""
        self.fleet.heal()
        self.fleet.thaw(*self.fleet.hosts)
        self.fleet.lost.clear()


def check(fleet: Fleet) -> None:
    """Check that what is due is served, and that no share is used twice."""
    fleet.run(RECOVER_S)
    served = fleet.served_share(CHECK_S)
    check_kept(fleet)
    is_usual = fleet.demand_per_s < RATE_PER_S
    assert served >= (MIN_SERVED if is_usual else MIN_USED)
    if not is_usual:
        used = len(fleet.limited_at) / (LIMIT_PER_S * LIMIT_WINDOW_S)
        assert used >= MIN_USED
    working = [host for host in fleet.hosts.values() if host.name not in fleet.lost]
    parts = [0.8 / host.members.count() for host in working]
    assert sum(parts) >= 0.75


def check_kept(fleet: Fleet) -> None:
    """Check that all hosts together keep the limits."""
    assert fleet.most <= 1.0
    assert fleet.most_limited <= 1.0
    running = [host for host in fleet.hosts.values() if host.runs]
    assert sum(0.8 / host.members.count() for host in running) <= 1.001
    for number in range(5):
        upstream = f"cold{number} at {fleet.clock.seconds()}"
        cold = sum(host.cold_requests(upstream) for host in running)
        assert cold <= COLD_ALLOWED


@pytest.mark.parametrize("case", chosen_cases(), ids=name_of)
def test_limits_are_kept_and_used_after_a_loss_and_a_restart(case: Case) -> None:
    story = Story(case)
    story.play()
    check(story.fleet)
    story.heal()
    check(story.fleet)


def test_hosts_left_of_a_lost_region_serve_after_a_restart() -> None:
    """Guards against quotas that wait for minutes for a region that is gone."""
    fleet = Fleet("bbcaaaa", USUAL)
    fleet.run(SETTLE_S)
    fleet.kill("h3", "h4", "h5", "h6")
    fleet.run(6.0)
    fleet.restart("h0", "h1", "h2")
    check(fleet)


def test_removed_host_that_hears_no_other_registers_again() -> None:
    """Guards a host with the store against waiting for hosts that it cannot hear."""
    fleet = Fleet(SEVEN, USUAL)
    fleet.run(SETTLE_S)
    fleet.cut("h6", store=False)
    fleet.run(30.0)
    assert "h6" not in fleet.store.present()
    fleet.store.refused.clear()
    check(fleet)
    assert "h6" in fleet.store.present()


def test_store_that_is_away_stops_no_host() -> None:
    """Guards against shares that end while all hosts are in contact."""
    fleet = Fleet(SEVEN, USUAL)
    fleet.run(SETTLE_S)
    fleet.store.refused = set(fleet.hosts)
    for _ in range(20):
        assert fleet.served_share(60.0) >= MIN_SERVED
    check_kept(fleet)


@pytest.mark.parametrize("lose", [stop, kill])
def test_host_lost_while_the_store_is_away_stops_others_until_it_returns(
    lose: Step,
) -> None:
    """Guards shares against a host that is not dead, but alone has the store.

    The others cannot tell it from one that is dead, and it may remove them.
    """
    fleet = Fleet(SEVEN, USUAL)
    fleet.run(SETTLE_S)
    fleet.store.refused = set(fleet.hosts)
    lose(fleet, ["h6"])
    assert fleet.served_share(LEASE_S - 2.0) >= MIN_SERVED
    fleet.run(60.0)
    fleet.heal()
    check(fleet)
