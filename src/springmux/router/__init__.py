"""The data plane without I/O: authentication, admission, quotas, engine choice, streams, retries.

May import ``control``, ``rollout``, ``vocabulary`` and ``coordination``.
"""
