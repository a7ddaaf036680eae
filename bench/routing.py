"""Compares the routing policy with baselines in a simulation.

Run `python -m bench.routing [SECONDS]`. Time is simulated; every policy of a
setting gets the same arrivals, service times and faults from the same seeds. A
baseline picks among all live upstreams of a service ("all"), or among those of
the entry host's region while there are any ("region"). All policies use the
same retry budget, and callers resend refused requests, so that policies are
compared on the same work.

Prints one line per setting, workload and policy: p50 and p99 latency of the
two services with small requests (from the first attempt to the response),
headroom (lowest free share of any site's slots or any link in each second,
averaged over all seconds), goodput (share of requests answered) and refusals
per request.
"""

from __future__ import annotations

import heapq
import sys
from bisect import bisect_right
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from random import Random
from typing import Final

from samphirebend.addresses import Address
from samphirebend.callerblocks import empty_table
from samphirebend.manifest import Manifest, Region, Service, Upstream
from samphirebend.peerchoice import RelayRequest, choose_peer
from samphirebend.relayhistory import RelayCandidate
from samphirebend.routing import HostOption, choose_upstream, rank_hosts
from samphirebend.slotusage import SlotUsage
from samphirebend.upstreamrecord import DispatchOutcome, Report

from .simulation import WORKLOADS, Backend, Host, Request, Workload

SEEDS: Final = (1, 2, 3)  # results are averaged over them
LOAD_SHARE: Final = 0.45  # share of all slots in use, before slowdown by load
FAULT_AT_S: Final = 5.0  # simulated time at which the setting's fault begins
CALLER_PAUSE_S: Final = 0.2  # time before a caller resends a refused request
CALLER_TIMEOUT_S: Final = 3.0  # request age after which callers do not resend
FAILURE_DETECTION_S: Final = 1.5  # time until hosts know that a region is lost
SETTINGS: Final = ("calm", "region lost", "stale", "bad upstream")
BASELINES: Final = ("round robin", "random", "two choices", "least load")
POLICIES: Final = ["samphirebend"] + [
    f"{name}, {scope}" for name in BASELINES for scope in ("all", "region")
]


class Simulation:
    """Simulation of one setting, workload, policy and seed."""

    def __init__(
        self, workload: Workload, setting: str, policy: str, length_s: float, seed: int
    ) -> None:
        self.workload, self.setting, self.length_s = workload, setting, length_s
        self.policy, _, self.scope = policy.partition(", ")
        self.rng, speed_rng, self.seed = Random(seed), Random(seed + 1000), seed
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers, self.round_robin_turn, self.now = count(), count(), 0.0
        services = []
        for name, (number, slots, *_) in workload.services.items():
            upstreams = [
                Upstream(
                    f"{name}{i}", name, f"r{i % 3}", f"s{i % 6}",
                    Address("127.0.0.1", 1000 + i), slots, 300,
                )
                for i in range(number)
            ]  # fmt: skip
            services.append(Service(name, name != "ledger", 5.0, 1 << 30, upstreams))
        regions = [Region(f"r{i}", 999, []) for i in range(3)]
        manifest = Manifest(
            "bench", workload.measure, regions, [], [], services, empty_table()
        )
        self.hosts = [
            Host(f"h{i}", region, manifest)
            for i, region in enumerate((0, 0, 0, 1, 1, 2, 2))
        ]
        self.backends: dict[str, list[Backend]] = {
            name: [] for name in workload.services
        }
        for service in services:
            for i, upstream in enumerate(service.upstreams):
                local = [host for host in self.hosts if host.region == i % 3]
                owner = local[(i // 3) % len(local)]
                site = i % 3 * 2 + (i // 3) % 2
                speed = speed_rng.uniform(0.7, 1.4)
                backend = Backend(upstream, site, owner.name, speed)
                owner.backends.setdefault(service.name, []).append(backend)
                self.backends[service.name].append(backend)
        for host in self.hosts:
            owned = [b.upstream.name for group in host.backends.values() for b in group]
            host.states.set_owned(owned)
        self.link_free_at: dict[tuple[int, int], float] = {}
        self.link_bytes: dict[tuple[int, int, int], float] = {}
        # Mean slots in use, keyed by site and second.
        self.site_use: dict[tuple[int, int], float] = {}
        # Reports of all heartbeats, oldest first. Slots in use and usable
        # slots are keyed by upstream, slots for requests of other regions by
        # host and service.
        self.reported_in_use: list[dict[str, int]] = [{}]
        self.reported_overflow: list[dict[tuple[str, str], int]] = [{}]
        self.reported_free: list[dict[str, int]] = [{}]
        self.reported_at = [0.0]
        self.latencies: list[float] = []
        self.requests = self.answered = self.refused = 0

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Call a function at a simulated time."""
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def is_fault_active(self, setting: str) -> bool:
        return self.setting == setting and self.now >= FAULT_AT_S

    def is_lost(self, region: int) -> bool:
        """Return whether a region has failed, even if no host knows it yet."""
        return region == 1 and self.is_fault_active("region lost")

    def is_known_lost(self, region: int) -> bool:
        return self.is_lost(region) and self.now >= FAULT_AT_S + FAILURE_DETECTION_S

    def run(self) -> None:
        """Schedule all arrivals and process events until none is left."""
        arrivals = Random(self.seed + 2000)
        for name, (number, slots, seconds, *_) in self.workload.services.items():
            rate, when = LOAD_SHARE * number * slots / seconds, 0.0
            while (when := when + arrivals.expovariate(rate)) < self.length_s:
                region = arrivals.choices((0, 1, 2), (0.45, 0.35, 0.2))[0]
                request = Request(name, region, when, arrivals)
                self.requests += 1
                self.schedule(when, lambda request=request: self.arrive(request))  # type: ignore[misc]
        if self.setting == "bad upstream":
            self.schedule(
                FAULT_AT_S, lambda: setattr(self.backends["read"][0], "bad", True)
            )
        self.schedule(0.0, self.heartbeat)
        self.schedule(0.0, self.sample)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def heartbeat(self) -> None:
        """Record the reports of all hosts, every 0.5 s.

        Nothing is reported while the fault "stale" is active.
        """
        all_backends = [b for group in self.backends.values() for b in group]
        if not self.is_fault_active("stale"):
            load = {b.upstream.name: 0 if b.bad else b.in_flight for b in all_backends}
            free = {b.upstream.name: self.usable_slots(b) for b in all_backends}
            self.reported_free.append(free)
            self.reported_overflow.append(
                {
                    (host.name, name): self.free_overflow_slots(host, name)
                    for host in self.hosts
                    for name in self.workload.services
                }
            )
            self.reported_in_use.append(load)
            self.reported_at.append(self.now)
            for b in all_backends:
                report = Report("i", False, False, load[b.upstream.name])
                for host in self.hosts:
                    host.states.record_report(
                        b.upstream.name, report, self.now, self.now
                    )
        if self.now < self.length_s:
            self.schedule(self.now + 0.5, self.heartbeat)

    def sample(self) -> None:
        """Add the slots in use to the means by second, every 0.1 s."""
        for group in self.backends.values():
            for b in group:
                key = (b.site, int(self.now))
                self.site_use[key] = self.site_use.get(key, 0.0) + b.in_flight / 10
        if self.now < self.length_s - 0.1:
            self.schedule(self.now + 0.1, self.sample)

    def send(self, source: int, target: int, size: float) -> float:
        """Send bytes over a link; return the seconds until they arrive."""
        if source == target:
            return 0.001
        key, duration = (source, target), size / self.workload.link_rate
        start = max(self.now, self.link_free_at.get(key, 0.0))
        self.link_free_at[key] = start + duration
        second = (source, target, int(start))
        self.link_bytes[second] = self.link_bytes.get(second, 0.0) + size
        return start + duration - self.now + self.workload.delay_s

    def usable_slots(self, backend: Backend) -> int:
        """Return a backend's free slots within its host's limit for it."""
        owner = next(host for host in self.hosts if host.name == backend.owner)
        name, slots = backend.upstream.name, backend.upstream.slots
        return max(0, owner.states.limit(name, slots, self.now) - backend.in_flight)

    @staticmethod
    def overflows(request: Request, target: Host) -> bool:
        """Return whether a request comes from a region without free slots."""
        return request.overflow and request.host.region != target.region

    def free_overflow_slots(self, host: Host, service: str) -> int:
        """Return a host's free slots for requests of other regions."""
        free = sum(self.usable_slots(b) for b in host.backends.get(service, []))
        return host.reservation.available(service, free, self.now)

    def last_report_index(self, delay_s: float) -> int:
        """Return the index of the last report that has arrived by now."""
        return max(0, bisect_right(self.reported_at, self.now - delay_s) - 1)

    def reported_slots(
        self, host: Host, service: str, delay_s: float
    ) -> tuple[int, int]:
        """Return the free slots that a host reported, and all of its slots.

        An empty `service` stands for all services.
        """
        reported = self.reported_free[self.last_report_index(delay_s)]
        names = [service] if service else list(self.workload.services)
        group = [b for name in names for b in host.backends.get(name, [])]
        free = sum(reported.get(b.upstream.name, b.upstream.slots) for b in group)
        return free, sum(b.upstream.slots for b in group)

    def arrive(self, request: Request) -> None:
        """Choose the entry host of a request and send the request to it."""
        live = [host for host in self.hosts if not self.is_known_lost(host.region)]
        near = [host for host in live if host.region == request.region] or live
        request.host = self.rng.choice(near)
        if self.policy == "samphirebend":
            options = []
            for host in near:
                remote = host.region != request.region
                delay_s = self.workload.delay_s if remote else 0.0
                free, total = self.reported_slots(host, request.service, delay_s)
                options.append(
                    HostOption(host.name, not remote, delay_s, free, total, False)
                )
            first = rank_hosts(options, self.rng)[0]
            request.host = next(host for host in near if host.name == first)
        request_bytes = self.workload.services[request.service][3]
        travel_s = 0.003 + self.send(request.region, request.host.region, request_bytes)
        if self.is_lost(request.host.region):
            travel_s = 0.5  # the caller gives up and looks up another host
            request.host = next(h for h in self.hosts if h.region == 0)
        request.host.budget.record_request(self.now)
        self.schedule(self.now + travel_s, lambda: self.route(request))

    def route(self, request: Request) -> None:
        """Start an attempt at the entry host; relay it if necessary."""
        request.attempts += 1
        backend, target = self.choose(request)
        request_bytes = self.workload.services[request.service][3]
        if target is None:
            self.fail_attempt(request, "refused")
            return
        hop_s = 0.0
        if target is not request.host:
            hop_s = self.send(request.host.region, target.region, request_bytes)
        self.schedule(self.now + hop_s, lambda: self.dispatch(request, backend, target))

    def choose_local_backend(self, host: Host, service: str) -> Backend | None:
        """Choose one of a host's own backends by the routing policy."""
        group = host.backends.get(service, [])
        slot_usages = [
            SlotUsage(b.upstream.name, b.in_flight, b.upstream.slots) for b in group
        ]
        measure = self.workload.measure
        name = choose_upstream(slot_usages, host.states, measure, self.now, self.rng)
        return next((b for b in group if b.upstream.name == name), None)

    def choose(self, request: Request) -> tuple[Backend | None, Host | None]:
        """Choose the host that dispatches a request.

        Baselines also choose the backend. The host is None if the request is
        refused.
        """
        host, service = request.host, request.service
        if self.policy != "samphirebend":
            return self.choose_baseline(host, service)
        own_backends = host.backends.get(service, [])
        request.overflow = not sum(self.usable_slots(b) for b in own_backends)
        options = []
        for other in self.hosts:
            if other is host or self.is_known_lost(other.region):
                continue
            remote = other.region != host.region
            delay_s = self.workload.delay_s if remote else 0.001
            key = (host.region, other.region)
            free, total = self.reported_slots(other, service, delay_s)
            if remote and request.overflow:
                reported = self.reported_overflow[self.last_report_index(delay_s)]
                free = reported.get((other.name, service), free)
            options.append(
                RelayCandidate(
                    other.name,
                    f"r{other.region}",
                    free,
                    total,
                    *self.reported_slots(other, "", delay_s),
                    self.reported_at[self.last_report_index(delay_s)] + delay_s,
                    delay_s,
                    max(0.0, self.link_free_at.get(key, 0.0) - self.now),
                )
            )
        _, _, seconds, request_bytes, _ = self.workload.services[service]
        own_free = {
            name: sum(self.usable_slots(b) for b in group)
            for name, group in host.backends.items()
        }
        own, total = own_free.get(service, 0), self.reported_slots(host, "", 0.0)[1]
        relay = RelayRequest(
            service,
            request_bytes,
            service != "ledger",
            f"r{host.region}",
            own,
            self.reported_slots(host, service, 0.0)[1],
            sum(own_free.values()),
            total,
            seconds,
        )
        measure, now = self.workload.measure, self.now
        peer = choose_peer(
            relay, options, host.relay_logs[request.overflow], measure, now, self.rng
        )
        if peer is not None:
            host.relay_logs[request.overflow].record_relay(peer, service, now)
            return None, next(h for h in self.hosts if h.name == peer)
        return None, host if own > 0 else None

    def choose_baseline(self, host: Host, service: str) -> tuple[Backend, Host]:
        """Choose a backend and its host by the baseline policy."""
        pool = [b for b in self.backends[service] if not self.is_known_lost(b.region)]
        local = [b for b in pool if b.region == host.region]
        pool = local if self.scope == "region" and local else pool
        reported = self.reported_in_use[self.last_report_index(self.workload.delay_s)]

        def load_of(backend: Backend) -> float:
            return reported.get(backend.upstream.name, 0) / backend.upstream.slots

        if self.policy == "round robin":
            chosen = pool[next(self.round_robin_turn) % len(pool)]
        elif self.policy == "random":
            chosen = self.rng.choice(pool)
        elif self.policy == "two choices":
            chosen = min(self.rng.sample(pool, 2), key=load_of)
        else:
            chosen = min(
                pool, key=lambda backend: (load_of(backend), self.rng.random())
            )
        return chosen, next(h for h in self.hosts if h.name == chosen.owner)

    def dispatch(self, request: Request, backend: Backend | None, target: Host) -> None:
        """Run a request on a backend of the target host, or refuse it."""
        if self.is_lost(target.region):
            self.schedule(self.now + 0.2, lambda: self.fail_attempt(request, "refused"))
            return
        if self.policy == "samphirebend" and backend is None:
            backend = self.choose_local_backend(target, request.service)
            if self.overflows(request, target) and not self.free_overflow_slots(
                target, request.service
            ):
                backend = None
        if backend is None or backend.in_flight >= backend.upstream.slots:
            request.host.relay_logs[request.overflow].record_refused(
                target.name, request.service, self.now
            )
            self.report_free_slots(request, target)
            self.schedule(
                self.now + self.delay_s(target, request),
                lambda: self.fail_attempt(request, "refused"),
            )
            return
        chosen, sent_at = backend, self.now
        target.states.record_dispatch(chosen.upstream.name, sent_at)
        chosen.in_flight += 1
        if not self.overflows(request, target):
            target.reservation.record_begin(request.service, sent_at)
        load_factor = 1.0 + 0.4 * chosen.in_flight / chosen.upstream.slots
        seconds = self.workload.services[request.service][2]
        failed = chosen.bad and request.fail_draw < 0.9
        run_s = (
            0.002
            if failed
            else seconds * request.work * chosen.speed * load_factor / 1.2
        )
        self.schedule(
            sent_at + run_s,
            lambda: self.finish(request, chosen, target, failed, sent_at),
        )

    def delay_s(self, target: Host, request: Request) -> float:
        """Return the delay of a short response to the request's entry host."""
        if target is request.host:
            return 0.0
        return 0.001 if target.region == request.host.region else self.workload.delay_s

    def finish(
        self,
        request: Request,
        chosen: Backend,
        target: Host,
        failed: bool,
        sent_at: float,
    ) -> None:
        chosen.in_flight -= 1
        if not self.overflows(request, target):
            target.reservation.record_end(request.service, self.now)
        self.report_free_slots(request, target)
        failed = failed or self.is_lost(chosen.region)
        outcome = DispatchOutcome.FAILED if failed else DispatchOutcome.ANSWERED
        target.states.record_outcome(chosen.upstream.name, outcome, sent_at, self.now)
        if failed:
            self.fail_attempt(request, "failed")
            return
        response_bytes = self.workload.services[request.service][4]
        back_s = 0.003 + self.send(target.region, request.host.region, response_bytes)
        back_s += self.send(request.host.region, request.region, response_bytes)
        self.answered += 1
        if request.service != "upload":
            self.latencies.append(self.now + back_s - request.at)

    def report_free_slots(self, request: Request, target: Host) -> None:
        """Report the responding host's free slots to the request's entry host.

        The report arrives with the response.
        """
        if request.host is target:
            return
        free = (
            self.free_overflow_slots(target, request.service)
            if self.overflows(request, target)
            else sum(
                self.usable_slots(b) for b in target.backends.get(request.service, [])
            )
        )
        heard_at = self.now + self.delay_s(target, request)
        log = request.host.relay_logs[request.overflow]
        self.schedule(
            heard_at,
            lambda: log.record_reported_free(
                target.name, request.service, free, heard_at
            ),
        )

    def fail_attempt(self, request: Request, reason: str) -> None:
        """Retry a request, let its caller resend it, or give it up.

        A failed request to the service `ledger` is not retried, because it is
        not idempotent. Callers resend only refused requests.
        """
        self.refused += reason == "refused"
        may_retry = reason == "refused" or request.service != "ledger"
        if may_retry and request.attempts < 3 and request.host.budget.take(self.now):
            self.schedule(self.now, lambda: self.route(request))
        elif (
            reason == "refused"
            and self.now + CALLER_PAUSE_S < request.at + CALLER_TIMEOUT_S
        ):
            request.attempts = 0
            self.schedule(self.now + CALLER_PAUSE_S, lambda: self.arrive(request))

    def headroom(self) -> float:
        """Return the mean over seconds of the lowest free share."""
        sites = {b.site: 0 for group in self.backends.values() for b in group}
        for group in self.backends.values():
            for b in group:
                sites[b.site] += b.upstream.slots
        lowest = []
        for second in range(2, int(self.length_s)):
            lost = self.setting == "region lost" and second >= FAULT_AT_S
            free = [
                1.0 - self.site_use.get((site, second), 0.0) / slots
                for site, slots in sites.items()
                if not (lost and site // 2 == 1)
            ]
            for (_, _, when), size in self.link_bytes.items():
                if when == second:
                    free.append(1.0 - size / self.workload.link_rate)
            lowest.append(max(0.0, min(free)))
        return sum(lowest) / len(lowest)

    def results(self) -> list[float]:
        """Return p50, p99, headroom, goodput and refusals per request."""
        ordered = sorted(self.latencies)
        p50, p99 = (1000 * ordered[int(len(ordered) * q)] for q in (0.5, 0.99))
        counts = (self.answered / self.requests, self.refused / self.requests)
        return [p50, p99, self.headroom(), *counts]


def measure_one(job: tuple[str, int, str, float]) -> str:
    """Run one setting, workload and policy; return its line of results."""
    setting, index, policy, length_s = job
    workload, results_by_seed = WORKLOADS[index], []
    for seed in SEEDS:
        simulation = Simulation(workload, setting, policy, length_s, seed)
        simulation.run()
        results_by_seed.append(simulation.results())
    means = [sum(column) / len(column) for column in zip(*results_by_seed, strict=True)]
    return (
        f"{setting:12} {workload.name:15} {policy:20} p50 {means[0]:6.1f} ms  "
        f"p99 {means[1]:7.1f} ms  headroom {means[2]:.3f}  "
        f"goodput {means[3]:.4f}  refused {means[4]:.4f}"
    )


def main(length_s: float = 20.0) -> None:
    """Print one line per setting, workload and policy."""
    jobs = [
        (setting, index, policy, length_s)
        for index in range(len(WORKLOADS))
        for setting in SETTINGS
        for policy in POLICIES
    ]
    with ProcessPoolExecutor(4) as pool:
        for line in pool.map(measure_one, jobs):
            print(line, flush=True)


if __name__ == "__main__":
    main(*map(float, sys.argv[1:2]))
