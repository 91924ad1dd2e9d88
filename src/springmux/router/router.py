"""The data plane of one node: takes the views of the other parts, opens a flow for each request."""

from __future__ import annotations

import random
from collections.abc import Callable

from springmux.control.view import ControlView
from springmux.coordination.identifiers import NodeId
from springmux.coordination.quota.gate import QuotaGate
from springmux.rollout.outcome import VersionChooser
from springmux.router.core import RouterCore, RouterStatus
from springmux.router.events import ClientRequest
from springmux.router.flow import RequestFlow
from springmux.router.request_state import RequestState, Stage
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import RequestId


def always_connected(now: float) -> bool:
    """Connection check of a node that can't be cut off (a fleet of one, tests)."""
    return True


class Router:
    """Entry of the data plane. All calls come from one thread, with monotonic seconds."""

    def __init__(
        self,
        node: NodeId,
        zone: str,
        source: random.Random,
        chooser: VersionChooser,
        quota: QuotaGate,
        connected: Callable[[float], bool] = always_connected,
    ) -> None:
        """:param connected: asked at each admission and dispatch; must itself notice that the process
        was frozen (by its own last contact, not by a flag that a timer sets)."""
        self._core = RouterCore(node, zone, source, chooser, quota, connected)
        self._flows: dict[RequestState, RequestFlow] = {}

    def update_control(self, view: ControlView, now: float) -> list[RequestFlow]:
        """Take a newer control state; return the flows that must be given ``KeyRevoked`` at once."""
        core = self._core
        if view.revision < core.view.revision:
            return []
        keys_changed = view.keys is not core.view.keys or view.tenants is not core.view.tenants
        core.view = view
        core.take_limits(view.configuration.limits)
        if not keys_changed:
            return []
        return [flow for flow in self._running() if _lost_its_key(flow, view)]

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Take a newer directory; engines that drain, left or are lost get nothing from now on."""
        self._core.table.update(view)
        self._core.losses.settle(now)

    def update_readiness(self, ready: bool, reason: str) -> None:
        """Say whether new requests are taken, and why not (``stopping`` and ``cut off`` have own codes)."""
        self._core.ready = ready
        self._core.not_ready_reason = reason

    def open(self, request: ClientRequest, now: float) -> RequestFlow:
        """Return a new flow for ``request``; the driver gives it ``RequestBegun`` next."""
        self._core.losses.settle(now)
        flow = RequestFlow(self._core, request, self._forget)
        self._flows[flow] = flow
        return flow

    def set_wake_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Have ``listener`` called when a waiting request gets a slot.

        It must give that flow a ``Tick`` soon, but not from inside the call. Without a listener, waiting
        flows ask for ticks now and then.
        """
        self._core.wake_listener = listener

    def set_probe_listener(self, listener: Callable[[EngineRecord], None]) -> None:
        """Have ``listener`` called to connect to an engine whose stream was reset.

        It gives the result to :meth:`engine_probed`, but not from inside the call. Without a listener a
        reset of an engine that says nothing for a second counts as its loss.
        """
        self._core.losses.probe = listener

    def engine_probed(self, record: EngineRecord, alive: bool, now: float) -> None:
        """Take the result of a probe: whether the engine took a connection."""
        self._core.losses.probed(record, alive, now)

    def status(self) -> RouterStatus:
        """Return figures for metrics and status."""
        return self._core.status()

    def _running(self) -> list[RequestFlow]:
        return [flow for flow in self._flows.values() if flow.stage is not Stage.DONE]

    def _forget(self, flow: RequestState) -> None:
        self._flows.pop(flow, None)


def _lost_its_key(flow: RequestFlow, view: ControlView) -> bool:
    key = flow.key
    if key is None:
        return False
    record = view.keys.get(key.digest)
    return (
        record is None or record.revoked or record.tenant != key.tenant or record.tenant not in view.tenants
    )
