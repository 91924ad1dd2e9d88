"""Records how newer control state reached a node, and since when the node had known that it was behind."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import Revision


class DeliveryMethod(enum.StrEnum):
    """How committed commands reach a node."""

    REPLICA = "replica"
    """The node's own replica committed the commands, or recovered them from disk."""
    PUSH = "push"
    """The leader pushed the commands through the relay tree."""
    TRANSFER = "transfer"
    """The node fetched the commands from a peer that was ahead."""


class Arrival(msgspec.Struct, frozen=True):
    """The newest delivery of commands.

    ``behind_since``: monotonic time at which the node first learned of a revision that it lacked.
    """

    method: DeliveryMethod
    behind_since: float


class ArrivalTracker:
    """Tracks the newest arrival.

    A node counts as behind from the moment at which it learns of a newer revision, not from its commit.
    """

    def __init__(self) -> None:
        self.newest: Arrival | None = None
        self._behind_since: float | None = None

    def observe_revision(self, revision: Revision, own: Revision, now: float) -> None:
        """Record that a peer has ``revision``, while this node has ``own``."""
        if revision > own and self._behind_since is None:
            self._behind_since = now

    def record_arrival(self, method: DeliveryMethod, is_newest: bool, now: float) -> None:
        """Record that new commands were applied.

        :param is_newest: whether no newer revision is known.
        """
        since = self._behind_since if self._behind_since is not None else now
        self.newest = Arrival(method, since)
        self._behind_since = None if is_newest else now
