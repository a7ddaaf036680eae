"""Decodes the platform's settings file, which is TOML."""

from __future__ import annotations

import tomllib
from typing import Any, Final

from result import Err, Ok, Result

from ..addresses import Address, parse_address
from ..gateway.settings import Bounds, GatewaySettings, StoreSettings
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

BYTES_PER_MB: Final = 1024 * 1024
SETTINGS_VARIABLE: Final = "SAMPHIREBEND_NODE_FILE"

# Field in `terms.bounds` and attribute of `Bounds`; both have the same unit.
_BOUND_FIELDS: Final = (
    ("budgetRatio", "retry_ratio"),
    ("budgetWindowS", "retry_window_s"),
    ("budgetSlack", "retry_slack"),
    ("coldOver", "cold_over"),
    ("coldSlack", "cold_slack"),
    ("ttl_max_s", "lookup_ttl_max_s"),
    ("quotaOver", "quota_over"),
    ("quotaSlack", "quota_slack"),
    ("graceS", "stop_grace_s"),
)
# The same for fields in milliseconds.
_BOUND_FIELDS_MS: Final = (
    ("drainMs", "drain_s"),
    ("configApplyMs", "config_apply_s"),
    ("evacMs", "evacuate_s"),
)


def decode_settings(text: str) -> Result[GatewaySettings, str]:
    """Decode the settings; return them or the first error."""
    try:
        return Ok(_decode(tomllib.loads(text)))
    except (tomllib.TOMLDecodeError, FieldError) as exc:
        return Err(str(exc))


def _decode(data: dict[str, Any]) -> GatewaySettings:
    self_table = get_field(data, "self", "settings")
    cfg = GatewaySettings(
        # The platform calls a host a node.
        get_string(self_table, "node", "self"),
        get_string(self_table, "zone", "self"),
        get_string(self_table, "region", "self"),
    )
    cfg.host_ip = get_string(self_table, "ip", "self")
    limits = self_table.get("limits", {})
    if "linkMbps" in limits:
        cfg.link_mbps = get_number(limits, "linkMbps", "self.limits")
    if "memoryMb" in limits:
        memory_mb = get_number(limits, "memoryMb", "self.limits", 1.0)
        cfg.memory_bytes = int(memory_mb * BYTES_PER_MB)
    if "cpuShare" in limits:
        # Usable share of a core of standard speed, on each of `cores` cores.
        share = get_number(limits, "cpuShare", "self.limits")
        cores = get_number(limits, "cores", "self.limits") if "cores" in limits else 1
        cfg.cores = share * cores
    network = get_field(data, "network", "settings")
    _read_network(cfg, network, get_strings(self_table, "serves", "self"))
    provider = get_field(data, "provider", "settings")
    # The platform nests this table in another table of the same name.
    store = get_field(provider, "provider", "provider")
    cfg.store = StoreSettings(get_address(store, "address", "provider.provider"))
    cfg.bounds = _read_bounds(data)
    return cfg


def _read_network(cfg: GatewaySettings, network: Any, serves: list[str]) -> None:
    listen = get_field(network, "listen", "network")
    if "front" in serves:
        cfg.front = get_address(listen, "front", "network.listen")
        cfg.ready = get_address(listen, "ready", "network.listen")
    if "directory" in serves:
        cfg.directory = get_address(listen, "directory", "network.listen")
    ports = get_field(network, "portRange", "network")
    if not isinstance(ports, list) or not ports:
        raise FieldError("network.portRange: expected a list of two ports")
    port = get_integer({"portRange[0]": ports[0]}, "portRange[0]", "network", 1)
    cfg.peer = Address(cfg.host_ip, port)
    for text in get_strings(network, "seeds", "network"):
        seed = parse_address(text)
        if seed is None:
            raise FieldError(f"network.seeds: expected IP:PORT, found {text!r:.60}")
        # All hosts use the same peer port, so the port in `seeds` is ignored.
        cfg.seeds.append(Address(seed.ip, port))
    zones = get_field(network, "zones", "network")
    if not isinstance(zones, dict):
        raise FieldError("network.zones: expected a table")
    cfg.regions = {str(zone): str(region) for zone, region in zones.items()}


def _read_bounds(data: dict[str, Any]) -> Bounds:
    bounds = Bounds()
    terms = data.get("terms", {})
    configured = terms.get("bounds", {}) if isinstance(terms, dict) else {}
    for field, attribute in _BOUND_FIELDS:
        if field in configured:
            setattr(bounds, attribute, get_number(configured, field, "terms.bounds"))
    if "quotaWindowS" in configured:
        window_s = get_number(configured, "quotaWindowS", "terms.bounds", low=0.1)
        bounds.quota_window_s = window_s
    for field, attribute in _BOUND_FIELDS_MS:
        if field in configured:
            time_ms = get_number(configured, field, "terms.bounds", low=1.0)
            setattr(bounds, attribute, time_ms / 1000)
    if get_boolean(configured, "strictRevoke", "terms.bounds", default=False):
        time_ms = get_number(configured, "revokeMs", "terms.bounds", low=1.0)
        bounds.revoke_s = time_ms / 1000
    return bounds
