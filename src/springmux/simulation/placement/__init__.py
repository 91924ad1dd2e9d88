"""Simulation of engine placement: many nodes in front of model engines, to compare policies on one trace.

Pure and seeded. May import ``gateway`` and below.
"""
