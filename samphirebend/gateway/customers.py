"""Identifies the customer of a request by the key that the caller sends.

Keys are kept as salted digests, so that no dump, log line or error can show
one. The look-up takes the same time whatever the number of keys. `forward`
calls it for each request, and again before each attempt is sent.
"""

from __future__ import annotations

import hashlib
import os
from enum import Enum, unique
from typing import Final

from .config import Config, Customer, Route

_DIGEST_BYTES: Final = 16
_SALT: Final = os.urandom(16)  # new for each process
# Stands for the regions of a request whose route and customer have home regions
# without a common one. No region has this name.
NO_REGION: Final = ""


@unique
class Verdict(Enum):
    """Whether a request is allowed by its key."""

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown-key"
    # This host may have missed a change of the keys.
    UNCERTAIN = "uncertain"


class Identity:
    """Result of the identification of one request."""

    __slots__ = ("customer", "uses_customers", "verdict")

    def __init__(
        self, verdict: Verdict, customer: Customer | None, uses_customers: bool
    ) -> None:
        self.verdict = verdict
        self.customer = customer  # None on public routes and without customers
        # Whether the configuration has customers, so that the key and the name
        # of the customer are not the caller's to pass on.
        self.uses_customers = uses_customers

    @property
    def customer_name(self) -> str:
        """Return the name of the customer, or an empty string."""
        return self.customer.name if self.customer is not None else ""


ANONYMOUS: Final = Identity(Verdict.ALLOWED, None, uses_customers=False)


class CustomerTable:
    """Customers of a configuration by the digests of their keys."""

    __slots__ = ("_by_digest", "has_customers")

    def __init__(self, config: Config) -> None:
        self.has_customers = bool(config.customers)
        self._by_digest: dict[bytes, Customer] = {
            digest: customer
            for customer in config.customers.values()
            for digest in customer.key_digests
        }

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_digest.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is kept in this process."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES, key=_SALT).digest()


def identify(
    table: CustomerTable, route: Route, key: str | None, current: bool, honoured: bool
) -> Identity:
    """Identify the customer of a request on a route.

    `current` tells whether the configuration is recent, and `honoured` whether
    this host may honour keys at all: it may not if it could have missed the
    removal of one.
    """
    if not table.has_customers:
        return ANONYMOUS
    if route.public:
        return Identity(Verdict.ALLOWED, None, uses_customers=True)
    if not honoured:
        return Identity(Verdict.UNCERTAIN, None, uses_customers=True)
    customer = table.find(key) if key else None
    if customer is not None:
        return Identity(Verdict.ALLOWED, customer, uses_customers=True)
    # A key that was added lately is unknown to a host that is behind, and the
    # caller would not try another host after a definite rejection.
    verdict = Verdict.UNKNOWN_KEY if current or not key else Verdict.UNCERTAIN
    return Identity(verdict, None, uses_customers=True)


def combined_home_regions(route: Route, customer: Customer | None) -> frozenset[str]:
    """Return the regions that both route and customer allow; empty: any.

    >>> from .config import RequestKind
    >>> route, customer = Route("r", "h", "/", RequestKind.UPLOAD), Customer("c")
    >>> route.home_regions = frozenset({"north"})
    >>> sorted(combined_home_regions(route, customer))
    ['north']
    >>> customer.home_regions = frozenset({"south"})
    >>> combined_home_regions(route, customer) == {NO_REGION}
    True
    """
    if customer is None or not customer.home_regions:
        return route.home_regions
    if not route.home_regions:
        return customer.home_regions
    common = route.home_regions & customer.home_regions
    return common or frozenset({NO_REGION})


def effective_priority(route: Route, customer: Customer | None) -> int:
    """Return the priority of a request; a customer's replaces its route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority
