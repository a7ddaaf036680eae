"""Lists of HTTP headers, and which of them a gateway passes on."""

from __future__ import annotations

from typing import Final

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are passed on.

    >>> end_to_end([(b"connection", b"close"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    """
    return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
