"""Compression of large encoded values: commands in the log and snapshots of the control state.

The items of a configuration resemble each other, so level 1 already reduces it to a sixteenth (400 KB to
25 KB in 1 ms). The compressed size is what every node that forwards a large change sends over its link.
"""

from __future__ import annotations

import zlib

import msgspec

MARKER = b"\x01"
"""First byte of the compressed form. Uncompressed values are msgpack maps or arrays, which never begin so."""
SIZE_BYTES = 4
"""Big-endian size of the uncompressed form, after the marker."""
COMPRESS_FROM_BYTES = 4096
"""Compression saves at most a few packets for smaller values."""
LEVEL = 1
"""zlib level; higher ones save 2% more on this data and take twice as long."""
MAX_UNCOMPRESSED_BYTES = 64 << 20
"""Bounds the size to which a few bytes of a peer can expand. The largest message has the same bound."""
_HEADER_BYTES = len(MARKER) + SIZE_BYTES


def compress(uncompressed: bytes) -> bytes:
    """Return the form to store and send: compressed, or ``uncompressed`` itself if it is small."""
    if len(uncompressed) < COMPRESS_FROM_BYTES:
        return uncompressed
    return MARKER + len(uncompressed).to_bytes(SIZE_BYTES, "big") + zlib.compress(uncompressed, LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the uncompressed form of what :func:`compress` returned.

    :raises msgspec.DecodeError: if the bytes are damaged or don't have the size that they state.
    """
    if not data.startswith(MARKER):
        return data
    size_bytes = uncompressed_size_bytes(data)
    if size_bytes > MAX_UNCOMPRESSED_BYTES:
        raise msgspec.DecodeError(
            f"compressed value of {size_bytes} bytes, the limit is {MAX_UNCOMPRESSED_BYTES}"
        )
    reader = zlib.decompressobj()
    try:
        uncompressed = reader.decompress(data[_HEADER_BYTES:], size_bytes + 1)
    except zlib.error as error:
        raise msgspec.DecodeError(f"compressed value is damaged: {error}") from error
    if len(uncompressed) != size_bytes or not reader.eof:
        raise msgspec.DecodeError(f"compressed value states {size_bytes} bytes, but has another size")
    return uncompressed


def uncompressed_size_bytes(data: bytes) -> int:
    """Return the size of the uncompressed form without decompressing it."""
    if not data.startswith(MARKER):
        return len(data)
    return int.from_bytes(data[len(MARKER) : _HEADER_BYTES], "big")
