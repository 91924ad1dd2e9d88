"""Whether a node takes requests, and if not, why: stopping, cut off, or without the newest state."""

from __future__ import annotations

from springmux.agent.applying import StateApplier
from springmux.agent.components import NodeComponents
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import NEVER

STARTING = "starting"
STOPPING = "stopping"
CUT_OFF = "cut off"
JOINING = "joining the fleet"
FETCHING = "fetching the newest control state and directory"
UNREADABLE = "the control state needs a newer program"
CATCH_UP_LIMIT_S = 2.0
"""How long a node that was cut off waits for the leader's word and for a peer's newer state: there may be no
leader, and who had the state may be gone. A fleet without a leader goes on with its last state."""


class Readiness:
    """The answer as of the last look."""

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
        """Whether new requests are taken."""
        return not self.reason

    def look_at_contact(self, now: float) -> bool:
        """Find out whether the node is cut off; ``True`` if that changed. Comes before :meth:`look`."""
        was_connected = self.connected
        self.connected = self._components.contact.connected(now)
        if self.connected == was_connected:
            return False
        if self.connected:
            self._missed_up_to = self._components.delivery.newest_observed
            self._catch_up_until = now + CATCH_UP_LIMIT_S
            self._was_connected = True
        return True

    def look(self, now: float) -> bool:
        """Find the present answer; ``True`` if it changed."""
        reason = self._find_reason(now)
        changed = reason != self.reason
        self.reason = reason
        return changed

    def _find_reason(self, now: float) -> str:
        if self.stopping:
            return STOPPING
        if self._applier.unreadable:
            return UNREADABLE
        if not self.connected:
            return CUT_OFF if self._was_connected else JOINING
        return "" if self._has_newest_state(now) else FETCHING

    def _has_newest_state(self, now: float) -> bool:
        """Whether what was acknowledged before this start, or while cut off, is in force, not only received,
        and the back ends that drained or left meanwhile are known.

        A large command that comes later doesn't count: it is parsed on all nodes at once, and a fleet
        that refuses everything meanwhile would be worse than the last state for a second more.
        """
        confirmed = self._components.delivery.confirmed
        revision = self._applier.state.view().revision
        if confirmed is None or revision < confirmed:
            return False
        if self._components.directory.catching_up(now):
            return False
        caught_up = revision >= self._missed_up_to and not self._components.delivery.confirming
        return caught_up or now >= self._catch_up_until
