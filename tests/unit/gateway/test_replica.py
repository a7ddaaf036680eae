"""Guards the replica: no order of news ever brings an older row back."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from samphirebend.gateway.replica import Replica, Row

KEYS = ("config", "evacuate/a", "u1")

# A history of the store: each change has the next version.
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
def test_rows_never_go_back_under_any_order_of_sources(
    changes: list[tuple[str, bool]], data: st.DataObject
) -> None:
    history = make_history(changes)
    replica = Replica(["op"])
    seen: dict[str, int] = {}
    for _ in range(8):
        version = data.draw(st.integers(0, len(history)))
        rows = list(newest(history, version).values())
        if data.draw(st.booleans()):
            # A whole read, or a read after the history was lost.
            live = [row for row in rows if row.value is not None]
            replica.replace("op", live, version)
        else:
            # The feed, or a peer that may be behind.
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


def test_a_peer_gets_the_rows_that_it_lacks_and_tombstones() -> None:
    replica = Replica(["op"])
    replica.merge("op", make_history([("config", False), ("u1", False)]), 2)
    replica.merge("op", [Row("op", "u1", None, 3)], 3)
    behind = Replica(["op"])
    behind.merge("op", make_history([("config", False), ("u1", False)]), 2)
    changed = behind.merge("op", replica.since("op", 2), replica.version("op"))
    assert [(row.key, row.value) for row in changed] == [("u1", None)]


def test_an_entry_missing_from_a_whole_read_is_gone() -> None:
    replica = Replica(["op"])
    replica.merge("op", make_history([("config", False), ("u1", False)]), 2)
    changed = replica.replace("op", [Row("op", "config", b"v1", 1)], 5)
    assert [(row.key, row.value) for row in changed] == [("u1", None)]
