"""Operators of an experiment and their side of the admin interface."""
