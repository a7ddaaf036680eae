"""Brings the faults of a schedule about, from outside the processes."""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from functools import singledispatch
from typing import Any, Final

from ..gateways import GatewayProcess
from .records import Trouble
from .schedule import (
    ChangeConfig,
    CrashUpstream,
    CutHostFromStore,
    CutHostFromUpstreams,
    DisturbStore,
    DrainUpstream,
    EvacuateZone,
    Fault,
    KillHost,
    PauseHost,
    ReloadHost,
    StopHost,
    WeakenUpstream,
)
from .world import STOP_S, WORK_S, ZONES, World

DELAY_MS: Final = 150.0
SLOW_STORE_S: Final = 0.4
LOST_SHARE: Final = 0.4
RELOADS: Final = 3
SERVED_ON_S: Final = 5.0
LOST_ANSWERS: Final = 0.4  # share of the answers of a weakened upstream
CONFIG_GAP_S: Final = 0.25


def run_schedule(world: World, schedule: list[Fault]) -> None:
    """Bring all faults about at their times; return when the last has ended."""
    begun = time.monotonic()
    threads = []
    for fault in schedule:
        time.sleep(max(0.0, begun + fault.at_s - time.monotonic()))
        thread = threading.Thread(target=_guarded, args=(fault, world), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    world.records.faults_ended_at = time.time()


def _guarded(fault: Fault, world: World) -> None:
    try:
        apply(fault, world)
    except Exception as exc:
        world.records.bugs.append(f"soak: {fault}: {exc!r}")
        raise


@contextmanager
def _noted(
    world: World, fault: Fault, planned: bool, host: str = "", upstream: str = ""
) -> Iterator[None]:
    """Record the fault's span."""
    kind = type(fault).__name__
    how = getattr(fault, "how", "")
    begun_at = time.time()
    trouble = Trouble(f"{kind} {how}".strip(), begun_at, 0.0, planned, host, upstream)
    try:
        yield
    finally:
        trouble.ended_at = time.time()
        world.note_trouble(trouble)


@contextmanager
def _rule(world: World, fault: Fault, **rule: Any) -> Iterator[None]:
    """Keep a rule of the fault proxy in force."""
    name = f"{fault!r} {rule!r}"
    world.control("rules", {name: rule})
    try:
        yield
    finally:
        world.control("rules", {name: None})


@singledispatch
def apply(fault: Fault, world: World) -> None:
    """Bring one fault about and undo it after its time."""
    raise TypeError(f"unknown fault {fault!r}")


# Hosts.


@apply.register
def _(fault: KillHost, world: World) -> None:
    host = world.hosts[fault.host]
    with _noted(world, fault, planned=False, host=host.name):
        host.child.kill()
        time.sleep(fault.for_s)
        world.ensure_runs(host)
        _wait_ready(host)


@apply.register
def _(fault: PauseHost, world: World) -> None:
    host = world.hosts[fault.host]
    with _noted(world, fault, planned=False, host=host.name):
        child = host.child
        child.send(signal.SIGSTOP)
        time.sleep(fault.for_s)
        child.send(signal.SIGCONT)


@apply.register
def _(fault: StopHost, world: World) -> None:
    host = world.hosts[fault.host]
    child = host.child
    with _noted(world, fault, planned=True, host=host.name):
        child.send(signal.SIGTERM)
        try:
            status = child.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            child.kill()
            status = -signal.SIGKILL
        if status not in (0, -signal.SIGKILL):
            world.records.bugs.append(f"{host.name} stopped with status {status}")
        time.sleep(0.3)
        world.ensure_runs(host)
        _wait_ready(host)


def _wait_ready(host: GatewayProcess) -> None:
    """Wait a while until the host is ready; another fault may keep it from it."""
    until = time.monotonic() + 2.0
    while time.monotonic() < until and not host.is_ready():
        time.sleep(0.05)


@apply.register
def _(fault: ReloadHost, world: World) -> None:
    host = world.hosts[fault.host]
    with _noted(world, fault, planned=True, host=host.name):
        for _ in range(RELOADS):
            host.child.send(signal.SIGHUP)
            time.sleep(fault.for_s / RELOADS)


@apply.register
def _(fault: CutHostFromStore, world: World) -> None:
    host = world.hosts[fault.host]
    listener = f"store-{fault.host}"
    with (
        _noted(world, fault, planned=False, host=host.name),
        _rule(world, fault, **{"listener": listener, fault.how: True}),
    ):
        time.sleep(fault.for_s)


@apply.register
def _(fault: CutHostFromUpstreams, world: World) -> None:
    host = world.hosts[fault.host]
    effect: dict[str, Any] = {fault.how: True}
    if fault.how == "delay":
        effect = {"delay_ms": DELAY_MS}
    with _noted(world, fault, planned=False, host=host.name), ExitStack() as rules:
        for upstream in world.upstreams:
            selected = {"listener": f"upstream-{upstream.own_address}"}
            selected["from"] = host.name
            rules.enter_context(_rule(world, fault, **selected, **effect))
        time.sleep(fault.for_s)


# The store.


@apply.register
def _(fault: DisturbStore, world: World) -> None:
    store = world.store
    with _noted(world, fault, planned=False):
        if fault.how == "history":
            store.forget_history()
        elif fault.how == "down":
            store.down = True
        elif fault.how == "slow":
            store.delay_s = SLOW_STORE_S
        elif fault.how == "lost":
            store.lost_share = LOST_SHARE
        with ExitStack() as rules:
            if fault.how == "silent":
                for index in range(len(world.hosts)):
                    rule = _rule(world, fault, listener=f"store-{index}", freeze=True)
                    rules.enter_context(rule)
            time.sleep(fault.for_s)
        store.down, store.delay_s, store.lost_share = False, 0.0, 0.0


# Upstreams.


@apply.register
def _(fault: CrashUpstream, world: World) -> None:
    upstream = world.upstreams[fault.upstream]
    listener = f"upstream-{upstream.own_address}"
    with (
        _noted(world, fault, planned=False, upstream=upstream.name),
        _rule(world, fault, listener=listener, cut=True),
    ):
        time.sleep(fault.for_s)
        world.replace_upstream(upstream)


@apply.register
def _(fault: DrainUpstream, world: World) -> None:
    upstream = world.upstreams[fault.upstream]
    name = upstream.name
    with _noted(world, fault, planned=True, upstream=name):
        upstream.register("draining")
        world.note("drain", name)
        # It serves on for longer than hosts have to leave it, so that one that did
        # not is seen.
        time.sleep(fault.for_s + SERVED_ON_S)
        if upstream.name == name:
            world.replace_upstream(upstream)


@apply.register
def _(fault: WeakenUpstream, world: World) -> None:
    upstream = world.upstreams[fault.upstream]
    with _noted(world, fault, planned=False, upstream=upstream.name):
        if fault.how == "slow":
            upstream.work_s = WORK_S * 10
        elif fault.how == "failing":
            upstream.failing_share = 0.5
        else:
            upstream.lost_share = LOST_ANSWERS
        time.sleep(fault.for_s)
        upstream.work_s = WORK_S
        upstream.failing_share = upstream.lost_share = 0.0


# The operator.


@apply.register
def _(fault: EvacuateZone, world: World) -> None:
    zone = list(ZONES)[fault.zone % len(ZONES)]
    with _noted(world, fault, planned=True, upstream=f"all of {zone}"):
        if world.begin_evacuation(zone):
            time.sleep(fault.for_s)
            world.end_evacuation(zone)


@apply.register
def _(fault: ChangeConfig, world: World) -> None:
    with _noted(world, fault, planned=True, upstream="none"):
        for _ in range(fault.count):
            world.put_config()
            time.sleep(CONFIG_GAP_S)
