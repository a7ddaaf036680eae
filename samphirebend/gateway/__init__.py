"""Gateway: serves routes of a configuration from upstreams that register themselves.

The request path is `front`, `forward` and `attempt`; what is known of upstreams
and hosts comes through `follower` and `peers` into `replica`, and from there into
`view`. Decisions stand in modules without a network: `placement`, `health`,
`budgets`, `members`, `replica`, `routes`.
"""
