"""Control port of the stand-ins: JSON over HTTP, one request a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11
import msgspec

Handler = Callable[[str, str, bytes], object]


async def next_event(conn: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the connection's next event, reading as much as it needs."""
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(await reader.read(65536))
    return event


async def _answer(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    conn = h11.Connection(h11.SERVER)
    request = await next_event(conn, reader)
    if not isinstance(request, h11.Request):
        return
    body = b""
    while isinstance(event := await next_event(conn, reader), h11.Data):
        body += event.data
    status, answer = 200, b""
    try:
        method, target = request.method.decode(), request.target.decode()
        answer = msgspec.json.encode(handler(method, target, body))
    except (ValueError, LookupError, TypeError, AttributeError) as exc:
        status, answer = 400, msgspec.json.encode({"error": repr(exc)})
    headers = [("Content-Length", str(len(answer))), ("Connection", "close")]
    writer.write(conn.send(h11.Response(status_code=status, headers=headers)) or b"")
    writer.write(answer)
    await writer.drain()


async def serve_control(handler: Handler, host: str, port: int) -> int:
    """Serve `handler(method, target, body)` as JSON; return the port."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _answer(handler, reader, writer)
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, host, port, backlog=256)
    return int(server.sockets[0].getsockname()[1])
