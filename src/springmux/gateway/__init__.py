"""The gateway's data plane without I/O: routing table, prompt metadata, engine choice, event framing.

Makes every decision about a forwarded request. May import ``control``, ``rollout``, ``vocabulary`` and
``coordination``; the network I/O is in :mod:`springmux.node.gateway`.
"""
