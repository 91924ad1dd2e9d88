"""Composition of all pure components into one node; driven by node/ and by simulation/."""
