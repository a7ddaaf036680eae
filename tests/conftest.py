"""One hypothesis profile for all tests, so that every run is repeatable."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")
