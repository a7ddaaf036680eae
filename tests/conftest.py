"""Settings shared by all tests."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# Fixed examples: a failure in CI must be the same failure on every machine.
settings.register_profile(
    "shared",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("shared")
