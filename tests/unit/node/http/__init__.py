"""The HTTP server and client on loopback sockets: transcripts in bytes."""
