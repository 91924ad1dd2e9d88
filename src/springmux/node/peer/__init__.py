"""Connections between peers: framing, handshake, channels, and the envelope of messages."""
