"""Cuts the head of an upstream's response at every byte.

Guards against callers that get a success with an empty or short body because an
upstream stopped in the middle of the head of its response.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from samphirebend.gateway.config import RequestKind

from .test_forward import REQUESTS, TIME_LEFT_S, Pool, make_gateway
from .test_upstream_faults import send_request

_IDS: Final = b"Attempt-Id: r1\r\nServer-Seal: s\r\n"
HEADS: Final = {
    "with a length": b"HTTP/1.1 200 OK\r\n" + _IDS + b"Content-Length: 2\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + _IDS + b"\r\n",
    "empty body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + _IDS + b"\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + _IDS + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n" + _IDS + b"Connection: close\r\n\r\n",
    "bodiless": b"HTTP/1.1 204 No\r\n" + _IDS + b"X: y\r\n\r\n",
    "failure": b"HTTP/1.1 500 No\r\n" + _IDS + b"Content-Length: 2\r\n\r\n",
}
OWN: Final = HEADS["with a length"] + b"ok"
FOREIGN: Final = OWN.replace(b"r1", b"r0").replace(b"ok", b"no")
# Bytes of other responses before and after the head that is cut.
NEIGHBOURS: Final = {
    "alone": (b"", b""),
    "after a late response": (FOREIGN, b""),
    "before another response": (b"", FOREIGN),
    "before a second own response": (b"", OWN),
}
ENDS: Final = {"close": ConnectionDone, "reset": ConnectionLost}


class CutPool(Pool):
    """Connection pool whose upstreams all send the same bytes and end."""

    def __init__(self, sent: bytes, end: type[Exception], clock: Clock) -> None:
        super().__init__(("silent",) * 3, clock)
        self.sent_bytes = sent
        self.end = end
        self.earlier_exchanges = 1

    def end_newest(self) -> bool:
        if not self.open:
            return False
        conn, transport, _result = self.open.pop()
        conn.dataReceived(self.sent_bytes)
        if not transport.aborted:
            conn.connectionLost(Failure(self.end()))
        return True


def cut_heads(head: bytes, neighbours: str) -> Iterator[bytes]:
    """Yield what the upstream sends, for each position of the cut."""
    before, after = NEIGHBOURS[neighbours]
    for position in range(1, len(head)):
        yield before + head[:position] + after


def headers_of(response: bytes) -> Counter[bytes]:
    lines = response.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    return Counter(line.partition(b":")[0].lower() for line in lines)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("neighbours", NEIGHBOURS)
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_head_that_stops_in_the_middle_is_no_response(
    kind: RequestKind, head: str, neighbours: str, end: str
) -> None:
    """Guards against a success without the upstream's complete response.

    A second response of the upstream to the same request may be passed on, if
    it is complete and not mixed with the first one.
    """
    for sent in cut_heads(HEADS[head], neighbours):
        clock = Clock()
        pool = CutPool(sent, ENDS[end], clock)
        gateway = make_gateway(kind, pool, clock)
        _, transport = send_request(gateway, REQUESTS[kind])
        while pool.end_newest():
            pass
        clock.advance(TIME_LEFT_S + 0.1)
        response: bytes = transport.value()
        assert gateway.in_flight == 0
        status = response[9:12]
        if status == b"200" and neighbours == "before a second own response":
            assert response.endswith(b"\r\n\r\nok"), sent
            counts = headers_of(response)
            assert counts[b"server-seal"] == counts[b"attempt-id"] == 1, sent
            continue
        assert status in (b"502", b"504"), (sent, response)
        assert b"server-seal" not in headers_of(response), (sent, response)
        assert b"Request-Outcome: unknown" in response, (sent, response)


def test_a_request_without_an_id_gets_the_response_without_an_id() -> None:
    """Guards callers that send no id against a response that is skipped."""
    clock = Clock()
    pool = CutPool(OWN.replace(b"Attempt-Id: r1\r\n", b""), ConnectionDone, clock)
    gateway = make_gateway(RequestKind.IDEMPOTENT, pool, clock)
    request = REQUESTS[RequestKind.IDEMPOTENT].replace(b"Attempt-Id: r1\r\n", b"")
    _, transport = send_request(gateway, request)
    pool.end_newest()
    assert transport.value().startswith(b"HTTP/1.1 200 ")
    assert transport.value().endswith(b"ok")
