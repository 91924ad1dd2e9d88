"""The peers' channel: framing, handshake, connections, and the envelope of messages."""
