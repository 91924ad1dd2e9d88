"""Composes the components of one node, which do no I/O; driven by ``node/`` and by ``simulation/``."""
