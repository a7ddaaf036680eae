"""Settings of one daemon, read once at start from JSON with comments."""

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
# What `read_address` returns for a field with a fault.
_INVALID_ADDRESS: Final = Address("0.0.0.0", 1)


class Options:
    """Settings of one daemon; durations in seconds, sizes in bytes."""

    def __init__(self) -> None:
        # Name of this host, as the manifest lists it.
        self.host = ""
        # Region and failure domain in which this host stands.
        self.region = ""
        self.failure_domain = ""
        # Where callers connect.
        self.entry_address = Address("127.0.0.1", 8000)
        # Where other daemons relay requests to.
        self.relay_address = Address("127.0.0.1", 8001)
        # Where other daemons send control messages.
        self.peer_address = Address("127.0.0.1", 8002)
        # Where operators and metrics collectors connect.
        self.admin_address = Address("127.0.0.1", 8003)
        # Control addresses of other daemons, used before a manifest is known.
        self.seeds: list[Address] = []
        # Base URL of the platform's table service, and the table to use.
        self.table_url = ""
        self.table_name = "samphirebend"
        # URL of the platform's list of live and leaving upstreams; empty: none.
        self.platform_list_url = ""
        # Interval of heartbeats to peers.
        self.heartbeat_s = 0.5
        # Time for which a grant or a renewal keeps a shard lease valid.
        self.lease_s = 3.0
        # Interval of reads of the manifest version in the table.
        self.table_poll_s = 1.0
        # Time limit of one call to the table service.
        self.table_timeout_s = 1.0
        # Time to live of look-up answers.
        self.lookup_ttl_s = 2.0
        # Longest wait for a free slot before a request is refused, from its start.
        # With 25 ms, refusals on a busy machine took more than the 50 ms allowed; at
        # 1.5 times capacity 25 ms gave no more goodput than 10 ms.
        self.queue_wait_s = 0.01
        # Log level and form: "human" or "json".
        self.log_level = "INFO"
        self.log_form = "human"


def read_options(text: str) -> Result[Options, list[Fault]]:
    """Check the whole settings text; return the options or all its faults."""
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
        # The text is not shown, because it may hold a password.
        expected = "an http or https URL without user and fragment"
        if required:
            expected = "an http or https URL without user, query and fragment"
        reader.fault(field, expected, "another text")
    return text.rstrip("/")


def _is_url(text: str) -> bool:
    """Tell whether a text can serve as base URL.

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
