"""The control state machine and its delivery: configuration, tenants, keys and rollout orders.

Pure. May import ``rollout``, ``vocabulary`` and ``coordination``.
"""
