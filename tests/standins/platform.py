"""Stand-ins for the platform's store and for upstreams that register in it.

Each runs in threads of the test process on a loopback address. The store
keeps versioned rows and serves reads, change feeds and transactions. An
upstream records the requests that it receives and runs.
"""

from __future__ import annotations

import base64
import contextlib
import json
import random
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

MAX_FEED_WAIT_S: Final = 5.0  # longest wait for a change to a table


class _Server(ThreadingHTTPServer):
    """HTTP server whose threads do not outlive the test process."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log nothing, as tests break connections on purpose."""


class StandInHandler(BaseHTTPRequestHandler):
    """Base class of the handlers, with persistent connections."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing, as tests use the counts of the stand-ins."""

    def reply(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def reply_json(self, status: int, fields: dict[str, Any]) -> None:
        self.reply(status, json.dumps(fields).encode(), {})

    def drop(self) -> None:
        """Close the connection without a response."""
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(2)

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))


def _start(ip: str, handler: type[StandInHandler]) -> _Server:
    server = _Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class StoreStandIn:
    """Rows of several tables, with one version counter for all."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.changed = threading.Condition()
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        # IP addresses of hosts that get status 503.
        self.refused_hosts: set[str] = set()
        self.history_from = 0  # feeds from an older version get status 410
        self.down = False  # whether all requests get status 503
        self.delay_s = 0.0  # delay of each response
        self.lost_share = 0.0  # share of transactions whose response is lost
        self.era = 0  # number of restores, sent with each response if not 0
        # Rows, version and oldest version with history of the last backup.
        self._backup: tuple[dict[tuple[str, str], dict[str, Any]], int, int]
        self._backup = ({}, 0, 0)
        self._rng = random.Random(1)
        store = self

        class Handler(StandInHandler):
            def do_GET(self) -> None:
                store.serve_read(self)

            def do_POST(self) -> None:
                store.transact(self)

            def reply_json(self, status: int, fields: dict[str, Any]) -> None:
                era = {"Store-Era": str(store.era)} if store.era else {}
                self.reply(status, json.dumps(fields).encode(), era)

        self.server = _start(ip, Handler)

    @property
    def address(self) -> str:
        return f"{self.server.server_address[0]!s}:{self.server.server_address[1]}"

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a row, or delete it if the value is None."""
        if value is None:
            self._put_fields(table, key, {"deleted": True})
        else:
            self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row whose value may be anything."""
        self._put_fields(table, key, {"value": base64.b64encode(value).decode()})

    def _put_fields(self, table: str, key: str, fields: dict[str, Any]) -> None:
        with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            self.rows[table, key] = row | fields
            self.changed.notify_all()

    def forget_history(self) -> None:
        """Refuse feeds from older versions, including those that wait."""
        with self.changed:
            self.version += 1
            self.history_from = self.version
            self.changed.notify_all()

    def back_up(self) -> None:
        """Keep a copy of all rows."""
        with self.changed:
            self._backup = (dict(self.rows), self.version, self.history_from)

    def restore(self) -> None:
        """Go back to the last backup, in a new era."""
        with self.changed:
            rows, self.version, self.history_from = self._backup
            self.rows = dict(rows)
            self.era += 1
            self.changed.notify_all()

    def _refuses(self, handler: StandInHandler) -> bool:
        return self.down or handler.client_address[0] in self.refused_hosts

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": 1}

    def serve_read(self, handler: StandInHandler) -> None:
        """Respond with the rows of a table or with its changes."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        table = query.get("table", "")
        time.sleep(self.delay_s)
        with self.changed:
            if self._refuses(handler):
                handler.reply_json(503, {"error": "refused"})
            elif url.path == "/rows-get":
                live = [
                    row
                    for (name, _key), row in sorted(self.rows.items())
                    if name == table and "deleted" not in row
                ]
                handler.reply_json(200, self._page(live))
            else:
                self._feed(handler, table, query)

    def _feed(self, handler: StandInHandler, table: str, query: dict[str, str]) -> None:
        """Respond once a table has changed, or after a timeout."""
        after = int(query["after"])
        wait_s = min(MAX_FEED_WAIT_S, int(query["waitMs"]) / 1000)
        deadline = time.monotonic() + wait_s
        while True:
            changed_rows = [
                row
                for (name, _key), row in self.rows.items()
                if name == table and row["ver"] > after
            ]
            left_s = deadline - time.monotonic()
            if self._refuses(handler):
                handler.reply_json(503, {"error": "refused"})
                return
            if not self.history_from <= after <= self.version:
                handler.reply_json(410, {"error": "history"})
                return
            if changed_rows or left_s <= 0:
                changed_rows.sort(key=lambda row: int(row["ver"]))
                handler.reply_json(200, self._page(changed_rows))
                return
            self.changed.wait(left_s)

    def transact(self, handler: StandInHandler) -> None:
        """Write rows in one transaction, then respond or lose the response."""
        body = json.loads(handler.read_body())
        time.sleep(self.delay_s)
        with self.changed:
            if self._refuses(handler):
                handler.reply_json(503, {"error": "refused"})
                return
            if not all(map(self._has_version, body["precondition"])):
                handler.reply_json(412, {"ver": self.version, "nowMs": 1})
                return
            for row in body["writes"]:
                self.version += 1
                self.rows[row["table"], row["key"]] = row | {"ver": self.version}
            for row in body["deletes"]:
                self.version += 1
                deleted = row | {"ver": self.version, "deleted": True}
                self.rows[row["table"], row["key"]] = deleted
            self.changed.notify_all()
            if self._rng.random() < self.lost_share:
                handler.drop()
                return
            handler.reply_json(200, {"ver": self.version, "nowMs": 1})

    def _has_version(self, expected: dict[str, Any]) -> bool:
        """Return whether a row has a version; 0 stands for no row."""
        row = self.rows.get((expected["table"], expected["key"]))
        exists = row is not None and "deleted" not in row
        return bool((row["ver"] if row and exists else 0) == expected["ver"])

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class Arrival:
    """One request that an upstream received, whether it ran or was refused."""

    __slots__ = ("at", "path", "ran", "request_id", "service", "upstream", "zone")

    def __init__(self, upstream: UpstreamStandIn, request_id: str, path: str) -> None:
        self.at = time.time()
        self.request_id = request_id
        self.path = path
        self.upstream = upstream.name
        self.service = upstream.service
        self.zone = upstream.zone
        self.ran = False


class UpstreamStandIn:
    """An upstream that runs requests in slots and queues further ones."""

    def __init__(
        self,
        store: StoreStandIn,
        name: str,
        service: str,
        zone: str,
        ip: str,
        slots: int = 4,
        queue: int = 1000,
    ) -> None:
        """Start the upstream; `queue` requests may wait for a slot."""
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        # Id, method, path and body of each request that ran.
        self.ran: list[tuple[str, str, str, bytes]] = []
        # Headers of each request that arrived, refused ones included; names are
        # in lower case.
        self.headers: list[dict[str, str]] = []
        self.arrivals: list[Arrival] = []
        self.work_s = 0.0  # duration of each request
        self.lost_share = 0.0  # share of requests that run but get no response
        # Share of requests that run but get status 500.
        self.failing_share = 0.0
        # Rate in requests per second that it names as its limit for all hosts.
        self.limit_per_s: float | None = None
        self.says_leaving = False  # whether its responses say that it leaves
        self.address = ""  # registered address; empty: `own_address`
        self.draining = False  # whether the last registered state was draining
        self.born_ms = 0  # registered start time in Unix milliseconds
        # Called before a request runs; returns True if it has responded to the
        # request or broken its connection, so that the request does not run.
        self.fault: Callable[[StandInHandler], bool] | None = None
        self._capacity = slots + queue
        self._in_flight = 0
        self._free_slots = threading.Semaphore(slots)
        self._rng = random.Random(name)
        upstream = self

        class Handler(StandInHandler):
            def do_GET(self) -> None:
                upstream.run(self)

            def do_POST(self) -> None:
                upstream.run(self)

        self.server = _start(ip, Handler)
        self.own_address = f"{ip}:{self.server.server_address[1]}"

    def register(self, state: str = "ready", cold_ms: int = 0) -> None:
        """Write the upstream's entry to the store."""
        self.draining = state == "draining"
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": state, "seq": 1, "coldLeftMs": cold_ms}
        address = self.address or self.own_address
        entry = {"address": address, "info": info, "status": status}
        self.store.put("servers", self.name, entry | {"born": self.born_ms})

    def run(self, handler: StandInHandler) -> None:
        """Run or refuse a request and respond to it."""
        body = handler.read_body()
        request_id = handler.headers.get("Attempt-Id", "")
        id_header = {"Attempt-Id": request_id}
        self.headers.append(
            {name.lower(): value for name, value in handler.headers.items()}
        )
        if handler.headers.get("Expect-Instance") != self.name:
            handler.reply(421, b"", id_header)
            return
        if self.fault is not None and self.fault(handler):
            return
        arrival = Arrival(self, request_id, handler.path)
        self.arrivals.append(arrival)
        if self._in_flight >= self._capacity:
            handler.reply(503, b"", id_header | {"Not-Executed": "full"})
            return
        self._in_flight += 1
        try:
            with self._free_slots:
                arrival.ran = True
                self.ran.append((request_id, handler.command, handler.path, body))
                time.sleep(self.work_s)
        finally:
            self._in_flight -= 1
        self._respond(handler, request_id)

    def _respond(self, handler: StandInHandler, request_id: str) -> None:
        if self._rng.random() < self.lost_share:
            handler.drop()
            return
        load = self._in_flight + 1
        running = min(load, self.slots)
        headers = {
            "Attempt-Id": request_id,
            "Server-Seal": "seal",
            "Server-Load": f"{running},{load - running},{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        failed = self._rng.random() < self.failing_share
        body = f"{self.name} {request_id} {handler.path}".encode()
        handler.reply(500 if failed else 200, body, headers)

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()
