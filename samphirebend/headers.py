"""HTTP header lists and the filter for hop-by-hop headers."""

from __future__ import annotations

from typing import Final

# Names, in lower case where they were parsed from a message, and values.
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
    return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
