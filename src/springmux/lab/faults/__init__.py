"""Faults of an experiment: the catalogue and how they are injected."""
