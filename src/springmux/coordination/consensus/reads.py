"""Linearizable reads by ReadIndex (Ongaro 2014, section 6.4), several per heartbeat round."""

from __future__ import annotations

from springmux.coordination.consensus.core import Leadership, ReadBatch, ReplicaCore
from springmux.coordination.consensus.effects import ReadConfirmed
from springmux.coordination.consensus.replication import Replication


class Reads:
    """Confirms reads once a majority replied to a heartbeat that was sent after the reads arrived."""

    def __init__(self, core: ReplicaCore, replication: Replication) -> None:
        self._core = core
        self._replication = replication

    def on_request(self, correlation_id: str) -> None:
        """Queue a read; a replica that isn't the leader rejects it immediately."""
        leadership = self._core.leadership
        if leadership is None:
            self._core.emit(ReadConfirmed(correlation_id, None))
            return
        leadership.waiting_reads.append(correlation_id)

    def advance(self) -> None:
        """Confirm the reads of rounds that a majority answered, then start a round for the waiting reads."""
        core = self._core
        leadership = core.leadership
        if leadership is None or not core.leading:
            return
        confirmed = self._confirmed_round(leadership)
        batches = leadership.read_batches
        while batches and batches[0].round <= confirmed and core.applied_index >= batches[0].index:
            batch = batches.popleft()
            for correlation_id in batch.correlation_ids:
                core.emit(ReadConfirmed(correlation_id, batch.index))
        if leadership.waiting_reads and not batches:
            self._begin_round(leadership)
            if self._confirmed_round(leadership) >= leadership.round:
                self.advance()

    def _begin_round(self, leadership: Leadership) -> None:
        self._replication.broadcast_heartbeat()
        correlation_ids = tuple(leadership.waiting_reads)
        leadership.waiting_reads = []
        leadership.read_batches.append(ReadBatch(leadership.round, self._core.commit_index, correlation_ids))

    def _confirmed_round(self, leadership: Leadership) -> int:
        """Return the newest round to which a majority of voters, including this replica, replied."""
        members = self._core.log.members
        rounds = [
            leadership.round
            if voter.replica == self._core.replica
            else leadership.progress[voter.replica].acknowledged_round
            for voter in members.voters()
        ]
        return sorted(rounds, reverse=True)[members.quorum() - 1] if rounds else 0
