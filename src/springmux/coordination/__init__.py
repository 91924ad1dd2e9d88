"""The embeddable coordination library: pure state machines, no I/O, no clock, no global randomness.

Every part has ``handle(event, now) -> list[Effect]`` (see :mod:`springmux.coordination.state_machine`).
This folder imports nothing else of springmux, so that others can embed it alone.
"""
