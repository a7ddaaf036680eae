"""Stand-ins of the platform for the review cases, and the gateway processes.

Everything runs in one asyncio process on loopback addresses: a store, targets
and clients. The gateways are separate processes, started with the command of
the deploy file. A stand-in does only what the users' pages say of it.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import ctypes
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
HOST_NAME = "h.example"
RUN_LIMIT_S = 112.0

PR_SET_PDEATHSIG = 1  # constant from <sys/prctl.h>

_ids = itertools.count(1)
_libc = ctypes.CDLL(None)


class Record:
    """Writes the events of a case to its record file, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one event."""
        at = time.monotonic() - self._start
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()

    def since_start(self, at: float) -> float:
        """Return a time of the monotonic clock on the clock of the record."""
        return at - self._start

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """A parsed HTTP message; header names are in lower case."""

    def __init__(self, first_line: str, headers: list[tuple[str, str]]) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = b""

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [line.partition(":")[::2] for line in lines[1:] if line]
    return Message(lines[0], [(name.lower(), text.strip()) for name, text in headers])


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message with a length or in chunks."""
    if "chunked" in message.header("transfer-encoding"):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(message.header("content-length") or 0))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its body."""
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


async def read_within(reader: asyncio.StreamReader, limit_s: float) -> Message:
    """Read a message with its body; raise TimeoutError if it takes too long."""
    async with asyncio.timeout(limit_s):
        return await read_message(reader)


def response(status: int, body: bytes, **headers: str) -> bytes:
    """Encode a response; underscores in header names become hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Base class of the stand-ins that serve HTTP connections."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return f"{self.ip}:{self.port}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the stand-in ends
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """End as a process does: stop listening, break off connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's store: versioned rows, feeds and transactions."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.version = 0
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or drop it if the value is None."""
        self.version += 1
        row: dict[str, Any] = {"table": table, "part": "", "key": key}
        row["ver"] = self.version
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self._rows[table, key] = row
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row that holds JSON."""
        self.put(table, key, json.dumps(value).encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await read_message(reader)
            status, fields = await self._answer(message)
            fields |= {"nowMs": int(time.monotonic() * 1000)}
            writer.write(response(status, json.dumps(fields).encode()))
            await writer.drain()

    async def _answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        _method, target, _protocol = message.first_line.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            return 200, self._read(query)
        if url.path == "/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/rows-tx":
            for row in json.loads(message.body)["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            return 200, {"ver": self.version}
        return 404, {}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        rows = sorted(
            (
                row
                for (table, _key), row in self._rows.items()
                if table == query["table"]
            ),
            key=lambda row: row["key"],
        )
        present = [
            row
            for row in rows
            if "deleted" not in row and row["key"] >= query.get("from", "")
        ]
        most = min(500, int(query.get("maxItems", "500")))
        has_more = len(present) > most
        return {"rows": present[:most], "hasMore": has_more, "ver": self.version}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        ends_at = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        while True:
            changed, after = self._changed, int(query["after"])
            rows = [
                row
                for (table, _key), row in self._rows.items()
                if table == query["table"] and row["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return {"rows": rows, "ver": self.version}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


class Arrival:
    """A request that reached a target."""

    def __init__(self, message: Message, target: str) -> None:
        self.message = message
        self.target = target
        self.at = time.monotonic()
        self.request_id = message.header("attempt-id")
        self.path = message.first_line.split(" ")[1]


# Serves one request that a target runs.
Work = Callable[["Target", Arrival, asyncio.StreamWriter], Awaitable[None]]


class Target(Server):
    """A target of one service, which registers itself in the store."""

    def __init__(
        self,
        ip: str,
        store: Store,
        name: str,
        service: str,
        work: Work,
        zone: str = "zone-a",
    ) -> None:
        super().__init__(ip)
        self.name = name
        self.arrivals: list[Arrival] = []
        self._store = store
        self._service = service
        self._zone = zone
        self._work = work
        self._sequence = 0
        self._born = int(time.time() * 1000)

    def register(self, state: str = "ready") -> None:
        """Write this target's entry to the store."""
        self._sequence += 1
        info = {"service": self._service, "zone": self._zone, "version": "v1"}
        self._store.put_json(
            "servers",
            self.name,
            {
                "address": self.address,
                "born": self._born,
                "info": info | {"slots": 32},
                "status": {"state": state, "seq": self._sequence, "coldLeftMs": 0},
            },
        )

    def withdraw(self) -> None:
        """Remove this target's entry from the store."""
        self._store.put("servers", self.name, None)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await read_message(reader)
            expected = message.header("expect-instance")
            if expected and expected != self.name:
                writer.write(response(421, b"", Instance_Id=self.name))
                continue
            arrival = Arrival(message, self.name)
            self.arrivals.append(arrival)
            await self._work(self, arrival, writer)
            await writer.drain()


def sealed(arrival: Arrival, body: bytes) -> bytes:
    """Return the complete good answer of a target."""
    return response(200, body, Attempt_Id=arrival.request_id, Server_Seal="seal")


def free_port(ip: str, used: set[int]) -> int:
    """Return a port of the address that nothing uses."""
    while True:
        # Below the range from which outgoing connections get their ports.
        port = random.randrange(10_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            if port not in used:
                used.add(port)
                return port


def _end_with_parent() -> None:
    """Let the kernel kill this process when its parent ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        store: Store,
        name: str,
        ip: str,
        seeds: list[str] | None = None,
        bounds: dict[str, float] | None = None,
    ) -> None:
        self.name, self.ip = name, ip
        self._record = record
        used: set[int] = set()
        self.front, self.ready = free_port(ip, used), free_port(ip, used)
        self.directory, self.peer = free_port(ip, used), free_port(ip, used)
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        terms = {
            "drainMs": 2500,
            "configApplyMs": 2500,
            "evacMs": 5000,
            "graceS": 6,
            "budgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 56,
            "coldOver": 1.5,
            "coldSlack": 5,
            "ttl_max_s": 5,
        } | (bounds or {})
        self._settings.write_text(
            f"""
[self]
node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
[self.limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
fds = 4100
linkMbps = 1000.0
[network]
portRange = [{self.peer}, {self.peer}]
seeds = {json.dumps(seeds or [])}
[network.listen]
front = "{ip}:{self.front}"
ready = "{ip}:{self.ready}"
directory = "{ip}:{self.directory}"
[network.zones]
zone-a = "region-a"
[provider]
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[provider.provider]
address = "{store.address}"
form = "table"
writesPerS = 400
readsPerS = 2000
[terms.bounds]
"""
            + "".join(f"{key} = {value}\n" for key, value in terms.items())
        )

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = str(deploy["roles"]["gateway"]["run"]).split()
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SAMPHIREBEND_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self._record.write("gateway-started", gateway=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write("gateway-signal", gateway=self.name, signal=number.name)
        self.process.send_signal(number)

    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        fields = text.split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6 if fields else 0.0

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the readiness check returns 200."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await call(self.ip, self.ready, b"GET /ready HTTP/1.1\r\n")
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready after {timeout_s} s")

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case could not run, whether or not the rule holds."""


async def call(ip: str, port: int, first_line: bytes, timeout_s: float = 5) -> Message:
    """Send a request without a body on a new connection."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(first_line + b"Host: a\r\nConnection: close\r\n\r\n")
        return await read_within(reader, timeout_s)
    finally:
        writer.close()


def new_id(prefix: str = "") -> str:
    """Return an id for one client attempt."""
    return f"{prefix}{next(_ids):012x}"


def request_head(
    method: str, path: str, request_id: str, deadline_ms: int, length: int = 0
) -> bytes:
    """Encode the head of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Attempt-Id: {request_id}",
        f"Cookie: Affinity-Key={path}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration as the operator writes it to `op/config`."""
    resources: list[dict[str, Any]] = []
    for route in routes:
        spec: dict[str, Any] = {
            "host": HOST_NAME,
            "timeoutMs": 5000,
            "sloMs": 800,
            "priority": 1,
            "maxAttempts": 2,
            "sticky": True,
            "homeRegions": [],
        }
        spec |= route
        name = f"r-{route['prefix'].strip('/')}"
        resources.append(
            {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}
        )
    policy = {
        "healthPath": "/health",
        "maxConns": 330,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 2.5,
    }
    for service in services:
        resources.append(
            {"resourceKind": "services", "metadata": {"name": service}, "spec": policy}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": resources}


class Case:
    """What a case needs: stand-ins, gateways, and whether trouble is on."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.folder = folder
        self.store = Store("127.0.0.1")
        self.gateways: list[Gateway] = []
        self.targets: list[Target] = []

    async def add_target(
        self, name: str, service: str, work: Work, register: bool = True
    ) -> Target:
        """Start a target."""
        target = Target("127.0.0.1", self.store, name, service, work)
        await target.start()
        if register:
            target.register()
        self.targets.append(target)
        return target

    def add_gateway(self, index: int, **options: Any) -> Gateway:
        """Start a gateway on a loopback address of its own."""
        gateway = Gateway(
            self.folder,
            self.record,
            self.store,
            f"front-{index}",
            f"127.0.0.{10 + index}",
            **options,
        )
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def record_runs(self) -> None:
        """Record which target ran which request."""
        for target in self.targets:
            for arrival in target.arrivals:
                self.record.write(
                    "ran",
                    id=arrival.request_id,
                    target=target.name,
                    at=round(self.record.since_start(arrival.at), 3),
                )

    def end(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.end()
        for target in self.targets:
            target.stop()
        self.store.stop()


def run_case(script: str, body: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case and exit; `body` returns whether the rule held."""
    record = Record(Path(script).resolve().parent / "record.txt")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(Path(folder), record)
            record.write("case-started", trouble=case.trouble)
            try:
                await case.store.start()
                async with asyncio.timeout(RUN_LIMIT_S):
                    held = await body(case)
            finally:
                case.record_runs()
                case.end()
            return HELD if held else BROKEN

    try:
        status = asyncio.run(run())
    except Exception as exc:
        traceback.print_exc()
        record.write("could-not-run", why=repr(exc))
        status = NOT_RUN
    record.write("case-ended", status=status)
    record.close()
    sys.stdout.write(f"exit status {status}\n")
    sys.exit(status)
