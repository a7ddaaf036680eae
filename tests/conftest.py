"""Hypothesis settings for all tests."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# The examples are fixed, so that a failure in CI can be reproduced anywhere.
settings.register_profile(
    "shared",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("shared")
