"""How old the proof is that a node's control state is the newest: a lease without clocks in step.

Pure. May import the rest of ``control`` and what ``control`` may import.
"""
