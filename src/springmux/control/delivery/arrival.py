"""By which way a newer control state came to a node, and since when the node knew that it was behind."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import Revision


class DeliveryWay(enum.StrEnum):
    """How commands reach a node."""

    REPLICA = "replica"
    """The own replica committed them, or had them on disk."""
    PUSH = "push"
    """The leader sent them through the relay tree."""
    TRANSFER = "transfer"
    """They were fetched from a peer that was ahead."""


class Arrival(msgspec.Struct, frozen=True):
    """``behind_since``: monotonic time at which the node first heard of a revision that it lacked."""

    way: DeliveryWay
    behind_since: float


class ArrivalWatch:
    """Tells the newest arrival. A node that hears of no newer revision doesn't know that it is behind."""

    def __init__(self) -> None:
        self.newest: Arrival | None = None
        self._behind_since: float | None = None

    def heard(self, revision: Revision, own: Revision, now: float) -> None:
        """Take note of a revision that a peer has."""
        if revision > own and self._behind_since is None:
            self._behind_since = now

    def arrived(self, way: DeliveryWay, is_newest: bool, now: float) -> None:
        """Take note of new commands.

        :param is_newest: whether no newer revision was heard of.
        """
        since = self._behind_since if self._behind_since is not None else now
        self.newest = Arrival(way, since)
        self._behind_since = None if is_newest else now
