"""Peer messages of the fleet-wide quota. Counts are cumulative, so loss and duplication are harmless."""

from __future__ import annotations

import msgspec

from springmux.coordination.state_machine import PeerMessage


class AccountDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one node for one account. ``spent`` grows within an incarnation, except for refunds.

    ``spent``: total tokens including reservations, less refunds. ``requested``: tokens that the node needs
    beyond them; fewer than ``minimum`` (the size of a request) are useless to it. ``acknowledged``: value of
    ``spent`` to which an owner last replied. ``self_granted``: tokens that the node granted itself since
    then. ``unspent``: its remaining tokens. An owner that doesn't know the node yet uses these three.
    ``rejected``: size of the largest request that awaits the owner's reply, 0 if there is none.
    """

    account: str
    spent: float
    requested: float
    minimum: float = 0.0
    acknowledged: float = 0.0
    self_granted: float = 0.0
    unspent: float = 0.0
    rejected: float = 0.0


class AccountGrant(msgspec.Struct, frozen=True, array_like=True):
    """The owner's grant to one node for one account: ``spent`` may grow up to ``limit`` within the lease.

    ``rate``: this node's share of the quota in tokens/s. ``available``: tokens that no node has requested.
    ``reclaiming``: tokens for the pending request are being reclaimed from other nodes, so request again.
    """

    account: str
    limit: float
    rate: float
    available: float
    reclaiming: bool = False


class QuotaRequest(PeerMessage, frozen=True, tag="QuotaAsk"):
    """A node's demand for its active accounts of one owner.

    Within an ``incarnation``, only the request with the highest ``sequence`` is valid.
    """

    incarnation: int
    sequence: int
    demands: tuple[AccountDemand, ...]


class QuotaReply(PeerMessage, frozen=True, tag="QuotaShare"):
    """The owner's reply to the request with the same ``incarnation`` and ``sequence``."""

    incarnation: int
    sequence: int
    grants: tuple[AccountGrant, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (QuotaRequest, QuotaReply)
