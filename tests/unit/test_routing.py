"""Tests for the selection of upstreams and look-up hosts."""

from __future__ import annotations

from random import Random

from hypothesis import given, strategies as st

from samphirebend.routing import HostOption, choose_upstream, rank_hosts
from samphirebend.slotusage import SlotUsage
from samphirebend.upstreamrecord import DispatchOutcome

from .test_upstreamstate import make_states

ANSWERED = DispatchOutcome.ANSWERED


def test_failing_fast_attracts_no_traffic() -> None:
    # An upstream that fails fast has a low latency and all slots free, so that
    # each measure alone would prefer it.
    for measure in ("latency", "headroom"):
        states = make_states(3)
        for step in range(3):
            states.record_outcome("u1", ANSWERED, step, step + 0.05)
            states.record_outcome("u2", ANSWERED, step, step + 0.05)
            states.record_outcome("u0", DispatchOutcome.FAILED, step, step + 0.001)
        slot_usages = [
            SlotUsage("u0", 0, 3),
            SlotUsage("u1", 1, 3),
            SlotUsage("u2", 1, 3),
        ]
        chosen = {
            choose_upstream(slot_usages, states, measure, 3.0, Random(seed))
            for seed in range(20)
        }
        assert "u0" not in chosen


def test_latency_takes_the_faster_and_headroom_the_less_loaded() -> None:
    # Guards against a measure without effect on the choice.
    states = make_states(2)
    for step in range(5):
        states.record_outcome("u0", ANSWERED, step, step + 0.02)
        states.record_outcome("u1", ANSWERED, step, step + 0.08)
    slot_usages = [SlotUsage("u0", 1, 3), SlotUsage("u1", 0, 3)]
    assert choose_upstream(slot_usages, states, "latency", 5.1, Random(1)) == "u0"
    assert choose_upstream(slot_usages, states, "headroom", 5.1, Random(1)) == "u1"


def test_slow_sample_decays() -> None:
    # Without decay, an upstream with one slow sample is never used, and
    # therefore never measured, again.
    states = make_states(2)
    states.record_outcome("u0", ANSWERED, 0.0, 0.5)
    slot_usages = [SlotUsage("u0", 0, 3), SlotUsage("u1", 1, 3)]
    for now in range(1, 100):
        states.record_outcome("u1", ANSWERED, now - 0.05, now)
    assert choose_upstream(slot_usages, states, "latency", 99.0, Random(1)) == "u0"


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 4)), max_size=6),
    st.sampled_from(["latency", "headroom"]),
    st.integers(0, 100),
)
def test_chosen_upstream_has_a_slot(
    sizes: list[tuple[int, int]], measure: str, seed: int
) -> None:
    # A request sent to a full upstream would be refused or exceed its limit.
    states = make_states(6)
    slot_usages = [
        SlotUsage(f"u{i}", used, limit) for i, (used, limit) in enumerate(sizes)
    ]
    chosen = choose_upstream(slot_usages, states, measure, 0.0, Random(seed))
    free = {usage.upstream for usage in slot_usages if usage.in_flight < usage.limit}
    assert chosen in free if free else chosen is None


def test_lookup_ranks_region_then_delay_and_leaves_out_stopping() -> None:
    # Guards against callers sent to a distant host because it has free slots.
    options = [
        HostOption("far", False, 0.05, 9, 9, False),
        HostOption("near", False, 0.02, 0, 9, False),
        HostOption("own", True, 0.0, 0, 9, False),
        HostOption("stopping", True, 0.0, 9, 9, True),
    ]
    assert rank_hosts(options, Random(1)) == ["own", "near", "far"]


def test_lookup_weights_follow_free_slots() -> None:
    # Guards against callers that all choose the host with the most free slots,
    # and against a full host that is never tried again.
    options = [
        HostOption("full", True, 0.0, 0, 10, False),
        HostOption("half", True, 0.0, 5, 10, False),
        HostOption("free", True, 0.0, 10, 10, False),
    ]
    rng = Random(1)
    first = [rank_hosts(options, rng)[0] for _ in range(2000)]
    assert first.count("full") > 0
    assert 1.5 < first.count("free") / first.count("half") < 2.5
