"""Checks of the system's promises over the records of a run."""
