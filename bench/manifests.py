"""Measures the size, cost and memory of manifests and deltas by system size.

`bench.slopes` calls these functions, which use the daemon's own classes in one
process.
"""

from __future__ import annotations

import copy
import time
import tracemalloc
import zlib
from typing import Final

import msgspec

from samphirebend.deltas import DeltaLog, apply_steps, make_delta_steps
from samphirebend.limits import Limits
from samphirebend.links import LinkBudgets
from samphirebend.manifest import Manifest, read_manifest, read_manifest_steps
from samphirebend.manifesttable import inflate
from samphirebend.membership import Membership
from samphirebend.shards import assign_region_upstreams, link_shares
from samphirebend.timeslices import Steps, run_all
from samphirebend.upstreamstate import UpstreamStates
from samphirebend.wire import (
    MAX_DELTAS,
    ManifestDelta,
    ManifestReply,
    TextEdit,
    decode,
    encode,
)
from tests.cluster import Data

from .fixtures import HOST, REGION, heartbeat_of, sized_manifests, text_of
from .harness import REPEATS, format_range, measure_costs_us

CHANGED_SIZES: Final = (
    (7, 40, 0),
    (2900, 1200, 0),
    (2900, 1200, 100_000),
    (2900, 1200, 400_000),
)


def spread() -> None:
    """Measure the size and validation of whole manifests, and of one entry."""
    for size, data in sized_manifests(
        (
            (7, 40, 0),
            (2900, 1200, 0),
            (2900, 1200, 20_000),
            (2900, 1200, 100_000),
            (2900, 1200, 400_000),
        )
    ):
        text = text_of(data)
        body = zlib.compress(text.encode())
        runs = [measure_steps(read_manifest_steps(text)) for _ in range(REPEATS)]
        manifest = read_manifest(text).expect("invalid benchmark manifest")
        apply_us = measure_costs_us(apply_all, manifest)
        print(
            f"manifest, {size}: text "
            f"{len(text) / 1000:.0f} KB, deflated {len(body) / 1000:.0f} KB, one "
            f"changed upstream {len(changed_entry(data))} bytes; check "
            f"{format_range([r[0] * 1000 for r in runs], 'ms', 0)}, longest step "
            f"{format_range([r[1] * 1000 for r in runs], 'ms')}; apply "
            f"{format_range([us / 1000 for us in apply_us], 'ms')}"
        )


def deltas() -> None:
    """Compare sending a change as a whole manifest and as a delta."""
    for size, data in sized_manifests(CHANGED_SIZES):
        old = text_of(data)
        known = read_manifest(old).expect("invalid benchmark manifest")
        for change in (change_cap, replace_host, move_block):
            if not data["caller_blocks"] and change is move_block:
                continue
            changed = copy.deepcopy(data)
            change(changed)
            new = text_of(changed)
            body = zlib.compress(new.encode())
            wholes = [measure_steps(receive_manifest(body)) for _ in range(REPEATS)]
            makes = [measure_steps(make_reply(old, new)) for _ in range(REPEATS)]
            reply = run_all(make_reply(old, new))
            takes = [
                measure_steps(receive_reply(old, reply, known)) for _ in range(REPEATS)
            ]
            print(
                f"{change.__name__}, {size}: "
                f"whole {len(body)} bytes, taken in {format_steps(wholes)}; delta "
                f"{len(reply)} bytes, made in {format_steps(makes)}, taken in "
                f"{format_steps(takes)}"
            )


def change_cap(data: Data) -> None:
    """Change the slots of an upstream in the middle of its service."""
    upstreams = data["services"][1]["upstreams"]
    upstreams[len(upstreams) // 2]["slots"] = 5


def replace_host(data: Data) -> None:
    """Replace a host with one that has another name and other addresses."""
    host = data["hosts"][len(data["hosts"]) // 2]
    host["name"] = "replacement"
    for offset, field in enumerate(("entry", "relay", "peer", "admin")):
        host[field] = f"127.200.200.9:{9000 + offset}"


def move_block(data: Data) -> None:
    """Move a caller block from the first region to the last."""
    first, last = data["caller_blocks"][0], data["caller_blocks"][-1]
    prefixes = first["prefixes"].split()
    moved = prefixes.pop(len(prefixes) // 2)
    first["prefixes"] = " ".join(prefixes)
    last["prefixes"] += f" {moved}"


def receive_manifest(body: bytes) -> Steps[Manifest]:
    """Validate a whole manifest as a receiving host does."""
    text = inflate(body)
    assert text is not None
    checked = yield from read_manifest_steps(text)
    return checked.expect("invalid benchmark manifest")


def make_reply(old: str, new: str) -> Steps[bytes]:
    """Encode a reply with the delta between two texts."""
    delta = yield from make_delta_steps(1, old.encode(), 2, new.encode())
    assert delta is not None
    return encode(ManifestReply(2, b"", [delta]))


def receive_reply(old: str, data: bytes, known: Manifest) -> Steps[Manifest]:
    """Apply a reply and validate the result as a receiving host does."""
    reply = decode(data)
    assert isinstance(reply, ManifestReply)
    made = yield from apply_steps(old.encode(), 1, reply.deltas, 2)
    text = made.expect("delta cannot be applied").decode()
    checked = yield from read_manifest_steps(text, known)
    return checked.expect("invalid benchmark manifest")


def format_steps(runs: list[tuple[float, float]]) -> str:
    """Format the processor time of all steps and of the longest one."""
    return (
        f"{format_range([run[0] * 1000 for run in runs], 'ms')} (longest step "
        f"{format_range([run[1] * 1000 for run in runs], 'ms')})"
    )


def apply_all(manifest: Manifest) -> None:
    """Apply a manifest to the components that derive state from it."""
    limits = Limits()
    limits.apply(1, manifest, 0.0)
    limits.activate(1)
    limits.set_held(frozenset({HOST}), 0.0)
    limits.slot_usages("service0")
    UpstreamStates(REGION).apply(manifest, 0.0)
    LinkBudgets(REGION, link_shares).apply(manifest, {HOST}, 0.0)
    assign_region_upstreams(manifest, REGION)


def changed_entry(data: Data) -> bytes:
    """Return the first upstream's entry as JSON."""
    return msgspec.json.encode(data["services"][0]["upstreams"][0])


def measure_steps(steps: Steps[object]) -> tuple[float, float]:
    """Return the processor time of all steps and of the longest one, in s."""
    total = longest = 0.0
    while True:
        start = time.thread_time()
        try:
            next(steps)
        except StopIteration:
            return total, longest
        finally:
            step = time.thread_time() - start
            total += step
            longest = max(longest, step)


def memory() -> None:
    """Measure a daemon's memory by hosts, sites and blocks."""
    for size, data in sized_manifests(
        ((7, 40, 0), (290, 1200, 0), (2900, 1200, 0), (2900, 1200, 100_000))
    ):
        text = text_of(data)
        tracemalloc.start()
        manifest = read_manifest(text).expect("invalid benchmark manifest")
        kept, peak = tracemalloc.get_traced_memory()
        membership = Membership("other")
        for name in manifest.hosts:
            encoded = encode(heartbeat_of(name, 3))
            membership.record_heartbeat(decode(encoded), 0.0)  # type: ignore[arg-type]
        with_membership = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(
            f"memory, {size}: manifest "
            f"{kept / 1e6:.2f} MB (peak while checking {peak / 1e6:.1f} MB, text "
            f"{len(text) / 1e6:.2f} MB), peers' reports "
            f"{(with_membership - kept) / 1e6:.2f} MB"
        )


def delta_memory() -> None:
    """Measure the memory of a full delta log and of applying a delta."""
    tracemalloc.start()
    log = DeltaLog()
    for base in range(1, MAX_DELTAS + 1):
        edits = [TextEdit(base * 1000, 1, b"%d" % base) for _ in range(5)]
        log.append(ManifestDelta(base, base + 1, bytes(base % 32) * 32, edits))
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"memory of a log of {len(log.since(1))} deltas of 5 edits {kept} bytes")
    for size, data in sized_manifests(CHANGED_SIZES):
        old = text_of(data)
        known = read_manifest(old).expect("invalid benchmark manifest")
        change_cap(data)
        new = text_of(data)
        body = zlib.compress(new.encode())
        reply = run_all(make_reply(old, new))
        whole = peak_bytes(receive_manifest(body))
        delta = peak_bytes(receive_reply(old, reply, known))
        print(
            f"peak above the version in force, {size}, text {len(old) / 1e6:.2f} "
            f"MB: whole {whole / 1e6:.2f} MB, delta {delta / 1e6:.2f} MB"
        )


def peak_bytes(steps: Steps[object]) -> int:
    """Return the peak memory of a computation in bytes."""
    tracemalloc.start()
    run_all(steps)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak
