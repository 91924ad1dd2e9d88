"""The list of peers that a node keeps on disk, replaced as a whole. Blocking; run it in the storage thread.

Nothing rests on it but how soon a restarted node finds its fleet, so a damaged one is passed over.
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
    """The file ``peers`` of a folder, with a checksum."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self._disk = disk
        self._folder = folder
        self.damage = ""
        """What was wrong with the file at the last :meth:`load`; empty if nothing was."""

    def load(self) -> tuple[RememberedPeer, ...]:
        """Return the peers; none if there is no list, or only a damaged one.

        :raises DiskFailedError: the disk failed.
        """
        self.damage = ""
        path = f"{self._folder}/{PEERS_NAME}"
        if not self._disk.exists(path):
            return ()
        record = record_at(self._disk.read(path), 0)
        if record is None or record.type is not RecordType.PEERS:
            self.damage = "checksum or framing is wrong"
            return ()
        try:
            return _decoder.decode(record.payload)
        except msgspec.DecodeError as error:
            self.damage = f"the list can't be read: {error}"
            return ()

    def save(self, peers: tuple[RememberedPeer, ...]) -> None:
        """Replace the list; after a crash the old or the whole new one is there.

        :raises DiskError: which of the two is there isn't known, or the disk is full.
        """
        self._disk.make_folder(self._folder)
        data = encode_record(RecordType.PEERS, _encoder.encode(peers))
        write_atomically(self._disk, self._folder, PEERS_NAME, data)
