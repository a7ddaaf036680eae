"""Tests caller blocks: the table, the validation and the time of each step."""

from __future__ import annotations

import ipaddress
import json
import random
import time
from typing import Any

from hypothesis import given, settings, strategies as st
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from samphirebend.addresses import Address
from samphirebend.callerblocks import BlockTable, BlockTableBuilder, parse_prefix
from samphirebend.manifest import Manifest, read_manifest, read_manifest_steps
from samphirebend.timeslices import Steps, run_all, run_in_slices
from tests.sample_manifest import manifest_text

MAX_STEP_S = 0.05  # limit on blocking the event loop


def build(blocks: dict[tuple[int, int], str]) -> BlockTable:
    """Return the table of blocks; keys are start address and prefix length."""
    builder = BlockTableBuilder()
    for (start, length), region in blocks.items():
        assert builder.add(start, length, region)
    table = run_all(builder.build())
    assert builder.repeated is None
    return table


def prefixes(count: int) -> str:
    """Return the text of `count` adjacent prefixes from 10.0.0.0/24 on."""
    return " ".join(f"10.{i >> 8 & 255}.{i & 255}.0/24" for i in range(count))


def with_blocks(*blocks: dict[str, Any]) -> str:
    """Return the text of a manifest with two regions and these blocks."""
    data = json.loads(manifest_text({"h1": Address("127.0.0.1", 7000)}))
    data["caller_blocks"] = list(blocks)
    data["regions"].append(
        {"name": "r2", "max_in_flight": 1, "failure_domains": ["d2"]}
    )
    data["links"] = [{"between": ["r1", "r2"], "mbit_per_s": 1, "delay_ms": 1}]
    return json.dumps(data)


def accepted(text: str) -> Manifest:
    """Return the manifest in a text, which must be valid."""
    checked = read_manifest(text)
    assert isinstance(checked, Ok), [str(fault) for fault in checked.err_value]
    return checked.ok_value


def longest_step_s(steps: Steps[object]) -> float:
    """Run all steps and return the CPU time of the longest one."""
    longest = 0.0
    while True:
        start = time.thread_time()
        try:
            next(steps)
        except StopIteration:
            return longest
        finally:
            longest = max(longest, time.thread_time() - start)


BLOCKS = st.dictionaries(
    st.tuples(st.integers(0, 255), st.integers(24, 32)).map(
        lambda pair: (pair[0] >> (32 - pair[1]) << (32 - pair[1]), pair[1])
    ),
    st.sampled_from(["a", "b", "c"]),
    max_size=30,
)


@given(BLOCKS)
@settings(derandomize=True, deadline=None)
def test_longest_prefix_wins_at_every_address(
    blocks: dict[tuple[int, int], str],
) -> None:
    # Guards against wrong ranges of nested and adjacent blocks.
    table = build(blocks)
    for address in range(-1, 300):
        matching = [
            (length, region)
            for (start, length), region in blocks.items()
            if start <= address < start + (1 << (32 - length))
        ]
        assert table.find(address) == (max(matching)[1] if matching else None)


@given(st.text("0123456789./", max_size=20))
@settings(derandomize=True, deadline=None)
def test_prefixes_are_accepted_exactly_in_their_canonical_form(text: str) -> None:
    # Guards against undetected duplicates of a block in another spelling.
    try:
        canonical = str(ipaddress.IPv4Network(text)) == text
    except ValueError:
        canonical = False
    assert (parse_prefix(text) is not None) == canonical


def test_blocks_at_both_ends_of_the_address_space() -> None:
    """Guards against an overflow of the 32-bit start addresses."""
    table = build({(0, 0): "all", ((1 << 32) - 256, 24): "last", (0, 24): "first"})
    assert table.find(0) == "first"
    assert table.find((1 << 32) - 1) == "last"
    assert table.find(1 << 31) == "all"


def test_order_of_the_blocks_does_not_matter() -> None:
    """Guards the merge of chunks, which is skipped for sorted input."""
    keys = [(i << 8, 24) for i in range(20_000)]
    blocks = {key: f"s{i % 7}" for i, key in enumerate(keys)}
    random.Random(1).shuffle(keys)
    table = build({key: blocks[key] for key in keys})
    assert all(table.find(start) == region for (start, _), region in blocks.items())


def test_packed_size_is_six_bytes_a_block() -> None:
    """Guards the memory for 1.9 million blocks, the target scale: 11.4 MB."""
    table = build({(i << 8, 24): f"s{i % 1200}" for i in range(50_000)})
    assert table.packed_bytes() <= 6 * 50_001


def test_manifest_maps_addresses_to_regions_in_both_forms() -> None:
    """Guards against different meanings of the compact and the long form."""
    long = accepted(with_blocks({"prefix": "10.0.1.0/24", "region": "r2"}))
    compact = accepted(
        with_blocks({"prefixes": "10.0.1.0/24\n 10.0.3.0/24", "region": "r2"})
    )
    address = int(ipaddress.IPv4Address("10.0.1.9"))
    assert long.caller_blocks.find(address) == "r2"
    assert compact.caller_blocks.find(address) == "r2"
    assert compact.caller_blocks.find(address + 256) is None


def test_faults_of_compact_blocks_are_named() -> None:
    """Guards against blocks that are silently dropped or in two regions."""

    def faults(*blocks: dict[str, str]) -> list[str]:
        checked = read_manifest(with_blocks(*blocks))
        assert not isinstance(checked, Ok)
        return [f"{fault.path} {fault.found}" for fault in checked.err_value]

    wrong = {"prefixes": "10.0.1.0/24 10.0.0.1/24", "region": "r1"}
    assert faults(wrong) == ["caller_blocks[0].prefixes 10.0.0.1/24"]
    assert faults({"prefixes": "10.0.0.0/8", "region": "x"}) == [
        "caller_blocks[0].region x"
    ]
    twice = [{"prefix": "10.0.1.0/24", "region": r} for r in ("r1", "r2")]
    assert faults(*twice) == ["caller_blocks 10.0.1.0/24"]
    both = {"prefix": "10.0.1.0/24", "prefixes": "10.0.2.0/24", "region": "r1"}
    assert faults(both) == ["caller_blocks[0].prefix an unknown field"]


def test_unchanged_blocks_are_not_validated_again() -> None:
    """Guards against slow small changes.

    Blocks take most of the time of a validation.
    """
    blocks = {"prefixes": prefixes(50), "region": "r1"}
    previous = accepted(with_blocks(blocks))

    def table(*entries: dict[str, Any]) -> BlockTable:
        text = with_blocks(*entries).replace('"test"', '"other"')
        checked = run_all(read_manifest_steps(text, previous))
        assert isinstance(checked, Ok), [str(fault) for fault in checked.err_value]
        return checked.ok_value.caller_blocks

    assert table(blocks) is previous.caller_blocks
    address = 10 << 24
    assert table({**blocks, "region": "r2"}).find(address) == "r2"
    assert table({**blocks, "prefixes": prefixes(49)}).find(address + 49 * 256) is None
    # The same characters, divided differently between the fields or entries.
    first = {"prefix": "10.0.0.0/24", "region": "r1"}
    second = {"prefix": "10.0.1.0/24", "region": "r2"}
    assert table(first, second).find(address + 256) == "r2"
    swapped = {**first, "region": "r2"}, {**second, "region": "r1"}
    assert table(*swapped).find(address + 256) == "r1"


def test_previous_table_hides_no_fault() -> None:
    """Guards against faulty blocks that pass because a table is reused."""

    def assert_same_faults(text: str, previous: Manifest) -> None:
        without_previous, with_previous = (
            read_manifest(text),
            read_manifest_steps(text, previous),
        )
        expected = list(map(str, without_previous.unwrap_err()))
        assert list(map(str, run_all(with_previous).unwrap_err())) == expected
        assert expected

    empty = accepted(with_blocks())
    for value in ("null", '"x"', "[null]", "[{}]", '[{"region": 1}]'):
        text = with_blocks().replace('"caller_blocks": []', f'"caller_blocks": {value}')
        assert_same_faults(text, empty)
    blocks = {"prefixes": prefixes(50), "region": "r2"}
    previous = accepted(with_blocks(blocks))
    renamed = with_blocks(blocks).replace('"r2", "max', '"r3", "max')
    assert_same_faults(renamed.replace('["r1", "r2"]', '["r1", "r3"]'), previous)
    # The same characters, divided differently between a field and its value.
    assert_same_faults(
        with_blocks({"prefix": "es" + prefixes(50), "region": "r2"}), previous
    )
    assert_same_faults(with_blocks({**blocks, "note": 5}), previous)
    assert_same_faults(with_blocks({**blocks, "note": "\ud800"}), previous)
    assert_same_faults(with_blocks({**blocks, "prefixes": "\ud800"}), previous)


def test_no_step_of_a_large_validation_blocks_the_loop() -> None:
    """Guards the limit of 50 ms for blocking the event loop.

    CPU time is measured, so that other processes do not affect the result.
    """
    text = with_blocks({"prefixes": prefixes(60_000), "region": "r2"})
    times = [longest_step_s(read_manifest_steps(text)) for _ in range(3)]
    assert min(times) < MAX_STEP_S


def test_slices_let_the_loop_run_and_return_the_result() -> None:
    """Guards against a validation that never returns to the event loop."""

    def steps() -> Steps[str]:
        for _ in range(4):
            time.sleep(0.006)
            yield
        return "done"

    clock = Clock()
    results: list[str] = []
    done = Deferred.fromCoroutine(run_in_slices(steps(), lambda: deferLater(clock, 0)))
    done.addCallback(results.append)
    assert not results
    for _ in range(5):
        clock.advance(0)
    assert results == ["done"]
