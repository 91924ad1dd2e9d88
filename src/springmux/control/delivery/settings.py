"""Settings of state delivery."""

from __future__ import annotations

import msgspec


class DeliverySettings(msgspec.Struct, frozen=True):
    """Bounds and times. With the defaults, a change reaches every node of 12 to 360 within 2 s.

    ``fan_out``: largest number of nodes in one zone that a node pushes to. ``pair_zone_size``: a larger zone
    gets two relays.
    ``push_max_bytes``: larger batches are only announced, and then fetched in chunks.
    ``chunk_bytes``: largest chunk of a transfer, so that heartbeats never queue long behind one.
    ``first_chunk_bytes``: largest first chunk, small so that the requester soon learns the transfer's size.
    ``window_chunks``: chunks sent for one request, so that a far zone doesn't wait a round trip for each.
    ``recent_commands``, ``recent_bytes``: bounds of the log of recent commands, from which deltas are made.
    ``delta_max_bytes``: largest delta, unless a single command is larger.
    ``fetch_grace_s``: delay, with jitter, before a node fetches commands that a push may still deliver.
    ``fetch_timeout_s``: timeout of the first chunk. For the next ones it grows by the time of one chunk over
    the slowest link that a fleet may have, shared by ``fan_out`` requesters.
    ``slowest_link_bytes_s``: bytes per second of that link (5 Mbit/s, less the frames' overhead).
    ``fetch_attempts``: requests to a peer that sends nothing. A peer that stalls in the middle of a transfer
    is abandoned immediately if another one has the missing state.
    ``peer_cooldown_s``: how long a peer that didn't reply is avoided while another one is ahead.
    ``request_interval_s``: interval between requests for the confirmed revision, and the timeout of one
    confirmation at the leader.
    ``snapshot_keep_s``: how long cached transfers are kept after the last fetch.
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
    peer_cooldown_s: float = 2.0
    request_interval_s: float = 0.5
    snapshot_keep_s: float = 30.0
