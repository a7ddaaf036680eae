"""Guards deltas: they give the accepted text byte for byte or are refused."""

from __future__ import annotations

import copy
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok, Result

from bench.harness import large_manifest
from samphirebend import deltas as module
from samphirebend.deltas import (
    MAX_DELTA_BYTES,
    MAX_KEPT_BYTES,
    DeltaLog,
    apply_steps,
    make_delta_steps,
    size_of,
)
from samphirebend.dump import dump
from samphirebend.slices import finish
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


def text_of(data: Any) -> bytes:
    return b"// \xc3\xa5 comment\n" + msgspec.json.format(msgspec.json.encode(data))


def delta_of(old: bytes, new: bytes, base: int = 1) -> ManifestDelta:
    delta = finish(make_delta_steps(base, old, base + 1, new))
    assert delta is not None
    return delta


def applied(text: bytes, *deltas: ManifestDelta, base: int = 1) -> Result[bytes, str]:
    return finish(apply_steps(text, base, list(deltas), deltas[-1].version))


def refusal(text: bytes, *deltas: ManifestDelta, base: int = 1) -> str:
    return applied(text, *deltas, base=base).unwrap_err()


def change(data: Any, kind: str, index: int, other: int) -> None:
    """Change a manifest as an operator does."""
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
        st.sampled_from(("cap", "host", "block", "name", "lost")),
        st.integers(0, 1_000),
        st.integers(0, 1_000),
    ),
    max_size=8,
)


@given(CHANGES, CHANGES)
@settings(derandomize=True, deadline=None)
def test_delta_gives_the_new_manifest(first: Any, second: Any) -> None:
    """Guards apply(diff(a, b), a) == b, over the wire and for both directions."""
    one, other = copy.deepcopy(BASE), copy.deepcopy(BASE)
    for data, changes in ((one, first), (other, second)):
        for kind, index, place in changes:
            change(data, kind, index, place)
    old, new = text_of(one), text_of(other)
    for before, after in ((old, new), (new, old)):
        reply = decode(encode(ManifestReply(2, b"", [delta_of(before, after)])))
        assert isinstance(reply, ManifestReply)
        assert applied(before, *reply.deltas) == Ok(after)


# Few different bytes make places that agree by chance.
REPETITIVE = st.lists(st.sampled_from((b"ab", b"abc" * 30, b"x", b"y" * 70))).map(
    b"".join
)


@given(REPETITIVE, REPETITIVE)
@settings(derandomize=True, deadline=None)
def test_delta_between_any_texts(old: bytes, new: bytes) -> None:
    """Guards against overlapping edits where a text repeats itself."""
    assert applied(old, delta_of(old, new)) == Ok(new)


@given(REPETITIVE, REPETITIVE, st.data())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_corrupted_delta_never_gives_another_text(
    old: bytes, new: bytes, data: st.DataObject
) -> None:
    """Guards against a text that differs from the one with the digest."""
    message = bytearray(encode(ManifestReply(2, b"", [delta_of(old, new)])))
    place = data.draw(st.integers(0, len(message) - 1))
    message[place] ^= data.draw(st.integers(1, 255))
    reply = decode(bytes(message))
    if not isinstance(reply, ManifestReply):
        return
    result = finish(apply_steps(old, 1, reply.deltas, 2))
    assert isinstance(result, Err) or result == Ok(new)


@pytest.mark.parametrize(
    ("kind", "bound"), [("cap", 110), ("host", 700), ("block", 260)]
)
def test_small_change_makes_a_small_delta(kind: str, bound: int) -> None:
    """Guards the bytes of control: one change must not send whole sections."""
    data = copy.deepcopy(BASE)
    change(data, kind, 3, 13)
    delta = delta_of(text_of(BASE), text_of(data))
    assert size_of(delta) <= bound
    assert len(encode(ManifestReply(2, b"", [delta]))) <= size_of(delta) + 64


def test_chain_of_deltas_skips_those_that_are_applied() -> None:
    """Guards a late reply: the host may have applied its first deltas."""
    texts = [b"version %d" % number * 20 for number in range(5)]
    chain = [delta_of(texts[n - 1], texts[n], n) for n in range(1, 5)]
    assert applied(texts[0], *chain) == Ok(texts[4])
    assert applied(texts[2], *chain, base=3) == Ok(texts[4])


def test_malformed_deltas_are_refused_with_the_reason() -> None:
    """Guards against an index error or a huge text from a peer's mistake."""
    text = b"0123456789"

    def edited(*edits: TextEdit) -> ManifestDelta:
        return ManifestDelta(1, 2, b"", list(edits))

    assert "edit of bytes 9 to 11" in refusal(text, edited(TextEdit(9, 2, b"")))
    overlapping = edited(TextEdit(3, 2, b""), TextEdit(4, 1, b""))
    assert "expected within 5 to 10" in refusal(text, overlapping)
    assert "digest of version 2" in refusal(text, edited(TextEdit(0, 0, b"a")))
    good = delta_of(text, b"0123456x89")
    assert "start at version 1, expected 3" in refusal(
        text, ManifestDelta(1, 4, good.digest, good.edits), base=3
    )
    assert "no delta from version 2" in refusal(text, good, base=2)
    gap = ManifestDelta(3, 4, good.digest, good.edits)
    assert "version 3 follows version 2" in refusal(text, good, gap)
    assert "leads from version 4 to 4" in refusal(
        text, good, ManifestDelta(2, 4, b"", []), ManifestDelta(4, 4, b"", [])
    )
    ends = finish(apply_steps(text, 1, [good], 3)).unwrap_err()
    assert "end at version 2, expected 3" in ends


def test_too_many_or_too_large_deltas_are_refused() -> None:
    """Guards the loop and the memory of a host against a long reply."""
    text = b"0123456789"
    many = [ManifestDelta(n, n + 1, b"", []) for n in range(1, MAX_DELTAS + 2)]
    assert f"{MAX_DELTAS + 1} deltas" in refusal(text, *many)
    edits = [TextEdit(0, 0, b"")] * (MAX_EDITS + 1)
    reply = decode(encode(ManifestReply(2, b"", [ManifestDelta(1, 2, b"", edits)])))
    assert isinstance(reply, ManifestReply)
    assert f"more than {MAX_EDITS} edits" in refusal(text, *reply.deltas)
    large = ManifestDelta(1, 2, b"", [TextEdit(0, 0, bytes(MAX_KEPT_BYTES))])
    assert "expected at most" in refusal(text, large)


def test_result_longer_than_a_manifest_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the memory of a host: a chain could grow the text without end."""
    monkeypatch.setattr(module, "MAX_MANIFEST_BYTES", 12)
    assert "exceeds 12 bytes" in refusal(b"0123456789", delta_of(b"0", b"0123"))


def test_large_change_makes_no_delta() -> None:
    """Guards the log's bound: such a change is fetched whole."""
    assert finish(make_delta_steps(1, b"", 2, bytes(MAX_DELTA_BYTES))) is None


def test_log_is_bounded_and_always_one_chain() -> None:
    """Guards against a chain with a gap and against unbounded memory."""
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
