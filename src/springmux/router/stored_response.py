"""Stored response of a finished at-most-once request, as opaque bytes for the claim holders."""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.events import ClaimSettings
from springmux.router.effects import Headers

MAX_STORED_BYTES = ClaimSettings().max_answer_bytes
"""Maximum size; larger responses are not stored (a resent request gets 409), since holders keep many in
memory."""


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """An engine's complete response as sent to the client, and a digest of the request's body.

    The digest distinguishes a resent request from a different request with the same idempotency key.
    """

    status: int
    headers: Headers
    body: bytes
    body_digest: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoredResponse)


def encode_response(response: StoredResponse) -> bytes:
    """Return the bytes to store; empty if the response is too large."""
    data = _encoder.encode(response)
    return data if len(data) <= MAX_STORED_BYTES else b""


def decode_response(data: bytes) -> StoredResponse | None:
    """Return the stored response, or ``None`` if there is none or it can't be decoded."""
    if not data:
        return None
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
