"""At-most-once claims, each decided by two of three holders. Pure."""
