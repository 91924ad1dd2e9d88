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
        commands = {sent_order.command.order: sent_order.command for sent_order in self._history.ordered}
        winners: dict[int, OrderId] = {}
        violations = []
        for reply in self._history.orders:
            command = commands[reply.order]
            if not isinstance(command, ApplyConfiguration) or not _accepted(reply.result):
                continue
            winner = winners.setdefault(command.version, reply.order)
            if winner != reply.order:
                text = f"orders {winner} and {reply.order} were both accepted as version {command.version}"
                violations.append(Violation("one winner", reply.at, (reply.node,), text))
        return violations

    def _changed_replies(self) -> list[Violation]:
        first: dict[OrderId, CommandResult] = {}
        violations = []
        for reply in self._history.orders:
            if reply.result is None:
                continue
            before = first.setdefault(reply.order, reply.result)
            if (before.outcome, before.revision) != (reply.result.outcome, reply.result.revision):
                text = (
                    f"the reply to order {reply.order} was {before.outcome} at {before.revision}, then"
                    f" {reply.result.outcome} at {reply.result.revision}"
                )
                violations.append(Violation("same answer again", reply.at, (reply.node,), text))
        return violations

    def _refused_but_decided(self) -> list[Violation]:
        """Return the orders that were decided although every attempt to send them was rejected.

        An order counts only if each of its attempts got a reply.
        """
        sent: dict[OrderId, int] = {}
        for sent_order in self._history.ordered:
            sent[sent_order.command.order] = sent.get(sent_order.command.order, 0) + 1
        rejections: dict[OrderId, int] = {}
        decided: dict[OrderId, float] = {}
        for reply in self._history.orders:
            if reply.error is not None and reply.error.fate is Fate.REFUSED:
                rejections[reply.order] = rejections.get(reply.order, 0) + 1
            if reply.result is not None:
                decided[reply.order] = reply.at
        return [
            Violation("refused orders never run", at, (), f"order {order} was rejected, but it was decided")
            for order, at in sorted(decided.items())
            if rejections.get(order, 0) >= sent[order]
        ]


def _accepted(result: CommandResult | None) -> bool:
    return result is not None and result.outcome is Outcome.ACCEPTED
