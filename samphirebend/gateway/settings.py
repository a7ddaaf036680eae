"""Settings of a gateway process; durations are in seconds."""

from __future__ import annotations

from typing import Final

from ..addresses import Address
from .bytebudget import DEFAULT_MEMORY_BYTES

# Average cost of a request to a host: bytes on its link in each direction,
# large bodies included, and CPU time.
REQUEST_BYTES: Final = 16_000
REQUEST_CPU_S: Final = 0.003
BYTES_PER_MBIT: Final = 125_000


class StoreSettings:
    """Settings of the connection to the store."""

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
    """Fleet-wide limits, and times that the operator prescribes."""

    __slots__ = (
        "cold_over",
        "cold_slack",
        "config_apply_s",
        "drain_s",
        "evacuate_s",
        "lookup_ttl_max_s",
        "quota_over",
        "quota_slack",
        "quota_window_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "revoke_s",
        "stop_grace_s",
    )

    def __init__(self) -> None:
        self.retry_ratio = 0.2  # retries allowed per request
        self.retry_window_s = 10.0
        self.retry_slack = 50.0  # additional retries per window, all hosts
        # Bound on a customer's requests in any window, for all hosts together: the
        # quota times one plus `quota_over`, and `quota_slack` requests.
        self.quota_window_s = 5.0
        self.quota_over = 0.1
        self.quota_slack = 20.0
        self.cold_over = 1.5  # factor on a service's cold-start rate
        self.cold_slack = 5.0  # additional requests per second, all hosts
        self.lookup_ttl_max_s = 5.0  # maximum TTL of look-up answers
        # Times after which a change in the store must be in force at all hosts:
        # a draining upstream, a configuration, an evacuation.
        self.drain_s = 2.5
        self.config_apply_s = 2.5
        self.evacuate_s = 5.0
        # Time after which no host may honour a removed key, also one that is out
        # of touch; None: only hosts in touch need to know of the removal.
        self.revoke_s: float | None = None
        self.stop_grace_s = 6.0  # time from the stop signal to the kill

    @property
    def propagation_s(self) -> float:
        """Return the time after which all hosts must know any change."""
        return min(self.drain_s, self.config_apply_s, self.evacuate_s)


class GatewaySettings:
    """All settings of a gateway process."""

    __slots__ = (
        "admission",
        "bounds",
        "cores",
        "directory",
        "front",
        "hedge_fraction",
        "host",
        "host_ip",
        "link_mbps",
        "memory_bytes",
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
        self.link_mbps = 1000.0  # bandwidth of the host's link, in Mbit/s
        self.memory_bytes = DEFAULT_MEMORY_BYTES  # a process above it is killed
        self.cores = 1.0  # CPU cores that the host may use; may be a fraction
        self.front: Address | None = None  # listener for callers' requests
        self.ready: Address | None = None  # listener for readiness checks
        self.directory: Address | None = None  # listener for look-ups
        self.peer = Address("127.0.0.1", 1)  # listener for other hosts
        self.seeds: list[Address] = []  # peer addresses of some other hosts
        self.regions: dict[str, str] = {}  # names, keyed by failure domain
        self.store = StoreSettings(Address("127.0.0.1", 1))
        self.bounds = Bounds()
        # Second attempts alongside slow ones, per request; 0: none.
        self.hedge_fraction = 0.0
        # Whether admission decides while a service is short; see `admission`.
        self.admission = False

    @property
    def capacity_per_s(self) -> float:
        """Return the request rate that the host's link and CPU sustain."""
        by_link = self.link_mbps * BYTES_PER_MBIT / REQUEST_BYTES
        return min(by_link, self.cores / REQUEST_CPU_S)
