"""Stand-ins and process control for the scripts of the third review.

Only the standard library is used. The store, the targets and the clients run
in the process of the script; each gateway is a process of its own, started with
the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
MODULE: Final = "samphirebend.platform"
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"

Head = tuple[str, str, dict[str, str]]


# Below the ports that the system gives to connections, which may take a port that
# was free a moment ago.
PORTS: Final = range(18_000, 30_000)


def free_port(ip: str) -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        port = random.choice(PORTS)
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((ip, port))
            udp.bind((ip, port))
            return port


class Record:
    """Writes what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:9.3f}  {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a request's head: method, target and headers by lower-case name."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return method, target, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: versioned rows, feeds and transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        # Called with the head of each call; may delay it. False drops the answer.
        self.before: Callable[[Head], Awaitable[bool]] | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row; None deletes it. Return its version."""
        data = None if value is None else json.dumps(value).encode()
        return self.put_bytes(table, key, data)

    def put_bytes(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row of any bytes; None deletes it. Return its version."""
        self.version += 1
        self._set(table, key, value)
        self._notify()
        return self.version

    def _set(self, table: str, key: str, value: bytes | None) -> None:
        row: dict[str, Any] = {"table": table, "part": "", "key": key}
        row["ver"] = self.version
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self.rows[table, key] = row

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[2])
                if self.before is not None and not await self.before(head):
                    break
                status, fields = await self._handle(head, body)
                data = json.dumps(fields).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        writer.close()

    async def _handle(self, head: Head, body: bytes) -> tuple[int, dict[str, Any]]:
        method, target, _ = head
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/rows-get":
            return 200, self._read(query)
        if method == "GET" and url.path == "/rows-feed":
            return 200, await self._feed(query)
        if method == "POST" and url.path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _stamp(self, fields: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {**fields, "ver": self.version, "nowMs": now_ms}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, first = query["table"], query.get("from", "")
        most = min(500, int(query.get("maxItems", "500")))
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= first and "deleted" not in row
        ]
        return self._stamp({"rows": rows[:most], "hasMore": len(rows) > most})

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + min(30.0, int(query.get("waitMs", "0")) / 1000)
        while True:
            changed = self._changed
            rows = [
                row
                for (name, _), row in self.rows.items()
                if name == table and row["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self._stamp({"rows": rows})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for wanted in call.get("precondition", []):
            row = self.rows.get((wanted["table"], wanted["key"]))
            version = 0 if row is None or "deleted" in row else row["ver"]
            if version != wanted["ver"]:
                return 412, self._stamp({"rows": [row] if row else []})
        self.version += 1
        for row in call.get("writes", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("deletes", []):
            self._set(row["table"], row["key"], None)
        self._notify()
        return 200, self._stamp({})


class Run:
    """One request at a target, and the connection that it came on."""

    def __init__(
        self,
        target: Target,
        head: Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.target = target
        self.method, self.path, self.headers = head
        self.body = body
        self.reader = reader
        self.writer = writer

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.headers.get("attempt-id", "")

    def response(self, status: int = 200, body: bytes = b"ok", more: str = "") -> bytes:
        """Return the target's complete response."""
        seal = f"{self.target.name}.{self.request_id}.{status}.{len(body)}"
        return (
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {self.request_id}\r\n"
            f"Server-Seal: {seal}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def write(self, data: bytes) -> None:
        """Write bytes to the connection."""
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()


Handler = Callable[[Run], Awaitable[None]]


class Target:
    """A target that registers in the store and answers as its handler says."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = 3
        self.born = int(time.time() * 1000)
        self.address = ""
        self.work_s = 0.02
        self.handler: Handler | None = None
        self.runs: list[str] = []  # ids of the requests that it began to run
        self.word = "runs"  # for a request that has arrived, in the record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.register()

    def register(self, state: str = "ready", seq: int = 1) -> None:
        """Write the entry."""
        entry = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": seq, "coldLeftMs": 0},
        }
        self.store.put("servers", self.name, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                if head[2].get("expect-instance", self.name) != self.name:
                    writer.write(
                        b"HTTP/1.1 421 X\r\nNot-Executed: 1\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    continue
                body = await read_body(reader, head[2])
                run = Run(self, head, body, reader, writer)
                self.runs.append(run.request_id)
                self.record.line(f"{self.name} {self.word} {run.request_id} {run.path}")
                if self.handler is not None:
                    await self.handler(run)
                else:
                    await asyncio.sleep(self.work_s)
                    await run.write(run.response())
                if writer.is_closing():
                    break
        self._writers.discard(writer)
        writer.close()


_gateways: list[Gateway] = []


class Gateway:
    """A gateway process on loopback addresses."""

    def __init__(
        self,
        store: Store,
        folder: Path,
        name: str,
        zone: str,
        zones: dict[str, str],
        peer_port: int,
        ip: str = "127.0.0.1",
        memory_mb: int = 300,
        bounds: str = "",
    ) -> None:
        self.name = name
        self.ip = ip
        self.front, self.ready = free_port(ip), free_port(ip)
        self.directory = free_port(ip)
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        names = "\n".join(f'{zone} = "{region}"' for zone, region in zones.items())
        self._settings.write_text(
            f"""[self]
node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{zones[zone]}"
lossCounts = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cores = 1
memoryMb = {memory_mb}
fds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [{peer_port},{peer_port + 15}]
seeds = []
[network.listen]
front = "{ip}:{self.front}"
ready = "{ip}:{self.ready}"
directory = "{ip}:{self.directory}"
[network.zones]
{names}
[provider]
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[provider.provider]
address = "{store.address}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[terms.faultTolerance]
machines = 2
zones = 1
regions = 1
[terms.bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 4000
syncS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxSkewMs = 6000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
coldOver = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 15
ttl_max_s = 5
shiftMost = 0.15
{bounds}
"""
        )

    def start(self) -> None:
        """Start the process."""
        if self not in _gateways:
            _gateways.append(self)
        self._starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SAMPHIREBEND_NODE_FILE"] = str(self._settings)
        log = (self._folder / f"{self.name}-{self._starts}.log").open("wb")
        self.process = subprocess.Popen(
            ["python3", "-m", MODULE], cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            status, _, _ = await call(self.ip, self.ready, b"GET /ready", {}, 2.0)
        except (OSError, TimeoutError, ValueError):
            return False
        return status == 200

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the process is ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at and not self.ended:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def log_text(self) -> str:
        """Return what the process has written, over all starts."""
        return "".join(
            path.read_text(errors="replace")
            for path in sorted(self._folder.glob(f"{self.name}-*.log"))
        )

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Conn:
    """A client's connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Read one response; ValueError if it ends early."""
        try:
            data = await self.reader.readuntil(b"\r\n\r\n")
            lines = data.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            headers = {}
            for line in lines[1:]:
                name, sep, value = line.partition(":")
                if sep:
                    headers[name.strip().lower()] = value.strip()
            return status, headers, await read_body(self.reader, headers)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            raise ValueError(f"no complete response: {exc!r}") from exc

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def connect(ip: str, port: int) -> Conn:
    """Open a client's connection."""
    return Conn(*await asyncio.open_connection(ip, port, limit=1 << 20))


async def connect_with_small_window(ip: str, port: int, window: int) -> socket.socket:
    """Open a client's connection with a small window, as on a slow link."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, port))
    return sock


def request_bytes(line: bytes, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request; `line` is method and target."""
    fields = dict(headers)
    if body or line.startswith(b"POST"):
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return line + b" HTTP/1.1\r\n" + head.encode("latin-1") + b"\r\n" + body


async def call(
    ip: str,
    port: int,
    line: bytes,
    headers: dict[str, str],
    limit_s: float,
    body: bytes = b"",
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection."""
    conn = await asyncio.wait_for(connect(ip, port), limit_s)
    try:
        conn.writer.write(request_bytes(line, {"Host": "c.example", **headers}, body))
        return await asyncio.wait_for(conn.read_response(), limit_s)
    finally:
        conn.close()


_ids = itertools.count(1)


def client_headers(
    deadline_ms: int, thing: str = "17", host: str = "c.example"
) -> dict[str, str]:
    """Return the headers of a client's request, with a new id."""
    return {
        "Host": host,
        "Attempt-Id": f"{next(_ids):016x}",
        "Cookie": f"Affinity-Key={thing}",
        "Deadline-Ms": str(deadline_ms),
    }


def route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int = 2000, **more: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    spec = {
        "host": "c.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sticky": True,
        "homeRegions": [],
        **more,
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}


def service(name: str) -> dict[str, Any]:
    """Return a service of the configuration."""
    spec = {
        "healthPath": "/health",
        "maxConns": 330,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 2.5,
    }
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


def tenant(name: str, keys: list[str], **more: Any) -> dict[str, Any]:
    """Return a tenant of the configuration."""
    spec = {"apiKeys": keys, "priority": 1, "homeRegions": [], **more}
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": spec}


def config(version: int, *resources: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with the usual limits."""
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    limits = {"resourceKind": "limits", "metadata": {}, "spec": spec}
    return {"version": f"{version:08x}", "resources": [*resources, limits]}


def run_case(
    folder: Path, case: Callable[[Record, Path], Awaitable[bool]], limit_s: float = 110
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it failed.

    `case` gets the record and a temporary folder, and returns whether the rule
    was broken.
    """
    record = Record(folder)
    # Tasks of stand-ins that are cancelled at the end are no errors.
    logging.disable(logging.CRITICAL)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(
                asyncio.wait_for(case(record, Path(temporary)), limit_s)
            )
        record.line("the rule was broken" if broken else "the rule held")
        return int(broken)
    except Exception as exc:
        record.line(f"the case could not run: {exc!r}")
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        return 2
    finally:
        for gateway in _gateways:
            gateway.end()
        record.close()
