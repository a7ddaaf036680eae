"""Tests the log formats and that the log contains no payloads."""

from __future__ import annotations

import json
import sys
import warnings
from collections.abc import Iterator
from io import StringIO
from typing import Any, cast

import pytest
from loguru import logger
from twisted.logger import LogBeginner, Logger, LogPublisher

from samphirebend.logs import configure_logging

SECRET = "print-123"


@pytest.fixture
def stream() -> Iterator[StringIO]:
    yield StringIO()
    logger.remove()
    logger.configure(extra={})
    logger.add(sys.stderr)


def fail_with(secret: str) -> None:
    raise ValueError("wrong")


def test_json_lines_carry_bound_fields_and_no_payload(stream: StringIO) -> None:
    # Guards against records that span several lines, missing fields, payloads,
    # and values of variables in tracebacks.
    configure_logging("INFO", "json", "norra-1", stream, None)
    log = logger.bind(request_id="r1", body=SECRET, level="x", chunk=SECRET.encode())
    log.info("two\nlines \ud800")
    logger.debug("not shown")
    try:
        fail_with(SECRET)
    except ValueError:
        logger.exception("failed")
    first, second = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert first["message"] == "two\nlines ?"
    assert (first["host"], first["request_id"]) == ("norra-1", "r1")
    assert (first["level"], first["field_level"]) == ("INFO", "x")
    assert first["chunk"] == "(9 bytes)"
    assert "ValueError: wrong" in second["traceback"]
    assert SECRET not in stream.getvalue()


def test_human_form_keeps_a_record_on_one_line(stream: StringIO) -> None:
    # Guards against forged records through values that contain line breaks.
    configure_logging("INFO", "human", "norra-1", stream, None)
    logger.bind(service="a\n2026 ERROR forged").warning("look-up")
    (line,) = stream.getvalue().splitlines()
    assert "WARNING" in line
    assert r"service=a\n2026 ERROR forged" in line
    assert "host=norra-1" in line


def test_twisted_failures_are_logged(stream: StringIO) -> None:
    # Guards against unreported failures of Deferreds.
    publisher = LogPublisher()
    beginner = LogBeginner(publisher, StringIO(), sys, warnings)
    configure_logging("INFO", "json", "norra-1", stream, beginner)
    log: Any = Logger(namespace="test", observer=cast(Any, publisher))
    log.info("Starting factory")
    log.warn("braces {{}} stay")
    try:
        fail_with(SECRET)
    except ValueError:
        log.failure("lost {what}", what="peer")
    warn, failure = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert (warn["level"], warn["message"]) == ("WARNING", "braces {} stay")
    assert (failure["level"], failure["message"]) == ("CRITICAL", "lost peer")
    assert "ValueError: wrong" in failure["traceback"]
    assert failure["source"] == "test"
