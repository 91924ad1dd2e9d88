"""What operators are told of a rollout: running, done or aborted."""

from __future__ import annotations

import enum

from springmux.rollout.planning.plan import RolloutPhase, RolloutRecord

DONE_SETTLE_S = 0.4
"""The old engines stop at once when *done* is told, without draining. By then every node must send to the
new version: a committed change reaches nodes in touch within some tenths of a second (push, and a fetch by
whoever is behind), and prompts already under way to an old engine have this long to end."""


class RolloutState(enum.StrEnum):
    """A rollout as operators see it."""

    RUNNING = "running"
    DONE = "done"
    ABORTED = "aborted"


def told_done(record: RolloutRecord, since: float, now: float) -> bool:
    """Say whether *done* may be told.

    :param since: when this node put ``record`` in force, on the clock of ``now`` (seconds, monotonic).
    """
    return record.phase is RolloutPhase.DONE and now - since >= DONE_SETTLE_S


def state_of(record: RolloutRecord, confirmed: bool) -> RolloutState:
    """Return what operators are told.

    An abort is told at once, since the new engines drain after it. A paused rollout is running.

    :param confirmed: whether *done* may be told, see :func:`told_done`.
    """
    if record.phase is RolloutPhase.ABORTED:
        return RolloutState.ABORTED
    if record.phase is RolloutPhase.DONE and confirmed:
        return RolloutState.DONE
    return RolloutState.RUNNING
