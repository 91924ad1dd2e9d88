"""Settings of the engine directory."""

from __future__ import annotations

import msgspec


class DirectorySettings(msgspec.Struct, frozen=True):
    """Timing and bounds under which a change reaches every node within 2 s."""

    owners_per_engine: int = 3
    forward_period_s: float = 1.0
    """At most one heartbeat per engine is forwarded in this period; engines send about one per second."""
    heartbeat_timeout_s: float = 3.0
    vote_period_s: float = 0.5
    vote_valid_s: float = 1.5
    """How long a vote counts: three vote periods, so that one lost vote doesn't keep a lost engine ready."""
    votes_per_message: int = 100
    digest_period_s: float = 1.0
    settling_s: float = 3.0
    """Time after contact was established in which peers may not know this node yet, so that their relays miss
    it. It sends digests every ``settling_digest_period_s`` meanwhile."""
    settling_digest_period_s: float = 0.25
    repair_period_s: float = 0.15
    """Delay of the next digest after an exchange that found differences, which is short because a new node
    receives its directory bucket by bucket."""
    buckets_per_exchange: int = 64
    entries_per_message: int = 100
    lost_engines_per_query: int = 32
    """Limits a query to about 0.5 KB; of more lost engines a random sample is asked about."""
    contact_loss_s: float = 3.0
    """Changes relayed up to this time before a loss of contact was noticed may have reached no other node."""
    relay_fanout: int = 6
    relay_trees: int = 2
    """Each change is relayed over two trees with different salts, because at 5% message loss one tree misses
    about an eighth of 360 nodes."""
    relay_ack_timeout_s: float = 0.3
    """Time without an acknowledgement after which a relay is replaced. Several replacements in a row fit into
    the 2 s."""
    relay_attempts: int = 5
    """Number of times that a range is relayed. At 360 nodes in 4 zones a range is down to single nodes after
    three."""
    stop_receipts_s: float = 60.0
    """Time for which the controllers' receipts for a stop are kept after the engine's last report of it."""
    unresponsive_s: float = 2.0
    """Time for which a peer that didn't answer is neither used as a relay nor sent digests."""
    scan_period_s: float = 0.5
    scan_engines: int = 4
    """Engines whose owners are looked up per scan: 2,900 engines take about 6 minutes."""
    batch_from_engines: int = 256
    """Up to this number of engines every change is relayed and published immediately."""
    batch_s_per_engine: float = 5e-5
    """Batching delay per engine above ``batch_from_engines``, because the time to build a view grows with the
    number of engines. At 2,900 engines the delay is 0.15 s, well within the 2 s."""
    pause_s: float = 1.5
    """A gap of this length between two events counts as a pause of this node and restarts all timeouts."""
    loads_period_s: float = 1.0
    catch_up_s: float = 1.0
    """After a partition a node isn't ready until its directory is in sync or this time has passed."""
    catch_up_nodes: int = 3
    """Number of peers that receive each digest of a catch-up."""
    forget_left_s: float = 600.0
    forget_lost_s: float = 3600.0
    """Engines that left or are lost are removed after these times, because names that are used once must not
    accumulate. An engine that returns later announces itself again."""
