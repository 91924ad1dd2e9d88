"""The data plane of one node: applies the other components' views, opens a flow for each request."""

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


def always_connected(_now: float) -> bool:
    """Return true: the connection check of a node that can't be partitioned (a fleet of one, tests)."""
    return True


class Router:
    """Entry point of the data plane. Not thread-safe; times are monotonic seconds."""

    def __init__(
        self,
        node: NodeId,
        zone: str,
        source: random.Random,
        chooser: VersionChooser,
        quota: QuotaGate,
        connected: Callable[[float], bool] = always_connected,
    ) -> None:
        """Start without views, not ready.

        :param connected: called at each admission and dispatch; returns whether the node is connected to the
            fleet. It must itself detect that the process was paused (by the time of its last contact, not by
            a flag that a timer sets).
        """
        self._core = RouterCore(node, zone, source, chooser, quota, connected)
        self._flows: dict[RequestState, RequestFlow] = {}

    def update_control(self, view: ControlView, now: float) -> list[RequestFlow]:
        """Apply a newer control state; return the flows to which the driver must send ``KeyRevoked`` now."""
        core = self._core
        if view.revision < core.view.revision:
            return []
        keys_changed = view.keys is not core.view.keys or view.tenants is not core.view.tenants
        core.view = view
        core.update_limits(view.configuration.limits)
        if not keys_changed:
            return []
        return [flow for flow in self._running_flows() if _key_was_revoked(flow, view)]

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Apply a newer directory view; draining, removed and lost engines get no more requests."""
        self._core.engine_table.update(view)
        self._core.loss_classifier.classify_pending(now)

    def update_readiness(self, ready: bool, reason: str) -> None:
        """Set whether new requests are accepted, and why not.

        The reasons ``stopping`` and ``cut off`` have error codes of their own.
        """
        self._core.ready = ready
        self._core.not_ready_reason = reason

    def open(self, request: ClientRequest, now: float) -> RequestFlow:
        """Return a new flow for ``request``; the driver sends it ``RequestBegun`` next."""
        self._core.loss_classifier.classify_pending(now)
        flow = RequestFlow(self._core, request, self._remove_flow)
        self._flows[flow] = flow
        return flow

    def set_wake_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Set the callback for a queued request that gets a slot.

        The callback must schedule a ``Tick`` for that flow, but not send it from inside the call. Without a
        listener, queued flows poll.
        """
        self._core.wake_listener = listener

    def set_probe_listener(self, listener: Callable[[EngineRecord], None]) -> None:
        """Set the callback that connects to an engine whose stream was reset.

        The callback reports the result to :meth:`engine_probed`, but not from inside the call. Without a
        listener, an engine that sends nothing for a second after a reset counts as lost.
        """
        self._core.loss_classifier.probe_listener = listener

    def engine_probed(self, record: EngineRecord, alive: bool, now: float) -> None:
        """Handle the result of a probe: whether the engine accepted a connection."""
        self._core.loss_classifier.handle_probe_result(record, alive, now)

    def status(self) -> RouterStatus:
        """Return figures for metrics and status."""
        return self._core.status()

    def _running_flows(self) -> list[RequestFlow]:
        return [flow for flow in self._flows.values() if flow.stage is not Stage.DONE]

    def _remove_flow(self, flow: RequestState) -> None:
        self._flows.pop(flow, None)


def _key_was_revoked(flow: RequestFlow, view: ControlView) -> bool:
    key = flow.key
    if key is None:
        return False
    record = view.keys.get(key.digest)
    return (
        record is None or record.revoked or record.tenant != key.tenant or record.tenant not in view.tenants
    )
