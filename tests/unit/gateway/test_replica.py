"""Tests that a replica never returns to an older row, however it is merged.

Hosts read snapshots, follow the store, restart and fetch rows from each other
in any order. A host whose table is complete up to a version must then hold no
row that was replaced or removed by that version, and must not lack any present
row. Guards against removed upstreams or old configurations that come back.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator

from hypothesis import given, settings, strategies as st

from samphirebend.gateway.replica import Replica, Row

KEYS = ("config", "evacuate/a", "u1")

# Changes to the store: a key and whether it is removed. Each change has the
# next version.
histories = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=12
)


def make_history(changes: list[tuple[str, bool]]) -> list[Row]:
    return [
        Row("op", key, None if removed else f"v{version}".encode(), version)
        for version, (key, removed) in enumerate(changes, start=1)
    ]


def newest(rows: list[Row], version: int) -> dict[str, Row]:
    return {row.key: row for row in rows if row.version <= version}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(histories, st.data())
def test_rows_never_get_older_in_any_order_of_sources(
    changes: list[tuple[str, bool]], data: st.DataObject
) -> None:
    history = make_history(changes)
    replica = Replica(["op"])
    seen: dict[str, int] = {}
    for _ in range(8):
        version = data.draw(st.integers(0, len(history)))
        rows = list(newest(history, version).values())
        if data.draw(st.booleans()):
            # Merge a snapshot, as after a start or lost history.
            live = [row for row in rows if row.value is not None]
            replica.replace("op", live, version)
        else:
            # Merge changes from the store, or from a peer that may be behind.
            after = data.draw(st.integers(0, version))
            newer = [row for row in rows if row.version > after]
            known = replica.version("op")
            replica.merge("op", newer, version if after <= known else known)
        for row in replica.since("op", 0):
            assert row.version >= seen.get(row.key, 0)
            seen[row.key] = row.version
    replica.replace("op", [], 0)
    final = newest(history, len(history))
    replica.merge("op", list(final.values()), len(history))
    assert {row.key: row.value for row in replica.since("op", 0)} == {
        key: row.value for key, row in final.items()
    }


def test_peer_gets_tombstones_that_it_lacks() -> None:
    replica = Replica(["op"])
    replica.merge("op", make_history([("config", False), ("u1", False)]), 2)
    replica.merge("op", [Row("op", "u1", None, 3)], 3)
    behind = Replica(["op"])
    behind.merge("op", make_history([("config", False), ("u1", False)]), 2)
    changed = behind.apply_transfer("op", replica.transfer("op", 2))
    assert [(row.key, row.value) for row in changed] == [("u1", None)]


def test_row_missing_from_a_snapshot_is_removed() -> None:
    replica = Replica(["op"])
    replica.merge("op", make_history([("config", False), ("u1", False)]), 2)
    changed = replica.replace("op", [Row("op", "config", b"v1", 1)], 5)
    assert [(row.key, row.value) for row in changed] == [("u1", None)]


class Fleet:
    """A store with one table, and the replicas of some hosts."""

    def __init__(self, hosts: int) -> None:
        self.history: list[Row] = []
        self.replicas = [Replica(["op"]) for _ in range(hosts)]

    def change(self, key: str) -> None:
        """Write a key, or remove it if it is present."""
        version = len(self.history) + 1
        current = newest(self.history, version).get(key)
        removes = current is not None and current.value is not None
        value = None if removes else f"v{version}".encode()
        self.history.append(Row("op", key, value, version))

    def read(self, host: int) -> None:
        """Read a snapshot from the store, as after a start or lost history."""
        rows = newest(self.history, len(self.history)).values()
        live = [row for row in rows if row.value is not None]
        self.replicas[host].replace("op", live, len(self.history))

    def follow(self, host: int) -> None:
        """Merge the changes that the store has for a host."""
        after = self.replicas[host].version("op")
        rows = newest(self.history, len(self.history)).values()
        newer = [row for row in rows if row.version > after]
        self.replicas[host].merge("op", newer, len(self.history))

    def fetch(self, host: int, peer: int) -> None:
        """Fetch rows from another host."""
        replica = self.replicas[host]
        transfer = self.replicas[peer].transfer("op", replica.version("op"))
        replica.apply_transfer("op", transfer)

    def restart(self, host: int) -> None:
        """Clear the replica of a host."""
        self.replicas[host] = Replica(["op"])

    def errors(self) -> Iterator[str]:
        """Yield a description of each outdated or missing row."""
        for host, replica in enumerate(self.replicas):
            complete = replica.version("op")
            held = {row.key: row for row in replica.since("op", 0)}
            for key, row in newest(self.history, complete).items():
                known = held.get(key)
                if known is not None and known.version >= row.version:
                    continue
                if known is not None and known.value is not None:
                    yield f"host {host} has an outdated {key} of {known.version}"
                elif known is None and row.value is not None:
                    yield f"host {host} lacks {key} of {row.version}"

    def state(self) -> tuple[object, ...]:
        """Return a value that identifies this state of store and replicas."""
        versions = range(len(self.history) + 1)
        tables = [
            (
                replica.version("op"),
                tuple(replica.transfer("op", after).is_snapshot for after in versions),
                tuple((r.key, r.value, r.version) for r in replica.since("op", 0)),
            )
            for replica in self.replicas
        ]
        return (len(self.history), *tables)


def all_events(hosts: int, keys: tuple[str, ...]) -> list[Callable[[Fleet], None]]:
    """Return all events that can happen next."""
    events: list[Callable[[Fleet], None]] = []
    for key in keys:
        events.append(lambda fleet, key=key: fleet.change(key))  # type: ignore[misc]
    for host in range(hosts):
        events.append(lambda fleet, h=host: fleet.read(h))  # type: ignore[misc]
        events.append(lambda fleet, h=host: fleet.follow(h))  # type: ignore[misc]
        events.append(lambda fleet, h=host: fleet.restart(h))  # type: ignore[misc]
        for peer in range(hosts):
            if peer != host:
                events.append(
                    lambda fleet, h=host, p=peer: fleet.fetch(h, p)  # type: ignore[misc]
                )
    return events


def test_no_short_history_of_two_hosts_restores_a_removed_row() -> None:
    """Guards a host without the store against peers that read a new snapshot.

    Explores all sequences of up to ten events with one key; equal states are
    explored once.
    """
    events = all_events(2, ("u1",))
    level, seen = [Fleet(2)], set[tuple[object, ...]]()
    for _ in range(10):
        following = []
        for fleet in level:
            for event in events:
                child = copy.deepcopy(fleet)
                event(child)
                assert not list(child.errors())
                state = child.state()
                if state not in seen:
                    seen.add(state)
                    following.append(child)
        level = following
    assert len(seen) > 1000


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.integers(0, 1000), min_size=12, max_size=40))
def test_no_long_history_of_three_hosts_restores_a_removed_row(
    chosen: list[int],
) -> None:
    fleet = Fleet(3)
    events = all_events(3, KEYS)
    for number in chosen:
        events[number % len(events)](fleet)
        assert not list(fleet.errors())
