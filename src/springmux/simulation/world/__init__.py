"""The simulated world: virtual time, network and faults around any pure state machines, from a seed.

Owns the clock, the event queue, the network model, the fault schedule and its shrinking. Depends only on
the interface of state machines, on none in particular; may import ``coordination``.
"""
