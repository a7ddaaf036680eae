"""Settings of one gateway process; durations in seconds."""

from __future__ import annotations

from typing import Final

from ..addresses import Address

# What a request costs a host on average: bytes on its link each way, with the
# larger bodies, and processor time.
REQUEST_BYTES: Final = 16_000
REQUEST_CPU_S: Final = 0.003
BYTES_PER_MBIT: Final = 125_000


class StoreSettings:
    """Where the store is."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address


def differences(old: object, new: object, path: str = "") -> list[str]:
    """Return the paths of the settings that differ."""
    changed = []
    for name in getattr(old, "__slots__", ()):
        before, after = getattr(old, name), getattr(new, name)
        if isinstance(before, StoreSettings | Bounds):
            changed += differences(before, after, f"{path}{name}.")
        elif before != after:
            changed.append(path + name)
    return changed


class Bounds:
    """Limits that all hosts keep together, and times that the operator states."""

    __slots__ = (
        "cold_over",
        "cold_slack",
        "lookup_ttl_max_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "stop_grace_s",
    )

    def __init__(self) -> None:
        self.retry_ratio = 0.2  # repeats for each request
        self.retry_window_s = 10.0
        self.retry_slack = 50.0  # repeats beyond the ratio, of all hosts
        self.cold_over = 1.5  # factor on the rate that a cold upstream states
        self.cold_slack = 5.0  # requests a second beyond it, of all hosts
        self.lookup_ttl_max_s = 5.0  # longest life of a look-up's answer
        self.stop_grace_s = 6.0  # from the signal to stop until the kill


class GatewaySettings:
    """All that a gateway process is told at its start."""

    __slots__ = (
        "bounds",
        "cores",
        "directory",
        "front",
        "host",
        "host_ip",
        "link_mbps",
        "peer",
        "ready",
        "region",
        "regions",
        "seeds",
        "store",
        "zone",
    )

    def __init__(self, host: str, zone: str, region: str) -> None:
        self.host = host
        self.zone = zone  # failure domain
        self.region = region
        self.host_ip = ""
        self.link_mbps = 1000.0  # bandwidth of the host's own link
        self.cores = 1.0  # processor time that the host may use, in cores
        self.front: Address | None = None  # requests of callers
        self.ready: Address | None = None  # readiness checks
        self.directory: Address | None = None  # look-ups of callers
        self.peer = Address("127.0.0.1", 1)  # traffic between hosts
        self.seeds: list[Address] = []  # peer addresses of some hosts
        self.regions: dict[str, str] = {}  # failure domain to region
        self.store = StoreSettings(Address("127.0.0.1", 1))
        self.bounds = Bounds()

    @property
    def capacity_per_s(self) -> float:
        """Return the requests a second that the host's link and processor carry."""
        by_link = self.link_mbps * BYTES_PER_MBIT / REQUEST_BYTES
        return min(by_link, self.cores / REQUEST_CPU_S)
