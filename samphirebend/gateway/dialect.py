"""Interface to the header and row formats of a platform.

The package `platform` implements it, so that the gateway does not depend on
the names that a platform uses in headers and rows.
"""

from __future__ import annotations

from typing import Protocol

from ..headers import Headers
from ..httpclient import ResponseHead
from ..serverrequest import ServerRequest
from .customers import Identity
from .replica import Row
from .updates import Update


class CallerInfo:
    """Information from the headers of a caller's request."""

    __slots__ = (
        "customer_key",
        "host_name",
        "object_key",
        "request_id",
        "time_left_s",
    )

    def __init__(
        self,
        host_name: str,
        request_id: str,
        time_left_s: float | None,
        object_key: str,
        customer_key: str | None = None,
    ) -> None:
        self.host_name = host_name  # selects the route together with the path
        self.request_id = request_id
        self.time_left_s = time_left_s  # caller's time limit, if it sets one
        self.object_key = object_key  # empty if the request names no object
        # Secret that identifies the customer; never logged or passed on.
        self.customer_key = customer_key


class ResponseInfo:
    """Information from the head of an upstream's response."""

    __slots__ = (
        "cold_left_s",
        "from_upstream",
        "keep_alive_s",
        "leaving",
        "limit_per_s",
        "load",
        "matches_request",
        "names_request",
        "not_run",
        "other_upstream",
        "slowdown",
    )

    def __init__(self) -> None:
        self.names_request = False  # carries the id of a request
        self.matches_request = False  # carries the id of the request sent
        self.from_upstream = False  # made by the upstream itself
        self.not_run = False  # the upstream did not run the request
        self.other_upstream = False  # another upstream now has the address
        self.leaving = False  # the upstream is about to end
        self.load: int | None = None  # requests running or queued there
        # Time that work takes there now, as a factor of the usual time; None:
        # the response does not tell.
        self.slowdown: float | None = None
        self.keep_alive_s: float | None = None  # announced keep-alive timeout
        # Requests per second that the upstream takes from all hosts together;
        # NO_LIMIT: it names no limit, None: the response does not tell.
        self.limit_per_s: float | None = None
        self.cold_left_s = 0.0  # how much longer the upstream is cold


class Lookup:
    """A caller's query for host addresses."""

    __slots__ = ("name", "region")

    def __init__(self, name: str, region: str) -> None:
        self.name = name  # host name that the caller will send requests to
        self.region = region  # the caller's region


class Dialect(Protocol):
    """Translates between a platform's formats and the gateway's types."""

    def read_caller(self, req: ServerRequest) -> CallerInfo: ...

    def upstream_headers(
        self,
        req: ServerRequest,
        upstream: str,
        time_left_s: float,
        identity: Identity,
    ) -> Headers: ...

    def read_response(self, head: ResponseHead, request_id: str) -> ResponseInfo: ...

    def read_lookup(self, req: ServerRequest) -> Lookup | None: ...

    def lookup_fields(
        self, addresses: list[str], ttl_s: float
    ) -> dict[str, object]: ...

    def is_ready_check(self, req: ServerRequest) -> bool: ...

    def decode_row(self, row: Row) -> Update: ...
