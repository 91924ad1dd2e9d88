"""Types shared by the packages above the coordination library: names, engine records, errors.

May import :mod:`springmux.coordination` only.
"""
