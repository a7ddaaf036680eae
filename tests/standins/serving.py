"""Shared code of the stand-ins: startup, connections and the control port.

The control port serves JSON over HTTP, with one request per connection.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import faulthandler
import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import h11
import msgspec

Handler = Callable[[str, str, bytes], object]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class StandIn(Protocol):
    """The servers of one stand-in process."""

    async def start(self) -> dict[str, int]:
        """Start listening; return the ports by name."""
        ...

    def control(self, method: str, target: str, body: bytes) -> object:
        """Handle a request on the control port; return the response data."""
        ...


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def next_event(conn: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the connection's next h11 event; read data as needed."""
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(await reader.read(65536))
    return event


async def _serve_control_request(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    conn = h11.Connection(h11.SERVER)
    request = await next_event(conn, reader)
    if not isinstance(request, h11.Request):
        return
    body = b""
    while isinstance(event := await next_event(conn, reader), h11.Data):
        body += event.data
    status, response_data = 200, b""
    try:
        method, target = request.method.decode(), request.target.decode()
        response_data = msgspec.json.encode(handler(method, target, body))
    except (ValueError, LookupError, TypeError, AttributeError) as exc:
        status, response_data = 400, msgspec.json.encode({"error": repr(exc)})
    headers = [("Content-Length", str(len(response_data))), ("Connection", "close")]
    writer.write(conn.send(h11.Response(status_code=status, headers=headers)) or b"")
    writer.write(response_data)
    await writer.drain()


async def _serve_control(handler: Handler, host: str) -> int:
    """Serve `handler(method, target, body)` as JSON; return the port."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_control_request(handler, reader, writer)
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, host, backlog=256)
    return int(server.sockets[0].getsockname()[1])


async def _serve(stand_in: StandIn, host: str) -> None:
    """Print the ports as one JSON line and serve until the process ends."""
    ports = await stand_in.start()
    control = await _serve_control(stand_in.control, host)
    line = msgspec.json.encode({"control": control, "ports": ports})
    print(line.decode(), flush=True)
    await asyncio.Event().wait()


def run_stand_in(make: Callable[[str, int, Any], StandIn]) -> None:
    """Serve `make(host, seed, config)` with the command line's arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--config", type=Path, required=True, help="JSON file")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    config = msgspec.json.decode(args.config.read_bytes())
    # `Child.print_stack` sends this signal if a stand-in does not respond.
    faulthandler.register(signal.SIGUSR1, all_threads=True)
    asyncio.run(_serve(make(args.host, args.seed, config), args.host))
