"""Requests of the crowds, in the bytes that they send."""

from __future__ import annotations

from tests.crowds.engine import HELD_PATH, LARGE_PATH
from tests.crowds.gateway import request_head

END = b"\r\n"
SHORT_LINES = b"a:\r\n" * 3900
LARGE_REQUEST = request_head(LARGE_PATH, b"GET", b"x-request-id: large\r\n") + END
MAX_DESCRIPTORS = 712
CONNECTIONS = 800
"""More than the descriptors that the limit leaves for sockets."""


def announced_body(size_bytes: int) -> tuple[bytes, bytes]:
    return request_head(HELD_PATH, lines=b"content-length: %d\r\n" % size_bytes) + END, b"x" * size_bytes


def chunked_body(size_bytes: int, chunk_bytes: int) -> tuple[bytes, bytes]:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    head = request_head(HELD_PATH, lines=b"transfer-encoding: chunked\r\n") + END
    return head, chunk * (size_bytes // chunk_bytes)
