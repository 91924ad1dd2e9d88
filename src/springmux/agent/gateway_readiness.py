"""Readiness of a node for gateway requests.

Unlike in :mod:`springmux.agent.readiness`, contact with a majority isn't required: the gateway continues
with the last configuration. A node is ready as soon as it has one that isn't known to be older than what
peers announced, and it stays ready until it stops.
"""

from __future__ import annotations

from springmux.agent.components import NodeComponents
from springmux.agent.state_applier import StateApplier
from springmux.coordination.state_machine import NEVER

STARTING = "starting"
STOPPING = "stopping"
UNREADABLE = "the control state needs a newer program"
NO_CONFIGURATION = "no configuration of the gateway is known yet"
OLDER_STATE = "fetching a newer control state that a peer announced"
FETCHING_ENGINES = "fetching the directory of engines"
DIRECTORY_LIMIT_S = 1.5
"""Limit for how long a node that has a configuration waits for the directory: the peers that have it may be
gone, and engines that send heartbeats are known within a second."""
NEWER_STATE_LIMIT_S = 3.0
"""Limit for how long a node that has a configuration waits for a newer state that a peer announced: the peer
may be gone."""


class GatewayReadiness:
    """Readiness at the time of the last check; ``reason`` is empty while the node is ready."""

    def __init__(self, components: NodeComponents, applier: StateApplier) -> None:
        self.reason = STARTING
        self._components = components
        self._applier = applier
        self._configured_at: float | None = None
        self._was_ready = False
        self._check_again_at = NEVER

    @property
    def ready(self) -> bool:
        """Whether requests to the gateway are accepted."""
        return not self.reason

    def check(self, stopping: bool, caught_up: bool, now: float) -> bool:
        """Check all conditions; return whether the reason changed.

        :param caught_up: whether the directory is complete: this node has been in contact, and a peer
            confirmed it.
        """
        reason = self._find_reason(stopping, caught_up, now)
        changed = reason != self.reason
        self.reason = reason
        limit_s = {OLDER_STATE: NEWER_STATE_LIMIT_S, FETCHING_ENGINES: DIRECTORY_LIMIT_S}.get(reason)
        since = self._configured_at
        self._check_again_at = NEVER if limit_s is None or since is None else since + limit_s
        return changed

    def next_deadline(self) -> float:
        """Return when readiness may change without an event."""
        return self._check_again_at

    def _find_reason(self, stopping: bool, caught_up: bool, now: float) -> str:
        if stopping:
            return STOPPING
        if self._applier.unreadable_reason:
            return UNREADABLE
        if self._was_ready:
            return ""
        view = self._applier.state.view()
        if view.gateway.version <= 0:
            return NO_CONFIGURATION
        if self._configured_at is None:
            self._configured_at = now
        older = view.revision < self._components.delivery.newest_observed
        if older and now < self._configured_at + NEWER_STATE_LIMIT_S:
            return OLDER_STATE
        if not caught_up and now < self._configured_at + DIRECTORY_LIMIT_S:
            return FETCHING_ENGINES
        self._was_ready = True
        return ""
