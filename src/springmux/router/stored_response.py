"""The kept answer of a finished at-most-once request, as opaque bytes for the claim holders."""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.events import ClaimSettings
from springmux.router.effects import Headers

MAX_KEPT_BYTES = ClaimSettings().max_answer_bytes
"""Larger answers are not kept (a resend gets 409): holders keep many of them in memory."""


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """An engine's whole answer as it was passed to the caller, and a digest of the request's body.

    The digest tells a resend from another request under the same key.
    """

    status: int
    headers: Headers
    body: bytes
    body_digest: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoredResponse)


def encode_answer(answer: StoredResponse) -> bytes:
    """Return the bytes to keep; empty if the answer is too large."""
    data = _encoder.encode(answer)
    return data if len(data) <= MAX_KEPT_BYTES else b""


def decode_answer(data: bytes) -> StoredResponse | None:
    """Return the kept answer, or ``None`` if none was kept or it can't be read."""
    if not data:
        return None
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
