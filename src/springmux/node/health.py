"""Liveness and readiness of the node, and whether it accepts reports of engines."""

from __future__ import annotations

from typing import Protocol

import msgspec

from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.vocabulary.errors import ApiError, ErrorCode

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
HEALTH_BODY = b"ok\n"
RETRY_AFTER_S = 1.0
"""Retry-After in seconds. An engine tries the next node first; by then this node may be ready again."""

_REPORT_REJECTION_CODES = {
    STARTING: ErrorCode.NOT_READY,
    JOINING: ErrorCode.NOT_READY,
    CUT_OFF: ErrorCode.CUT_OFF,
    STOPPING: ErrorCode.STOPPING,
}
"""Error codes for reports of engines, by the reason why the node is not ready.

For these reasons a report might reach no other node. A node that is only fetching the control state forwards
reports and has no entry.
"""


class ReadyAgent(Protocol):
    """Interface to the readiness of :class:`springmux.agent.agent.NodeAgent`."""

    @property
    def ready(self) -> bool:
        """Whether the node accepts requests."""

    @property
    def not_ready_reason(self) -> str:
        """Why the node isn't ready; empty if it is."""


class ReadyBody(msgspec.Struct, frozen=True):
    """Response of ``GET /readyz``."""

    ready: bool
    reason: str


class NodeHealth:
    """Readiness for readiness checks. ``stopping`` is set before the agent is notified of the stop."""

    def __init__(self, agent: ReadyAgent) -> None:
        self._agent = agent
        self.stopping = False

    def readiness(self) -> ReadyBody:
        """Return whether new requests should be sent to this node, and why not."""
        if self.stopping:
            return ReadyBody(ready=False, reason=STOPPING)
        return ReadyBody(ready=self._agent.ready, reason=self._agent.not_ready_reason)

    def report_rejection(self) -> ApiError | None:
        """Return the error response to an engine's report if it might reach no other node, else ``None``."""
        code = _REPORT_REJECTION_CODES.get(self.readiness().reason)
        if code is None:
            return None
        text = f"not heard: this node is {self.readiness().reason}; tell another one"
        return ApiError(code=code, message=text, status=503, retry_after_s=RETRY_AFTER_S)
