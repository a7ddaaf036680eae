"""Tests that deltas give the accepted text byte for byte or are refused."""

from __future__ import annotations

import copy
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok, Result

from bench.harness import large_manifest
from samphirebend import deltas as deltas_module
from samphirebend.deltas import (
    MAX_DELTA_BYTES,
    MAX_LOG_BYTES,
    DeltaLog,
    apply_steps,
    encoded_size,
    make_delta_steps,
)
from samphirebend.dump import dump
from samphirebend.timeslices import run_all
from samphirebend.wire import (
    MAX_DELTAS,
    MAX_EDITS,
    ManifestDelta,
    ManifestReply,
    TextEdit,
    decode,
    encode,
)

BASE = large_manifest(20, 30, 3_000, regions=3)


def encode_manifest(data: Any) -> bytes:
    return b"// \xc3\xa5 comment\n" + msgspec.json.format(msgspec.json.encode(data))


def make_delta(old: bytes, new: bytes, base: int = 1) -> ManifestDelta:
    delta = run_all(make_delta_steps(base, old, base + 1, new))
    assert delta is not None
    return delta


def apply_deltas(
    text: bytes, *deltas: ManifestDelta, base: int = 1
) -> Result[bytes, str]:
    return run_all(apply_steps(text, base, list(deltas), deltas[-1].version))


def refusal_reason(text: bytes, *deltas: ManifestDelta, base: int = 1) -> str:
    return apply_deltas(text, *deltas, base=base).unwrap_err()


def apply_change(data: Any, kind: str, index: int, other: int) -> None:
    """Make a change of a kind that operators make."""
    blocks, hosts = data["caller_blocks"], data["hosts"]
    if kind == "cap":
        upstreams = data["services"][index % 3]["upstreams"]
        upstreams[other % len(upstreams)]["slots"] = index
    elif kind == "host":
        moved = hosts.pop(index % len(hosts))
        hosts.insert(other % (len(hosts) + 1), {**moved, "name": f"new{index}"})
    elif kind == "block":
        source, target = blocks[index % 3], blocks[other % 3]
        prefixes = source["prefixes"].split(" ")
        prefix = prefixes.pop(index * 7 % len(prefixes))
        source["prefixes"] = " ".join(prefixes)
        target["prefixes"] += f" {prefix}"
    elif kind == "name":
        data["organisation"] = "ø" * (1 + index % 40)
    else:
        del hosts[index % len(hosts)]


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(("cap", "host", "block", "name", "removed")),
        st.integers(0, 1_000),
        st.integers(0, 1_000),
    ),
    max_size=8,
)


@given(CHANGES, CHANGES)
@settings(derandomize=True, deadline=None)
def test_delta_gives_the_new_manifest(first: Any, second: Any) -> None:
    """Guards against deltas that do not give the new text.

    Covers apply(diff(a, b), a) == b in both directions, with encoded deltas.
    """
    first_data, second_data = copy.deepcopy(BASE), copy.deepcopy(BASE)
    for data, changes in ((first_data, first), (second_data, second)):
        for kind, index, position in changes:
            apply_change(data, kind, index, position)
    old, new = encode_manifest(first_data), encode_manifest(second_data)
    for before, after in ((old, new), (new, old)):
        reply = decode(encode(ManifestReply(2, b"", [make_delta(before, after)])))
        assert isinstance(reply, ManifestReply)
        assert apply_deltas(before, *reply.deltas) == Ok(after)


# Texts of a few repeated pieces have many positions that match by chance.
REPETITIVE = st.lists(st.sampled_from((b"ab", b"abc" * 30, b"x", b"y" * 70))).map(
    b"".join
)


@given(REPETITIVE, REPETITIVE)
@settings(derandomize=True, deadline=None)
def test_delta_between_any_texts(old: bytes, new: bytes) -> None:
    """Guards against overlapping edits in repetitive texts."""
    assert apply_deltas(old, make_delta(old, new)) == Ok(new)


@given(REPETITIVE, REPETITIVE, st.data())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_corrupted_delta_never_gives_another_text(
    old: bytes, new: bytes, data: st.DataObject
) -> None:
    """Guards against applying a delta whose result has another digest."""
    message = bytearray(encode(ManifestReply(2, b"", [make_delta(old, new)])))
    position = data.draw(st.integers(0, len(message) - 1))
    message[position] ^= data.draw(st.integers(1, 255))
    reply = decode(bytes(message))
    if not isinstance(reply, ManifestReply):
        return
    result = run_all(apply_steps(old, 1, reply.deltas, 2))
    assert isinstance(result, Err) or result == Ok(new)


@pytest.mark.parametrize(
    ("kind", "bound"), [("cap", 110), ("host", 700), ("block", 260)]
)
def test_small_change_makes_a_small_delta(kind: str, bound: int) -> None:
    """Guards against control traffic of whole sections for one change."""
    data = copy.deepcopy(BASE)
    apply_change(data, kind, 3, 13)
    delta = make_delta(encode_manifest(BASE), encode_manifest(data))
    assert encoded_size(delta) <= bound
    assert len(encode(ManifestReply(2, b"", [delta]))) <= encoded_size(delta) + 64


def test_chain_of_deltas_skips_those_that_are_applied() -> None:
    """Guards against refusing a late reply whose first deltas are applied."""
    texts = [b"version %d" % number * 20 for number in range(5)]
    chain = [make_delta(texts[n - 1], texts[n], n) for n in range(1, 5)]
    assert apply_deltas(texts[0], *chain) == Ok(texts[4])
    assert apply_deltas(texts[2], *chain, base=3) == Ok(texts[4])


def test_malformed_deltas_are_refused_with_the_reason() -> None:
    """Guards against an index error or a wrong text if a peer is faulty."""
    text = b"0123456789"

    def edited(*edits: TextEdit) -> ManifestDelta:
        return ManifestDelta(1, 2, b"", list(edits))

    assert "edit of bytes 9 to 11" in refusal_reason(text, edited(TextEdit(9, 2, b"")))
    overlapping = edited(TextEdit(3, 2, b""), TextEdit(4, 1, b""))
    assert "expected within 5 to 10" in refusal_reason(text, overlapping)
    assert "digest of version 2" in refusal_reason(text, edited(TextEdit(0, 0, b"a")))
    good = make_delta(text, b"0123456x89")
    assert "start at version 1, expected 3" in refusal_reason(
        text, ManifestDelta(1, 4, good.digest, good.edits), base=3
    )
    assert "no delta from version 2" in refusal_reason(text, good, base=2)
    gap = ManifestDelta(3, 4, good.digest, good.edits)
    assert "version 3 follows version 2" in refusal_reason(text, good, gap)
    assert "leads from version 4 to 4" in refusal_reason(
        text, good, ManifestDelta(2, 4, b"", []), ManifestDelta(4, 4, b"", [])
    )
    reason = run_all(apply_steps(text, 1, [good], 3)).unwrap_err()
    assert "end at version 2, expected 3" in reason


def test_too_many_or_too_large_deltas_are_refused() -> None:
    """Guards against a huge reply that takes much time or memory."""
    text = b"0123456789"
    many = [ManifestDelta(n, n + 1, b"", []) for n in range(1, MAX_DELTAS + 2)]
    assert f"{MAX_DELTAS + 1} deltas" in refusal_reason(text, *many)
    edits = [TextEdit(0, 0, b"")] * (MAX_EDITS + 1)
    reply = decode(encode(ManifestReply(2, b"", [ManifestDelta(1, 2, b"", edits)])))
    assert isinstance(reply, ManifestReply)
    assert f"more than {MAX_EDITS} edits" in refusal_reason(text, *reply.deltas)
    large = ManifestDelta(1, 2, b"", [TextEdit(0, 0, bytes(MAX_LOG_BYTES))])
    assert "expected at most" in refusal_reason(text, large)


def test_result_longer_than_a_manifest_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a chain of deltas that grows the text without limit."""
    monkeypatch.setattr(deltas_module, "MAX_MANIFEST_BYTES", 12)
    assert "exceeds 12 bytes" in refusal_reason(
        b"0123456789", make_delta(b"0", b"0123")
    )


def test_large_change_makes_no_delta() -> None:
    """Guards against a delta that fills the log of deltas.

    Hosts fetch the full text instead, which is cheaper then.
    """
    assert run_all(make_delta_steps(1, b"", 2, bytes(MAX_DELTA_BYTES))) is None


def test_log_is_bounded_and_always_one_chain() -> None:
    """Guards against a log that has a gap or grows without limit."""
    log = DeltaLog()
    for base in range(1, MAX_DELTAS + 11):
        log.append(ManifestDelta(base, base + 1, b"", []))
    assert log.since(10) == []
    assert [d.base for d in log.since(MAX_DELTAS + 9)] == [MAX_DELTAS + 9, 522]
    assert len(log.since(11)) == MAX_DELTAS
    assert dump(log) == {"oldest_base": 11, "deltas": MAX_DELTAS, "bytes": 36_864}
    for base in range(523, 563):
        log.append(ManifestDelta(base, base + 1, b"", [TextEdit(0, 0, bytes(10_000))]))
    assert len(log.since(562 - 24)) == 25
    assert log.since(562 - 26) == []
    log.append(ManifestDelta(600, 601, b"", []))
    assert [d.base for d in log.since(600)] == [600]
    assert log.since(562) == []
    log.append(None)
    assert log.since(600) == []
