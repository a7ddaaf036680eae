"""Gateway that forwards requests to upstreams which register themselves.

The request path is `front`, `forward` and `attempt`. `follower` and `peers`
merge rows of the store into `replica` and apply them to `routingstate`;
heartbeats between `peers` update `members` and `feedback`. Decisions are made
in modules without network access: `placement`, `upstreams`, `budgets`,
`members`, `replica` and `routes`.
"""
