"""Drive the agent, which does no I/O: pass events in, execute its effects, and tick it at its next deadline.

Everything runs on the event loop, one event after another. An exception in the agent ends the process
(exit code 70), because a state machine that failed once may be inconsistent.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from springmux.agent.effects import (
    ClaimAnswered,
    ControlChanged,
    FlowsRevoked,
    OrderAnswered,
    PrepareCommands,
    ReadinessChanged,
    SendToAddress,
)
from springmux.agent.events import (
    ClaimRequested,
    ClaimSettled,
    CommandsPrepared,
    ControllerRemovalRequested,
    LeadershipTransferRequested,
    OrderSubmitted,
)
from springmux.agent.storage_effects import StorageEffect
from springmux.control.commands import AnyCommand
from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.consensus.effects import (
    DiskStalled,
    Persist,
    PersistFailed,
    ReplicaStopped,
)
from springmux.coordination.state_machine import NEVER, Effect, Event, LogLevel, LogLine, Send, Tick
from springmux.node.driver_protocols import DrivenAgent, PeerSender
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.storage.worker import STALL_AFTER_S, StorageWorker
from springmux.vocabulary.names import RequestId

LAG_PROBE_S = 0.25
"""Period at which the event loop's lag and the age of the oldest disk operation are checked."""
LAG_WARNING_S = 0.25
"""A longer event loop lag is logged, as it disturbs failure detection (probe periods are about a second)."""


OrderCallback = Callable[[OrderAnswered], None]
ClaimCallback = Callable[[ClaimDecision], None]


class AgentDriver:
    """Owns the agent. Listeners submit events, orders and claims, and receive results through callbacks."""

    def __init__(self, agent: DrivenAgent, log: EventLog, metrics: NodeMetrics) -> None:
        self._agent = agent
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._transport: PeerSender | None = None
        self._storage: StorageWorker | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._probe: asyncio.TimerHandle | None = None
        self._inbox: deque[Event] = deque()
        self._handling = False
        self._correlation_ids = 0
        self._orders: dict[str, OrderCallback] = {}
        self._claims: dict[str, ClaimCallback] = {}
        self._stopped = False
        self.crashed: asyncio.Future[BaseException] = self._loop.create_future()
        self._preparing: set[asyncio.Task[None]] = set()
        self.revocation_listeners: list[Callable[[tuple[RequestId, ...]], None]] = []
        self.replica_stopped_reason = ""
        self.replica_abandoned = asyncio.Event()
        """Set when the data folder is unusable; the process then runs a new node with an empty folder."""

    def attach(self, transport: PeerSender, storage: StorageWorker | None) -> None:
        """Set the I/O that executes effects. Must be called before :meth:`start`."""
        self._transport = transport
        self._storage = storage

    def start(self) -> None:
        """Start the agent, its deadline timer and the periodic lag check."""
        self._execute(lambda: self._agent.start(self._loop.time()))
        self._set_timer()
        self._schedule_probe()

    def stop(self) -> None:
        """Stop the timers. Events submitted later are dropped."""
        self._stopped = True
        for handle in (self._timer, self._probe):
            if handle is not None:
                handle.cancel()

    def submit(self, event: Event) -> None:
        """Pass one event to the agent and execute its effects. Events submitted meanwhile are queued."""
        self.submit_all((event,))

    def submit_all(self, events: Iterable[Event]) -> None:
        """Pass several events to the agent. The timer is set once, after the last event."""
        self._inbox.extend(events)
        if self._handling:
            return
        self._handling = True
        try:
            while self._inbox and not self._stopped:
                next_event = self._inbox.popleft()
                self._execute(lambda event=next_event: self._agent.handle(event, self._loop.time()))  # type: ignore[misc]
        finally:
            self._handling = False
        self._set_timer()

    def refresh_timer(self) -> None:
        """Reschedule the timer after work on a request, whose quota reservation may need an earlier tick."""
        if not self._handling:
            self._set_timer()

    def new_correlation_id(self, kind: str) -> str:
        """Return a correlation id that is unique in this process and begins with ``kind``."""
        self._correlation_ids += 1
        return f"{kind}-{self._correlation_ids}"

    def submit_order(self, command: AnyCommand, callback: OrderCallback) -> str:
        """Submit an operator's command and return its correlation id. ``callback`` gets the result once."""
        correlation_id = self.new_correlation_id("order")
        self._orders[correlation_id] = callback
        self.submit(OrderSubmitted(correlation_id=correlation_id, command=command))
        return correlation_id

    def submit_transfer(self, target: str, callback: OrderCallback) -> str:
        """Request a leadership transfer to ``target``, with the callback of :meth:`submit_order`."""
        correlation_id = self.new_correlation_id("transfer")
        self._orders[correlation_id] = callback
        self.submit(LeadershipTransferRequested(correlation_id=correlation_id, target=target))
        return correlation_id

    def submit_removal(self, replica: str, callback: OrderCallback) -> str:
        """Request the removal of a replica, with the callback of :meth:`submit_order`."""
        correlation_id = self.new_correlation_id("removal")
        self._orders[correlation_id] = callback
        self.submit(ControllerRemovalRequested(correlation_id=correlation_id, replica=replica))
        return correlation_id

    def forget_order(self, correlation_id: str) -> None:
        """Drop the callback of an order whose caller no longer waits for the result."""
        self._orders.pop(correlation_id, None)

    def request_claim(self, claim_key: str, callback: ClaimCallback) -> str:
        """Request an at-most-once claim and return the correlation id that :meth:`settle_claim` needs."""
        correlation_id = self.new_correlation_id("claim")
        self._claims[correlation_id] = callback
        self.submit(ClaimRequested(correlation_id=correlation_id, claim_key=claim_key))
        return correlation_id

    def forget_claim(self, correlation_id: str) -> None:
        """Drop the callback of a claim whose request ended before the decision."""
        self._claims.pop(correlation_id, None)

    def settle_claim(self, correlation_id: str, claim_key: str, ran: bool, answer: bytes) -> None:
        """Report how a claimed request ended.

        :param ran: whether the request may have been executed.
        :param answer: response to return if the request is sent again (opaque).
        """
        self.submit(ClaimSettled(correlation_id=correlation_id, claim_key=claim_key, ran=ran, answer=answer))

    def abandon_waiters(self) -> None:
        """Resolve pending claims as unavailable: the process is ending, and no decision will arrive."""
        for correlation_id in list(self._claims):
            callback = self._claims.pop(correlation_id)
            callback(ClaimDecision(verdict=ClaimVerdict.UNAVAILABLE))

    def _execute(self, call: Callable[[], list[Effect]]) -> None:
        try:
            for effect in call():
                self._execute_effect(effect)
        except Exception as error:  # noqa: BLE001 - any fault leaves the agent inconsistent: end the process
            self._crash(error)

    def _crash(self, error: Exception) -> None:
        self._log.crash("agent_crashed", error)
        self.stop()
        if not self.crashed.done():
            self.crashed.set_result(error)

    def _set_timer(self) -> None:
        """Schedule a tick at the agent's deadline, unless the present timer is due earlier.

        A timer that fires before the deadline schedules the next one. Most events move the deadline later,
        and a new timer costs more than one that fires too early.
        """
        deadline = NEVER if self._stopped else self._deadline()
        if deadline >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = deadline
        self._timer = self._loop.call_at(deadline, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = NEVER
        if self._deadline() <= self._loop.time():
            self.submit(Tick())
        else:
            self._set_timer()

    def _deadline(self) -> float:
        """Return the agent's next deadline. An exception ends the process: nothing works without ticks."""
        try:
            return self._agent.next_deadline()
        except Exception as error:  # noqa: BLE001 - same as in _execute
            self._crash(error)
            return NEVER

    def _execute_effect(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            if self._transport is not None:
                self._transport.send(effect.to, effect.message)
        elif isinstance(effect, SendToAddress):
            if self._transport is not None:
                self._transport.send_to_address(effect.address, effect.message)
        elif isinstance(effect, LogLine):
            self._log.write_line(effect)
        elif isinstance(effect, StorageEffect):
            self._store(effect)
        else:
            self._notify(effect)

    def _store(self, effect: StorageEffect) -> None:
        if self._storage is not None:
            self._storage.submit(effect)
        elif isinstance(effect, Persist):
            self.submit(PersistFailed(batch=effect.batch, full=False, reason="this node has no data folder"))

    def _notify(self, effect: Effect) -> None:
        if isinstance(effect, OrderAnswered):
            self._order_answered(effect)
        elif isinstance(effect, ClaimAnswered):
            self._claim_answered(effect)
        elif isinstance(effect, ControlChanged):
            self._control_changed(effect)
        elif isinstance(effect, FlowsRevoked):
            revoked = tuple(flow.request.request_id for flow in effect.flows)
            for listener in self.revocation_listeners:
                listener(revoked)
        elif isinstance(effect, PrepareCommands):
            self._start_preparing(effect.commands)
        elif isinstance(effect, ReadinessChanged):
            self._metrics.set("ready", float(effect.ready))
            self._log.write("readiness_changed", ready=effect.ready, reason=effect.reason)
        elif isinstance(effect, ReplicaStopped):
            self._replica_stopped(effect)
        else:
            raise TypeError(f"the driver has no handler for the effect {type(effect).__name__}")

    def _order_answered(self, effect: OrderAnswered) -> None:
        callback = self._orders.pop(effect.correlation_id, None)
        if callback is not None:
            callback(effect)

    def _claim_answered(self, effect: ClaimAnswered) -> None:
        callback = self._claims.pop(effect.correlation_id, None)
        if callback is not None:
            callback(effect.decision)

    def _control_changed(self, effect: ControlChanged) -> None:
        self._metrics.set("control_revision", effect.revision)
        if effect.arrival is None:
            return
        behind_s = self._loop.time() - effect.arrival.behind_since
        self._metrics.count("control_changes_total", effect.arrival.method)
        self._metrics.observe("control_behind_seconds", behind_s)
        self._log.write(
            "control_in_force",
            revision=effect.revision,
            way=effect.arrival.method,
            behind_ms=round(behind_s * 1000),
            gateway_version=effect.gateway_version,
        )

    def _start_preparing(self, commands: tuple[bytes, ...]) -> None:
        task = self._loop.create_task(self._prepare(commands))
        self._preparing.add(task)
        task.add_done_callback(self._preparing.discard)

    async def _prepare(self, commands: tuple[bytes, ...]) -> None:
        def parse() -> None:
            for command in commands:
                self._agent.control.prepare(command)

        await asyncio.to_thread(parse)
        self.submit(CommandsPrepared())

    def _replica_stopped(self, effect: ReplicaStopped) -> None:
        self.replica_stopped_reason = effect.reason
        self._metrics.set("replica_stopped", 1)
        if effect.restart_as_new:
            self._log.write("replica_given_up", LogLevel.WARNING, reason=effect.reason)
            self.replica_abandoned.set()
            return
        self._log.write(
            "replica_stopped",
            LogLevel.ERROR,
            reason=effect.reason,
            action="still routing; move the data folder away and restart to rejoin as a new replica",
        )

    def _schedule_probe(self) -> None:
        due = self._loop.time() + LAG_PROBE_S
        self._probe = self._loop.call_at(due, self._check_lag, due)

    def _check_lag(self, due: float) -> None:
        lag_s = max(0.0, self._loop.time() - due)
        self._metrics.observe("loop_lag_seconds", lag_s)
        if lag_s > LAG_WARNING_S:
            self._log.write("loop_lagged", LogLevel.WARNING, lag_s=round(lag_s, 3))
        if self._storage is not None:
            waited_s = self._storage.oldest_wait_s()
            self._metrics.set("storage_waiting_seconds", waited_s)
            if waited_s > STALL_AFTER_S:
                self.submit(DiskStalled(waited_s=waited_s))
        if not self._stopped:
            self._schedule_probe()
