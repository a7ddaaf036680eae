"""Client of the platform's table service, which has the API of DynamoDB.

`manifestsync` and `leasekeeper` keep their durable shared state in rows of one
table through this module. Every write carries a random token, so that reading
the row again shows whether a write whose response was lost has taken effect.
"""

from __future__ import annotations

import base64
import math
import secrets
import time
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum, unique
from typing import Any, Final, Protocol

import msgspec
import treq
from loguru import logger
from result import Err, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from .options import Options

TARGET_PREFIX: Final = "DynamoDB_20120810."
MAX_CONNECTIONS: Final = 4
# A write is sent again if its response was lost and a read shows that it has
# not taken effect so far.
MAX_WRITE_ATTEMPTS: Final = 2
# Delays before the retries of a call that the service throttled.
THROTTLE_BACKOFF_S: Final = (0.05, 0.2)
# Consecutive calls without a response that open the circuit breaker.
BREAKER_THRESHOLD: Final = 3
# Interval of the calls that an open circuit breaker lets through.
BREAKER_PROBE_INTERVAL_S: Final = 1.0

Attribute = str | int | bytes


@unique
class StoreFault(Enum):
    """Why a call failed.

    CONFLICT: a condition did not hold, and the write has not taken effect.
    UNAVAILABLE: no usable response; a write may have taken effect or may do so
    later.
    """

    CONFLICT = "CONFLICT"
    UNAVAILABLE = "UNAVAILABLE"


class Row:
    """A row of the table; a write sets its revision and token."""

    __slots__ = ("attributes", "key", "revision", "token")

    def __init__(
        self, key: str, attributes: dict[str, Attribute], revision: int = 0
    ) -> None:
        self.key = key
        self.attributes = attributes
        self.revision = revision  # 0: not read from the table
        self.token = ""  # token of the write that produced this revision

    def text(self, name: str) -> str:
        """Return a text attribute; empty if missing or of another type."""
        value = self.attributes.get(name)
        return value if isinstance(value, str) else ""

    def number(self, name: str) -> int:
        """Return an integer attribute; 0 if missing or of another type."""
        value = self.attributes.get(name)
        return value if isinstance(value, int) else 0

    def data(self, name: str) -> bytes:
        """Return a binary attribute; empty if missing or of another type."""
        value = self.attributes.get(name)
        return value if isinstance(value, bytes) else b""


class RowWrite:
    """A row to write and the condition of the write."""

    __slots__ = ("expected_revision", "row")

    def __init__(self, row: Row, expected_revision: int | None) -> None:
        self.row = row
        # Revision that the table must hold; 0: no such row, None: any.
        self.expected_revision = expected_revision


class HttpResponse:
    """Status and body of an HTTP response of the table service."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class TableTransport(Protocol):
    """Sends operations to the table service.

    `call` raises an exception of any type if no complete response arrives.
    """

    def call(self, operation: str, body: bytes) -> Awaitable[HttpResponse]: ...

    def close(self) -> Awaitable[None]: ...


class HttpTransport:
    """Sends operations over a pool of persistent connections."""

    __slots__ = ("_client", "_clock", "_pool", "_timeout_s", "_url")

    def __init__(self, url: str, timeout_s: float, reactor: Any) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._clock = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        # `TableStore` decides which calls are safe to send again.
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, pool=self._pool, connectTimeout=timeout_s)
        self._client = HTTPClient(agent)

    def call(self, operation: str, body: bytes) -> Awaitable[HttpResponse]:
        """Send an operation and wait for the complete response."""
        response = Deferred.fromCoroutine(self._exchange(operation, body))
        return response.addTimeout(self._timeout_s, self._clock)

    async def close(self) -> None:
        """Close the idle connections."""
        pool: Any = self._pool
        await pool.closeCachedConnections()

    async def _exchange(self, operation: str, body: bytes) -> HttpResponse:
        headers = Headers(
            {
                "Content-Type": ["application/x-amz-json-1.0"],
                "X-Amz-Target": [TARGET_PREFIX + operation],
            }
        )
        response = await self._client.post(self._url, headers=headers, data=body)
        return HttpResponse(response.code, await treq.content(response))


class CircuitBreaker:
    """Limits calls to one probe per second while the service is down."""

    __slots__ = ("_failures", "_next_probe")

    def __init__(self) -> None:
        # Consecutive calls without a response.
        self._failures = 0
        # Time from which the open breaker allows the next call.
        self._next_probe = 0.0

    def allow(self, now: float) -> bool:
        """Return whether a call may be sent; a probe delays the next one."""
        if not self.is_open():
            return True
        if now < self._next_probe:
            return False
        self._next_probe = now + BREAKER_PROBE_INTERVAL_S
        return True

    def record_response(self) -> None:
        """Close the breaker after a response of the service."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Count a call without a response."""
        self._failures += 1
        self._next_probe = now + BREAKER_PROBE_INTERVAL_S

    def is_open(self) -> bool:
        """Return whether calls fail at once, apart from the probes."""
        return self._failures >= BREAKER_THRESHOLD


class StoreCounts:
    """Counts of call outcomes since the start of the daemon."""

    __slots__ = (
        "answers",
        "conflicts",
        "failed_fast",
        "no_answer",
        "resolved_by_read",
        "throttled",
    )

    def __init__(self) -> None:
        # Calls with a usable response, whatever its status.
        self.answers = 0
        # Writes whose condition did not hold.
        self.conflicts = 0
        # Calls that were not sent because the circuit breaker was open.
        self.failed_fast = 0
        # Calls without a usable response, for example after a timeout.
        self.no_answer = 0
        # Writes with a lost response whose token a read found in the table.
        self.resolved_by_read = 0
        # Calls that exceeded the service's rate limit.
        self.throttled = 0


@unique
class _Outcome(Enum):
    """Outcome of one call.

    REFUSED: the service rejected the call for a reason not listed here.
    NOT_SENT: the circuit breaker was open.
    """

    DONE = "done"
    CONFLICT = "conflict"
    THROTTLED = "throttled"
    REFUSED = "refused"
    NO_RESPONSE = "no response"
    NOT_SENT = "not sent"


class _CallResult:
    """The outcome of one call and the decoded response if it succeeded."""

    __slots__ = ("body", "outcome")

    def __init__(self, outcome: _Outcome, body: dict[str, Any] | None = None) -> None:
        self.outcome = outcome
        self.body = body or {}


class TableStore:
    """Reads and conditional writes of the rows of one table."""

    __slots__ = (
        "_breaker",
        "_clock",
        "_last_answer_at",
        "_now",
        "_table",
        "_transport",
        "counts",
    )

    def __init__(
        self,
        transport: TableTransport,
        table: str,
        clock: IReactorTime,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = transport
        self._table = table
        self._clock = clock
        self._now = now
        self._breaker = CircuitBreaker()
        self._last_answer_at = -math.inf
        self.counts = StoreCounts()

    def start(self) -> None:
        """Do nothing: the first call opens a connection."""

    async def stop(self) -> None:
        """Close the idle connections."""
        await self._transport.close()

    def last_answer_at(self) -> float:
        """Return when the service last responded; minus infinity if never."""
        return self._last_answer_at

    async def get(self, key: str) -> Result[Row | None, StoreFault]:
        """Read a row with strong consistency; None if it does not exist."""
        result = await self._call(
            "GetItem",
            {
                "TableName": self._table,
                "Key": {"pk": {"S": key}},
                "ConsistentRead": True,
            },
        )
        if result.outcome is not _Outcome.DONE:
            return Err(StoreFault.UNAVAILABLE)
        item = result.body.get("Item")
        if item is None:
            return Ok(None)
        try:
            return Ok(_read_item(key, item))
        except (KeyError, TypeError, ValueError) as exc:
            logger.error("cannot decode table row {}: {}", key, exc)
            return Err(StoreFault.UNAVAILABLE)

    async def put(self, row: Row, expected_revision: int) -> Result[None, StoreFault]:
        """Write a row if the table has the expected revision (0: no such row).

        On success the row has its new revision and token.
        """
        write = RowWrite(row, expected_revision)
        return await self._write("PutItem", [write], self._make_put_body)

    async def commit_rows(self, writes: Sequence[RowWrite]) -> Result[None, StoreFault]:
        """Write all rows or none, in one transaction.

        On success each row has its new revision and token.
        """
        return await self._write(
            "TransactWriteItems", writes, self._make_transaction_body
        )

    async def _write(
        self,
        operation: str,
        writes: Sequence[RowWrite],
        make_body: Callable[[Sequence[RowWrite], list[int], str], dict[str, Any]],
    ) -> Result[None, StoreFault]:
        token = secrets.token_hex(16)
        revisions = [_next_revision(write) for write in writes]
        body = make_body(writes, revisions, token)
        # True once an attempt has had no response.
        may_have_taken_effect = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = (await self._call(operation, body)).outcome
            may_have_taken_effect = (
                may_have_taken_effect or outcome is _Outcome.NO_RESPONSE
            )
            if may_have_taken_effect and outcome in (
                _Outcome.CONFLICT,
                _Outcome.NO_RESPONSE,
            ):
                has_token = await self._has_token(writes, token)
                if has_token is None:
                    break
                if has_token:
                    self.counts.resolved_by_read += 1
                    outcome = _Outcome.DONE
            if outcome is _Outcome.DONE:
                _mark_written(writes, revisions, token)
                return Ok(None)
            if outcome is _Outcome.CONFLICT:
                self.counts.conflicts += 1
                return Err(StoreFault.CONFLICT)
            if outcome is not _Outcome.NO_RESPONSE:
                break
        return Err(StoreFault.UNAVAILABLE)

    async def _has_token(self, writes: Sequence[RowWrite], token: str) -> bool | None:
        """Return whether the table has a write's token; None if unreadable.

        One row is read, because the rows are written together or not at all.
        """
        conditional = [w for w in writes if w.expected_revision is not None]
        write = (conditional or list(writes))[0]
        read = await self.get(write.row.key)
        if isinstance(read, Err):
            return None
        return read.ok_value is not None and read.ok_value.token == token

    async def _call(self, operation: str, body: dict[str, Any]) -> _CallResult:
        result = await self._call_once(operation, body)
        for wait_s in THROTTLE_BACKOFF_S:
            if result.outcome is not _Outcome.THROTTLED:
                break
            await deferLater(self._clock, wait_s)
            result = await self._call_once(operation, body)
        return result

    async def _call_once(self, operation: str, body: dict[str, Any]) -> _CallResult:
        if not self._breaker.allow(self._now()):
            self.counts.failed_fast += 1
            return _CallResult(_Outcome.NOT_SENT)
        try:
            response = await self._transport.call(operation, msgspec.json.encode(body))
        except (Exception, CancelledError) as exc:
            logger.debug(
                "no response from the table service to {}: {!r}", operation, exc
            )
            return self._record_no_response()
        result = _classify_response(response)
        if result.outcome is _Outcome.NO_RESPONSE:
            return self._record_no_response()
        if result.outcome is _Outcome.REFUSED:
            logger.error(
                "table service refused {} with status {}", operation, response.status
            )
        self.counts.throttled += result.outcome is _Outcome.THROTTLED
        self.counts.answers += 1
        self._breaker.record_response()
        self._last_answer_at = self._now()
        return result

    def _record_no_response(self) -> _CallResult:
        self.counts.no_answer += 1
        self._breaker.record_failure(self._now())
        return _CallResult(_Outcome.NO_RESPONSE)

    def _make_put_body(
        self, writes: Sequence[RowWrite], revisions: list[int], token: str
    ) -> dict[str, Any]:
        return self._make_put(writes[0], revisions[0], token)

    def _make_transaction_body(
        self, writes: Sequence[RowWrite], revisions: list[int], token: str
    ) -> dict[str, Any]:
        pairs = zip(writes, revisions, strict=True)
        puts = [self._make_put(write, revision, token) for write, revision in pairs]
        return {"TransactItems": [{"Put": put} for put in puts]}

    def _make_put(self, write: RowWrite, revision: int, token: str) -> dict[str, Any]:
        attributes = write.row.attributes.items()
        item = {name: _pack_attribute(value) for name, value in attributes}
        item["pk"] = {"S": write.row.key}
        item["revision"] = {"N": str(revision)}
        item["token"] = {"S": token}
        put: dict[str, Any] = {"TableName": self._table, "Item": item}
        if write.expected_revision == 0:
            put["ConditionExpression"] = "attribute_not_exists(pk)"
        elif write.expected_revision is not None:
            expected = {"N": str(write.expected_revision)}
            put["ConditionExpression"] = "revision = :r"
            put["ExpressionAttributeValues"] = {":r": expected}
        return put


def make_store(cfg: Options, reactor: Any) -> TableStore:
    """Return a store for the table given in the settings."""
    transport = HttpTransport(cfg.table_url, cfg.table_timeout_s, reactor)
    return TableStore(transport, cfg.table_name, reactor)


def _next_revision(write: RowWrite) -> int:
    # The revision of an unconditional write is random: a count could repeat a
    # revision that another process has read, and its conditional write would
    # then succeed although the row has changed.
    if write.expected_revision is None:
        return secrets.randbits(52) + 1
    return write.expected_revision + 1


def _mark_written(writes: Sequence[RowWrite], revisions: list[int], token: str) -> None:
    for write, revision in zip(writes, revisions, strict=True):
        write.row.revision = revision
        write.row.token = token


def _classify_response(response: HttpResponse) -> _CallResult:
    """Return the outcome of a call, and the decoded body on success.

    The outcome is NO_RESPONSE if the response does not show whether the call
    took effect.
    """
    if response.status >= 500:
        return _CallResult(_Outcome.NO_RESPONSE)
    try:
        body = msgspec.json.decode(response.body, type=dict[str, Any])
    except msgspec.DecodeError:
        return _CallResult(_Outcome.NO_RESPONSE)
    if response.status == 200:
        return _CallResult(_Outcome.DONE, body)
    kind = str(body.get("__type", "")).rpartition("#")[2]
    if kind == "ConditionalCheckFailedException":
        return _CallResult(_Outcome.CONFLICT)
    if kind == "ProvisionedThroughputExceededException":
        return _CallResult(_Outcome.THROTTLED)
    if kind == "TransactionCanceledException":
        reasons = body.get("CancellationReasons") or []
        codes = {reason.get("Code") for reason in reasons}
        conflict = "ConditionalCheckFailed" in codes
        return _CallResult(_Outcome.CONFLICT if conflict else _Outcome.THROTTLED)
    return _CallResult(_Outcome.REFUSED)


def _pack_attribute(value: Attribute) -> dict[str, str]:
    """Return an attribute as a DynamoDB attribute value.

    >>> _pack_attribute("a"), _pack_attribute(7), _pack_attribute(b"a")
    ({'S': 'a'}, {'N': '7'}, {'B': 'YQ=='})
    """
    if isinstance(value, str):
        return {"S": value}
    if isinstance(value, int):
        return {"N": str(value)}
    return {"B": base64.b64encode(value).decode()}


def _read_attribute(packed: dict[str, str]) -> Attribute:
    """Return the content of a DynamoDB attribute value.

    Raises ValueError if its type is unknown.

    >>> _read_attribute({"S": "a"}), _read_attribute({"B": "YQ=="})
    ('a', b'a')
    """
    ((kind, value),) = packed.items()
    if kind == "S":
        return value
    if kind == "N":
        return int(value)
    if kind == "B":
        return base64.b64decode(value, validate=True)
    raise ValueError(f"attribute type {kind} is not supported")


def _read_item(key: str, item: dict[str, dict[str, str]]) -> Row:
    attributes = {name: _read_attribute(packed) for name, packed in item.items()}
    attributes.pop("pk", None)
    revision = attributes.pop("revision")
    token = attributes.pop("token", "")
    if not isinstance(revision, int) or not isinstance(token, str):
        raise ValueError("the revision is not an integer or the token is not text")
    row = Row(key, attributes, revision)
    row.token = token
    return row
