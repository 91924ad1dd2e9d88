"""Checkers of the promises over a run's records."""
