"""Guards the shares of common limits: the sum over all hosts stays within them."""

from __future__ import annotations

import random

from samphirebend.gateway.budgets import ColdLimit, RetryBudget

HOSTS = 7


def test_all_hosts_together_keep_the_retry_budget_in_every_window() -> None:
    rng = random.Random(5)
    budgets = [RetryBudget(0.2, 10.0, 56.0) for _ in range(HOSTS)]
    requests: list[float] = []
    repeats: list[float] = []
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(60.0)
        budget = rng.choice(budgets)
        budget.note_request("s", now)
        requests.append(now)
        while budget.allows("s", HOSTS, now):  # everything fails
            budget.note_retry("s", now)
            repeats.append(now)
    for end in repeats:
        window = [at for at in repeats if end - 10.0 < at <= end]
        asked = [at for at in requests if end - 10.0 < at <= end]
        assert len(window) <= 0.2 * len(asked) + 56


def test_a_host_without_requests_still_has_its_part_of_the_slack() -> None:
    budget = RetryBudget(0.2, 10.0, 56.0)
    assert budget.allows("s", HOSTS, 0.0)
    assert budget.remaining("s", HOSTS, 0.0) <= 56 / HOSTS


def test_cold_limit_counts_any_second() -> None:
    limit = ColdLimit(1.5, 5.0)
    sent = []
    for step in range(400):
        now = step * 0.01
        if limit.allows("u", 9.1, HOSTS, 0, now):
            limit.note_sent("u", now)
            sent.append(now)
    for end in sent:
        window = [at for at in sent if end - 1.0 < at <= end]
        assert HOSTS * len(window) <= 9.1 * 1.5 + 5
