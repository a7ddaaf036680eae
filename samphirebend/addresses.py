"""Addresses of the form IP:PORT in settings and manifests."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .jsonfile import Reader

MAX_PORT: Final = 65535
_PORT: Final = re.compile("[0-9]{1,5}")


class Address:
    """An IP address and a TCP port."""

    __slots__ = ("ip", "port")

    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Address)
            and self.ip == other.ip
            and self.port == other.port
        )

    def __hash__(self) -> int:
        return hash((self.ip, self.port))


def parse_address(text: str) -> Address | None:
    """Parse an address of the form IP:PORT; return None if it is malformed.

    >>> str(parse_address("127.0.0.1:80"))
    '127.0.0.1:80'
    >>> parse_address("localhost:80") is None
    True
    >>> parse_address("127.0.0.1:0") is None
    True
    >>> parse_address("127.0.0.1:+80") is None
    True
    """
    ip, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port):
        return None
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return None
    number = int(port)
    return Address(ip, number) if 0 < number <= MAX_PORT else None


def read_address(reader: Reader, field: str) -> Address:
    """Read an address field; record a fault if it is malformed.

    A faulty field gives a placeholder, so that reading can go on and find
    further faults.
    """
    fault_count = len(reader.faults)
    text = reader.text(field)
    address = parse_address(text)
    if address is None:
        if len(reader.faults) == fault_count:
            reader.fault(field, "an IPv4 address and port", text)
        return Address("0.0.0.0", 1)
    return address
