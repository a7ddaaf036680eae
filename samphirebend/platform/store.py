"""Client of the platform's store, which holds versioned rows in tables.

It implements `RowStore` of the gateway.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from ..addresses import Address
from ..connectionpool import ConnectionPool
from ..gateway.eraversion import MAX_VERSION, era_of, in_range, pack, store_version
from ..gateway.replica import Row
from ..gateway.rowstore import Page, RowChange, StoreFault
from ..gateway.updates import InvalidRow
from ..httpcall import call
from .fields import FieldError, get_boolean, get_field, get_integer

PAGE_ROWS: Final = 500  # rows in one page
# Added to the wait time of a long poll to get the call's time limit.
LONG_POLL_MARGIN_S: Final = 1.0

_ERA_HEADER: Final = b"store-era"
MAX_ERA_DIGITS: Final = 9  # of the header; more are no number of an era

_FAULTS_BY_STATUS: Final = {
    409: StoreFault.CONFLICT,
    410: StoreFault.HISTORY_LOST,
    412: StoreFault.CONFLICT,
}


class _PageMessage(msgspec.Struct, rename={"version": "ver", "has_more": "hasMore"}):
    """Rows of one response; each is decoded by itself."""

    rows: list[msgspec.Raw]
    version: int  # the store's newest version when it built the page
    has_more: bool = False


class _StoreResponse:
    """Body of a good response and the era of the store that sent it."""

    __slots__ = ("body", "era")

    def __init__(self, body: bytes, era: int) -> None:
        self.body = body
        self.era = era


_page_decoder: Final = msgspec.json.Decoder(_PageMessage)


class PlatformStore:
    """HTTP client of the store; each call ends within its timeout."""

    __slots__ = ("_address", "_pool", "_reactor", "calls")

    def __init__(self, address: Address, pool: ConnectionPool, reactor: Any) -> None:
        self._address = address
        self._pool = pool
        self._reactor = reactor
        # Number of calls, keyed by HTTP status or "no_answer".
        self.calls: dict[str, int] = {}

    async def read(self, table: str, timeout_s: float) -> Result[Page, StoreFault]:
        """Read all rows of a table, page by page; fail if one page fails."""
        rows: list[Row] = []
        invalid: list[InvalidRow] = []
        version: int | None = None
        first_key = ""
        while True:
            path = f"/rows-get?table={table}&part=&maxItems={PAGE_ROWS}"
            if first_key:
                path += "&from=" + quote(first_key, safe="")
            result = await self._call("GET", path, b"", timeout_s)
            if isinstance(result, Err):
                return result
            decoded = _decode_page(table, result.ok_value)
            if isinstance(decoded, Err):
                return decoded
            page, has_more = decoded.ok_value
            if version is not None and page.era != era_of(version):
                # The store was restored between the pages.
                return Err(StoreFault.HISTORY_LOST)
            rows += page.rows
            invalid += page.invalid
            # Callers follow from the version of the first page, so that
            # changes made while later pages are read are not missed.
            version = page.version if version is None else version
            if not has_more:
                return Ok(Page(rows, version, invalid))
            if not page.rows:
                # No key tells where the next page begins, and hosts would
                # take the rows behind this page for removed.
                return Err(StoreFault.UNREADABLE)
            first_key = page.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Result[Page, StoreFault]:
        """Long-poll for rows changed after a version, at most `wait_s`."""
        wait_ms = int(wait_s * 1000)
        number = store_version(after)
        path = f"/rows-feed?table={table}&after={number}&waitMs={wait_ms}"
        result = await self._call("GET", path, b"", wait_s + LONG_POLL_MARGIN_S)
        if isinstance(result, Err):
            return result
        return _decode_page(table, result.ok_value).map(_limit)

    async def change(
        self, table: str, change: RowChange, timeout_s: float
    ) -> Result[None, StoreFault]:
        """Write or delete one row; return CONFLICT if its version is another."""
        row: dict[str, Any] = {"table": table, "part": "", "key": change.key}
        transaction: dict[str, list[dict[str, Any]]] = {
            "precondition": [],
            "writes": [],
            "deletes": [],
        }
        if change.expected_version is not None:
            number = store_version(change.expected_version)
            transaction["precondition"] = [row | {"ver": number}]
        if change.value is None:
            transaction["deletes"] = [row]
        else:
            value = base64.b64encode(change.value).decode()
            transaction["writes"] = [row | {"value": value}]
        body = msgspec.json.encode(transaction)
        result = await self._call("POST", "/rows-tx", body, timeout_s)
        return result.map(lambda _response: None)

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[_StoreResponse, StoreFault]:
        header: dict[bytes, bytes] = {}
        target = (self._pool, self._reactor, self._address)
        result = await call(*target, method, path, body, timeout_s, header)
        if isinstance(result, Err):
            self._count_call("no_answer")
            return Err(StoreFault.UNAVAILABLE)
        status, content = result.ok_value
        self._count_call(str(status))
        if status == 200:
            return _decode_era(header).map(lambda era: _StoreResponse(content, era))
        return Err(_FAULTS_BY_STATUS.get(status, StoreFault.UNAVAILABLE))

    def _count_call(self, outcome: str) -> None:
        self.calls[outcome] = self.calls.get(outcome, 0) + 1


def _decode_era(header: dict[bytes, bytes]) -> Result[int, StoreFault]:
    """Return the era of a response; a store that was never restored sends none."""
    text = header.get(_ERA_HEADER, b"0").strip()
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS or not in_range(int(text), 0):
        return Err(StoreFault.UNREADABLE)
    return Ok(int(text))


def _decode_page(
    table: str, response: _StoreResponse
) -> Result[tuple[Page, bool], StoreFault]:
    """Decode a response; return the page and whether more rows follow."""
    try:
        message = _page_decoder.decode(response.body)
    except (msgspec.DecodeError, RecursionError):
        return Err(StoreFault.UNREADABLE)
    era = response.era
    if not in_range(era, message.version):
        return Err(StoreFault.UNREADABLE)
    rows: list[Row] = []
    invalid: list[InvalidRow] = []
    for raw in message.rows:
        try:
            rows.append(_decode_row(table, msgspec.json.decode(raw), era))
        except (msgspec.DecodeError, FieldError, RecursionError) as exc:
            invalid.append(InvalidRow(table, "", str(exc)))
    page = Page(rows, pack(era, message.version), invalid)
    return Ok((page, message.has_more))


def _limit(decoded: tuple[Page, bool]) -> Page:
    """Return a page of changes, which is complete up to its last row if limited."""
    page, has_more = decoded
    page.is_limited = has_more
    if page.is_limited and page.rows:
        page.version = min(page.version, page.rows[-1].version)
    return page


def _decode_row(table: str, data: Any, era: int) -> Row:
    key = get_field(data, "key", "row")
    if not isinstance(key, str):
        raise FieldError(f"row.key: expected a string, found {key!r:.60}")
    removed = get_boolean(data, "deleted", "row", default=False)
    value = None if removed else _decode_value(data)
    version = get_integer(data, "ver", "row", 0, MAX_VERSION)
    return Row(table, key, value, pack(era, version))


def _decode_value(data: Any) -> bytes:
    """Return the value of a row, or no bytes if it cannot be read.

    No table has rows without bytes, so the decoder of the table reports the row
    by its key, and no other row of the page is affected.
    """
    text = data.get("value")
    if not isinstance(text, str):
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


def make_platform_store(
    address: Address, reactor: Any, clock: Callable[[], float], source_ip: str
) -> PlatformStore:
    """Create a client of the store with its own connection pool."""
    return PlatformStore(
        address, ConnectionPool(reactor, clock, None, source_ip), reactor
    )
