"""Prometheus metrics of a node."""
