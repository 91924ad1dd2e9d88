"""Connections between peers: frames, handshake, channels, and the encoding of messages."""
