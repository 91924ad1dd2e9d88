"""A lease on a node's control state being the newest, which doesn't need synchronised clocks.

Pure. May import the rest of ``control`` and what ``control`` may import.
"""
