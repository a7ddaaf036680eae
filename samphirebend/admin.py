"""HTTP interface for operators and metrics collectors on the admin address.

The klein application serves `/healthz`, `/metrics`, `/v1/dump`, `/v1/status`,
`/v1/manifest` and `/v1/manifest/history`. It accesses the rest of the daemon
only through the service registry, the `ManifestAdmin` protocol and a status
function, which the daemon passes in. Every error response is JSON with the
field `error`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from io import BytesIO
from typing import Any, Final, Protocol, cast

import msgspec
from klein import Klein
from loguru import logger
from result import Err, Ok, Result
from twisted.internet.defer import maybeDeferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.http import Request as HttpRequest
from twisted.web.iweb import IRequest
from twisted.web.server import Request, Site
from werkzeug.exceptions import HTTPException

from .addresses import Address
from .dump import dump
from .jsonfile import Fault, Reader, describe
from .manifest import MAX_MANIFEST_BYTES
from .metrics import Metrics
from .serviceregistry import ServiceRegistry

# Limit for a JSON request body. Escapes make the manifest in it longer; the
# limit of the manifest itself is checked after decoding.
MAX_BODY_BYTES: Final = 2 * MAX_MANIFEST_BYTES
MAX_COMMIT_ID_LENGTH: Final = 64
MAX_VERSION: Final = (1 << 63) - 1
IDLE_TIMEOUT_S: Final = 60

JSON_TYPE: Final = "application/json"


class AppliedManifestLike(Protocol):
    """Attributes of `manifestsync.AppliedManifest` that this module uses."""

    @property
    def version(self) -> int: ...

    @property
    def text(self) -> str: ...


class CommitFaultLike(Protocol):
    """Attributes of `manifesttable.CommitFault` that this module uses."""

    @property
    def kind(self) -> Enum: ...

    @property
    def faults(self) -> Sequence[Fault]: ...

    @property
    def base_version(self) -> int: ...

    @property
    def current_version(self) -> int: ...

    @property
    def may_be_accepted(self) -> bool: ...


class HistoryEntryLike(Protocol):
    """Attributes of `manifesttable.HistoryEntry` that this module uses."""

    @property
    def version(self) -> int: ...

    @property
    def commit_id(self) -> str: ...

    @property
    def committed_unix_ms(self) -> int: ...

    @property
    def text(self) -> str: ...


class ManifestAdmin(Protocol):
    """The operations of `manifestsync.ManifestSync` that operators use."""

    def current(self) -> AppliedManifestLike | None: ...

    def is_fresh(self, now: float) -> bool: ...

    async def commit(
        self, text: str, base_version: int, commit_id: str
    ) -> Result[int, Any]:
        """Return the accepted version or a `CommitFaultLike`."""

    async def history(self) -> Result[Any, Any]:
        """Return a list of `HistoryEntryLike`, newest first."""


class _BadRequestError(Exception):
    """The query or the body of a request is invalid."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("bad request")
        self.faults = faults


class AdminRequest(Request):
    """A request whose body is kept in memory, up to the limit."""

    # By default, Twisted writes bodies above 100 kB to temporary files, but
    # the hosts have no disks.
    body_size = 0  # bytes received so far
    content: BytesIO

    def gotLength(self, length: int | None) -> None:
        """Create the buffer for the body; the announced length is ignored."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk to the body; discard it once it is too large."""
        self.body_size += len(data)
        if self.body_size <= MAX_BODY_BYTES:
            self.content.write(data)
        else:
            self.content = BytesIO()


class _AdminSite(Site):
    noisy = False

    def log(self, request: HttpRequest) -> None:
        """Write no access log, which metrics collectors would fill."""


def _json_response(request: IRequest, status: int, value: object) -> bytes:
    body = msgspec.json.encode(value)
    http = cast(Any, request)
    http.setResponseCode(status)
    http.setHeader("Content-Type", JSON_TYPE)
    http.setHeader("Cache-Control", "no-store")
    return body + b"\n"


def _error_response(
    request: IRequest, status: int, text: str, **fields: object
) -> bytes:
    return _json_response(request, status, {"error": text, **fields})


def _fault_list(faults: Sequence[Fault]) -> list[dict[str, str]]:
    return [
        {
            name: text.encode("utf-8", "replace").decode()
            for name, text in (
                ("path", fault.path),
                ("expected", fault.expected),
                ("found", fault.found),
            )
        }
        for fault in faults
    ]


def _query_argument(request: IRequest, name: str) -> str | None:
    values = cast(Any, request).args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def _version_argument(request: IRequest) -> int | None:
    text = _query_argument(request, "version")
    if text is None:
        return None
    # int() would also accept signs, spaces and underscores.
    digits = text.isascii() and text.isdecimal() and len(text) <= 19
    if not digits or not 0 < int(text) <= MAX_VERSION:
        raise _BadRequestError([Fault("version", "a manifest version", text[:60])])
    return int(text)


class CommitRequest:
    """Decoded body of `POST /v1/manifest`."""

    __slots__ = ("base_version", "commit_id", "text")

    def __init__(self, text: str, base_version: int, commit_id: str) -> None:
        self.text = text
        self.base_version = base_version
        self.commit_id = commit_id


def read_commit_request(body: bytes) -> Result[CommitRequest, list[Fault]]:
    """Decode and validate a commit's body; return it or all its faults."""
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        return Err([Fault("(body)", "JSON", str(exc)[:200])])
    if not isinstance(data, dict):
        return Err([Fault("(body)", "an object", describe(data))])
    faults: list[Fault] = []
    reader = Reader(data, "", faults)
    checked = CommitRequest(
        reader.text("text", max_length=MAX_MANIFEST_BYTES, lines=True),
        reader.integer("base_version", 0, MAX_VERSION),
        reader.text("commit_id", max_length=MAX_COMMIT_ID_LENGTH),
    )
    reader.finish()
    return Err(faults) if faults else Ok(checked)


class AdminApp:
    """The klein application behind the admin interface."""

    app = Klein()

    def __init__(
        self,
        reactor: Any,
        registry: ServiceRegistry,
        metrics: Metrics,
        manifests: ManifestAdmin,
        status: Callable[[], object],
    ) -> None:
        self._reactor = reactor  # an IReactorTime
        self._registry = registry
        self._metrics = metrics
        self._manifests = manifests
        self._status = status

    def resource(self) -> Any:
        """Return the application as a twisted.web resource."""
        return self.app.resource()

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: IRequest) -> bytes:
        """Respond with status 200 as long as the event loop runs.

        Only the body says whether the manifest is fresh: a supervisor must not
        restart a host without a fresh manifest, because a restart would lose
        its leases and its ledger and would not help.
        """
        current = self._manifests.current()
        fresh = self._manifests.is_fresh(self._reactor.seconds())
        content = {
            "status": "pass" if current is not None and fresh else "warn",
            "manifest_version": current.version if current is not None else None,
            "fresh": fresh,
        }
        return _json_response(request, 200, content)

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: IRequest) -> bytes:
        """Respond with all metrics in the text exposition format."""
        body, content_type = self._metrics.render()
        cast(Any, request).setHeader("Content-Type", content_type)
        return body

    @app.route("/v1/status", methods=["GET"])
    def status(self, request: IRequest) -> bytes:
        """Respond with the summary from the daemon's status function."""
        return _json_response(request, 200, self._status())

    @app.route("/v1/dump", methods=["GET"])
    async def dump(self, request: IRequest) -> bytes:
        """Respond with the state of all services, or of the requested one."""
        service_name = _query_argument(request, "service")
        names = self._registry.names()
        if service_name is not None and service_name not in names:
            return _error_response(request, 404, "no such service", services=names)
        services: dict[str, object] = {}
        for name in names if service_name is None else [service_name]:
            services[name] = self._dump_service(name)
            # The limits of a dump bound the time for one service. Return to
            # the event loop after each, so that their sum does not block it.
            await deferLater(self._reactor, 0)
        return _json_response(request, 200, {"services": services})

    def _dump_service(self, name: str) -> object:
        try:
            return dump(self._registry.find(name, object))
        except Exception:
            logger.exception("failed to dump service", service=name)
            return "(not dumped, see the log)"

    @app.route("/v1/manifest", methods=["GET"])
    async def manifest(self, request: IRequest) -> bytes:
        """Respond with the manifest in force, or with an earlier version."""
        version = _version_argument(request)
        current = self._manifests.current()
        if version is None or (current is not None and current.version == version):
            if current is None:
                return _error_response(request, 503, "no manifest is in force yet")
            content = {"version": current.version, "text": current.text}
            return _json_response(request, 200, content)
        result = await self._manifests.history()
        if isinstance(result, Err):
            return _error_response(request, 503, "the table service does not answer")
        entries: Sequence[HistoryEntryLike] = result.ok_value
        for entry in entries:
            if entry.version == version:
                content = {"version": version, "text": entry.text}
                return _json_response(request, 200, content)
        return _error_response(request, 404, "no such version among the newest")

    @app.route("/v1/manifest", methods=["POST"])
    async def commit(self, request: IRequest) -> bytes:
        """Commit a manifest if `base_version` is still the newest version."""
        if cast(AdminRequest, request).body_size > MAX_BODY_BYTES:
            text = f"the body exceeds {MAX_BODY_BYTES} bytes"
            return _error_response(request, 413, text)
        checked = read_commit_request(cast(Any, request).content.read())
        if isinstance(checked, Err):
            raise _BadRequestError(checked.err_value)
        commit_request = checked.ok_value
        log = logger.bind(
            commit_id=commit_request.commit_id, base_version=commit_request.base_version
        )
        accepted = await self._manifests.commit(
            commit_request.text, commit_request.base_version, commit_request.commit_id
        )
        if isinstance(accepted, Err):
            log.info("manifest commit not confirmed")
            return _commit_error(request, accepted.err_value)
        log.bind(version=accepted.ok_value).info("manifest accepted")
        return _json_response(request, 200, {"version": accepted.ok_value})

    @app.route("/v1/manifest/history", methods=["GET"])
    async def history(self, request: IRequest) -> bytes:
        """Respond with the newest accepted versions, without their text."""
        result = await self._manifests.history()
        if isinstance(result, Err):
            return _error_response(request, 503, "the table service does not answer")
        entries: Sequence[HistoryEntryLike] = result.ok_value
        plain = [
            {
                "version": entry.version,
                "commit_id": entry.commit_id,
                "committed_unix_ms": entry.committed_unix_ms,
            }
            for entry in entries
        ]
        return _json_response(request, 200, {"history": plain})

    @app.handle_errors(_BadRequestError)
    def bad_request(self, request: IRequest, failure: Failure) -> bytes:
        """Respond to an invalid query or body with status 400."""
        faults = cast(_BadRequestError, failure.value).faults
        return _error_response(request, 400, "bad request", faults=_fault_list(faults))

    @app.handle_errors(HTTPException)
    def routing_error(self, request: IRequest, failure: Failure) -> bytes:
        """Respond to an unknown path or method with a JSON error."""
        exc = cast(HTTPException, failure.value)
        return _error_response(request, exc.code or 500, exc.name.lower())

    @app.handle_errors(Exception)
    def internal_error(self, request: IRequest, failure: Failure) -> bytes:
        """Log an unexpected exception and respond with status 500."""
        path = cast(Any, request).path.decode("utf-8", "replace")
        logger.opt(exception=failure.value).error("admin request failed", path=path)
        return _error_response(request, 500, "internal error")


def _commit_error(request: IRequest, fault: CommitFaultLike) -> bytes:
    if fault.kind.value == "INVALID":
        faults = _fault_list(fault.faults)
        return _error_response(request, 400, "the manifest is wrong", faults=faults)
    if fault.kind.value == "CONFLICT":
        return _error_response(
            request,
            409,
            "another manifest was accepted first",
            base_version=fault.base_version,
            current_version=fault.current_version,
        )
    return _error_response(
        request,
        503,
        "the table service does not answer",
        may_have_been_accepted=fault.may_be_accepted,
    )


class AdminService:
    """Service that serves the admin interface on its listening address."""

    __slots__ = ("_address", "_app", "_port", "_reactor")

    def __init__(self, reactor: Any, address: Address, app: AdminApp) -> None:
        self._reactor = reactor  # an IReactorTCP
        self._address = address
        self._app = app
        self._port: Any = None

    def start(self) -> None:
        """Start listening; raise CannotListenError if the port is taken."""
        site = cast(Any, _AdminSite)(
            self._app.resource(),
            requestFactory=AdminRequest,
            timeout=IDLE_TIMEOUT_S,
            parsePOSTFormSubmission=False,
        )
        self._port = self._reactor.listenTCP(
            self._address.port, site, interface=self._address.ip
        )

    async def stop(self) -> None:
        """Stop listening; requests in progress are still completed."""
        port, self._port = self._port, None
        if port is not None:
            await maybeDeferred(port.stopListening)
