"""At-most-once claims, each decided by two of three holders, as state machines without I/O."""
