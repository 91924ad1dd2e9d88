"""What all listeners of one process share."""

from __future__ import annotations

import asyncio

from springmux.node.resources.connection_limit import ConnectionShares, connection_shares
from springmux.node.resources.deferred_work import DeferredWork
from springmux.node.resources.memory_budget import MemoryBudget, budget_bytes

DEFAULT_MEMORY_MB = 200.0
DEFAULT_MAX_DESCRIPTORS = 4100


class ProcessResources:
    """The budgets of a process. Needs a running event loop.

    :param memory_mb: memory that the process may use, in megabytes.
    :param max_descriptors: descriptors that it may open.
    """

    def __init__(
        self, memory_mb: float = DEFAULT_MEMORY_MB, max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    ) -> None:
        loop = asyncio.get_running_loop()
        self.memory = MemoryBudget(budget_bytes(memory_mb), loop.time)
        self.deferred_work = DeferredWork()
        self.connections: ConnectionShares = connection_shares(max_descriptors)

    def metric_values(self) -> dict[tuple[str, ...], float]:
        """Return the values of :data:`springmux.node.metrics.registry.METRICS` that this object knows."""
        return {
            ("connection_held_bytes",): self.memory.held_bytes,
            ("connection_yields_total",): self.memory.yielded,
        }
