"""Failure detection and membership of nodes (SWIM with Lifeguard), as state machines without I/O."""
