"""Settings of membership and of the contact rule."""

from __future__ import annotations

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Timing and bounds of the failure detector; death is to be known within about 3 s."""

    probe_period_s: float = 0.5
    direct_timeout_s: float = 0.2
    """A helper's round trip still fits into the rest of the probe period."""
    helpers: int = 3
    """SWIM, section 5, uses small k; Lifeguard's evaluation uses 3."""
    suspicion_min_s: float = 1.0
    suspicion_max_s: float = 1.6
    suspicion_confirmations: int = 3
    health_max: int = 8
    """Lifeguard, section III-A: S = 8."""
    gossip_period_s: float = 0.2
    gossip_fanout: int = 3
    small_fleet_max: int = 24
    """With more present nodes than this, one of ``gossip_fanout`` targets is in another zone, and changes of
    the view are published in batches."""
    batch_s_per_node: float = 0.0005
    """Each published view costs the node's other components work for every node of the fleet."""
    updates_per_message: int = 6
    retransmit_factor: int = 3
    duplicate_transmissions: int = 1
    """A record that a peer sends too counts as so many further transmissions by this node."""
    sync_period_s: float = 10.0
    sync_again_s: float = 1.0
    """After an exchange that brought updates: a joiner of a starting fleet doesn't know all of it at once."""
    join_retry_s: float = 0.15
    """A seed may begin to listen up to a second after this node's start."""
    seed_period_s: float = 3.0
    """How often a node asks an absent seed; of the many nodes of a partition, one soon does."""
    pause_s: float = 1.0
    """A gap between two handled events of twice the probe period can only be a pause of the process."""
    outcome_window: int = 8
    """Own last probes; if most since a suspicion began failed, this node doesn't declare a death."""
    forget_dead_s: float = 600.0
    forget_left_s: float = 60.0
    tombstones_max: int = 4096
    remembered_wait_s: float = 3.0
    """How long after its start a node acknowledges nothing while a remembered peer is missing."""
    remembered_contacts: int = 4
    """Missing peers that are asked at a time."""
    remember_period_s: float = 2.0
    """Changes of the fleet within this time are written to disk together."""


class ContactSettings(msgspec.Struct, frozen=True):
    """Timing of the contact rule; a partitioned node is to know within about 1.5 s."""

    evidence_s: float = 1.5
    heartbeat_period_s: float = 0.4
    direct_nodes_max: int = 24
    """Up to here each node sends heartbeats to each other node, at a cost that grows with their number."""
    beacon_period_s: float = 0.25
    beacon_timeout_s: float = 0.4
    """One beacon missed and not made up for: freshness vectors begin."""
    gossip_period_s: float = 0.2
    gossip_fanout: int = 3
    relay_fanout: int = 6
    pause_s: float = 0.7
    quarantine_s: float = 0.3
    """After a pause, time to read and disregard what waited in socket buffers."""
    settle_s: float = 30.0
