"""Stand-ins for the scripts of the second review: the platform, an operator, clients and engines."""
