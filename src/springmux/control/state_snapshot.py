"""Encoding of snapshots of the control state. Equal states give equal bytes."""

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
"""Start of each snapshot, with the format's number as its last byte.

The revision follows, and then the compressed body.
"""
FORMAT_UNCOMPRESSED = b"SMCTL\x01"
"""Start of the snapshots of earlier programs, with an uncompressed body. Read, but not written."""
_REVISION = struct.Struct(">Q")
_BODY_OFFSET = len(FORMAT) + _REVISION.size


class UnreadableSnapshotError(SpringmuxError):
    """The bytes aren't a snapshot in a format known to this program."""


class StateSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole control state, sorted by name or key. New fields are added at the end, with a default."""

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
_decoder = msgspec.msgpack.Decoder(StateSnapshot)


def encode_snapshot(snapshot: StateSnapshot) -> bytes:
    """Return the encoded snapshot."""
    return FORMAT + _REVISION.pack(snapshot.revision) + compress(_encoder.encode(snapshot))


def snapshot_revision(data: bytes) -> Revision:
    """Return the revision of the snapshot in ``data`` without reading the rest.

    :raises UnreadableSnapshotError: if ``data`` isn't a snapshot, or has another format.
    """
    if not data.startswith((FORMAT, FORMAT_UNCOMPRESSED)) or len(data) < _BODY_OFFSET:
        raise UnreadableSnapshotError(
            f"control state begins with {data[: len(FORMAT)]!r}, known is {FORMAT!r}"
        )
    return Revision(_REVISION.unpack_from(data, len(FORMAT))[0])


def decode_snapshot(data: bytes) -> StateSnapshot:
    """Return the snapshot in ``data``.

    :raises UnreadableSnapshotError: if ``data`` isn't a snapshot, or has another format.
    """
    snapshot_revision(data)
    try:
        return _decoder.decode(decompress(data[_BODY_OFFSET:]))
    except msgspec.DecodeError as error:
        raise UnreadableSnapshotError(f"control state can't be decoded: {error}") from error
