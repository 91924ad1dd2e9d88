"""The embeddable coordination library: pure state machines without I/O, clocks or global randomness.

Every component has ``handle(event, now) -> list[Effect]`` (see :mod:`springmux.coordination.state_machine`).
This package imports no other part of springmux, so that other programs can embed it alone.
"""
