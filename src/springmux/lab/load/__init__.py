"""Load generation: traffic, the clients that send it, and their check of streams."""
