"""Delivery of committed commands to every node: pushes through a relay tree, and repair by anti-entropy.

Pure. May import the rest of ``control`` and what ``control`` may import.
"""
