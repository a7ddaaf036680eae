"""Guards the packaging: the package must import from an installed tree."""

from __future__ import annotations

import samphirebend


def test_package_has_docstring() -> None:
    assert samphirebend.__doc__
