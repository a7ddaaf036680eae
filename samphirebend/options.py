"""Settings of one daemon, read once at startup from JSON with comments."""

from __future__ import annotations

from typing import Final
from urllib.parse import urlsplit

from result import Err, Ok, Result

from .addresses import Address, parse_address, read_address
from .jsonfile import Fault, Reader, parse

MAX_SETTINGS_BYTES: Final = 256 * 1024

_ADDRESS_FIELDS: Final = (
    "entry_address",
    "relay_address",
    "peer_address",
    "admin_address",
)
# Value that `read_address` returns for an invalid or missing field.
_INVALID_ADDRESS: Final = Address("0.0.0.0", 1)


class Options:
    """Settings of one daemon; durations in seconds, sizes in bytes."""

    def __init__(self) -> None:
        # Name of this host in the manifest.
        self.host = ""
        # Region and failure domain of this host.
        self.region = ""
        self.failure_domain = ""
        # Listening address for callers.
        self.entry_address = Address("127.0.0.1", 8000)
        # Listening address for requests that other daemons relay.
        self.relay_address = Address("127.0.0.1", 8001)
        # Listening address for control messages of other daemons.
        self.peer_address = Address("127.0.0.1", 8002)
        # Listening address for operators and metrics collectors.
        self.admin_address = Address("127.0.0.1", 8003)
        # Peer addresses of other daemons, used until a manifest is known.
        self.seeds: list[Address] = []
        # Base URL of the platform's table service, and the name of the table.
        self.table_url = ""
        self.table_name = "samphirebend"
        # URL of the platform's list of live and leaving upstreams; empty if
        # there is none.
        self.platform_list_url = ""
        # Interval between heartbeats to peers.
        self.heartbeat_s = 0.5
        # Duration of a shard lease after a grant or a renewal.
        self.lease_s = 3.0
        # Interval between reads of the manifest version from the table.
        self.table_poll_s = 1.0
        # Timeout of one call to the table service.
        self.table_timeout_s = 1.0
        # Time to live of look-up responses.
        self.lookup_ttl_s = 2.0
        # Longest wait for a free slot, from the start of a request until it is
        # refused. With 25 ms, refusals on a busy machine took longer than the
        # allowed 50 ms, and goodput at 1.5 times the capacity was no higher
        # than with 10 ms.
        self.queue_wait_s = 0.01
        # Log level, and log format: "human" or "json".
        self.log_level = "INFO"
        self.log_form = "human"


def read_options(text: str) -> Result[Options, list[Fault]]:
    """Parse and validate the settings; return the options or all faults."""
    parsed = parse(text, MAX_SETTINGS_BYTES)
    if isinstance(parsed, Err):
        return Err([parsed.err_value])
    faults: list[Fault] = []
    reader = Reader(parsed.ok_value, "", faults)
    cfg = Options()
    cfg.host = reader.text("host", max_length=63)
    cfg.region = reader.text("region", max_length=63)
    cfg.failure_domain = reader.text("failure_domain", max_length=63)
    for field in _ADDRESS_FIELDS:
        setattr(cfg, field, read_address(reader, field))
    cfg.seeds = _read_seeds(reader)
    cfg.table_url = _read_url(reader, "table_url", required=True)
    cfg.table_name = reader.text("table_name", cfg.table_name)
    cfg.platform_list_url = _read_url(reader, "platform_list_url", required=False)
    for name, low_ms, high_ms in (
        ("heartbeat", 50, 10_000),
        ("lease", 500, 60_000),
        ("table_poll", 100, 60_000),
        ("table_timeout", 50, 30_000),
        ("lookup_ttl", 100, 600_000),
        ("queue_wait", 0, 1_000),
    ):
        default_ms = round(getattr(cfg, f"{name}_s") * 1000)
        value_ms = reader.integer(f"{name}_ms", low_ms, high_ms, default_ms)
        setattr(cfg, f"{name}_s", value_ms / 1000)
    cfg.log_level = reader.choice(
        "log_level", ("DEBUG", "INFO", "WARNING", "ERROR"), cfg.log_level
    )
    cfg.log_form = reader.choice("log_form", ("human", "json"), cfg.log_form)
    _check_combinations(reader, cfg)
    reader.finish()
    return Err(faults) if faults else Ok(cfg)


def _read_seeds(reader: Reader) -> list[Address]:
    seeds = []
    for index, text in enumerate(reader.texts("seeds", [])):
        address = parse_address(text)
        if address is None:
            reader.fault(f"seeds[{index}]", "an IPv4 address and port", text)
        else:
            seeds.append(address)
    return seeds


def _read_url(reader: Reader, field: str, required: bool) -> str:
    text = reader.text(field, None if required else "")
    if not text:
        return ""
    if not _is_url(text) or (required and "?" in text):
        # The URL is not quoted, because it may contain a password.
        expected = "an http or https URL without user and fragment"
        if required:
            expected = "an http or https URL without user, query and fragment"
        reader.fault(field, expected, "another text")
    return text.rstrip("/")


def _is_url(text: str) -> bool:
    """Return whether a string is a usable base URL.

    >>> _is_url("http://127.0.0.1:80/a"), _is_url("http://u@127.0.0.1/")
    (True, False)
    """
    try:
        parts = urlsplit(text)
        valid_port = parts.port != 0
    except ValueError:
        return False
    plain = "#" not in text and "@" not in parts.netloc
    known = parts.scheme in ("http", "https") and bool(parts.hostname)
    return known and plain and valid_port and " " not in text


def _check_combinations(reader: Reader, cfg: Options) -> None:
    used: set[Address] = set()
    for field in _ADDRESS_FIELDS:
        address = getattr(cfg, field)
        if address in used and address != _INVALID_ADDRESS:
            reader.fault(field, "an address used once", str(address))
        used.add(address)
    if cfg.lease_s < 4 * cfg.heartbeat_s:
        reader.fault(
            "lease_ms",
            "at least four heartbeat intervals",
            f"{round(cfg.lease_s * 1000)} ms",
        )
