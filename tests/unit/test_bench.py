"""Tests the parts of the benchmarks that the type checker cannot check."""

from __future__ import annotations

from unittest.mock import Mock, patch

import bench.__main__
from bench.decisions import choose_relay
from bench.fixtures import DaemonState, manifest_of
from bench.routing import measure_one


def test_all_benchmarks_are_called_with_valid_arguments() -> None:
    # Guards against `make bench` failing after the first benchmark, as it once
    # did.
    with (
        patch("bench.speed.main"),
        patch("bench.routing.ProcessPoolExecutor") as executor,
    ):
        pool = executor.return_value.__enter__.return_value = Mock()
        pool.map.return_value = []
        bench.__main__.main()
    assert pool.map.called


def test_relay_is_measured_with_peers_that_have_slots() -> None:
    # Guards against peers without a reported load, for which the choice is
    # cheaper.
    state = DaemonState(manifest_of(7, 42, regions=3))
    candidates = state.router._find_relay_candidates(
        state.manifest, "service0", True, 0.0
    )
    assert len(candidates) == 6
    assert all(candidate.total for candidate in candidates)
    choose_relay(state)


def test_routing_comparison_answers_requests() -> None:
    # Guards against a simulation in which requests fail although no fault is
    # simulated.
    line = measure_one(("calm", 0, "samphirebend", 3.0))
    assert "goodput 0.9" in line or "goodput 1.0" in line, line
