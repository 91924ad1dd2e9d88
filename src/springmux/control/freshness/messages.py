"""Messages by which a proof of freshness goes from node to node."""

from __future__ import annotations

from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import PeerMessage


class FreshnessRequest(PeerMessage, frozen=True, tag="AskFreshness"):
    """Ask a node how old its proof is. ``request`` tells answers apart."""

    request: int


class FreshnessReply(PeerMessage, frozen=True, tag="FreshnessTold"):
    """Answer to :class:`FreshnessRequest`.

    Everything acknowledged up to ``age_ms`` before this was sent is in ``revision``. ``age_ms`` is -1 where
    the node has no proof.
    """

    request: int
    age_ms: int
    revision: Revision


MESSAGES: tuple[type[PeerMessage], ...] = (FreshnessRequest, FreshnessReply)
