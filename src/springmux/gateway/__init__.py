"""The gateway's data plane without I/O: routing table, prompt metadata, engine choice, event framing.

Owns every decision about a forwarded request. May import ``control``, ``rollout``, ``vocabulary`` and
``coordination``; the sockets are in :mod:`springmux.node.gateway`.
"""
