"""Settings of the replicated log: times in seconds, sizes in bytes."""

from __future__ import annotations

import msgspec

_KIB = 1024
_MIB = 1024 * _KIB


class ConsensusSettings(msgspec.Struct, frozen=True):
    """Tunable bounds of a replica. All replicas of a group should use the same values."""

    controllers_expected: int = 3
    """How many replicas found a group together."""
    voters_desired: int = 3
    """How many voters the leader keeps; further replicas are learners."""
    may_found: bool = True
    """Whether a replica without a group may help to found one. ``False``: it only ever joins."""
    heartbeat_s: float = 0.1
    election_timeout_min_s: float = 0.6
    """Also the time for which a replica that heard a leader rejects votes for another one."""
    election_timeout_max_s: float = 1.2
    """Also the time after which a leader without a majority steps down."""
    first_election_min_s: float = 0.15
    """A replica that heard no leader since its start requests pre-votes after this, and again while nobody
    replies. A pre-vote changes nothing at the voters, and those that hear a leader reject it."""
    first_election_max_s: float = 0.45
    lost_after_s: float = 30.0
    """A voter that the leader hasn't heard for so long may be replaced by a learner, and becomes one."""
    superseded_after_s: float = 0.5
    """The same for a voter whose node came back under a new identity: it is gone for good."""
    learner_removed_after_s: float = 30.0
    """A learner that the leader hasn't heard for so long is no member any more."""
    max_append_bytes: int = 512 * _KIB
    """Entries in one message, except for a single larger entry."""
    max_entry_bytes: int = 12 * _MIB
    """Largest command: a configuration of 8 MiB in its encoded form, with room."""
    max_inflight_messages: int = 64
    max_inflight_bytes: int = 4 * _MIB
    max_uncommitted_bytes: int = 64 * _MIB
    resend_after_s: float = 0.4
    """Time after which unacknowledged entries are sent again; doubles up to ``resend_max_s``."""
    resend_max_s: float = 5.0
    slowest_link_bytes_s: float = 4.0 * _MIB
    """Lengthens ``resend_after_s`` by the time that the bytes in flight take on a slow link."""
    snapshot_entries: int = 4096
    snapshot_bytes: int = 32 * _MIB
    snapshot_retry_s: float = 10.0
    kept_entries: int = 512
    """Entries that compaction keeps before the snapshot for slow followers, within ``kept_bytes``."""
    kept_bytes: int = 8 * _MIB
    chunk_bytes: int = 256 * _KIB
    promotion_lag_entries: int = 64
    """A learner that lacks at most so many entries counts as caught up."""
    disk_retry_s: float = 0.5
    """How often a replica with a full disk tries again."""
    founding_promise_s: float = 3.0
    founding_retry_s: float = 1.0
    """Also the time between the first sight of candidates and the first try."""
    founding_abandon_s: float = 20.0
    """A replica of a group that never elected anyone gives it up after one to two times this."""
    join_retry_s: float = 0.3
