"""Events of the freshness monitor, besides messages, ticks and ``control.events.LeadershipKnown``."""

from __future__ import annotations

from springmux.coordination.identifiers import LogIndex
from springmux.coordination.state_machine import Event


class ProofRequested(Event, frozen=True):
    """A client waits for a new proof, which the monitor then requests from the leader immediately."""


class QuorumConfirmed(Event, frozen=True):
    """A quorum confirmed that this node led at ``requested_at``, with its log committed up to ``index``."""

    requested_at: float
    index: LogIndex
