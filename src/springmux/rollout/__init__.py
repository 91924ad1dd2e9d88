"""The release gate inside every router, after the rollout described in the paper (sections V.C, V.D).

The package holds the templates, plans, version filter, token, exposure ledger, evidence, judge and scheduler.
Its code does no I/O. It may import ``vocabulary`` and ``coordination``.
"""
