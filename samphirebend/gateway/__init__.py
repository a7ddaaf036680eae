"""Gateway that forwards requests to upstreams which register themselves.

The request path is `front`, `forward` and `attempt`. State about upstreams and
hosts arrives through `follower` and `peers` in `replica` and is applied to
`routingstate`. Decisions are made in modules without network access:
`placement`, `upstreams`, `budgets`, `members`, `replica` and `routes`.
"""
