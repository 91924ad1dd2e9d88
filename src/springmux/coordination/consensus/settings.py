"""Settings of the replicated log: times in seconds, sizes in bytes."""

from __future__ import annotations

import msgspec

_KIB = 1024
_MIB = 1024 * _KIB


class ConsensusSettings(msgspec.Struct, frozen=True):
    """Tunable limits and timeouts of a replica. All replicas of a group should use the same values."""

    controllers_expected: int = 3
    """How many replicas found a group together."""
    voters_desired: int = 3
    """How many voters the leader maintains; further replicas are learners."""
    may_found: bool = True
    """Whether a replica without a group may help to found one; otherwise it can only join one."""
    heartbeat_s: float = 0.1
    """Interval between two heartbeat rounds of a leader."""
    election_timeout_min_s: float = 0.6
    """Minimum election timeout; for this long after contact with a leader, no other candidate gets a vote."""
    election_timeout_max_s: float = 1.2
    """Maximum election timeout; also the time after which a leader without a majority steps down."""
    first_election_min_s: float = 0.15
    """Minimum time after which a replica that had no leader since its start requests pre-votes.

    The requests are repeated until a voter replies. A pre-vote changes no state at the voters, and those with
    a live leader reject it.
    """
    first_election_max_s: float = 0.45
    lost_after_s: float = 30.0
    """Time without a reply after which a voter may be replaced by a learner, and then becomes a learner."""
    superseded_after_s: float = 0.5
    """The same time for a replica whose node has a new identity, so that the replica is permanently lost."""
    learner_removed_after_s: float = 30.0
    """Time without a reply after which a learner is removed from the group."""
    max_append_bytes: int = 512 * _KIB
    """Maximum size of the entries in one message, unless it holds a single larger entry."""
    max_entry_bytes: int = 12 * _MIB
    """Maximum size of a command: the encoded form of an 8 MiB configuration, with a margin."""
    max_inflight_messages: int = 64
    """Maximum number of unacknowledged append messages per follower."""
    max_inflight_bytes: int = 4 * _MIB
    """No more entries are sent to a follower while at least this many bytes are unacknowledged."""
    max_uncommitted_bytes: int = 64 * _MIB
    """Maximum size of the proposals that wait for commit; further ones are rejected."""
    resend_after_s: float = 0.4
    """Time after which unacknowledged entries are sent again; doubles up to ``resend_max_s``."""
    resend_max_s: float = 5.0
    slowest_link_bytes_s: float = 4.0 * _MIB
    """Assumed bandwidth of a slow link; the time to send the bytes in flight is added to the resend time."""
    snapshot_entries: int = 4096
    """A snapshot is taken after this many applied entries, or after ``snapshot_bytes`` of them."""
    snapshot_bytes: int = 32 * _MIB
    snapshot_retry_s: float = 10.0
    """Time after which a failed snapshot is taken again."""
    kept_entries: int = 512
    """Entries that compaction keeps before the snapshot for slow followers, within ``kept_bytes``."""
    kept_bytes: int = 8 * _MIB
    chunk_bytes: int = 256 * _KIB
    """Maximum size of a snapshot chunk."""
    promotion_lag_entries: int = 64
    """Maximum number of entries that a learner may lack and still count as caught up."""
    disk_retry_s: float = 0.5
    """Interval at which a replica with a full disk retries its write."""
    founding_promise_s: float = 3.0
    """How long a promise to a founder is valid."""
    founding_retry_s: float = 1.0
    """Minimum time between two founding attempts, and time from the first candidates to the first attempt."""
    founding_abandon_s: float = 20.0
    """A replica gives up a group that never elected a leader after one to two times this time."""
    join_retry_s: float = 0.3
    """Interval between two join requests."""
