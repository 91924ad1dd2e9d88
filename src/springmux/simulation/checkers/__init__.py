"""Checkers of a run's recorded history, one for each guarantee."""
