"""Evidence about a candidate version and the sequential tests that judge it (docs/notes/judgement.md).

Pure. May import ``vocabulary``, ``coordination`` and :mod:`springmux.rollout.plan` and ``outcome``.
"""
