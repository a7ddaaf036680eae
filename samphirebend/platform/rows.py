"""Decodes the store rows that the operator and the upstreams write.

The results are updates of the types in `gateway.updates`.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from ..gateway.config import (
    Backend,
    CallerLimits,
    Config,
    Customer,
    RequestKind,
    Route,
    ServicePolicy,
    UpstreamEntry,
)
from ..gateway.customers import digest_key
from ..gateway.follower import Tables
from ..gateway.replica import Row
from ..gateway.updates import (
    ConfigUpdate,
    EvacuationUpdate,
    IgnoredRow,
    InvalidRow,
    InvalidUpstream,
    Update,
    UpstreamRemoved,
    UpstreamUpdate,
)
from .fields import (
    FieldError,
    get_address,
    get_boolean,
    get_field,
    get_integer,
    get_number,
    get_string,
    get_strings,
)

OPERATOR_TABLE: Final = "op"
UPSTREAM_TABLE: Final = "servers"
TABLES: Final = Tables(OPERATOR_TABLE, UPSTREAM_TABLE)

# Slots above this are taken for a damaged entry, which would draw all requests.
MAX_SLOTS: Final = 100_000

_CONFIG_KEY: Final = "config"
_EVACUATION_PREFIX: Final = "evacuate/"
_STATES: Final = ("ready", "draining")
_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "upload": RequestKind.UPLOAD,
}


def decode_row(row: Row) -> Update:
    """Decode a row; an invalid row gives InvalidRow with the error."""
    try:
        if row.table == UPSTREAM_TABLE:
            return _decode_upstream_row(row)
        if row.key.startswith(_EVACUATION_PREFIX):
            zone = row.key.removeprefix(_EVACUATION_PREFIX)
            return EvacuationUpdate(zone, row.value is not None)
        if row.key == _CONFIG_KEY and row.value is not None:
            return ConfigUpdate(_decode_config(_parse_json(row.value)))
    except FieldError as exc:
        if row.table == UPSTREAM_TABLE:
            return InvalidUpstream(row.table, row.key, str(exc))
        return InvalidRow(row.table, row.key, str(exc))
    return IgnoredRow()


def _parse_json(value: bytes) -> Any:
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise FieldError(f"not JSON: {exc}") from exc
    except RecursionError as exc:
        raise FieldError("nested too deeply") from exc


# Rows of upstreams.


def _decode_upstream_row(row: Row) -> Update:
    if row.value is None:
        return UpstreamRemoved(row.key)
    return UpstreamUpdate(_decode_upstream(row.key, _parse_json(row.value)))


def _decode_upstream(name: str, data: Any) -> UpstreamEntry:
    if not name:
        raise FieldError("key: expected the id of an upstream")
    info = get_field(data, "info", "entry")
    status = get_field(data, "status", "entry")
    entry = UpstreamEntry(
        name,
        get_string(info, "service", "info"),
        get_address(data, "address", "entry"),
        get_string(info, "zone", "info"),
    )
    entry.version = get_string(info, "version", "info")
    entry.slots = get_integer(info, "slots", "info", 1, MAX_SLOTS)
    state = get_string(status, "state", "status")
    if state not in _STATES:
        raise FieldError(f"status.state: unknown state {state!r:.60}")
    entry.draining = state == "draining"
    entry.cold_left_s = get_number(status, "coldLeftMs", "status") / 1000
    if "born" in data:
        entry.born_ms = get_integer(data, "born", "entry")
    return entry


# Rows of the operator's configuration.


def _decode_config(data: Any) -> Config:
    version = get_string(data, "version", "config")
    try:
        config = Config(int(version, 16))
    except ValueError as exc:
        raise FieldError(f"config.version: not hexadecimal: {version!r:.60}") from exc
    resources = get_field(data, "resources", "config")
    if not isinstance(resources, list):
        raise FieldError("config.resources: expected a list")
    for index, resource in enumerate(resources):
        path = f"resources[{index}]"
        kind = get_string(resource, "resourceKind", path)
        spec = get_field(resource, "spec", path)
        if kind == "limits":
            config.limits = _decode_limits(spec, path)
            continue
        name = get_string(get_field(resource, "metadata", path), "name", path)
        if kind == "routes":
            config.routes.append(_decode_route(name, spec, path))
        elif kind == "services":
            config.services[name] = _decode_service(name, spec, path)
        elif kind == "tenants":
            config.customers[name] = _decode_customer(name, spec, path)
    return config


def _decode_limits(spec: Any, path: str) -> CallerLimits:
    limits = CallerLimits()
    limits.header_bytes = get_integer(spec, "maxHeaderBytes", path, 1)
    limits.body_bytes = get_integer(spec, "maxBodyBytes", path)
    limits.header_timeout_s = get_number(spec, "headerTimeoutMs", path) / 1000
    limits.idle_timeout_s = get_number(spec, "idleTimeoutMs", path) / 1000
    return limits


def _decode_route(name: str, spec: Any, path: str) -> Route:
    kind = get_string(spec, "kind", path)
    if kind not in _KINDS:
        raise FieldError(f"{path}.kind: unknown kind {kind!r:.60}")
    prefix = get_string(spec, "prefix", path)
    route = Route(name, get_string(spec, "host", path), prefix, _KINDS[kind])
    route.timeout_s = get_number(spec, "timeoutMs", path) / 1000
    # "slo" is the time within which the platform gives a response full credit.
    route.objective_s = get_number(spec, "sloMs", path) / 1000
    route.priority = get_integer(spec, "priority", path)
    route.max_attempts = get_integer(spec, "maxAttempts", path, 1)
    route.public = get_boolean(spec, "public", path, default=False)
    route.sticky = get_boolean(spec, "sticky", path, default=False)
    route.home_regions = frozenset(get_strings(spec, "homeRegions", path))
    route.backends = _decode_backends(spec, path)
    return route


def _decode_customer(name: str, spec: Any, path: str) -> Customer:
    """Decode a customer, which the platform calls a tenant."""
    customer = Customer(name)
    customer.key_digests = frozenset(
        digest_key(key) for key in get_strings(spec, "apiKeys", path)
    )
    if spec.get("priority") is not None:
        customer.priority = get_integer(spec, "priority", path)
    # A rate of 0, or none, is no limit.
    if spec.get("ratePerS"):
        customer.rate_per_s = get_number(spec, "ratePerS", path)
        customer.burst = get_number(spec, "burst", path) if "burst" in spec else 0.0
    customer.home_regions = frozenset(get_strings(spec, "homeRegions", path))
    return customer


def _decode_backends(spec: Any, path: str) -> list[Backend]:
    if "backends" not in spec:
        return [Backend(get_string(spec, "service", path), 1.0)]
    entries = get_field(spec, "backends", path)
    if not isinstance(entries, list):
        raise FieldError(f"{path}.backends: expected a list")
    backends = [
        Backend(get_string(entry, "service", path), get_number(entry, "weight", path))
        for entry in entries
    ]
    backends = [backend for backend in backends if backend.weight > 0]
    if not backends:
        raise FieldError(f"{path}.backends: no service has a weight above 0")
    return backends


def _decode_service(name: str, spec: Any, path: str) -> ServicePolicy:
    policy = ServicePolicy(name)
    policy.health_path = get_string(spec, "healthPath", path)
    policy.max_connections = get_integer(spec, "maxConns", path)
    policy.cold_s = get_number(spec, "coldStartS", path)
    policy.cold_per_s = get_number(spec, "coldPerS", path)
    return policy
