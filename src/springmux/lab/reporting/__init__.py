"""Figures, plots and reports of a run."""
