"""Messages by which nodes request and report the age of their proofs of freshness."""

from __future__ import annotations

from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import PeerMessage


class FreshnessRequest(PeerMessage, frozen=True, tag="AskFreshness"):
    """Requests the age of a node's proof. The reply carries the same ``request`` number."""

    request: int


class FreshnessReply(PeerMessage, frozen=True, tag="FreshnessTold"):
    """Reply to :class:`FreshnessRequest`.

    ``revision`` includes everything acknowledged up to ``age_ms`` milliseconds before the reply was sent.
    ``age_ms`` is -1 if the sender has no proof.
    """

    request: int
    age_ms: int
    revision: Revision


MESSAGES: tuple[type[PeerMessage], ...] = (FreshnessRequest, FreshnessReply)
