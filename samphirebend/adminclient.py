"""Synchronous HTTP client of the admin interface for the command-line tool.

It uses the standard library's client, because the tool makes a few calls one
after the other and exits; an event loop would add startup time and hide the
order in which hosts are tried. The daemon does not use this module.
"""

from __future__ import annotations

import http.client
import time
from enum import Enum
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from .addresses import Address

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
_CHUNK_BYTES: Final = 64 * 1024


class CallFaultKind(Enum):
    """How far a failed call got."""

    NOT_SENT = "not sent"  # no connection; the host has not seen the request
    NO_RESPONSE = "no response"  # the host may have executed the request


class CallFault:
    """The reason why a call got no usable response."""

    __slots__ = ("kind", "text")

    def __init__(self, kind: CallFaultKind, text: str) -> None:
        self.kind = kind
        self.text = text


class Response:
    """Status and decoded JSON object of a response."""

    __slots__ = ("data", "status")

    def __init__(self, status: int, data: dict[str, Any]) -> None:
        self.status = status
        self.data = data


def call(
    admin: Address, path: str, timeout_s: float, body: object = None
) -> Result[Response, CallFault]:
    """Send a GET, or a POST if there is a body; wait at most `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    conn = http.client.HTTPConnection(admin.ip, admin.port, timeout=timeout_s)
    try:
        conn.connect()
    except OSError as exc:
        conn.close()
        return Err(CallFault(CallFaultKind.NOT_SENT, _describe_error(exc)))
    try:
        if body is None:
            conn.request("GET", path)
        else:
            headers = {"Content-Type": "application/json"}
            conn.request("POST", path, msgspec.json.encode(body), headers)
        _apply_deadline(conn, deadline)
        response = conn.getresponse()
        raw = _read_body(conn, response, deadline)
    except (OSError, http.client.HTTPException) as exc:
        return Err(CallFault(CallFaultKind.NO_RESPONSE, _describe_error(exc)))
    finally:
        conn.close()
    try:
        data = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError):
        data = None
    if not isinstance(data, dict):
        text = f"status {response.status}, not a JSON object"
        return Err(CallFault(CallFaultKind.NO_RESPONSE, text))
    return Ok(Response(response.status, data))


def _apply_deadline(conn: http.client.HTTPConnection, deadline: float) -> None:
    """Set the socket timeout to the time left; raise TimeoutError if none."""
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("timed out")
    # If the server closes the connection after the response, `getresponse`
    # passes the socket to the response and `conn.sock` is None.
    if conn.sock is not None:
        conn.sock.settimeout(remaining_s)


def _read_body(
    conn: http.client.HTTPConnection,
    response: http.client.HTTPResponse,
    deadline: float,
) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        _apply_deadline(conn, deadline)
        part = response.read1(_CHUNK_BYTES)
        if not part:
            break
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise http.client.HTTPException(
                f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
            )
        parts.append(part)
    content_length = response.getheader("Content-Length", "")
    # Unlike read(), read1() does not report a truncated body.
    if content_length.isdecimal() and int(content_length) != size:
        raise http.client.IncompleteRead(b"")
    return b"".join(parts)


def _describe_error(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
