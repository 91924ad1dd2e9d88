"""Index of the engines that probably cache each prompt prefix, from this node's dispatches.

The prompt's text is split into blocks; each block's hash is chained to the one before, so equal hashes mean
equal prefixes (the block hashing of paged KV caches, Kwon et al. 2023, section 4.3, at a coarser grain).
The index is approximate, since engines evict unnoticed, and bounded: the least recently used entry is
dropped.
"""

from __future__ import annotations

import msgspec
import xxhash

from springmux.router.engine_table import EngineSlot

BLOCK_BYTES = 1024
"""Size of one block, about 256 tokens; shared prefixes are many blocks long."""
MAX_BLOCKS = 64
"""Maximum number of hashed blocks of one prompt; the first 64 KiB distinguish prefixes."""
MAX_ENTRIES = 65_536
"""Maximum number of blocks in the index: 1.8 million prefixes over 360 nodes are 5,000 per node, with 13
blocks each."""
MAX_HOLDERS = 4
"""Maximum number of engines kept per block."""


class PromptPrefix(msgspec.Struct, frozen=True):
    """Hashes of a prompt for placement. ``blocks``: chained block hashes; ``key``: hash of the first block.

    A prompt shorter than one block has one block with its complete text. ``covered``: share (0..1) of the
    text that the blocks cover.
    """

    key: int
    blocks: tuple[int, ...]
    covered: float = 1.0


def hash_prefix(text: bytes) -> PromptPrefix:
    """Return the hashes of a prompt's text."""
    block_count = min(len(text) // BLOCK_BYTES, MAX_BLOCKS)
    if block_count <= 1:
        digest = xxhash.xxh3_64_intdigest(text[:BLOCK_BYTES])
        return PromptPrefix(digest, (digest,), min(1.0, BLOCK_BYTES / max(1, len(text))))
    digest = 0
    blocks: list[int] = []
    view = memoryview(text)
    for start in range(0, block_count * BLOCK_BYTES, BLOCK_BYTES):
        digest = xxhash.xxh3_64_intdigest(view[start : start + BLOCK_BYTES], digest)
        blocks.append(digest)
    return PromptPrefix(blocks[0], tuple(blocks), block_count * BLOCK_BYTES / len(text))


class PrefixHolder(msgspec.Struct, frozen=True):
    """An engine that probably caches the first ``share`` (0..1) of the prompt."""

    slot: EngineSlot
    share: float


class PrefixIndex:
    """Maps each block hash to the engines that received the block most recently, the latest one last."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._holders: dict[int, tuple[EngineSlot, ...]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def lookup(self, prefix: PromptPrefix) -> list[PrefixHolder]:
        """Return the usable engines that cache a prefix of the prompt, with its share."""
        depth_of: dict[EngineSlot, int] = {}
        for depth, block in enumerate(prefix.blocks, start=1):
            holders = self._holders.get(block)
            if holders is None:
                break
            for slot in holders:
                if slot.usable and (depth == 1 or depth - 1 == depth_of.get(slot)):
                    depth_of[slot] = depth
        share_of_block = prefix.covered / len(prefix.blocks)
        return [PrefixHolder(slot, depth * share_of_block) for slot, depth in depth_of.items()]

    def record(self, prefix: PromptPrefix, slot: EngineSlot) -> None:
        """Record a dispatch of the prompt to ``slot``, which then probably caches all of its blocks."""
        table = self._holders
        for block in prefix.blocks:
            holders = table.pop(block, ())
            if not holders or holders[-1] is not slot:
                kept = tuple(holder for holder in holders if holder is not slot and holder.usable)
                holders = (*kept[1 - MAX_HOLDERS :], slot)
            table[block] = holders
        while len(table) > self._max_entries:
            del table[next(iter(table))]
