"""Blocking HTTP calls to daemons and stand-ins."""

from __future__ import annotations

import http.client
import socket
import subprocess
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes


def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Response:
    """Send one request on a new connection."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.request(method, path, body, headers or {})
        response = conn.getresponse()
        header_fields = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, header_fields, response.read())
    finally:
        conn.close()


def http_json(
    method: str, address: str, path: str, data: object = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send one request with JSON data.

    Return the status and the decoded JSON, or the raw body if it is not JSON.
    """
    body = None if data is None else msgspec.json.encode(data)
    headers = {"Content-Type": "application/json"} if body else {}
    response = call(method, address, path, body, headers, timeout_s)
    try:
        return response.status, msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return response.status, response.body


def read_after_end(
    address: str,
    path: str,
    headers: Mapping[str, str],
    process: subprocess.Popen[bytes],
    timeout_s: float = 20.0,
) -> bytes:
    """Send a GET request; read its response only after a process has ended."""
    ip, _, port = address.rpartition(":")
    with socket.socket() as sock:
        # A small buffer leaves most of the response with the sender.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        sock.settimeout(timeout_s)
        sock.connect((ip, int(port)))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        sock.sendall(f"GET {path} HTTP/1.1\r\n{lines}\r\n".encode())
        process.wait(timeout_s)
        received = b""
        try:
            while part := sock.recv(65536):
                received += part
        except ConnectionResetError:
            pass  # the caller gets what arrived before
        return received
