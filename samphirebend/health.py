"""Polls the health endpoints of this host's upstreams and the platform's list.

The list is a Kubernetes EndpointSliceList of live and leaving upstreams. The
results go to `upstreamstate`. Both sources lag and may be wrong. A poll that
fails or whose response is malformed changes nothing; it never counts as a load
of zero or as the absence of an upstream. Reports are passed on with the time
at which the poll was sent, so that a late report cannot replace a newer one.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol, TypeVar

import msgspec
from loguru import logger
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol as TwistedProtocol, connectionDone
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from .manifest import Upstream
from .upstreamrecord import ListedState, Report
from .upstreamstate import UpstreamStates

POLL_INTERVAL_S: Final = 1.0
# Shorter than the interval, so that polls of one upstream never overlap.
POLL_TIMEOUT_S: Final = 0.8
# How long a connection is kept open for the next poll.
IDLE_TIMEOUT_S: Final = 2.0
MAX_REPORT_BYTES: Final = 64 * 1024
MAX_LIST_BYTES: Final = 16 * 1024 * 1024
DRAINING: Final = "draining"
# Checks that report how many requests an upstream is running, by preference.
IN_USE_CHECKS: Final = ("slots:in-use", "requests:in-flight")

UpstreamSource = Callable[[], Iterable[Upstream]]


class _Health(msgspec.Struct):
    """The fields of an application/health+json report that are used."""

    status: str
    instance: str = ""
    output: str = ""
    checks: dict[str, Any] = {}


def parse_report(body: bytes, state_header: str = "") -> Report | None:
    """Return the report in the body of a health response, None if malformed.

    `state_header` is the value of the response's Upstream-State header.

    >>> parse_report(b'{"status": "pass", "checks": {}}').in_use is None
    True
    """
    try:
        health = msgspec.json.decode(body, type=_Health)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    in_use = None
    for name in IN_USE_CHECKS:
        if in_use is None:
            in_use = _read_observed_value(health.checks.get(name))
    return Report(
        health.instance,
        failing=health.status in ("fail", "error", "down"),
        draining=DRAINING in (state_header, health.output),
        in_use=in_use,
    )


def _read_observed_value(check: object) -> int | None:
    """Return the observed value of a check, None if missing or malformed.

    The format also allows a list of checks, of which the first is used.
    """
    entry = check[0] if isinstance(check, list) and check else check
    value = entry.get("observedValue") if isinstance(entry, dict) else None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return int(value) if value >= 0 else None


class _Conditions(msgspec.Struct):
    """Conditions of an endpoint; each may be null, which means unknown."""

    ready: bool | None = None
    serving: bool | None = None
    terminating: bool | None = None


class _Target(msgspec.Struct):
    """Reference to the Kubernetes object behind an endpoint."""

    name: str | None = None


class _Endpoint(msgspec.Struct, rename="camel"):
    """One endpoint of an EndpointSlice."""

    addresses: list[str]
    conditions: _Conditions = msgspec.field(default_factory=_Conditions)
    hostname: str | None = None
    target_ref: _Target | None = None


class _Port(msgspec.Struct):
    """A port that all endpoints of an EndpointSlice listen on."""

    port: int | None = None


class _Slice(msgspec.Struct):
    """The fields of an EndpointSlice that are used."""

    endpoints: list[msgspec.Raw] | None = None
    ports: list[_Port] | None = None


class _Metadata(msgspec.Struct):
    """Metadata of a list; `continue` is set if the list is incomplete."""

    continuation: str | None = msgspec.field(default=None, name="continue")


class _SliceList(msgspec.Struct):
    """The fields of an EndpointSliceList that are used."""

    items: list[msgspec.Raw]
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)


_Part = TypeVar("_Part", _Slice, _Endpoint)


class PlatformList:
    """The states of upstreams in one response with the platform's list."""

    __slots__ = ("_states", "complete")

    def __init__(self, complete: bool) -> None:
        self.complete = complete  # True: upstreams not listed are absent
        # Keyed by IP:PORT and by upstream name; None: neither serving nor
        # leaving.
        self._states: dict[str, ListedState | None] = {}

    def add(self, key: str, listed: ListedState | None) -> None:
        """Add an entry.

        Slices may overlap during an update. If an upstream is leaving in one
        of them, it counts as leaving.
        """
        if self._states.get(key) is not ListedState.LEAVING:
            self._states[key] = listed

    def find(self, upstream: Upstream) -> ListedState | None:
        """Return an upstream's state, or None if the list states none."""
        for key in (str(upstream.address), upstream.name):
            if key in self._states:
                return self._states[key]
        return ListedState.ABSENT if self.complete else None


def parse_list(body: bytes) -> PlatformList | None:
    """Return the states in an EndpointSliceList, or None if malformed."""
    try:
        parsed = msgspec.json.decode(body, type=_SliceList)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    platform_list = PlatformList(complete=not parsed.metadata.continuation)
    for raw_slice in parsed.items:
        endpoint_slice = _decode_part(raw_slice, _Slice, platform_list)
        if endpoint_slice is None:
            continue
        ports = [
            port.port for port in endpoint_slice.ports or [] if port.port is not None
        ]
        for raw_endpoint in endpoint_slice.endpoints or []:
            endpoint = _decode_part(raw_endpoint, _Endpoint, platform_list)
            if endpoint is not None:
                _add_endpoint(platform_list, endpoint, ports)
    return platform_list


def _decode_part(
    data: msgspec.Raw, part_type: type[_Part], platform_list: PlatformList
) -> _Part | None:
    """Decode a part of the list; without it, the list is incomplete."""
    try:
        return msgspec.json.decode(data, type=part_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        platform_list.complete = False
        logger.warning("invalid part of the platform list ignored: {}", exc)
        return None


def _add_endpoint(
    platform_list: PlatformList, endpoint: _Endpoint, ports: list[int]
) -> None:
    listed = _listed_state(endpoint.conditions)
    names = [endpoint.hostname]
    names.append(endpoint.target_ref.name if endpoint.target_ref else None)
    for name in names:
        if name:
            platform_list.add(name, listed)
    for ip in endpoint.addresses:
        for port in ports:
            platform_list.add(f"{ip}:{port}", listed)


def _listed_state(conditions: _Conditions) -> ListedState | None:
    """Return the state of an endpoint, None if neither serving nor leaving."""
    if conditions.terminating:
        return ListedState.LEAVING
    serving = conditions.serving
    if serving is None:
        serving = conditions.ready
    # The Kubernetes API defines that an unknown condition counts as true.
    return None if serving is False else ListedState.SERVING


class FetchError(Exception):
    """Raised if a response is too large or incomplete."""


class FetchResult:
    """Body and Upstream-State header of an HTTP response."""

    __slots__ = ("body", "state_header")

    def __init__(self, body: bytes, state_header: str) -> None:
        self.body = body
        self.state_header = state_header


class Fetcher(Protocol):
    """Fetches a URL; the Deferred fails on any error or cancellation."""

    def __call__(self, url: str, max_bytes: int) -> Deferred[FetchResult]: ...


class _BodyReader(TwistedProtocol):
    """Collects a body up to a size limit, since a response may be endless."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self.done: Deferred[bytes] = Deferred(lambda _: self._abort())

    def dataReceived(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._max_bytes:
            self._abort()
        else:
            self._parts.append(data)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.done.called:
            return
        complete = isinstance(reason.value, ResponseDone)
        if complete and self._size <= self._max_bytes:
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(FetchError("the response is too large or incomplete"))


def make_fetcher(reactor: Any) -> Fetcher:
    """Return a fetcher that keeps one idle connection to each address."""
    # Any, because Twisted's client classes have no type annotations.
    make_pool: Any = HTTPConnectionPool
    make_agent: Any = Agent
    pool = make_pool(reactor)
    pool.maxPersistentPerHost = 1
    # When another host takes over the polling of an upstream, it needs one of
    # the upstream's connections.
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    client = HTTPClient(make_agent(reactor, pool=pool, connectTimeout=POLL_TIMEOUT_S))

    async def fetch(url: str, max_bytes: int) -> FetchResult:
        response = await client.get(url, unbuffered=True, allow_redirects=False)
        reader = _BodyReader(max_bytes)
        response.deliverBody(reader)
        header = response.headers.getRawHeaders("Upstream-State", [""])[0]
        return FetchResult(await reader.done, header)

    def start(url: str, max_bytes: int) -> Deferred[FetchResult]:
        return Deferred.fromCoroutine(fetch(url, max_bytes))

    return start


class HealthService:
    """Polls the upstreams and the platform's list at a fixed interval."""

    __slots__ = (
        "_clock",
        "_fetch",
        "_fetches",
        "_list_failing",
        "_list_url",
        "_listed_upstreams",
        "_loop",
        "_now",
        "_polled_upstreams",
        "_states",
    )

    def __init__(
        self,
        states: UpstreamStates,
        polled_upstreams: UpstreamSource,
        listed_upstreams: UpstreamSource,
        list_url: str,
        clock: IReactorTime,
        fetch: Fetcher,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._states = states
        # Upstreams of the shards that this host holds.
        self._polled_upstreams = polled_upstreams
        # Upstreams of the region, which are looked up in the platform's list.
        self._listed_upstreams = listed_upstreams
        self._list_url = list_url  # empty: the platform has no list
        self._clock = clock
        self._fetch = fetch
        self._now = now
        # Polls in progress, keyed by URL.
        self._fetches: dict[str, Deferred[None]] = {}
        self._list_failing = False  # the last list was not usable
        self._loop = LoopingCall(self._tick)
        self._loop.clock = clock

    def start(self) -> None:
        """Start polling, with a first poll now."""
        self._loop.start(POLL_INTERVAL_S, now=True)

    def stop(self) -> None:
        """Stop polling and cancel the polls in progress."""
        if self._loop.running:
            self._loop.stop()
        for pending in list(self._fetches.values()):
            pending.cancel()

    def poll(self, upstream: Upstream) -> None:
        """Poll one upstream now, unless a poll of it is in progress."""
        url = f"http://{upstream.address}/health"
        self._start_fetch(url, MAX_REPORT_BYTES, self._handle_report, upstream.name)

    def _tick(self) -> None:
        for upstream in self._polled_upstreams():
            self.poll(upstream)
        if self._list_url:
            self._start_fetch(self._list_url, MAX_LIST_BYTES, self._handle_list, "")

    def _start_fetch(
        self,
        url: str,
        max_bytes: int,
        handle: Callable[[str, FetchResult | None, float], None],
        name: str,
    ) -> None:
        if url in self._fetches:
            return
        sent_at = self._now()

        def handle_result(result: FetchResult | Failure) -> None:
            self._fetches.pop(url, None)
            handle(name, None if isinstance(result, Failure) else result, sent_at)

        def log_failure(failure: Failure) -> None:
            logger.error(
                "unexpected error while handling a poll result: {}",
                failure.getTraceback(),
            )

        fetching = self._fetch(url, max_bytes)
        fetching.addTimeout(POLL_TIMEOUT_S, self._clock)
        # If the Deferred has already fired, addBoth calls `handle_result` at
        # once. A fetch that was registered after that would never be removed.
        pending: Deferred[None] = fetching.addBoth(handle_result)
        pending.addErrback(log_failure)
        if not pending.called:
            self._fetches[url] = pending

    def _handle_report(
        self, name: str, fetched: FetchResult | None, sent_at: float
    ) -> None:
        if fetched is None:
            return
        report = parse_report(fetched.body, fetched.state_header)
        if report is not None:
            self._states.record_report(name, report, sent_at, self._now())

    def _handle_list(
        self, name: str, fetched: FetchResult | None, sent_at: float
    ) -> None:
        parsed = parse_list(fetched.body) if fetched else None
        upstreams = list(self._listed_upstreams())
        states = [parsed.find(upstream) for upstream in upstreams] if parsed else []
        # A list without any known upstream is regarded as faulty: applying it
        # would stop all work of the region at once.
        usable = any(state is not ListedState.ABSENT for state in states)
        if usable == self._list_failing:
            self._list_failing = not usable
            logger.info("platform list is {}", "usable" if usable else "not usable")
        if not usable:
            return
        for upstream, state in zip(upstreams, states, strict=True):
            if state is not None:
                self._states.record_listed_state(upstream.name, state, self._now())
