"""Tests that dumps respect their limits and contain no secrets or payloads."""

from __future__ import annotations

import enum
import time
from collections import deque
from dataclasses import dataclass

import msgspec
import pytest

from samphirebend.dump import HIDDEN, MAX_ITEMS, TRUNCATED, Traversal, dump
from samphirebend.serviceregistry import ServiceRegistry
from samphirebend.wire import ShardLease


class Colour(enum.Enum):
    RED = 1


class Base:
    __slots__ = ("_hidden_token", "name")

    def __init__(self) -> None:
        self.name = "base"
        self._hidden_token = "abc123"


class Derived(Base):
    __slots__ = ("__private", "body", "parent", "parts", "unset")

    def __init__(self) -> None:
        super().__init__()
        self.__private = 5
        self.body = b"payload"
        self.parent: object = None
        self.parts = deque([1, 2])


@dataclass
class Point:
    x: float
    colours: set[Colour]


def shown(value: object) -> object:
    plain = dump(value, Traversal(packages=("tests", "samphirebend")))
    msgspec.json.encode(plain)  # any dump must be valid JSON
    return plain


def test_slots_of_all_classes_are_shown_without_secrets() -> None:
    # Guards against missing base class slots, errors on unset slots, and
    # leaks.
    value = Derived()
    value.parent = value
    assert shown(value) == {
        "name": "base",
        "hidden_token": HIDDEN,
        "Derived__private": 5,
        "body": HIDDEN,
        "parent": "(cycle)",
        "parts": [1, 2],
    }


def test_values_of_all_kinds_become_plain_data() -> None:
    # Guards against values that the JSON encoder would reject or alter.
    assert shown(Point(float("nan"), {Colour.RED})) == {"x": "nan", "colours": ["RED"]}
    value = {
        Colour.RED: 1 << 70,
        ("a", "b"): b"secret bytes",
        frozenset(("y", "x")): {"z", "y"},
        7: "\ud800" + "x" * 500,
        "error": ValueError("payload"),
        "function": len,
        "api_key": "abc",
    }
    assert shown(value) == {
        "RED": "(integer of 71 bits)",
        "a/b": "(12 bytes)",
        "x/y": ["y", "z"],
        "7": "?" + "x" * 199 + TRUNCATED,
        "error": "(ValueError)",
        "function": "(builtins.builtin_function_or_method)",
        "api_key": HIDDEN,
    }
    assert shown([ShardLease("a", 3), None, True]) == [
        {"generation": 3, "name": "a"},
        None,
        True,
    ]


def test_idempotency_keys_are_cut() -> None:
    # Guards against complete keys in a dump, with which its reader could fetch
    # callers' responses, and against cutting request ids, which must stay
    # searchable.
    nonce = "0123456789abcdef" * 2
    key = f"norra-1.{'0' * 16}.3.{nonce}"
    plain = shown({"entries": {3: {nonce: 1}}, key: 2, "last": key, "request": nonce})
    assert plain == {
        "entries": {"3": {"01234567...": 1}},
        f"norra-1.{'0' * 16}.3.01234567...": 2,
        "last": f"norra-1.{'0' * 16}.3.01234567...",
        "request": nonce,
    }


def test_objects_of_other_packages_are_not_expanded() -> None:
    # Guards against dumping the fields of a reactor, a socket or key material.
    assert dump(Point(1.0, set())) == "(tests.unit.test_dump.Point)"
    assert dump(ServiceRegistry()) == {"services": {}, "started": []}


def test_long_and_deep_values_are_cut() -> None:
    # Guards against recursion errors and unbounded output.
    deep: list[object] = []
    for _ in range(5_000):
        deep = [deep]
    assert TRUNCATED in str(shown(deep))
    plain = shown(list(range(100_000)))
    assert isinstance(plain, list)
    assert plain[MAX_ITEMS:] == [f"{TRUNCATED} 100000 in all"]


@pytest.mark.parametrize("width", [10, 1_000])
def test_a_dump_stays_below_50_ms(width: int) -> None:
    # Guards against blocking the event loop while dumping a service with much
    # state. The fastest of three rounds counts, because other processes share
    # the machine.
    inner = {f"f{j}": [Point(1.0, {Colour.RED})] * 50 for j in range(width)}
    value = {f"k{i}": [inner] * 9 for i in range(300)}
    rounds = []
    for _ in range(3):
        started = time.perf_counter()
        dump(value, Traversal(packages=("tests",)))
        rounds.append(time.perf_counter() - started)
    assert min(rounds) < 0.05
