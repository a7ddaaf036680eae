"""Workloads, upstreams, hosts and requests of the routing simulation."""

from __future__ import annotations

from random import Random
from typing import Final

from samphirebend.manifest import Manifest, Upstream
from samphirebend.relayhistory import RelayHistory
from samphirebend.reservation import TrunkReservation
from samphirebend.retries import RetryBudget
from samphirebend.upstreamstate import UpstreamStates


class Workload:
    """Workload of one user of the system.

    Services are (upstreams, slots of each, seconds of work, request bytes,
    response bytes).
    """

    def __init__(
        self,
        name: str,
        measure: str,
        delay_s: float,
        mbit: int,
        slots: int,
        upload: int,
    ) -> None:
        self.name, self.measure, self.delay_s = name, measure, delay_s
        self.link_rate = mbit * 125_000.0  # bytes per second
        self.services = {
            "read": (14, slots, 0.06, 2_000, 40_000),
            "ledger": (12, 3, 0.08, 2_000, 1_000),
            "upload": (12, 3, 1.0, upload, 1_000),
        }


WORKLOADS: Final = (
    Workload("linjeringsbyran", "headroom", 0.035, 280, 3, 1_000_000),
    Workload("badgegate", "latency", 0.020, 4_000, 4, 8_000_000),
)


class Backend:
    """A simulated upstream."""

    def __init__(self, upstream: Upstream, site: int, owner: str, speed: float) -> None:
        self.upstream, self.site, self.owner = upstream, site, owner
        self.region = site // 2
        self.speed = speed
        self.in_flight = 0
        self.bad = False  # whether it fails most requests and reports no load


class Host:
    """Routing state of one entry host."""

    def __init__(self, name: str, region: int, manifest: Manifest) -> None:
        self.name, self.region = name, region
        self.states = UpstreamStates(f"r{region}")
        self.states.apply(manifest, 0.0)
        self.budget = RetryBudget()
        # Keyed by whether a request was relayed because its own host had no
        # free slot.
        self.relay_logs = {False: RelayHistory(), True: RelayHistory()}
        self.reservation = TrunkReservation()
        self.backends: dict[str, list[Backend]] = {}  # keyed by service name


class Request:
    """One request and its random properties."""

    def __init__(self, service: str, region: int, at: float, rng: Random) -> None:
        self.service, self.region, self.at = service, region, at
        # Factor of the service time; its mean is about 1.
        self.work = min(8.0, rng.lognormvariate(-0.08, 0.4))
        self.fail_draw = rng.random()  # whether a bad upstream fails it
        self.host: Host
        self.attempts = 0
        self.overflow = False  # relayed because its own host had no free slot
