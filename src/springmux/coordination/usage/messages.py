"""Peer messages of the usage exchange.

Counts are cumulative, so the next message makes up for a lost one. These are the most frequent messages of a
busy fleet, so their tags on the wire are short.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage


class AccountUse(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Usage of one account at one node.

    ``admitted``: tokens admitted since the node's start. ``demand``: current demand in tokens/s. ``level``:
    the sender's estimate of the fleet's bucket. ``recent``: tokens admitted in the last seconds, for
    receivers without an earlier value of ``admitted``; sent while the account is newly in use.
    """

    account: str
    admitted: int
    demand: int
    level: int
    recent: int = 0


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """The sender's current load at an engine: requests in flight, and their prompt tokens in prefill."""

    engine: str
    requests: float
    prompt_tokens: float


class UsageReport(PeerMessage, frozen=True, tag="use"):
    """Accounts and engines that changed at the sender. ``incarnation`` is drawn at random at each start.

    An empty report is a reply, which shows that the sender is alive.
    """

    incarnation: int
    sequence: int
    accounts: tuple[AccountUse, ...] = ()
    engines: tuple[EngineLoad, ...] = ()


class AccountTotal(msgspec.Struct, frozen=True, array_like=True):
    """One account in the fleet: level of its bucket, and demand (tokens/s) at all nodes."""

    account: str
    level: int
    demand: int


class UsageTotals(PeerMessage, frozen=True, tag="sum"):
    """A collector's sums over all nodes.

    ``included``: sequence of the receiver's last report that the sums include, 0 if there is none.
    ``incarnation`` and ``number``: the collector's incarnation, and a counter of its totals within it.
    """

    included: int
    accounts: tuple[AccountTotal, ...] = ()
    engines: tuple[EngineLoad, ...] = ()
    collector: NodeId = NodeId("")
    incarnation: int = 0
    number: int = 0

    def with_included(self, sequence: int) -> UsageTotals:
        """Return the same sums for a receiver whose reports up to ``sequence`` are included."""
        return msgspec.structs.replace(self, included=sequence)


ZoneReceiver = tuple[NodeId, int]
"""A node that receives forwarded totals, and the sequence of its last report that they include."""


class ZoneTotals(PeerMessage, frozen=True, tag="zone-sum"):
    """Totals for a zone: the relay forwards them to ``receivers``, each with its own ``included``."""

    totals: UsageTotals
    receivers: tuple[ZoneReceiver, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (UsageReport, UsageTotals, ZoneTotals)
"""Messages that nodes send to each other in the usage exchange."""
