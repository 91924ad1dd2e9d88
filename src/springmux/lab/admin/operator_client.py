"""Typed client of the admin interface for operators (docs/API.md); records every attempt of an order."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import aiohttp
import msgspec

from springmux.lab.admin.orders import Order
from springmux.lab.records import OrderRecord
from springmux.vocabulary.errors import SpringmuxError

ORDER_TIMEOUT_S = 12.0
"""Slightly above the node's own timeout of an order (10 s)."""
READ_TIMEOUT_S = 1.0
"""Reads are cheap: a node that needs longer is frozen or has stopped."""
MAX_ATTEMPTS = 8
"""Largest number of attempts of one order, each at the next node."""
RESEND_STATUSES = frozenset({0, 502, 503, 504})
"""Statuses without a response (0), or after which another node may accept the same order id."""


class OrderFailedError(SpringmuxError):
    """An order that must be accepted was not; the message contains the last response."""


class AdminNode(msgspec.Struct, frozen=True):
    """A node with its admin address."""

    node: str
    admin_address: str


class NodeState(msgspec.Struct, frozen=True):
    """The part of ``GET /v1/status`` that the lab reads."""

    node: str
    revision: int
    configuration_version: int
    leader: str | None
    leading: bool


class StatusReport(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/status``."""

    node: NodeState
    ready: bool
    reason: str


class DecisionState(msgspec.Struct, frozen=True):
    """The last decision on a rollout and its reason."""

    decided_by: str = ""
    reason: str = ""


class RolloutRecordState(msgspec.Struct, frozen=True):
    """The part of a rollout's committed record that the lab reads."""

    rollout: str
    phase: str
    weight: float
    candidate: str
    decision: DecisionState | None = None


class ConfigurationState(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/configuration`` without the document."""

    version: int
    revision: int


class _EngineRecord(msgspec.Struct, frozen=True):
    engine: str
    status: str


class _EngineEntry(msgspec.Struct, frozen=True):
    record: _EngineRecord


class _EngineList(msgspec.Struct, frozen=True):
    engines: list[_EngineEntry]


class _RolloutReport(msgspec.Struct, frozen=True):
    record: RolloutRecordState


class _Error(msgspec.Struct, frozen=True):
    code: str = ""
    fate: str = ""
    errors: list[dict[str, str]] = []


class _OrderResponse(msgspec.Struct, frozen=True):
    outcome: str = ""
    revision: int = 0
    version: int = 0
    winner: dict[str, object] | None = None
    error: _Error = _Error()


class OperatorClient:
    """Submits orders to nodes and reads their state.

    :param on_attempt: receives the record of every attempt.
    """

    def __init__(
        self, nodes: Sequence[AdminNode], on_attempt: Callable[[OrderRecord], None], operator: str = "lab"
    ) -> None:
        self.nodes = list(nodes)
        self._on_attempt = on_attempt
        self._operator = operator
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def send(self, order: Order, node: AdminNode, drop_response: bool = False) -> OrderRecord:
        """Send an order once. ``drop_response``: discard the response, as if it were lost in transit."""
        sent_at_s = time.monotonic()
        status, content = 0, _OrderResponse()
        headers = {"X-Order-Id": order.order, "X-Operator": self._operator}
        url = f"http://{node.admin_address}{order.path}"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            async with self._session.request(
                order.method, url, data=order.body, headers=headers, timeout=timeout
            ) as response:
                if not drop_response:
                    content = msgspec.json.decode(await response.read(), type=_OrderResponse)
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            status = 0
        record = OrderRecord(
            order=order.order,
            kind=order.kind,
            node=node.node,
            sent_at_s=sent_at_s,
            answered_at_s=time.monotonic(),
            status=status,
            outcome=content.outcome,
            revision=content.revision,
            version=content.version,
            code=content.error.code,
            fate=content.error.fate,
            error_paths=tuple(error.get("path", "") for error in content.error.errors),
            has_winner=content.winner is not None,
            race=order.race,
            expected=order.expected,
        )
        self._on_attempt(record)
        return record

    async def submit(self, order: Order, first: int = 0) -> OrderRecord:
        """Send an order to node number ``first``, then to the next ones, until it gets a final response."""
        record: OrderRecord | None = None
        for attempt in range(MAX_ATTEMPTS):
            record = await self.send(order, self.nodes[(first + attempt) % len(self.nodes)])
            if record.status not in RESEND_STATUSES:
                break
        assert record is not None
        return record

    async def submit_accepted(self, order: Order, first: int = 0) -> OrderRecord:
        """Send an order that must be accepted; return its last attempt.

        :raises OrderFailedError: if the fleet does not accept the order.
        """
        record = await self.submit(order, first)
        if not record.accepted:
            paths = ", ".join(record.error_paths)
            raise OrderFailedError(f"{order.kind}: status {record.status} {record.code} {paths}".rstrip())
        return record

    async def ready(self, node: AdminNode) -> bool:
        """Return whether the node is ready."""
        return await self._get(node, "/readyz") is not None

    async def status(self, node: AdminNode) -> StatusReport | None:
        """Return the node's status, or ``None`` if the node does not respond in time."""
        data = await self._get(node, "/v1/status")
        return msgspec.json.decode(data, type=StatusReport) if data is not None else None

    async def configuration(self) -> ConfigurationState | None:
        """Return the configuration's version from the first node that responds."""
        data = await self._get_any("/v1/configuration")
        return msgspec.json.decode(data, type=ConfigurationState) if data is not None else None

    async def rollout(self, service: str) -> RolloutRecordState | None:
        """Return the record of the service's newest rollout from the first node that responds."""
        data = await self._get_any(f"/v1/rollouts/{service}")
        return msgspec.json.decode(data, type=_RolloutReport).record if data is not None else None

    async def count_engines(self, node: AdminNode) -> int:
        """Return the number of ready back ends in the node's directory; 0 if the node does not respond."""
        data = await self._get(node, "/v1/engines")
        if data is None:
            return 0
        entries = msgspec.json.decode(data, type=_EngineList).engines
        return sum(entry.record.status == "ready" for entry in entries)

    async def _get_any(self, path: str) -> bytes | None:
        for node in list(self.nodes):
            data = await self._get(node, path)
            if data is not None:
                return data
            # The next read tries the other nodes first, so that a stopped node costs only one timeout.
            self.nodes.append(self.nodes.pop(0))
        return None

    async def _get(self, node: AdminNode, path: str) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(f"http://{node.admin_address}{path}", timeout=timeout) as response:
                data = await response.read()
                return data if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None
