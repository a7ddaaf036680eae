"""Stand-ins and process control for the scripts of review cases 6 to 10.

Only the standard library is used. The store, the targets and the clients run as
threads of the script's process; the gateways are the project's own program,
started as separate processes as the deploy file says.
"""

from __future__ import annotations

import base64
import contextlib
import ctypes
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes of a case; run.sh maps them, so that a crash is no broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# Bounds of the site files; a case may add some.
BOUNDS = {
    "contactMs": 4000,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacMs": 5000,
    "ttl_max_s": 5,
}


_used_ports: set[int] = set()


class CaseNotRun(Exception):
    """The case could not be set up."""


def _end_with_parent() -> None:
    """Let the kernel kill this process when the script ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def _on_term(number: int, frame: object) -> None:
    raise CaseNotRun("ended by a signal")


class Record:
    """Lines of record.txt, with seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def free_port(ip: str) -> int:
    """Return a port below the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        if port in _used_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Handler(BaseHTTPRequestHandler):
    """Base of the stand-ins' handlers: persistent connections, no log."""

    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, format: str, *args: object) -> None:
        pass

    def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read_body(self) -> bytes:
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self.rfile.read(size))
                self.rfile.readline()
            while self.rfile.readline().strip():
                pass
            return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def drop(self) -> None:
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        pass


def serve(ip: str, handler: type[Handler], port: int = 0) -> Server:
    server = Server((ip, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: rows, feeds, transactions and a drill."""

    def __init__(self, record: Record, ip: str = "127.0.0.1") -> None:
        self.record = record
        self.changed = threading.Condition()
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self.era = 0
        self.down = False  # away: each connection is closed without an answer
        self._copy: tuple[dict[tuple[str, str], dict[str, Any]], int] = ({}, 0)
        store = self

        class StoreHandler(Handler):
            def do_GET(self) -> None:
                store.read(self)

            def do_POST(self) -> None:
                store.transact(self)

        self.server = serve(ip, StoreHandler)
        self.address = f"{ip}:{self.server.server_address[1]}"

    def put(self, table: str, key: str, value: Any, note: str = "") -> float:
        """Write a row, or delete it if the value is None; return when."""
        with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                row["deleted"] = True
            else:
                text = json.dumps(value).encode()
                row["value"] = base64.b64encode(text).decode()
            self.rows[table, key] = row
            self.changed.notify_all()
        if note:
            self.record.add(f"store: {note} (version {self.version})")
        return time.monotonic()

    def has(self, table: str, key: str) -> bool:
        with self.changed:
            return "deleted" not in self.rows.get((table, key), {"deleted": True})

    def copy(self) -> None:
        """Keep a copy of all rows."""
        with self.changed:
            self._copy = dict(self.rows), self.version
        self.record.add(f"store: copy taken at version {self.version}")

    def go_away(self) -> None:
        with self.changed:
            self.down = True
            self.changed.notify_all()
        self.record.add("store: away")

    def come_back(self) -> None:
        """Return from the copy in a new era."""
        with self.changed:
            self.rows, self.version = dict(self._copy[0]), self._copy[1]
            self.era += 1
            self.down = False
            self.changed.notify_all()
        self.record.add(f"store: back, version {self.version}, era {self.era}")

    def _send(self, handler: Handler, status: int, fields: dict[str, Any]) -> None:
        fields = fields | {
            "ver": self.version,
            "nowMs": int(time.monotonic() * 1000),
        }
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        handler.reply(status, json.dumps(fields).encode(), headers)

    def read(self, handler: Handler) -> None:
        url = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        table = query.get("table", "")
        time.sleep(0.004)
        with self.changed:
            if self.down:
                handler.drop()
            elif url.path == "/rows-get":
                found = sorted(
                    (row["key"], row)
                    for (name, _), row in self.rows.items()
                    if name == table and "deleted" not in row
                )
                rows = [row for key, row in found if key >= query.get("from", "")]
                self._send(handler, 200, {"rows": rows, "hasMore": False})
            elif url.path == "/rows-feed":
                self._feed(handler, table, query)
            else:
                self._send(handler, 404, {})

    def _feed(self, handler: Handler, table: str, query: dict[str, str]) -> None:
        after, era = int(query["after"]), self.era
        ends_at = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        while True:
            if self.down or self.era != era:
                handler.drop()
                return
            if after > self.version:
                self._send(handler, 410, {})
                return
            rows = [
                row
                for (name, _), row in self.rows.items()
                if name == table and row["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: int(row["ver"]))
                self._send(handler, 200, {"rows": rows})
                return
            self.changed.wait(left_s)

    def transact(self, handler: Handler) -> None:
        body = json.loads(handler.read_body())
        time.sleep(0.008)
        with self.changed:
            if self.down:
                handler.drop()
                return
            for need in body.get("precondition", []):
                row = self.rows.get((need["table"], need["key"]), {"ver": 0})
                present = 0 if "deleted" in row else row["ver"]
                if present != need["ver"]:
                    self._send(handler, 412, {"rows": [row]})
                    return
            self.version += 1
            for row in body.get("writes", []):
                self.rows[row["table"], row["key"]] = row | {"ver": self.version}
            for row in body.get("deletes", []):
                gone = {"table": row["table"], "part": "", "key": row["key"]}
                gone |= {"ver": self.version, "deleted": True}
                self.rows[row["table"], row["key"]] = gone
            self.changed.notify_all()
            self._send(handler, 200, {})


class Target:
    """A target: runs requests and writes its entry every 1.5 s."""

    def __init__(
        self,
        record: Record,
        store: Store,
        name: str,
        service: str,
        zone: str,
        ip: str = "127.0.0.1",
        slots: int = 4,
        work_s: float = 0.02,
    ) -> None:
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.ran: list[tuple[float, str, dict[str, str]]] = []
        self.ended: dict[str, float] = {}  # when the work on a request ended
        self.running = 0
        self.draw_work_s = lambda: self.work_s
        # Called when a request has run; returns True if it has answered.
        self.fault: Callable[[Target, Handler, str], bool] | None = None
        self._written: tuple[str, int, str] | None = None
        self._stopped = threading.Event()
        target = self

        class TargetHandler(Handler):
            def do_GET(self) -> None:
                target.handle(self)

            def do_POST(self) -> None:
                target.handle(self)

        self.server = serve(ip, TargetHandler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while not self._stopped.is_set():
            self.write_entry()
            self._stopped.wait(1.5)

    def write_entry(self) -> None:
        if self.store.down:
            return
        self.seq += 1
        contents = self.state, self.born, self.address
        if contents == self._written and self.store.has("servers", self.name):
            return  # an entry changes when more than `seq` changes
        self._written = contents
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": self.state, "seq": self.seq, "coldLeftMs": 0}
        entry = {"address": self.address, "info": info, "status": status}
        self.store.put("servers", self.name, entry | {"born": self.born})

    def answer_headers(self, request_id: str) -> dict[str, str]:
        return {
            "Attempt-Id": request_id,
            "Server-Seal": f"seal.{self.name}.{request_id}",
            "Server-Load": f"{min(self.running, self.slots)},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }

    def handle(self, handler: Handler) -> None:
        body = handler.read_body()
        request_id = handler.headers.get("Attempt-Id", "")
        if handler.path == "/health":
            handler.reply(200, b"", {"Instance-Id": self.name})
            return
        if handler.headers.get("Expect-Instance", self.name) != self.name:
            handler.reply(421, b"", {"Attempt-Id": request_id, "Not-Executed": "1"})
            return
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.running += 1
        try:
            self.ran.append((time.monotonic(), request_id, headers))
            self.record.add(
                f"{self.name}: runs {request_id} {handler.command} {handler.path}"
                f" body={len(body)} tenant={headers.get('tenant', '-')}"
                f" deadline={headers.get('deadline-ms', '-')}"
            )
            if not self._work(handler.connection):
                self.record.add(f"{self.name}: drops {request_id}, caller closed")
                handler.close_connection = True
                return
            if self.fault is not None and self.fault(self, handler, request_id):
                return
            text = f"{self.name} {request_id}".encode()
            handler.reply(200, text, self.answer_headers(request_id))
        finally:
            self.ended.setdefault(request_id, time.monotonic())
            self.running -= 1

    def _work(self, conn: socket.socket) -> bool:
        """Work; return False at once if the caller closes the connection."""
        ends_at = time.monotonic() + self.draw_work_s()
        while (left_s := ends_at - time.monotonic()) > 0:
            if not select.select([conn], [], [], left_s)[0]:
                break
            try:
                if not conn.recv(1, socket.MSG_PEEK):
                    return False
            except OSError:
                return False
            time.sleep(min(0.01, left_s))  # bytes of a next request wait
        return True

    def stop(self) -> None:
        self._stopped.set()


def toml(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(toml(entry) for entry in value) + "]"
    return json.dumps(value)


class Gateway:
    """A machine of the system: one process and its settings file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        store: Store,
        name: str,
        zone: str,
        ip: str,
        zones: dict[str, str],
        bounds: dict[str, Any] | None = None,
        seeds: list[str] | None = None,
    ) -> None:
        self.record, self.folder, self.name, self.ip = record, folder, name, ip
        self.zone, self.region = zone, zones[zone]
        self._store, self._zones = store, zones
        self._bounds = BOUNDS | (bounds or {})
        self._seeds = seeds or []
        self.front, self.ready = free_port(ip), free_port(ip)
        self.directory, self.control = free_port(ip), free_port(ip)
        self.peer = free_port(ip)
        self.limits = {
            "cpuShare": 0.86,
            "cores": 1,
            "memoryMb": 300,
            "fds": 4100,
            "linkMbps": 1000.0,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    def settings(self) -> str:
        lines = [
            "[self]",
            f"node = {toml(self.name)}",
            'role = "gateway"',
            'machineClass = "front"',
            'serves = ["front", "directory"]',
            f"ip = {toml(self.ip)}",
            f"zone = {toml(self.zone)}",
            f"region = {toml(self.region)}",
            "lossCounts = false",
            "bootstrap = true",
            "[self.limits]",
            *(f"{k} = {toml(v)}" for k, v in self.limits.items()),
            "[network]",
            f"portRange = [{self.peer}, {self.peer}]",
            f"seeds = {toml(self._seeds)}",
            "[network.listen]",
            f'front = "{self.ip}:{self.front}"',
            f'ready = "{self.ip}:{self.ready}"',
            f'directory = "{self.ip}:{self.directory}"',
            "[network.zones]",
            *(f"{k} = {toml(v)}" for k, v in self._zones.items()),
            "[provider]",
            'discovery = "platform"',
            'entry = "directory"',
            "heartbeatMs = 1500",
            "[provider.provider]",
            f"address = {toml(self._store.address)}",
            'form = "table"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "[terms]",
            'contracts = ["base","drain","config","cost","retry","recover","places",'
            '"platform"]',
            "[terms.bounds]",
            *(f"{k} = {toml(v)}" for k, v in self._bounds.items()),
        ]
        return "\n".join(lines) + "\n"

    def write_settings(self) -> Path:
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.settings(), encoding="utf-8")
        return path

    def start(self) -> None:
        path = self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SAMPHIREBEND_NODE_FILE"] = str(path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "samphirebend.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.record.add(f"{self.name}: started, pid {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add(f"{self.name}: {number.name}")

    def await_end(self, limit_s: float) -> None:
        assert self.process is not None
        self.process.wait(limit_s)
        self.record.add(f"{self.name}: ended with {self.process.returncode}")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.record.add(f"{self.name}: killed")

    def is_ready(self) -> bool:
        try:
            return ask(self.ip, self.ready, "GET", "/ready", {}).status == 200
        except OSError:
            return False

    def await_ready(self, limit_s: float = 20.0) -> None:
        ends_at = time.monotonic() + limit_s
        while not self.is_ready():
            assert self.process is not None
            if self.process.poll() is not None or time.monotonic() > ends_at:
                tail = self.log.read_text(errors="replace")[-1500:]
                raise CaseNotRun(f"{self.name} not ready:\n{tail}")
            time.sleep(0.05)
        self.record.add(f"{self.name}: ready")


class Answer:
    """What a client saw of one request."""

    def __init__(self) -> None:
        self.status = 0  # 0: the connection ended without a head
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.timed_out = False  # the client left
        self.elapsed_s = 0.0


def ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection; read until its end or `limit_s`."""
    began = time.monotonic()
    sock = socket.create_connection((ip, port), timeout=1.0)
    with sock:
        fields = {"Host": "h.example"} | headers
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
        sock.settimeout(limit_s)
        sock.sendall(head.encode() + body)
        answer = read_answer(sock, began + limit_s)
    answer.elapsed_s = time.monotonic() - began
    return answer


def read_answer(sock: socket.socket, ends_at: float) -> Answer:
    answer = Answer()
    read_next(sock, answer, bytearray(), ends_at)
    return answer


def read_next(
    sock: socket.socket, answer: Answer, data: bytearray, ends_at: float
) -> None:
    """Read an answer; `data` has the bytes read before, and those behind it."""

    def more() -> bool:
        left_s = ends_at - time.monotonic()
        if left_s <= 0:
            answer.timed_out = True
            return False
        sock.settimeout(left_s)
        try:
            part = sock.recv(65536)
        except TimeoutError:
            answer.timed_out = True
            return False
        except OSError:
            return False
        data.extend(part)
        return bool(part)

    while b"\r\n\r\n" not in data:
        if not more():
            return
    head_bytes = data.index(b"\r\n\r\n")
    lines = data[:head_bytes].decode("latin-1").split("\r\n")
    del data[: head_bytes + 4]
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        _read_chunks(answer, data, more)
        return
    length = int(answer.headers.get("content-length", "0"))
    while len(data) < length:
        if not more():
            answer.body = bytes(data)
            return
    answer.body, answer.complete = bytes(data[:length]), True
    del data[:length]


def _read_chunks(answer: Answer, data: bytearray, more: Callable[[], bool]) -> None:
    while True:
        while b"\r\n" not in data:
            if not more():
                return
        line_bytes = data.index(b"\r\n")
        size = int(data[:line_bytes].split(b";")[0], 16)
        begin = line_bytes + 2
        while len(data) < begin + size + 2:
            if not more():
                return
        answer.body += bytes(data[begin : begin + size])
        del data[: begin + size + 2]
        if not size:
            answer.complete = True
            return


def route(
    name: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    spec = {
        "host": "h.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 6000,
        "sloMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sticky": True,
        "homeRegions": [],
    }
    return {
        "resourceKind": "routes",
        "metadata": {"name": name},
        "spec": spec | more,
    }


def service(name: str) -> dict[str, Any]:
    spec = {"healthPath": "/health", "maxConns": 330}
    spec |= {"coldStartS": 1.0, "coldPerS": 9.0}
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


def limits() -> dict[str, Any]:
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 33554432,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 30000,
    }
    return {"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": spec}


def config(version: int, *resources: dict[str, Any]) -> dict[str, Any]:
    return {"version": f"{version:08x}", "resources": [*resources, limits()]}


def tenant(name: str, keys: list[str], **more: Any) -> dict[str, Any]:
    spec = {"apiKeys": keys} | more
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": spec}


def make_fleet(
    record: Record,
    work: Path,
    store: Store,
    gateways: list[Gateway],
    placed: list[str],
    zones: dict[str, str],
    bounds: dict[str, Any] | None = None,
) -> None:
    """Add gateways in zones to the list; they are not started yet."""
    for zone in placed:
        number = len(gateways) + 1
        pid = os.getpid()
        name = f"front-{zone}-{number}"
        ip = f"127.{64 + (pid >> 8) % 128}.{pid % 256}.{number}"
        gateway = Gateway(record, work, store, name, zone, ip, zones, bounds)
        # Ports are the same on all machines.
        if gateways:
            gateway.peer = gateways[0].peer
        gateways.append(gateway)


def sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def run_case(folder: str, case: Callable[[Path, Record, list[Gateway]], bool]) -> None:
    """Run a case and exit; it returns whether the rule held.

    It puts the gateways that it starts into the list, which are ended here.
    """
    signal.signal(signal.SIGTERM, _on_term)
    record = Record(Path(folder).resolve())
    record.add(f"TROUBLE={int(TROUBLE)}")
    gateways: list[Gateway] = []
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as work:
        try:
            held = case(Path(work), record, gateways)
            status = HELD if held else BROKEN
        except CaseNotRun as exc:
            record.add(f"not run: {exc}")
        except Exception as exc:
            record.add(f"not run: {type(exc).__name__}: {exc}")
        finally:
            for gateway in gateways:
                gateway.kill()
                if os.environ.get("KEEP_LOGS"):
                    text = gateway.log.read_text(errors="replace")
                    Path(os.environ["KEEP_LOGS"], gateway.log.name).write_text(text)
    words = {HELD: "rule held", BROKEN: "rule BROKEN", NOT_RUN: "case not run"}
    record.add(words[status])
    with contextlib.suppress(OSError):
        sys.stdout.write(words[status] + "\n")
        sys.stdout.flush()
    os._exit(status)
