"""The gateway node: front listener, forwarding to engines, control listener, settings and process.

Does the I/O for the decisions of :mod:`springmux.gateway`, over :mod:`springmux.node.http`.
"""
