"""Tests of the HTTP server and client on loopback sockets, written as transcripts of bytes."""
