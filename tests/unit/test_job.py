"""Tests the digest that tells apart uploads whose bodies are not buffered."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from samphirebend.job import Job


def make_upload(length: int, digest: bytes) -> Job:
    header = {b"content-digest": digest}
    req: Any = SimpleNamespace(
        method="PUT", headers=[], header=header, content_length=length
    )
    service: Any = None
    return Job(req, service, "/scan", "id", 1.0)


def test_streamed_uploads_to_one_target_are_told_apart() -> None:
    """Guards against one crashing upload that blocks all others."""
    first = make_upload(300_000, b"sha-256=:a:").body_digest()
    assert first == make_upload(300_000, b"sha-256=:a:").body_digest()
    assert first != make_upload(300_000, b"sha-256=:b:").body_digest()
    assert first != make_upload(300_001, b"sha-256=:a:").body_digest()
