"""The listener for clients: it reads requests, runs each in a request runner, and calls engines."""
