"""Tests for the token buckets of links."""

from __future__ import annotations

import math
from collections.abc import Mapping

from hypothesis import given, strategies as st

from samphirebend.callerblocks import empty_table
from samphirebend.links import LinkBudgets, LinkShare, wire_bytes
from samphirebend.manifest import Manifest, Region

SHARE: float = 1_000_000.0


class Share:
    """Link share of one shard, the same for all shards."""

    sending = SHARE
    receiving = SHARE / 5


def shares(manifest: Manifest, region: str, other: str) -> Mapping[str, LinkShare]:
    return {"h1": Share(), "h2": Share()}


def make_budgets(held: list[str]) -> tuple[LinkBudgets, Manifest]:
    regions = [Region("a", 1, ["d"]), Region("b", 1, ["e"])]
    manifest = Manifest("o", "latency", regions, [], [], [], empty_table())
    budgets = LinkBudgets("a", shares)
    budgets.apply(manifest, held, 0.0)
    return budgets, manifest


@given(
    st.lists(
        st.tuples(st.integers(1, 80_000), st.floats(0.0, 0.3), st.integers(0, 9)),
        max_size=150,
    )
)
def test_no_window_of_one_second_exceeds_the_share(
    steps: list[tuple[int, float, int]],
) -> None:
    # Includes changes between one and two held shards. A bucket that is
    # refilled by such a change would allow a second burst.
    budgets, manifest = make_budgets(["h1"])
    now, sent, held = 0.0, [], 1
    most = SHARE
    for size, step_s, change in steps:
        now += step_s
        if change == 0 and budgets.backlog("b", now) == 0.0:
            held = 3 - held
            budgets.apply(manifest, ["h1", "h2"][:held], now)
        most = max(most, held * SHARE)
        delay = budgets.reserve_send("b", min(size, budgets.piece_bytes("b")), now)
        sent.append((now + delay, min(size, budgets.piece_bytes("b"))))
    sent.sort()
    for first, (start, _) in enumerate(sent):
        window = [size for at, size in sent[first:] if at <= start + 1.0]
        assert sum(wire_bytes(size) for size in window) <= most + 1


def test_throughput_reaches_most_of_the_share() -> None:
    # The limit must not be kept by sending far less than the share.
    budgets, _ = make_budgets(["h1"])
    now, sent = 0.0, 0
    while now < 10.0:
        now += budgets.reserve_send("b", 16_384, now)
        sent += 16_384
    assert sent >= 0.8 * 10 * SHARE


def test_without_a_shard_nothing_may_be_sent() -> None:
    # A host without a lease would use the share of the host that holds it.
    budgets, _ = make_budgets([])
    assert math.isinf(budgets.reserve_send("b", 1, 1.0))
    assert budgets.reserve_send("a", 1, 1.0) == 0.0
    assert math.isinf(budgets.reserve_send("unknown", 1, 1.0))


def test_backlog_reports_without_reserving() -> None:
    # The backlog is queried for each relay. If that reserved bytes, the link
    # would seem busy without traffic.
    budgets, _ = make_budgets(["h1"])
    for _ in range(40):
        budgets.reserve_send("b", 16_384, 1.0)
    backlog = budgets.backlog("b", 1.0)
    assert backlog > 0.5
    assert budgets.backlog("b", 1.0) == backlog


def test_reading_has_its_own_bucket() -> None:
    # Reads from callers in the other region must not use the sending share.
    budgets, _ = make_budgets(["h1"])
    while budgets.reserve_receive("b", 10_000, 1.0) < 1.0:
        pass
    assert budgets.reserve_send("b", 10_000, 1.0) == 0.0
