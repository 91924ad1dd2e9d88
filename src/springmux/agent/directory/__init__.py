"""Replicated directory of back ends. Does no I/O; may import only vocabulary and coordination."""
