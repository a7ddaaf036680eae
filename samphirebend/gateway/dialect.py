"""What the gateway needs to know of requests and answers, whatever their headers."""

from __future__ import annotations

from typing import Protocol

from ..headers import Headers
from ..httpclient import ResponseHead
from ..serverrequest import ServerRequest
from .replica import Row
from .updates import Update


class CallerInfo:
    """What a caller states in its request."""

    __slots__ = ("host", "object_key", "request_id", "time_left_s")

    def __init__(
        self, host: str, request_id: str, time_left_s: float | None, object_key: str
    ) -> None:
        self.host = host  # selects the route, with the path
        self.request_id = request_id
        self.time_left_s = time_left_s  # None: the caller sets no limit
        self.object_key = object_key  # empty: the request concerns no object


class AnswerInfo:
    """What the head of an upstream's answer states."""

    __slots__ = (
        "cold_left_s",
        "from_upstream",
        "keep_alive_s",
        "load",
        "matches_request",
        "not_run",
        "other_upstream",
    )

    def __init__(self) -> None:
        self.matches_request = False  # answers the request that was sent
        self.from_upstream = False  # the upstream itself made the answer
        self.not_run = False  # the upstream did not run the request
        self.other_upstream = False  # another upstream has the address now
        self.load: int | None = None  # requests that run or wait there
        self.keep_alive_s: float | None = None  # how long it keeps an idle connection
        self.cold_left_s = 0.0


class Lookup:
    """A caller's question where to connect."""

    __slots__ = ("name", "region")

    def __init__(self, name: str, region: str) -> None:
        self.name = name  # host of the routes
        self.region = region


class Dialect(Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def read_caller(self, req: ServerRequest) -> CallerInfo: ...

    def upstream_headers(
        self, req: ServerRequest, upstream: str, time_left_s: float
    ) -> Headers: ...

    def read_answer(self, head: ResponseHead, request_id: str) -> AnswerInfo: ...

    def read_lookup(self, req: ServerRequest) -> Lookup | None: ...

    def lookup_fields(
        self, addresses: list[str], ttl_s: float
    ) -> dict[str, object]: ...

    def is_ready_check(self, req: ServerRequest) -> bool: ...

    def decode_row(self, row: Row) -> Update: ...
