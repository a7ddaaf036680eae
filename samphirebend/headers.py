"""HTTP header lists and the filter for hop-by-hop headers."""

from __future__ import annotations

from typing import Final

# Pairs of name and value; names parsed from a message are in lower case.
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
    """Return the headers without the hop-by-hop ones, which are not forwarded.

    >>> end_to_end([(b"connection", b"close"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    """
    return [header for header in headers if header[0] not in HOP_BY_HOP_HEADERS]
