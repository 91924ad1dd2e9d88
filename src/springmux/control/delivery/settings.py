"""Bounds and times of the delivery."""

from __future__ import annotations

import msgspec


class DeliverySettings(msgspec.Struct, frozen=True):
    """Defaults aim at every node within 2 s of an acknowledgement, at 12 to 360 nodes.

    ``fan_out``: most nodes that one node pushes to. ``pair_zone_size``: a larger zone gets two relays.
    ``push_max_bytes``: larger batches are only announced, and fetched in chunks.
    ``chunk_bytes``: largest piece of a transfer, so that heartbeats are never long behind one.
    ``window_chunks``: chunks sent for one request, so that a far zone doesn't wait a round trip for each.
    ``fetch_grace_s``: time that a node gives the push before it fetches, with random spread.
    ``first_chunk_bytes``: the first piece is small, so that the asker soon learns how much is coming.
    ``fetch_timeout_s``: wait for the first piece. For the next ones it grows by what one takes over the
    slowest link that a fleet may have (5 Mbit/s, less its frames), shared by ``fan_out`` askers.
    ``fetch_attempts``: how often a peer is asked that sends nothing. One that falls silent in the middle of a
    transfer is left at once if another peer has what is missing.
    ``peer_rest_s``: how long a peer that didn't answer is left alone while others know as much.
    """

    fan_out: int = 8
    pair_zone_size: int = 12
    push_max_bytes: int = 256 << 10
    chunk_bytes: int = 64 << 10
    first_chunk_bytes: int = 4 << 10
    window_chunks: int = 8
    recent_commands: int = 2000
    recent_bytes: int = 4 << 20
    delta_max_bytes: int = 1 << 20
    fetch_grace_s: float = 0.15
    fetch_timeout_s: float = 0.4
    slowest_link_bytes_s: float = 500_000
    fetch_attempts: int = 2
    peer_rest_s: float = 2.0
    ask_interval_s: float = 0.5
    snapshot_keep_s: float = 30.0
