"""Liveness and readiness of the node for both listeners, and whether it accepts engines' reports."""

from __future__ import annotations

from typing import Protocol

import msgspec

from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.vocabulary.errors import ApiError, ErrorCode

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
HEALTH_BODY = b"ok\n"
RETRY_AFTER_S = 1.0
"""An engine tries the next node at once; by then this one may be ready again."""

_REPORTS_REJECTED = {
    STARTING: ErrorCode.NOT_READY,
    JOINING: ErrorCode.NOT_READY,
    CUT_OFF: ErrorCode.CUT_OFF,
    STOPPING: ErrorCode.STOPPING,
}
"""Reasons for which an engine's report may reach no other node. A node that only fetches the control
state does pass reports on."""


class ReadyAgent(Protocol):
    """The agent's readiness."""

    @property
    def ready(self) -> bool:
        """Whether the node accepts requests."""

    @property
    def not_ready_reason(self) -> str:
        """Why the node isn't ready, empty if it is."""


class ReadyBody(msgspec.Struct, frozen=True):
    """Response of ``GET /readyz``."""

    ready: bool
    reason: str


class NodeHealth:
    """Readiness as the platform sees it. ``stopping`` is set before the agent is notified of the stop."""

    def __init__(self, agent: ReadyAgent) -> None:
        self._agent = agent
        self.stopping = False

    def readiness(self) -> ReadyBody:
        """Return whether new requests should come here."""
        if self.stopping:
            return ReadyBody(ready=False, reason=STOPPING)
        return ReadyBody(ready=self._agent.ready, reason=self._agent.not_ready_reason)

    def report_rejection(self) -> ApiError | None:
        """Return the error for an engine's report that would reach no other node, or ``None``."""
        code = _REPORTS_REJECTED.get(self.readiness().reason)
        if code is None:
            return None
        text = f"not heard: this node is {self.readiness().reason}; tell another one"
        return ApiError(code=code, message=text, status=503, retry_after_s=RETRY_AFTER_S)
