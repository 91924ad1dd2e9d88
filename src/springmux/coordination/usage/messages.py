"""Peer messages of the usage exchange. Figures are cumulative, so that loss makes nothing wrong for long.

They are the most frequent messages of a busy fleet, so they have short tags on the wire.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage


class AccountUse(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One account at one node: tokens admitted in all since its start, and tokens/s asked for lately.

    ``level``: the fleet's bucket as the sender sees it. ``recent``: tokens admitted in the last seconds, for
    readers that have no earlier figure of ``admitted``; told while the account is newly in use.
    """

    account: str
    admitted: int
    demand: int
    level: int
    recent: int = 0


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests and prompt tokens that the sender has at an engine now."""

    engine: str
    requests: float
    prompt_tokens: float


class UsageReport(PeerMessage, frozen=True, tag="use"):
    """Accounts and engines that changed at the sender. ``incarnation`` is drawn anew at each start.

    An empty one is an answer: the sender is there and has nothing new.
    """

    incarnation: int
    sequence: int
    accounts: tuple[AccountUse, ...] = ()
    engines: tuple[EngineLoad, ...] = ()


class AccountTotal(msgspec.Struct, frozen=True, array_like=True):
    """One account in the fleet: level of its bucket and tokens/s asked for at all nodes."""

    account: str
    level: int
    demand: int


class UsageTotals(PeerMessage, frozen=True, tag="sum"):
    """A collector's sums. ``included``: sequence of the receiver's last report that they hold, 0 if none.

    ``incarnation`` and ``number``: the collector's life, and a number that rises with each of its totals.
    """

    included: int
    accounts: tuple[AccountTotal, ...] = ()
    engines: tuple[EngineLoad, ...] = ()
    collector: NodeId = NodeId("")
    incarnation: int = 0
    number: int = 0

    def holding(self, sequence: int) -> UsageTotals:
        """Return the same sums for the node whose reports they hold up to ``sequence``."""
        return msgspec.structs.replace(self, included=sequence)


class ZoneTotals(PeerMessage, frozen=True, tag="zone-sum"):
    """Totals for a whole zone: its receiver passes them on to ``receivers``, each with its ``included``."""

    totals: UsageTotals
    receivers: tuple[tuple[NodeId, int], ...]


MESSAGES: tuple[type[PeerMessage], ...] = (UsageReport, UsageTotals, ZoneTotals)
"""Fleet-wide usage exchange. Pure."""
