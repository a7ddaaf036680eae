"""Tests that hosts which keep to their shares keep the fleet-wide limits.

Guards against retries or cold-start requests above the limit although each
host stays within its own share.
"""

from __future__ import annotations

import random

from samphirebend.gateway.budgets import ColdLimit, RetryBudget

HOSTS = 7


def test_hosts_together_keep_the_retry_budget_in_every_window() -> None:
    rng = random.Random(5)
    budgets = [RetryBudget(0.2, 10.0, 56.0) for _ in range(HOSTS)]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(60.0)
        budget = rng.choice(budgets)
        budget.record_request("s", now)
        requests.append(now)
        # All attempts fail and are retried as often as the budget allows.
        while budget.allows("s", HOSTS, now):
            budget.record_retry("s", now)
            retries.append(now)
    for end in retries:
        retries_in_window = [at for at in retries if end - 10.0 < at <= end]
        requests_in_window = [at for at in requests if end - 10.0 < at <= end]
        assert len(retries_in_window) <= 0.2 * len(requests_in_window) + 56


def test_host_without_requests_has_its_share_of_the_slack() -> None:
    """Guards against a first request that cannot be retried."""
    budget = RetryBudget(0.2, 10.0, 56.0)
    assert budget.allows("s", HOSTS, 0.0)
    assert budget.remaining("s", HOSTS, 0.0) <= 56 / HOSTS


def test_cold_limit_holds_in_every_second() -> None:
    limit = ColdLimit(1.5, 5.0)
    sent = []
    for step in range(400):
        now = step * 0.01
        if limit.allows("u", 9.1, HOSTS, 0, now):
            limit.record_sent("u", now)
            sent.append(now)
    for end in sent:
        window = [at for at in sent if end - 1.0 < at <= end]
        assert HOSTS * len(window) <= 9.1 * 1.5 + 5
