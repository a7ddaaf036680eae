"""Exit codes of the command-line tool."""

from __future__ import annotations

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes; `docs/operators.md` explains how to react to each."""

    # Success.
    OK = 0
    # Internal error of the tool, or a response that it cannot interpret.
    FAILURE = 1
    # Wrong arguments; typer uses this number.
    USAGE = 2
    # The file is unreadable or invalid; nothing was sent or accepted.
    INVALID = 3
    # Another manifest was accepted since the base version.
    CONFLICT = 4
    # None of the given hosts could be reached or, except for a commit, gave a
    # usable response.
    UNREACHABLE = 5
    # A host responded but cannot serve the request now; a commit was not
    # accepted.
    UNAVAILABLE = 6
    # The commit may have been accepted; repeat it with the same commit id.
    UNCERTAIN = 7
    # The requested version or service does not exist, or no log line is about
    # the requested request.
    NOT_FOUND = 8
    # At least one host has another version in force or cannot be reached.
    NOT_EVERYWHERE = 9
