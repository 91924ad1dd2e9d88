"""Stand-in engines and call services, and their client of the engine interface."""
