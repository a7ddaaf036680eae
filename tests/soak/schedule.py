"""Seeded schedules of faults; the same seed gives the same schedule."""

from __future__ import annotations

import random
from typing import Final

import msgspec

# Time at the start without faults, so that the system is seen to work.
QUIET_START_S: Final = 3.0
# Time at the end without faults, in which the system has to recover.
QUIET_END_S: Final = 9.0
MEAN_GAP_S: Final = 1.6
HOSTS: Final = 4
UPSTREAMS: Final = 6


class Fault(msgspec.Struct, frozen=True):
    """One fault; each kind is a class of its own."""

    at_s: float  # from the start of the load
    for_s: float


class KillHost(Fault, frozen=True):
    """SIGKILL; the process starts again afterwards."""

    host: int


class PauseHost(Fault, frozen=True):
    """SIGSTOP, then SIGCONT."""

    host: int


class StopHost(Fault, frozen=True):
    """SIGTERM; the process starts again after its end."""

    host: int


class ReloadHost(Fault, frozen=True):
    """SIGHUP, several times."""

    host: int


class CutHostFromStore(Fault, frozen=True):
    """Hold, refuse or reset what one host says to the store."""

    host: int
    how: str


class CutHostFromUpstreams(Fault, frozen=True):
    """Hold or reset the connections of one host to all upstreams."""

    host: int
    how: str


class DisturbStore(Fault, frozen=True):
    """Make the store refuse, stall, answer late, lose answers or its history."""

    how: str


class CrashUpstream(Fault, frozen=True):
    """Reset all connections; the upstream comes back as a new one, cold."""

    upstream: int


class DrainUpstream(Fault, frozen=True):
    """Announce the end of an upstream, then replace it by a new one."""

    upstream: int


class WeakenUpstream(Fault, frozen=True):
    """Make an upstream slow, or fail requests, or lose answers."""

    upstream: int
    how: str


class EvacuateZone(Fault, frozen=True):
    """Empty a failure domain for a while."""

    zone: int


class ChangeConfig(Fault, frozen=True):
    """Change the configuration, several times in a row."""

    count: int


STORE_CUTS: Final = ("freeze", "cut", "freeze_answers")
UPSTREAM_CUTS: Final = ("freeze", "cut", "freeze_requests", "freeze_answers", "delay")
STORE_TROUBLES: Final = ("down", "silent", "slow", "lost", "history")
WEAKNESSES: Final = ("slow", "failing", "lost")


def make_schedule(seed: int, seconds: float, hosts: int = HOSTS) -> list[Fault]:
    """Return the faults of a run, in order; some overlap."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = QUIET_START_S
    while True:
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
        for_s = rng.uniform(0.5, 4.0)
        if at_s + for_s > seconds - QUIET_END_S:
            return faults
        faults.append(_draw(rng, round(at_s, 3), round(for_s, 3), hosts))


def _draw(rng: random.Random, at_s: float, for_s: float, hosts: int) -> Fault:
    host, upstream = rng.randrange(hosts), rng.randrange(UPSTREAMS)
    store_cut, upstream_cut = rng.choice(STORE_CUTS), rng.choice(UPSTREAM_CUTS)
    makers = (
        lambda: KillHost(at_s, for_s, host),
        lambda: PauseHost(at_s, for_s, host),
        lambda: StopHost(at_s, for_s, host),
        lambda: StopHost(at_s, for_s, host),
        lambda: ReloadHost(at_s, for_s, host),
        lambda: CutHostFromStore(at_s, for_s, host, store_cut),
        lambda: CutHostFromUpstreams(at_s, for_s, host, upstream_cut),
        lambda: DisturbStore(at_s, for_s, rng.choice(STORE_TROUBLES)),
        lambda: CrashUpstream(at_s, for_s, upstream),
        lambda: DrainUpstream(at_s, for_s, upstream),
        lambda: WeakenUpstream(at_s, for_s, upstream, rng.choice(WEAKNESSES)),
        lambda: EvacuateZone(at_s, for_s + 3.0, host),
        lambda: ChangeConfig(at_s, for_s, rng.randint(1, 5)),
        lambda: ChangeConfig(at_s, for_s, 1),
    )
    return rng.choice(makers)()
