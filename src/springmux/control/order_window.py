"""A bounded window of the results of the newest orders, so that a resent order gets its first result."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from springmux.control.commands import (
    CONTENT_ORDER_PREFIX,
    AnyCommand,
    ApplyGateway,
    CommandResult,
    PromoteRollout,
    encode_uncompressed,
)
from springmux.rollout.plan import RolloutPlan
from springmux.vocabulary.names import OrderId, RolloutId, VersionName

DEFAULT_MAX_ORDERS = 10_000
"""At one order per second, a resent order is recognised for nearly three hours."""
DEFAULT_MAX_BYTES = 8 << 20
"""Bounds the window's size in snapshots: the errors of one rejected configuration can be hundreds of KiB."""
DIGEST_BYTES = 16
ENTRY_OVERHEAD_BYTES = 64
"""Added to the size of each encoded result, so that the bound in bytes covers the whole entry."""


class DecidedOrder(msgspec.Struct, frozen=True, array_like=True):
    """A decided order: the digest of its command and its result."""

    order: OrderId
    digest: bytes
    result: CommandResult
    size_bytes: int


def command_digest(command: AnyCommand) -> bytes:
    """Return the digest by which a command is recognised as resent.

    The digest leaves out a rollout's id and stable version: the node that accepts the order chooses them, and
    a client may resend its order to another node. It also leaves out the sender of a gateway change.
    """
    if isinstance(command, PromoteRollout):
        command = msgspec.structs.replace(command, rollout=RolloutId(""), stable=VersionName(""))
        if command.order.startswith(CONTENT_ORDER_PREFIX):
            plan = command.plan
            ordered = RolloutPlan(plan.service, plan.candidate, plan.by_s)
            command = msgspec.structs.replace(command, plan=ordered)
    elif isinstance(command, ApplyGateway):
        command = msgspec.structs.replace(command, issued_by="")
    return hashlib.blake2b(encode_uncompressed(command), digest_size=DIGEST_BYTES).digest()


class OrderWindow:
    """The newest orders, bounded in number and bytes. Every node evicts the same ones, the oldest first."""

    def __init__(self, max_orders: int = DEFAULT_MAX_ORDERS, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_orders = max_orders
        self._max_bytes = max_bytes
        self._orders: OrderedDict[OrderId, DecidedOrder] = OrderedDict()
        self._size_bytes = 0

    def find(self, order: OrderId) -> DecidedOrder | None:
        """Return the decided order with this id, or ``None`` if it is undecided or was evicted."""
        return self._orders.get(order)

    def record(self, order: OrderId, digest: bytes, result: CommandResult) -> None:
        """Store a result; evict the oldest orders while the window exceeds its bounds."""
        size_bytes = len(msgspec.msgpack.encode(result)) + ENTRY_OVERHEAD_BYTES
        self._add(DecidedOrder(order, digest, result, size_bytes))
        while len(self._orders) > self._max_orders or self._size_bytes > self._max_bytes:
            _, oldest = self._orders.popitem(last=False)
            self._size_bytes -= oldest.size_bytes

    def decided_orders(self) -> tuple[DecidedOrder, ...]:
        """Return all orders in the window, oldest first."""
        return tuple(self._orders.values())

    def replace(self, decided: Iterable[DecidedOrder]) -> None:
        """Replace all orders by those of a snapshot, oldest first."""
        self._orders.clear()
        self._size_bytes = 0
        for order in decided:
            self._add(order)

    def _add(self, decided: DecidedOrder) -> None:
        self._orders[decided.order] = decided
        self._size_bytes += decided.size_bytes
