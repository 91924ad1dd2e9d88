"""Faults of an experiment: their catalogue, their scenarios and their injection."""
