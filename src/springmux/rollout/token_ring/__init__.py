"""The circulating token: its content, the rings of nodes, and how it goes from hop to hop."""
