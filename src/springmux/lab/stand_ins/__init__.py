"""Stand-in engines and services, and their side of the engine interface."""
