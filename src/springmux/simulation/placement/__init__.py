"""Many nodes in front of model engines in virtual time: what a choice of engines is worth, on one trace.

Pure, seeded. May import ``gateway`` and below.
"""
