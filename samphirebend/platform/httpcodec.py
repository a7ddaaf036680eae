"""Decodes and encodes the headers that callers and upstreams use.

The module itself is the `Dialect` that `program` passes to the gateway.
"""

from __future__ import annotations

import re
from typing import Final

from ..gateway.customers import Identity
from ..gateway.dialect import CallerInfo, Lookup, ResponseInfo
from ..gateway.ratelimits import NO_LIMIT
from ..headers import Headers, end_to_end
from ..httpclient import ResponseHead
from ..serverrequest import ServerRequest
from .rows import decode_row as decode_row

# Callers use a new id each time they send a request; upstreams echo it.
_REQUEST_ID: Final = b"attempt-id"
_TIME_LEFT: Final = b"deadline-ms"
_CUSTOMER_KEY: Final = b"key"
_CUSTOMER_NAME: Final = b"tenant"
_AFFINITY_COOKIE: Final = "Affinity-Key"
_EXPECTED_UPSTREAM: Final = b"expect-instance"
_SIGNATURE: Final = b"server-seal"
_LOAD: Final = b"server-load"
_NOT_RUN: Final = b"not-executed"
_LIMIT: Final = b"server-limit"
_LEAVING: Final = b"server-leaving"
_COLD_LEFT: Final = b"cold-ms"
_LOOKUP_PATH: Final = "/resolve"
_READY_PATH: Final = "/ready"
# Greatest slowdown that is taken for a report.
MAX_SLOWDOWN_PERCENT: Final = 100_000
# Digits, leading zeros included, above which a figure is not converted: the
# conversion of several thousand digits raises an error.
MAX_SLOWDOWN_DIGITS: Final = 9
# The same for loads. A greater one would count in averages for a long time, and
# from 310 digits on it has no value as a float.
MAX_LOAD_DIGITS: Final = 6
MAX_COLD_DIGITS: Final = 9  # of the time for which an upstream is still cold
_DECIMAL: Final = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Statuses that state, without a header, that the request did not run.
_NOT_RUN_STATUSES: Final = frozenset((421,))


def read_caller(req: ServerRequest) -> CallerInfo:
    """Decode the headers of a caller's request."""
    parts = (req.header_text(b"host") or "").rpartition(":")
    host_name = (
        parts[0]
        if parts[0] and parts[2].isdecimal()
        else (req.header_text(b"host") or "")
    )
    time_left = req.header_text(_TIME_LEFT)
    time_left_s = None
    if time_left is not None and time_left.isdecimal() and len(time_left) < 10:
        time_left_s = int(time_left) / 1000
    return CallerInfo(
        host_name.lower(),
        req.header_text(_REQUEST_ID) or "",
        time_left_s,
        _affinity_key(req),
        req.header_text(_CUSTOMER_KEY),
    )


def _affinity_key(req: ServerRequest) -> str:
    for name, value in req.headers:
        if name != b"cookie":
            continue
        for part in value.decode("latin-1").split(";"):
            key, _, text = part.strip().partition("=")
            if key == _AFFINITY_COOKIE:
                return text
    return ""


def upstream_headers(
    req: ServerRequest, upstream: str, time_left_s: float, identity: Identity
) -> Headers:
    """Build the headers of a request to an upstream.

    If the configuration has customers, the key is left out, and the customer's
    name replaces whatever the caller sent.
    """
    dropped = {_TIME_LEFT, _EXPECTED_UPSTREAM, b"expect"}
    if identity.uses_customers:
        dropped |= {_CUSTOMER_KEY, _CUSTOMER_NAME}
    headers = [header for header in end_to_end(req.headers) if header[0] not in dropped]
    if identity.customer_name:
        headers.append((b"Tenant", identity.customer_name.encode()))
    time_left_ms = max(1, int(time_left_s * 1000))
    headers.append((b"Deadline-Ms", str(time_left_ms).encode()))
    headers.append((b"Expect-Instance", upstream.encode()))
    return headers


def read_response(head: ResponseHead, request_id: str) -> ResponseInfo:
    """Decode the head of an upstream's response to the given request."""
    response_info = ResponseInfo()
    request_ids = _values(head, _REQUEST_ID)
    response_info.names_request = bool(request_ids)
    own_ids = [request_id.encode("latin-1")] if request_id else []
    response_info.matches_request = request_ids == own_ids
    response_info.from_upstream = len(_values(head, _SIGNATURE)) == 1
    response_info.not_run = _NOT_RUN in head.header or head.status in _NOT_RUN_STATUSES
    response_info.other_upstream = head.status == 421
    # The upstream that now has the address speaks for itself.
    is_own = not response_info.other_upstream
    response_info.leaving = is_own and b"1" in _values(head, _LEAVING)
    response_info.load, response_info.slowdown = _read_load(head.header.get(_LOAD, b""))
    response_info.keep_alive_s = _read_keep_alive(head.header.get(b"keep-alive", b""))
    limit = head.header.get(_LIMIT)
    if limit is not None:
        response_info.limit_per_s = _read_limit(limit)
    elif response_info.from_upstream:
        response_info.limit_per_s = NO_LIMIT
    cold = head.header.get(_COLD_LEFT, b"")
    if cold.isdigit() and len(cold) <= MAX_COLD_DIGITS:
        response_info.cold_left_s = int(cold) / 1000
    return response_info


def _values(head: ResponseHead, name: bytes) -> list[bytes]:
    """Return all values of a header.

    More than one id or signature shows that a response stopped within its head
    and that another response followed.
    """
    return [value for key, value in head.headers if key == name]


def _read_load(value: bytes) -> tuple[int | None, float | None]:
    """Return the requests that run or wait at an upstream, and its slowdown.

    The header holds three numbers: running, waiting and the limit. A fourth
    is the time that work takes there now, in percent of the usual time.

    >>> _read_load(b"3,2,8"), _read_load(b"3,2,8,250"), _read_load(b"3,2,8,no")
    ((5, None), (5, 2.5), (5, None))
    >>> _read_load(b""), _read_load(b"3,2,8,100,1")
    ((None, None), (None, None))
    """
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) not in (3, 4) or not all(map(_is_load, parts[:3])):
        return None, None
    load = int(parts[0]) + int(parts[1])
    return load, _read_slowdown(parts[3]) if len(parts) == 4 else None


def _is_load(figure: bytes) -> bool:
    return figure.isdigit() and len(figure) <= MAX_LOAD_DIGITS


def _read_slowdown(value: bytes) -> float | None:
    """Return a slowdown as a factor, or None if the figure is damaged.

    >>> _read_slowdown(b"100"), _read_slowdown(b"0"), _read_slowdown(b"100001")
    (1.0, None, None)
    """
    if not value.isdigit() or len(value) > MAX_SLOWDOWN_DIGITS:
        return None
    percent = int(value)
    return percent / 100 if 0 < percent <= MAX_SLOWDOWN_PERCENT else None


def _read_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if it is damaged.

    >>> _read_limit(b"8.5"), _read_limit(b"0"), _read_limit(b"-1")
    (8.5, 0.0, None)
    >>> _read_limit(b"nan"), _read_limit(b"1e9"), _read_limit(b"")
    (None, None, None)
    """
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def _read_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout of a keep-alive connection, in seconds.

    >>> _read_keep_alive(b"timeout=10, max=5"), _read_keep_alive(b"")
    (10.0, None)
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def read_lookup(req: ServerRequest) -> Lookup | None:
    """Decode a look-up; return None if the request is not one."""
    path, _, query = req.target.partition("?")
    if path != _LOOKUP_PATH:
        return None
    fields = dict(part.partition("=")[::2] for part in query.split("&"))
    return Lookup(fields.get("name", "").lower(), fields.get("region", ""))


def lookup_fields(addresses: list[str], ttl_s: float) -> dict[str, object]:
    """Build the JSON fields of the answer to a look-up."""
    return {"addrs": addresses, "ttlS": ttl_s}


def is_ready_check(req: ServerRequest) -> bool:
    """Return whether a request is a readiness check of this process."""
    return req.target.partition("?")[0] == _READY_PATH
