"""Readiness of a node: it isn't ready while it is stopping, partitioned or without the newest state."""

from __future__ import annotations

from springmux.agent.components import NodeComponents
from springmux.agent.state_applier import StateApplier
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import NEVER

STARTING = "starting"
STOPPING = "stopping"
CUT_OFF = "cut off"
JOINING = "joining the fleet"
FETCHING = "fetching the newest control state and directory"
UNREADABLE = "the control state needs a newer program"
CATCH_UP_LIMIT_S = 2.0
"""Limit for how long a node waits after a partition for the leader's confirmation and for a peer's newer
state: there may be no leader, and the peer may be gone. A fleet without a leader continues with its last
state."""


class Readiness:
    """Readiness at the time of the last check; ``reason`` is empty while the node is ready."""

    def __init__(self, components: NodeComponents, applier: StateApplier) -> None:
        self.stopping = False
        self.connected = False
        self.reason = STARTING
        self._was_connected = False
        self._missed_up_to = Revision(0)
        self._catch_up_until = -NEVER
        self._components = components
        self._applier = applier

    @property
    def ready(self) -> bool:
        """Whether new requests are accepted."""
        return not self.reason

    def check_contact(self, now: float) -> bool:
        """Check whether the node is partitioned; return whether that changed. Call before :meth:`check`."""
        was_connected = self.connected
        self.connected = self._components.contact.connected(now)
        if self.connected == was_connected:
            return False
        if self.connected:
            self._missed_up_to = self._components.delivery.newest_observed
            self._catch_up_until = now + CATCH_UP_LIMIT_S
            self._was_connected = True
        return True

    def check(self, now: float) -> bool:
        """Check all conditions; return whether the reason changed."""
        reason = self._find_reason(now)
        changed = reason != self.reason
        self.reason = reason
        return changed

    def _find_reason(self, now: float) -> str:
        if self.stopping:
            return STOPPING
        if self._applier.unreadable_reason:
            return UNREADABLE
        if not self.connected:
            return CUT_OFF if self._was_connected else JOINING
        return "" if self._has_newest_state(now) else FETCHING

    def _has_newest_state(self, now: float) -> bool:
        """Return whether the node has caught up with what it missed before its start or while partitioned.

        The missed state must be in force, not only received, and the directory must be complete.

        A large command that arrives later doesn't make the node unready. All nodes parse it at the same
        time, and rejecting requests meanwhile would be worse than serving the last state one second
        longer.
        """
        confirmed = self._components.delivery.confirmed
        revision = self._applier.state.view().revision
        if confirmed is None or revision < confirmed:
            return False
        if self._components.directory.catching_up(now):
            return False
        caught_up = revision >= self._missed_up_to and not self._components.delivery.confirming
        return caught_up or now >= self._catch_up_until
