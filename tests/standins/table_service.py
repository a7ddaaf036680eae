"""Stand-in for the platform's table service and its list of upstreams.

One process serves the required subset of DynamoDB's published JSON protocol,
and the list in the format of a Kubernetes EndpointSliceList. Tests enable
faults through `POST /_control`. The process prints its port as one JSON line
when it is ready.
"""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any, Final

from twisted.internet import reactor as installed_reactor
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

TARGET_PREFIX: Final = "DynamoDB_20120810."
ERROR_PREFIX: Final = "com.amazonaws.dynamodb.v20120810#"
reactor: Any = installed_reactor

Item = dict[str, dict[str, str]]


class TableError(Exception):
    """An error response of the protocol."""

    def __init__(self, kind: str, **extra: object) -> None:
        super().__init__(kind)
        self.body = {"__type": ERROR_PREFIX + kind, "message": kind, **extra}


class TokenBucket:
    """Rate limit that allows a burst of one second's operations."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.filled_at = reactor.seconds()

    def take(self, amount: int) -> bool:
        """Take tokens; return False if there are too few."""
        now = reactor.seconds()
        gained = (now - self.filled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + gained)
        self.filled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Table:
    """The rows of all tables and the operations on rows."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        self.items: dict[tuple[str, str], Item] = {}
        self.reads = TokenBucket(reads_per_s)
        self.writes = TokenBucket(writes_per_s)

    def run(self, operation: str, body: dict[str, Any]) -> dict[str, Any]:
        """Execute an operation of the protocol; return the response fields."""
        if operation == "GetItem":
            self._charge(self.reads, 1)
            item = self.items.get((body["TableName"], body["Key"]["pk"]["S"]))
            return {} if item is None else {"Item": item}
        if operation == "PutItem":
            self._charge(self.writes, 1)
            if not self._condition_holds(body):
                raise TableError("ConditionalCheckFailedException")
            self._store(body)
            return {}
        if operation == "TransactWriteItems":
            puts = [entry["Put"] for entry in body["TransactItems"]]
            self._charge(self.writes, len(puts))
            holds = [self._condition_holds(put) for put in puts]
            if not all(holds):
                codes = ["None" if ok else "ConditionalCheckFailed" for ok in holds]
                reasons = [{"Code": code} for code in codes]
                raise TableError(
                    "TransactionCanceledException", CancellationReasons=reasons
                )
            for put in puts:
                self._store(put)
            return {}
        raise TableError("UnknownOperationException")

    def _charge(self, bucket: TokenBucket, amount: int) -> None:
        if not bucket.take(amount):
            raise TableError("ProvisionedThroughputExceededException")

    def _condition_holds(self, put: dict[str, Any]) -> bool:
        """Return whether the condition expression of a write is true."""
        condition = put.get("ConditionExpression")
        item = self.items.get((put["TableName"], put["Item"]["pk"]["S"]))
        if condition is None:
            return True
        if condition == "attribute_not_exists(pk)":
            return item is None
        if condition == "revision = :r":
            expected_revision = put["ExpressionAttributeValues"][":r"]
            return item is not None and item.get("revision") == expected_revision
        raise TableError("ValidationException")

    def _store(self, put: dict[str, Any]) -> None:
        self.items[put["TableName"], put["Item"]["pk"]["S"]] = put["Item"]


class Faults:
    """The enabled faults and the platform's list of upstreams."""

    def __init__(self) -> None:
        self.delay_ms = 0
        self.down = False
        self.lose_answers = 0  # number of writes whose responses will be lost
        self.list_lag_s = 0.0  # age of the list that is served
        # Lists with their times of change, oldest first.
        self.lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def change(self, fields: dict[str, Any]) -> None:
        for name, value in fields.items():
            if name == "endpoints":
                # The first list is served at once, whatever the lag.
                at = reactor.seconds() if self.lists[-1][1] else 0.0
                self.lists.append((at, value))
            elif name in ("delay_ms", "down", "lose_answers", "list_lag_s"):
                setattr(self, name, value)
            else:
                raise ValueError(f"unknown fault: {name}")

    def served_list(self) -> list[dict[str, Any]]:
        """Return the list of upstreams as it was `list_lag_s` ago."""
        served_at = reactor.seconds() - self.list_lag_s
        return [endpoints for at, endpoints in self.lists if at <= served_at][-1]


def endpoint_slices(endpoints: list[dict[str, Any]]) -> dict[str, Any]:
    """Return an EndpointSliceList with one slice for each port."""
    items = [
        {
            "metadata": {"name": f"upstreams-{port}"},
            "addressType": "IPv4",
            "ports": [{"name": "", "protocol": "TCP", "port": port}],
            "endpoints": [
                {
                    "addresses": [entry["address"]],
                    "conditions": {
                        "ready": entry["serving"] and not entry["terminating"],
                        "serving": entry["serving"],
                        "terminating": entry["terminating"],
                    },
                }
                for entry in endpoints
                if entry["port"] == port
            ],
        }
        for port in sorted({entry["port"] for entry in endpoints})
    ]
    return {
        "apiVersion": "discovery.k8s.io/v1",
        "kind": "EndpointSliceList",
        "metadata": {},
        "items": items,
    }


class TableResource(Resource):
    """Serves the table protocol, the list, and the control and count paths."""

    isLeaf = True

    def __init__(self, table: Table) -> None:
        super().__init__()
        self.table = table
        self.faults = Faults()
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def render_GET(self, request: Request) -> bytes:
        if request.path == b"/_counts":
            return json_response(request, 200, self.counts)
        if request.path == b"/endpointslices":
            self.count("endpointslices")
            return json_response(
                request, 200, endpoint_slices(self.faults.served_list())
            )
        return json_response(request, 404, {})

    def render_POST(self, request: Request) -> bytes | int:
        body = json.loads(request.content.read())
        if request.path == b"/_control":
            self.faults.change(body)
            return json_response(request, 200, {})
        if self.faults.down:
            return self.drop(request)
        target = request.getHeader("x-amz-target") or ""
        operation = target.removeprefix(TARGET_PREFIX)
        self.count(operation)
        try:
            status, result = 200, self.table.run(operation, body)
        except TableError as exc:
            status, result = 400, exc.body
            self.count(str(exc))
        if status == 200 and operation != "GetItem" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return self.drop(request)
        data = json_response(request, status, result)
        reactor.callLater(self.faults.delay_ms / 1000, finish_response, request, data)
        return NOT_DONE_YET

    def drop(self, request: Request) -> int:
        """Close the connection without a response."""
        self.count("dropped")
        connection: Any = request.channel
        connection.forceAbortClient()
        return NOT_DONE_YET


def json_response(request: Any, status: int, body: object) -> bytes:
    """Set the status and type of a response; return its body as JSON."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/x-amz-json-1.0")
    return json.dumps(body).encode()


def finish_response(request: Any, data: bytes) -> None:
    """Send a delayed response."""
    # The client may have closed the connection after a timeout.
    if request.channel is not None and not request._disconnected:
        request.write(data)
        request.finish()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--reads-per-s", type=float, default=2000)
    parser.add_argument("--writes-per-s", type=float, default=400)
    args = parser.parse_args()
    root = TableResource(Table(args.reads_per_s, args.writes_per_s))
    site = Site(root)
    port = reactor.listenTCP(args.port, site, interface="127.0.0.1")
    sys.stdout.write(json.dumps({"port": port.getHost().port}) + "\n")
    sys.stdout.flush()
    reactor.run()


if __name__ == "__main__":
    main()
