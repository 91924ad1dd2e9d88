"""Evidence about a candidate version and the sequential tests that judge it (docs/notes/judgement.md).

The code does no I/O. It may import ``vocabulary``, ``coordination``, :mod:`springmux.rollout.plan` and
``outcome``.
"""
