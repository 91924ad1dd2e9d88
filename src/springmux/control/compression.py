"""Compressed form of large encoded values: commands in the log, images of the control state.

A configuration's items resemble each other, so level 1 already leaves a sixteenth of it (400 KB to 25 KB
in 1 ms). That is what a large change costs on the link of every node that passes it on.
"""

from __future__ import annotations

import zlib

import msgspec

MARKER = b"\x01"
"""Begins the compressed form. No msgpack map or array begins so, which every plain form here is."""
SIZE_BYTES = 4
"""Big-endian size of the plain form, after the marker."""
COMPRESS_FROM_BYTES = 4096
"""Smaller values gain a few packets at most."""
LEVEL = 1
"""Higher levels gain 2% here and take twice as long."""
MAX_PLAIN_BYTES = 64 << 20
"""Bound on what a peer's few bytes may grow to; the largest message has the same."""
_HEADER_BYTES = len(MARKER) + SIZE_BYTES


def compress(plain: bytes) -> bytes:
    """Return the form to keep and send: ``plain`` itself if it is small."""
    if len(plain) < COMPRESS_FROM_BYTES:
        return plain
    return MARKER + len(plain).to_bytes(SIZE_BYTES, "big") + zlib.compress(plain, LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the plain form of what :func:`compress` returned.

    :raises msgspec.DecodeError: if the bytes are damaged or grow beyond what they state.
    """
    if not data.startswith(MARKER):
        return data
    size_bytes = plain_size_bytes(data)
    if size_bytes > MAX_PLAIN_BYTES:
        raise msgspec.DecodeError(f"compressed value of {size_bytes} bytes, the limit is {MAX_PLAIN_BYTES}")
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(data[_HEADER_BYTES:], size_bytes + 1)
    except zlib.error as error:
        raise msgspec.DecodeError(f"compressed value is damaged: {error}") from error
    if len(plain) != size_bytes or not reader.eof:
        raise msgspec.DecodeError(f"compressed value states {size_bytes} bytes and holds others")
    return plain


def plain_size_bytes(data: bytes) -> int:
    """Return the size of the plain form without making it."""
    if not data.startswith(MARKER):
        return len(data)
    return int.from_bytes(data[len(MARKER) : _HEADER_BYTES], "big")
