"""Tests that the installed package can be imported."""

from __future__ import annotations

import samphirebend


def test_package_has_docstring() -> None:
    assert samphirebend.__doc__
