"""Limits on what clients and peers make one process hold: bytes, connections and time on the event loop.

All listeners of a process share them. May import nothing of the other packages of ``node``.
"""
