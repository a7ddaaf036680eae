"""Decodes the settings file of the platform (TOML)."""

from __future__ import annotations

import tomllib
from typing import Any, Final

from result import Err, Ok, Result

from ..addresses import Address, parse_address
from ..gateway.settings import Bounds, GatewaySettings, StoreSettings
from .fields import (
    FieldError,
    get_address,
    get_field,
    get_integer,
    get_number,
    get_string,
    get_strings,
)

SETTINGS_VARIABLE: Final = "SAMPHIREBEND_NODE_FILE"

# Field of `terms.bounds` and attribute of `Bounds`, in the same unit.
_BOUND_FIELDS: Final = (
    ("budgetRatio", "retry_ratio"),
    ("budgetWindowS", "retry_window_s"),
    ("budgetSlack", "retry_slack"),
    ("coldOver", "cold_over"),
    ("coldSlack", "cold_slack"),
    ("ttl_max_s", "lookup_ttl_max_s"),
    ("graceS", "stop_grace_s"),
)


def decode_settings(text: str) -> Result[GatewaySettings, str]:
    """Return the settings, or the first fault with the path of its field."""
    try:
        return Ok(_decode(tomllib.loads(text)))
    except (tomllib.TOMLDecodeError, FieldError) as exc:
        return Err(str(exc))


def _decode(data: dict[str, Any]) -> GatewaySettings:
    own = get_field(data, "self", "settings")
    cfg = GatewaySettings(
        get_string(own, "node", "self"),  # the platform's name of this host
        get_string(own, "zone", "self"),
        get_string(own, "region", "self"),
    )
    cfg.host_ip = get_string(own, "ip", "self")
    limits = own.get("limits", {})
    if "linkMbps" in limits:
        cfg.link_mbps = get_number(limits, "linkMbps", "self.limits")
    if "cpuShare" in limits:
        # Part of a core of usual speed, on each of `cores` cores.
        share = get_number(limits, "cpuShare", "self.limits")
        cores = get_number(limits, "cores", "self.limits") if "cores" in limits else 1
        cfg.cores = share * cores
    network = get_field(data, "network", "settings")
    _read_network(cfg, network, get_strings(own, "serves", "self"))
    provider = get_field(data, "provider", "settings")
    store = get_field(provider, "provider", "provider")  # a table within its namesake
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
        # Ports are the same on all hosts.
        cfg.seeds.append(Address(seed.ip, port))
    zones = get_field(network, "zones", "network")
    if not isinstance(zones, dict):
        raise FieldError("network.zones: expected a table")
    cfg.regions = {str(zone): str(region) for zone, region in zones.items()}


def _read_bounds(data: dict[str, Any]) -> Bounds:
    bounds = Bounds()
    terms = data.get("terms", {})
    stated = terms.get("bounds", {}) if isinstance(terms, dict) else {}
    for field, attribute in _BOUND_FIELDS:
        if field in stated:
            setattr(bounds, attribute, get_number(stated, field, "terms.bounds"))
    return bounds
