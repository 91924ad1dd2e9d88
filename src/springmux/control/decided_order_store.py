"""Results of decided orders in the control state, kept separately for operators and for the leader."""

from __future__ import annotations

from springmux.control.commands import AnyCommand, ApplyGateway, CommandResult, Outcome
from springmux.control.order_window import DecidedOrder, OrderWindow, command_digest
from springmux.vocabulary.names import OrderId

SYSTEM_ISSUER = "system"
"""``issued_by`` of the leader's own commands."""
MAX_SYSTEM_ORDERS = 1000
"""The leader resends a command for seconds at most, and a rollout needs some tens of orders per minute."""


class DecidedOrderStore:
    """One window for operators and one for the leader, so that a rollout never evicts an operator's order."""

    def __init__(self, max_orders: int, max_order_bytes: int) -> None:
        self.operators = OrderWindow(max_orders, max_order_bytes)
        self.system = OrderWindow(MAX_SYSTEM_ORDERS, max_order_bytes)

    def find(self, order: OrderId) -> DecidedOrder | None:
        """Return the decided order with this id, or ``None`` if it is undecided or was evicted."""
        return self.operators.find(order) or self.system.find(order)

    def recall(self, command: AnyCommand) -> CommandResult | None:
        """Return the first result of a resent command, or ``None`` if the command must be decided."""
        found = self.find(command.order) if command.order else None
        if found is None:
            return None
        if found.digest == command_digest(command):
            return found.result
        return CommandResult(
            order=command.order,
            outcome=Outcome.CONFLICT,
            revision=found.result.revision,
            message="this order id was used for another command; take a new one",
            winner={"order": command.order, "revision": found.result.revision},
        )

    def remember(self, command: AnyCommand, result: CommandResult) -> None:
        """Store the result, unless the order was rejected and must be decided again when it is resent.

        Rejected commands of the leader and rejected gateway changes aren't stored. A rollout step that was
        rejected during a pause may become valid after it. The order id of a gateway change is a hash of its
        content, so the operator can't resend the same change under a new id.
        """
        is_system = command.issued_by == SYSTEM_ISSUER
        only_accepted = is_system or isinstance(command, ApplyGateway)
        if not command.order or (only_accepted and result.outcome is not Outcome.ACCEPTED):
            return
        window = self.system if is_system else self.operators
        window.record(command.order, command_digest(command), result)
