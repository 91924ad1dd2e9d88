"""Settings of the failure detector and of the contact rule."""

from __future__ import annotations

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Timing and limits of the failure detector; a death should be known to all nodes within about 3 s."""

    probe_period_s: float = 0.5
    direct_timeout_s: float = 0.2
    """Time without an acknowledgement after which indirect probes are requested. The rest of the probe period
    suffices for a helper's round trip."""
    helpers: int = 3
    """Nodes asked for an indirect probe (k in SWIM). SWIM, section 5, uses small values; Lifeguard's
    evaluation uses 3."""
    suspicion_min_s: float = 1.0
    suspicion_max_s: float = 1.6
    suspicion_confirmations: int = 3
    """Accusers after the first with which a suspicion times out after ``suspicion_min_s``; without any it
    times out after ``suspicion_max_s`` (Lifeguard, section III-B)."""
    health_max: int = 8
    """Maximum of the local health score (S in Lifeguard, section III-A, which uses 8)."""
    gossip_period_s: float = 0.2
    gossip_fanout: int = 3
    small_fleet_max: int = 24
    """Number of present nodes above which one of ``gossip_fanout`` targets is in another zone, and number of
    known nodes above which changes of the view are published in batches."""
    batch_s_per_node: float = 0.0005
    """Minimum interval between published views, per known node, since a published view costs the other
    components work for every node of the fleet. At 200 nodes it is 0.1 s."""
    updates_per_message: int = 6
    retransmit_factor: int = 3
    """An update is sent this number of times the binary logarithm of the fleet size, rounded up (SWIM,
    section 4.1)."""
    duplicate_transmissions: int = 1
    """Transmissions by this node that one copy of a queued record from a peer counts as."""
    sync_period_s: float = 10.0
    """Mean interval of anti-entropy exchanges."""
    sync_again_s: float = 1.0
    """Mean delay of the next exchange after one that brought updates: a node that joins a starting fleet
    doesn't learn all of it in one exchange."""
    join_retry_s: float = 0.15
    """Interval of join requests; a seed may begin to listen up to a second after this node's start."""
    seed_period_s: float = 3.0
    """Interval at which a node sends a join request to an absent seed. In a partition of many nodes, one of
    them soon does."""
    pause_s: float = 1.0
    """Gap between two handled events that counts as a pause of the process. A gap of this length, twice the
    probe period, has no other cause."""
    outcome_window: int = 8
    """Number of this node's latest probe outcomes that are kept. If most of those since a suspicion began are
    failures, this node doesn't declare the death."""
    forget_dead_s: float = 600.0
    """Time after which the record of a dead node is removed."""
    forget_left_s: float = 60.0
    """Time after which the record of a node that left is removed."""
    tombstones_max: int = 4096
    remembered_wait_s: float = 3.0
    """Time after the start during which a node proposes no commands while a remembered peer is missing."""
    remembered_contacts: int = 4
    """Missing peers that get a join request at a time."""
    remember_period_s: float = 2.0
    """Time within which changes of the fleet are written to disk together."""


class ContactSettings(msgspec.Struct, frozen=True):
    """Timing of the contact rule; a partitioned node should detect that it is cut off within about 1.5 s."""

    evidence_s: float = 1.5
    """Time for which evidence of contact counts."""
    heartbeat_period_s: float = 0.4
    direct_nodes_max: int = 24
    """Number of known nodes up to which each node sends heartbeats to every other node. Their payload
    per node grows with the number of nodes, from 660 B/s at 12 to 2,100 B/s at 36."""
    beacon_period_s: float = 0.25
    beacon_timeout_s: float = 0.4
    """Time without a beacon after which freshness vectors are sent: one beacon was lost and not replaced."""
    gossip_period_s: float = 0.2
    gossip_fanout: int = 3
    relay_fanout: int = 6
    ask_controllers_s: float = 1.0
    """Age of the newest evidence from which a node of a large fleet sends the controllers heartbeats itself.
    With a leader beacons keep it below this."""
    pause_s: float = 0.7
    quarantine_s: float = 0.3
    """Time after a pause in which relayed evidence is ignored, since it may have waited in socket buffers."""
    settle_s: float = 30.0
    """Time of uninterrupted contact after a node's death until that node no longer counts as known."""
