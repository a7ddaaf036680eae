"""Responds to look-ups: which entry host a caller should use for a service.

The encoded responses for each service and region are cached for a short time,
so that a look-up costs little more than its HTTP exchange. `router` chooses
the hosts; this module keeps no state except the cache and the manifest.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec

from .errorcodes import ERROR_RESPONSES, ErrorKind
from .job import failure_headers
from .ledger import key_prefix, make_nonce
from .manifest import Manifest, Service
from .metrics import Metrics
from .serverrequest import ServerRequest

CACHE_TTL_S: Final = 0.2
MAX_ALTERNATES: Final = 3  # hosts that a response names besides the first one
MAX_CACHE_ENTRIES: Final = 10_000  # the cache is cleared when it is full
# Responses in each cache entry. Each names the hosts in an order that was
# drawn at random, so that callers spread over the hosts.
PREPARED_RESPONSES: Final = 8


class Candidate:
    """A host that the response to a look-up may name."""

    __slots__ = ("address", "host", "incarnation", "key_epoch")

    def __init__(
        self, host: str, address: str, incarnation: int, key_epoch: int
    ) -> None:
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.key_epoch = key_epoch  # epoch of keys last reported by the host


class CandidateSource(Protocol):
    """Draws the order in which responses name the hosts.

    The order depends on the service and on the region of the caller.
    """

    def lookup_candidates(
        self, service: str, region: str, now: float
    ) -> list[Candidate]: ...


class _CachedResponses:
    """Responses for one service and region, which are used in turn."""

    __slots__ = ("expires_at", "last_index", "templates")

    def __init__(self, templates: list[tuple[bytes, str]], expires_at: float) -> None:
        # Each template is a JSON body without its end, and the prefix of the
        # idempotency key that the end contains. The prefix is empty if the
        # service needs no key.
        self.templates = templates
        self.expires_at = expires_at
        self.last_index = 0


@lru_cache(maxsize=4096)
def _parse_query(query: str) -> tuple[str, str]:
    fields = parse_qs(query)
    return fields.get("service", [""])[0], fields.get("region", [""])[0]


class Lookup:
    """Responds to `GET /v1/lookup`."""

    __slots__ = (
        "_cache",
        "_clock",
        "_host",
        "_manifest",
        "_metrics",
        "_region_of",
        "_source",
        "_ttl_ms",
    )

    def __init__(
        self,
        host: str,
        ttl_s: float,
        source: CandidateSource,
        region_of: Callable[[str], str],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._ttl_ms = round(ttl_s * 1000)
        self._source = source
        # Returns the region of a caller's IP address.
        self._region_of = region_of
        self._metrics = metrics
        self._clock = clock
        self._manifest: Manifest | None = None
        self._cache: dict[tuple[str, str], _CachedResponses] = {}

    def apply(self, manifest: Manifest) -> None:
        """Apply the manifest in force and clear the cache."""
        self._manifest = manifest
        self._cache.clear()

    def respond(self, req: ServerRequest) -> None:
        """Respond to a look-up request."""
        manifest = self._manifest
        if manifest is None:
            self._refuse(req, ErrorKind.NO_MANIFEST)
            return
        name, region = _parse_query(req.target.partition("?")[2])
        service = manifest.services.get(name)
        if service is None:
            self._refuse(req, ErrorKind.UNKNOWN_SERVICE)
            return
        if region not in manifest.regions:
            region = self._region_of(req.peer_ip)
        cached = self._cached_responses(service, region)
        if not cached.templates:
            self._refuse(req, ErrorKind.NO_UPSTREAM)
            return
        self._metrics.count_lookup(name)
        cached.last_index = (cached.last_index + 1) % len(cached.templates)
        body, prefix = cached.templates[cached.last_index]
        end = f'"{prefix}{make_nonce()}"}}'.encode() if prefix else b"}"
        req.respond(200, [(b"Content-Type", b"application/json")], body + end)

    def _cached_responses(self, service: Service, region: str) -> _CachedResponses:
        key = (service.name, region)
        now = self._clock()
        cached = self._cache.get(key)
        if cached is None or now >= cached.expires_at:
            if len(self._cache) >= MAX_CACHE_ENTRIES:
                self._cache.clear()
            cached = self._cache[key] = self._build(service, region, now)
        return cached

    def _build(self, service: Service, region: str, now: float) -> _CachedResponses:
        templates = []
        for _ in range(PREPARED_RESPONSES):
            candidates = self._source.lookup_candidates(service.name, region, now)
            if candidates:
                templates.append(self._render(service, candidates))
        return _CachedResponses(templates, now + CACHE_TTL_S)

    def _render(
        self, service: Service, candidates: list[Candidate]
    ) -> tuple[bytes, str]:
        """Return the template of a response that names the candidates."""
        first, *others = candidates
        fields: dict[str, Any] = {
            "host": first.host,
            "address": first.address,
            "ttl_ms": self._ttl_ms,
            "alternates": [
                {"host": other.host, "address": other.address}
                for other in others[:MAX_ALTERNATES]
            ],
        }
        body = msgspec.json.encode(fields)[:-1]
        if service.idempotent:
            return body, ""
        prefix = key_prefix(first.host, first.incarnation, first.key_epoch)
        return body + b',"key":', prefix

    def _refuse(self, req: ServerRequest, kind: ErrorKind) -> None:
        response = ERROR_RESPONSES[kind]
        headers = failure_headers(kind, response.outcome, "", self._host)
        req.respond(response.status, headers, response.text.encode())
