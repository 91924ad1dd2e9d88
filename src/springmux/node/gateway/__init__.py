"""The gateway node: front listener, forwarding to engines, control listener, settings and process.

Does the I/O for the decisions made in :mod:`springmux.gateway`, by means of :mod:`springmux.node.http`.
"""
