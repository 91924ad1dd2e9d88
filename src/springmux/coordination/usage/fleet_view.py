"""A node's view of the fleet for quota decisions."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import NodeId


class FleetView(msgspec.Struct, frozen=True):
    """The fleet's size and reachability, and the share of each limit that is available to this node's side.

    ``size``: nodes in the fleet. ``share``: fraction of each limit that this side of a partition may spend.
    ``unresponsive``: peers that may be partitioned away, with the time since when; each of them is assumed to
    spend ``1 / size`` of the rate. ``horizon_s``: time after which all nodes know of a spent token.
    ``report_interval_s``: time between a peer's reports. ``starting``: this node doesn't know yet what the
    others have spent.
    """

    size: int
    share: float
    unresponsive: Mapping[NodeId, float]
    horizon_s: float
    report_interval_s: float
    starting: bool = False
