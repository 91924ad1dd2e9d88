"""The circulating token's rings of nodes, and its forwarding from node to node."""
