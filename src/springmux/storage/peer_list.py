"""The list of peers that a node stores on disk, replaced as a whole. Blocking; run it in the storage thread.

It only speeds up how a restarted node finds its fleet, so a corrupt one is ignored.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.membership.remembered import RememberedPeer
from springmux.storage.disk import Disk, write_atomically
from springmux.storage.records import RecordType, encode_record, record_at

PEERS_NAME = "peers"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[RememberedPeer, ...])


class PeerList:
    """The checksummed file ``peers`` in a folder."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self._disk = disk
        self._folder = folder
        self.corruption = ""
        """Description of the file's corruption at the last :meth:`load`; empty if it was intact."""

    def load(self) -> tuple[RememberedPeer, ...]:
        """Return the stored peers; none if the file is missing or corrupt.

        :raises DiskFailedError: the disk failed.
        """
        self.corruption = ""
        path = f"{self._folder}/{PEERS_NAME}"
        if not self._disk.exists(path):
            return ()
        record = record_at(self._disk.read(path), 0)
        if record is None or record.type is not RecordType.PEERS:
            self.corruption = "checksum or framing is wrong"
            return ()
        try:
            return _decoder.decode(record.payload)
        except msgspec.DecodeError as error:
            self.corruption = f"the list can't be read: {error}"
            return ()

    def save(self, peers: tuple[RememberedPeer, ...]) -> None:
        """Replace the list; after a crash either the old or the new one is complete.

        :raises DiskError: the disk is full, or failed so that either list may be stored.
        """
        self._disk.make_folder(self._folder)
        data = encode_record(RecordType.PEERS, _encoder.encode(peers))
        write_atomically(self._disk, self._folder, PEERS_NAME, data)
