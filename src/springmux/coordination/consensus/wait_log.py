"""Log lines that say what a replica without a group waits for, at most one a second."""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.state_machine import LogLevel, LogLine

LOG_PERIOD_S = 1.0
REPEAT_PERIOD_S = 10.0
"""An unchanged reason is logged again after this time."""


class WaitLog:
    """Logs a reason to wait when it is new, and rarely while it stays."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._reason = ""
        self._logged_at = -REPEAT_PERIOD_S

    def record(self, reason: str, **fields: object) -> None:
        """Log ``reason`` if it is due.

        :param fields: details that don't make the reason a new one.
        """
        now = self._core.now
        period_s = REPEAT_PERIOD_S if reason == self._reason else LOG_PERIOD_S
        if now - self._logged_at < period_s:
            return
        self._reason = reason
        self._logged_at = now
        self._core.emit(LogLine("founding_waits", LogLevel.INFO, {"reason": reason, **fields}))
