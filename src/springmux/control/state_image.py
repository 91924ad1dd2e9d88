"""The control state as bytes, for snapshots: equal states give equal bytes."""

from __future__ import annotations

import struct

import msgspec

from springmux.control.compression import compress, decompress
from springmux.control.configuration_section import ConfigurationVersion
from springmux.control.order_window import DecidedOrder
from springmux.control.rollout_section import EndedRollout
from springmux.control.view import Configuration, KeyRecord, Tenant
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import RolloutRecord
from springmux.vocabulary.errors import SpringmuxError

FORMAT = b"SMCTL\x02"
"""Begins each image; the last byte is the format's number. The revision follows, then the compressed body."""
FORMAT_PLAIN = b"SMCTL\x01"
"""Of earlier programs, whose body is not compressed. Read, not written."""
_REVISION = struct.Struct(">Q")
_BODY_OFFSET = len(FORMAT) + _REVISION.size


class UnreadableImageError(SpringmuxError):
    """The bytes are not an image of a format known here."""


class StateImage(msgspec.Struct, frozen=True, array_like=True):
    """Everything in the control state, sorted. Fields may be added at the end with a default."""

    revision: Revision
    configuration: Configuration
    document: bytes
    history: tuple[ConfigurationVersion, ...]
    documents: tuple[tuple[int, bytes], ...]
    tenants: tuple[Tenant, ...]
    keys: tuple[KeyRecord, ...]
    templates: tuple[tuple[str, bytes], ...]
    rollouts: tuple[RolloutRecord, ...]
    ended: tuple[EndedRollout, ...]
    orders: tuple[DecidedOrder, ...]
    claim_ring: ClaimRing | None = None
    system_orders: tuple[DecidedOrder, ...] = ()
    gateway_document: bytes = b""


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(StateImage)


def encode_image(image: StateImage) -> bytes:
    """Return the image's bytes."""
    return FORMAT + _REVISION.pack(image.revision) + compress(_encoder.encode(image))


def image_revision(data: bytes) -> Revision:
    """Return the revision of the image in ``data`` without reading the rest.

    :raises UnreadableImageError: if it isn't an image, or of another format.
    """
    if not data.startswith((FORMAT, FORMAT_PLAIN)) or len(data) < _BODY_OFFSET:
        raise UnreadableImageError(f"control state begins with {data[: len(FORMAT)]!r}, known is {FORMAT!r}")
    return Revision(_REVISION.unpack_from(data, len(FORMAT))[0])


def decode_image(data: bytes) -> StateImage:
    """Return the image in ``data``.

    :raises UnreadableImageError: if it isn't one, or of another format.
    """
    image_revision(data)
    try:
        return _decoder.decode(decompress(data[_BODY_OFFSET:]))
    except msgspec.DecodeError as error:
        raise UnreadableImageError(f"control state can't be read: {error}") from error
