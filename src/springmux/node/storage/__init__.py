"""The node's data folder: opening it, and the thread that writes to it."""
