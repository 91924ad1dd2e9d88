"""Messages that pass proofs of freshness between nodes."""

from __future__ import annotations

from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import PeerMessage


class FreshnessRequest(PeerMessage, frozen=True, tag="AskFreshness"):
    """Request the age of a node's proof. ``request`` matches the reply."""

    request: int


class FreshnessReply(PeerMessage, frozen=True, tag="FreshnessTold"):
    """Reply to :class:`FreshnessRequest`.

    Everything acknowledged up to ``age_ms`` before this was sent is in ``revision``. ``age_ms`` is -1 where
    the node has no proof.
    """

    request: int
    age_ms: int
    revision: Revision


MESSAGES: tuple[type[PeerMessage], ...] = (FreshnessRequest, FreshnessReply)
