"""A connection of an operator or engine to the admin listener."""

from __future__ import annotations

from typing import Any

from springmux.node.client.limited_protocol import LimitedProtocol
from springmux.node.client.protocol import quiet_logger
from springmux.node.client.response_writer import ResponseWriter
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.memory_budget import MemoryClass
from springmux.node.resources.process_resources import ProcessResources
from springmux.vocabulary.errors import ApiError, ErrorCode


class AdminProtocol(LimitedProtocol):
    """One connection to the admin listener."""

    memory_class = MemoryClass.FLEET

    __slots__ = ("_node",)

    def __init__(
        self, manager: Any, node: str, resources: ProcessResources, connections: ConnectionLimit
    ) -> None:
        super().__init__(manager, resources, connections, access_log=None, logger=quiet_logger)
        self._node = node

    def refuse_overload(self, message: str) -> None:
        """Respond 503, which promises that the order was not taken, and close."""
        error = ApiError(
            code=ErrorCode.OVERLOADED, message=message, status=503, node=self._node, retry_after_s=1.0
        )
        ResponseWriter(self, keep_alive=False, http_1_1=True, head_only=False).error(error)
        self.force_close()
