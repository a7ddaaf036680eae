"""Tests when a host has its share of the quotas, and how much of it after a start.

Guards against tokens that a process and its predecessor use together in excess of
their share.
"""

from __future__ import annotations

import random

from samphirebend.gateway.quotarelease import Release
from samphirebend.gateway.quotas import QuotaLimit, Quotas
from samphirebend.gateway.sharelease import LEASE_S

from .listmodel import ListModel
from .test_quotas import CUSTOMER, QUOTAS, SETTLE_S, WINDOW_S, Fleet, equal, make_host


def test_host_without_a_reserved_share_waits_for_others() -> None:
    # Hosts that did not know it may have used its tokens before.
    known, new = Quotas("h0", WINDOW_S, 0.0, 10.0), Quotas("h1", WINDOW_S, 0.0, 10.0)
    rows = ListModel(["h0"])
    rows.read(known.hosts, 0.0)
    known.hosts.update({}, True, 0.0)
    known.set_limits({CUSTOMER: QuotaLimit(2.0, 0.0)}, 0.0)
    rows.register("h1")
    new.hosts.begin_as_learner()
    new.set_limits({CUSTOMER: QuotaLimit(2.0, 0.0)}, 20.0)
    known_at, served_at = 22.0, []
    for number in range(200):
        now = 20.1 + number / 10
        if now >= known_at:
            rows.read(known.hosts, now)
        rows.read(new.hosts, now)
        known.hosts.update({"h1": now}, True, now)
        new.hosts.update({"h0": now}, True, now)
        new.merge("h0", 1, known.encode_report(now), now)
        if not new.take(CUSTOMER, now):
            served_at.append(now)
    assert known_at + WINDOW_S + 2.0 <= served_at[0] < known_at + WINDOW_S + 2.5


def test_host_that_hears_no_other_waits() -> None:
    # A host that is cut off cannot know whether a share is reserved for it.
    host = Quotas("h1", WINDOW_S, 0.0, 10.0)
    rows = ListModel(["h0"])
    rows.register("h1")
    host.hosts.begin_as_learner()
    host.set_limits({CUSTOMER: QuotaLimit(20.0, 0.0)}, 20.0)
    for number in range(200):
        now = 20.0 + number / 2
        rows.read(host.hosts, now)
        host.hosts.update({"h0": 0.0}, True, now)
        assert host.take(CUSTOMER, now)


def test_process_and_successors_leave_each_other_their_tokens() -> None:
    # A process uses and gives all that it may at once; successors do so, too.
    rng = random.Random(7)
    for share in (3, 4, 7, 50):
        for _ in range(40):
            assert play_processes(Release(share, 0.1, WINDOW_S), rng) <= share


def play_processes(release: Release, rng: random.Random) -> int:
    """Return the most tokens that processes use in a window, one after another."""
    now, uses = 0.0, list[float]()
    for start_s in (-100.0, *[rng.uniform(0.0, 8.0) for _ in range(3)]):
        started_at = now + min(0.0, start_s)
        end = now + (rng.uniform(0.1, 9.0) if start_s < 0 else start_s)
        used, given = list[float](), list[tuple[float, int]]()
        while now < end:
            used = [at for at in used if at > now - WINDOW_S]
            given = [gift for gift in given if gift[0] > now]
            lifetime_s = rng.choice([0.0, 0.4, 2.05])
            age_s = now - started_at
            free = release.free(used, given, lifetime_s, now)
            if age_s < WINDOW_S + 2.05:
                charged = len(used) + sum(tokens for _, tokens in given)
                free = min(free, release.after(age_s) - charged)
            tokens = free if rng.random() < 0.5 else min(free, 1)
            if tokens > 0 and not lifetime_s:
                used += [now] * tokens
                uses += [now] * tokens
            elif tokens > 0:
                given.append((now + lifetime_s + WINDOW_S, tokens))
                uses += [now + lifetime_s] * tokens
            now += rng.uniform(0.01, 1.0)
        now = end
    return max(sum(at - WINDOW_S < use <= at for use in uses) for at in uses)


def test_suspended_host_has_no_share_when_it_resumes() -> None:
    host = make_host()
    assert not host.take(CUSTOMER, 20.0)
    assert host.take(CUSTOMER, 20.0 + LEASE_S + 1.0)
    host.hosts.update({}, True, 50.0)
    assert host.take(CUSTOMER, 51.0)


def test_cut_off_host_gives_up_its_share_before_others_take_it() -> None:
    fleet = Fleet(7, QUOTAS[1], equal(7, 80.0))
    fleet.run(SETTLE_S)
    fleet.side[0] = 1
    fleet.run(LEASE_S - 1.0)
    assert fleet.hosts[0].hosts.has_share(fleet.now)
    while fleet.hosts[0].hosts.has_share(fleet.now):
        fleet.run(0.1)
    given_up_at = fleet.now
    fleet.run(5.0)
    assert not fleet.hosts[0].hosts.has_share(fleet.now)
    while len(fleet.hosts[1].hosts.names) == 7:
        fleet.run(0.1)
    assert fleet.now - given_up_at >= WINDOW_S
