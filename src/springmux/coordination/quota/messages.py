"""Peer messages of the fleet-wide quota: cumulative figures, so that loss and doubling change nothing."""

from __future__ import annotations

import msgspec

from springmux.coordination.state_machine import PeerMessage


class AccountDemand(msgspec.Struct, frozen=True, array_like=True):
    """One account at one node; ``spent`` and ``minted`` only grow during a boot, refunds aside.

    ``spent``: tokens taken in all, reservations included, refunds deducted. ``wanted``: tokens that the
    node would like to have at hand beyond them; less than ``least`` (the size of a request) is of no
    use to it. ``acknowledged``: the part of ``spent`` that some owner
    has answered, ``minted`` what the node gave itself since then, ``held`` what it has left: these
    three matter to an owner that does not know the node yet. ``refused``: size of the largest request that
    waits for the owner's word, 0 if none does.
    """

    account: str
    spent: float
    wanted: float
    least: float = 0.0
    acknowledged: float = 0.0
    minted: float = 0.0
    held: float = 0.0
    refused: float = 0.0


class AccountGrant(msgspec.Struct, frozen=True, array_like=True):
    """The owner's answer: ``spent`` may grow up to ``limit`` within the lease.

    ``rate``: this node's part of the quota in tokens/s. ``spare``: tokens that nobody has asked for.
    ``coming``: tokens for the request that waits are being taken back from other nodes; ask again.
    """

    account: str
    limit: float
    rate: float
    spare: float
    coming: bool = False


class QuotaRequest(PeerMessage, frozen=True, tag="QuotaAsk"):
    """A node's active accounts of one owner. A later ``sequence`` of a ``boot`` replaces earlier ones."""

    boot: int
    sequence: int
    demands: tuple[AccountDemand, ...]


class QuotaReply(PeerMessage, frozen=True, tag="QuotaShare"):
    """The owner's answer to the ask with the same ``boot`` and ``sequence``."""

    boot: int
    sequence: int
    grants: tuple[AccountGrant, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (QuotaRequest, QuotaReply)
