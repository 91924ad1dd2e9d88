"""Check that one of several concurrent orders wins, and that a resent order gets the same reply."""

from __future__ import annotations

from springmux.control.commands import ApplyConfiguration, CommandResult, Outcome
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History
from springmux.vocabulary.errors import Fate
from springmux.vocabulary.names import OrderId


class OrdersChecker:
    """Compares all replies that operators received from nodes."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return versions with two winners, changed replies, and rejected orders that were decided."""
        return [*self._two_winners(), *self._changed_replies(), *self._refused_but_decided()]

    def _two_winners(self) -> list[Violation]:
        commands = {each.command.order: each.command for each in self._history.ordered}
        winners: dict[int, OrderId] = {}
        found = []
        for seen in self._history.orders:
            command = commands[seen.order]
            if not isinstance(command, ApplyConfiguration) or not _accepted(seen.result):
                continue
            winner = winners.setdefault(command.version, seen.order)
            if winner != seen.order:
                text = f"orders {winner} and {seen.order} were both accepted as version {command.version}"
                found.append(Violation("one winner", seen.at, (seen.node,), text))
        return found

    def _changed_replies(self) -> list[Violation]:
        first: dict[OrderId, CommandResult] = {}
        found = []
        for seen in self._history.orders:
            if seen.result is None:
                continue
            before = first.setdefault(seen.order, seen.result)
            if (before.outcome, before.revision) != (seen.result.outcome, seen.result.revision):
                text = (
                    f"the reply to order {seen.order} was {before.outcome} at {before.revision}, then"
                    f" {seen.result.outcome} at {seen.result.revision}"
                )
                found.append(Violation("same answer again", seen.at, (seen.node,), text))
        return found

    def _refused_but_decided(self) -> list[Violation]:
        """Return the orders that were decided although every attempt to send them was rejected.

        An order counts only if each of its attempts got a reply.
        """
        sent: dict[OrderId, int] = {}
        for each in self._history.ordered:
            sent[each.command.order] = sent.get(each.command.order, 0) + 1
        refused: dict[OrderId, int] = {}
        decided: dict[OrderId, float] = {}
        for seen in self._history.orders:
            if seen.error is not None and seen.error.fate is Fate.REFUSED:
                refused[seen.order] = refused.get(seen.order, 0) + 1
            if seen.result is not None:
                decided[seen.order] = seen.at
        return [
            Violation("refused orders never run", at, (), f"order {order} was rejected, but it was decided")
            for order, at in sorted(decided.items())
            if refused.get(order, 0) >= sent[order]
        ]


def _accepted(result: CommandResult | None) -> bool:
    return result is not None and result.outcome is Outcome.ACCEPTED
