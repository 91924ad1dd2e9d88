"""The virtual world: seeded time, network and faults around any pure components.

Owns the clock, the event queue, the network model, the fault schedule and its shrinking. Knows the
kernel's contract only, no state machine by name; may import ``coordination``.
"""
