"""Leadership transfer (Ongaro 2014, section 3.10), on request and when the leader's disk is unusable."""

from __future__ import annotations

from springmux.coordination.consensus.core import Leadership, Progress, ReplicaCore
from springmux.coordination.consensus.messages import RaftTimeoutNow
from springmux.coordination.consensus.replication import Replication
from springmux.coordination.identifiers import ReplicaId
from springmux.coordination.state_machine import NEVER


class LeadershipTransfer:
    """Waits until the target has all entries, then requests that it starts an election immediately."""

    def __init__(self, core: ReplicaCore, replication: Replication) -> None:
        self._core = core
        self._replication = replication

    def begin(self, target: ReplicaId | None = None) -> None:
        """Start a transfer to ``target``, or to the most advanced voter whose disk accepts writes."""
        leadership = self._core.leadership
        if leadership is None or leadership.transfer_target is not None:
            return
        chosen = self._choose_target(leadership, target)
        if chosen is None:
            self._core.emit_log_line("transfer_without_target", target=target or "")
            return
        leadership.transfer_target = chosen.replica
        leadership.transfer_sent = False
        leadership.transfer_caused_by_disk = not self._core.durability.ready
        leadership.transfer_deadline = self._core.now + self._core.settings.election_timeout_max_s

    def deadline(self) -> float:
        """Return when the current transfer is cancelled."""
        leadership = self._core.leadership
        return leadership.transfer_deadline if leadership else NEVER

    def step(self) -> None:
        """Cancel an overdue transfer, or request the election once the target has all entries."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return
        if leadership.transfer_target is None:
            if core.durability.full or core.durability.stalled:
                self._begin_if_possible(leadership)
            return
        progress = leadership.progress.get(leadership.transfer_target)
        recovered = (
            leadership.transfer_caused_by_disk and core.durability.ready and not leadership.transfer_sent
        )
        if progress is None or recovered or core.now >= leadership.transfer_deadline:
            leadership.transfer_target = None
            leadership.transfer_deadline = NEVER
            return
        if not leadership.transfer_sent and progress.match_index == core.log.last_index:
            leadership.transfer_sent = True
            assert core.group is not None
            message = RaftTimeoutNow(core.group, core.replica, progress.replica, core.term)
            core.send(progress.node, message)

    def _begin_if_possible(self, leadership: Leadership) -> None:
        if self._choose_target(leadership, None) is not None:
            self.begin()

    def _choose_target(self, leadership: Leadership, target: ReplicaId | None) -> Progress | None:
        voters = {voter.replica for voter in self._core.log.members.voters()}
        candidates = [
            progress
            for progress in leadership.progress.values()
            if progress.replica in voters
            and progress.storage_ready
            and not progress.leaving
            and self._replication.is_reachable(progress)
            and target in (None, progress.replica)
        ]
        return max(candidates, key=lambda progress: (progress.match_index, progress.replica), default=None)
