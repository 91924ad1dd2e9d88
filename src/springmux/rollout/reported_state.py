"""State of a rollout as reported to operators: running, done or aborted."""

from __future__ import annotations

import enum

from springmux.rollout.plan import RolloutPhase, RolloutRecord

DONE_SETTLE_S = 0.4
"""Time between applying the *done* record and reporting *done*. The old engines stop without draining as soon
as *done* is reported, so every node must send to the new version by then. A committed change reaches
connected nodes within some tenths of a second (by push, or by a fetch of nodes that are behind), and prompts
already under way to an old engine have this time to end."""


class RolloutState(enum.StrEnum):
    """A rollout as operators see it."""

    RUNNING = "running"
    DONE = "done"
    ABORTED = "aborted"


def may_report_done(record: RolloutRecord, since: float, now: float) -> bool:
    """Return whether *done* may be reported.

    :param since: when this node applied ``record``, on the clock of ``now`` (seconds, monotonic).
    """
    return record.phase is RolloutPhase.DONE and now - since >= DONE_SETTLE_S


def state_of(record: RolloutRecord, confirmed: bool) -> RolloutState:
    """Return the state to report.

    An abort is reported without delay, since the new engines drain after it. A paused rollout is running.

    :param confirmed: whether *done* may be reported, see :func:`may_report_done`.
    """
    if record.phase is RolloutPhase.ABORTED:
        return RolloutState.ABORTED
    if record.phase is RolloutPhase.DONE and confirmed:
        return RolloutState.DONE
    return RolloutState.RUNNING
