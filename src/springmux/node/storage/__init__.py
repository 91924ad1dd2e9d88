"""The node's data folder: open it, and write to it in a thread."""
