"""What callers, upstreams and the operator saw during a run; times are Unix seconds."""

from __future__ import annotations

from typing import Final

import msgspec

# Statuses by which a host promises that a request did not run.
PROMISES: Final = frozenset({408, 421, 429, 503})


class Sent(msgspec.Struct):
    """One request of a caller and its answer."""

    request_id: str
    host: str
    start: int  # number of the host's process, from 1
    path: str
    idempotent: bool
    sent_at: float  # last byte of the request
    ended_at: float = 0.0
    status: int = 0  # 0: the connection ended or stayed silent
    whole: bool = False  # the answer is the one to this request
    new_connection: bool = True
    timed_out: bool = False


class Run(msgspec.Struct):
    """One request at an upstream."""

    request_id: str
    path: str
    upstream: str
    service: str
    zone: str
    at: float
    ran: bool  # it was begun, not refused


class Trouble(msgspec.Struct):
    """One fault as it was brought about."""

    kind: str
    begun_at: float
    ended_at: float
    planned: bool  # work that must not cut requests
    host: str = ""  # the host that it disturbs; empty: all, unless upstream is set
    upstream: str = ""  # the upstream that it disturbs


class Notice(msgspec.Struct):
    """Something that the store acknowledged."""

    kind: str  # drain, gone, evacuate, return, config
    name: str  # upstream, failure domain or version
    at: float


class Records(msgspec.Struct):
    """All that is judged of a run."""

    sent: list[Sent] = []
    runs: list[Run] = []
    troubles: list[Trouble] = []
    notices: list[Notice] = []
    cold: dict[str, float] = {}  # upstream, and until when it is cold
    bugs: list[str] = []  # unexpected errors in logs, unexpected ends of processes
    load_ended_at: float = 0.0
    faults_ended_at: float = 0.0
