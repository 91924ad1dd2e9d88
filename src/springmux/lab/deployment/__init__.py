"""Bringing a deployment up as processes on loopback, and tearing it down."""
