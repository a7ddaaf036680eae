"""Closed list of the exit codes of the command-line tool."""

from __future__ import annotations

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes; `docs/operators.md` says what to do for each."""

    # Success.
    OK = 0
    # An internal error of the tool, or an answer that it does not understand.
    FAILURE = 1
    # Wrong arguments; the number is fixed by typer.
    USAGE = 2
    # The file cannot be read or has faults; nothing was sent or accepted.
    INVALID = 3
    # Another manifest was accepted first.
    CONFLICT = 4
    # No given host could be reached.
    UNREACHABLE = 5
    # A host answered, but cannot do it now; a commit was not accepted.
    UNAVAILABLE = 6
    # The commit may have been accepted; repeat it with the same commit id.
    UNCERTAIN = 7
    # The version or the service does not exist.
    NOT_FOUND = 8
    # Some host has another version in force, or cannot be reached.
    NOT_EVERYWHERE = 9
