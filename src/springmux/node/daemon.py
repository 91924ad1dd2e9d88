"""Construction and lifecycle of one node process: start, readiness, graceful stop, exit codes."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import uuid

from springmux.agent.agent import NodeAgent
from springmux.agent.events import StopBegun, StopFinished
from springmux.coordination.state_machine import LogLevel
from springmux.node.admin.listener import AdminListener
from springmux.node.admin.rollout_history import SAMPLE_PERIOD_S, RolloutHistory
from springmux.node.client.engine_prober import EngineProber
from springmux.node.client.listener import ClientListener
from springmux.node.client.request_runner import RunnerServices
from springmux.node.client.upstream import UpstreamClient
from springmux.node.driver import AgentDriver
from springmux.node.fault_injection import FaultInjector
from springmux.node.health import NodeHealth
from springmux.node.lifecycle import EXIT_CRASHED, EXIT_KILLED, exit_code, run_nodes, wait_for_end
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.agent_codec import AgentCodec
from springmux.node.peer.handshake import HandshakeAuthenticator
from springmux.node.peer.transport import PeerTransport
from springmux.node.resources.process_resources import ProcessResources
from springmux.node.settings import NodeSettings
from springmux.node.storage.opening import OpenedStorage
from springmux.node.storage.worker import StorageWorker
from springmux.storage.real_disk import RealDisk

STORAGE_STOP_TIMEOUT_S = 2.0
LEAVE_DELAY_S = 0.2
"""Time for sending the messages by which this node leaves the fleet, before its connections close."""


class NodeProcess:
    """All components of one running node. Setting ``stop_requested`` starts the graceful stop."""

    def __init__(
        self,
        settings: NodeSettings,
        opened: OpenedStorage,
        log: EventLog,
        fault_injector: FaultInjector | None = None,
        stop_requested: asyncio.Event | None = None,
    ) -> None:
        self._settings = settings
        self._log = log
        self._fault_injector = fault_injector
        self._resources = ProcessResources(settings.memory_mb, settings.max_descriptors)
        self.metrics = NodeMetrics()
        self.metrics.add_source(self._resources.metric_values)
        self.stop_requested = stop_requested or asyncio.Event()
        randomness = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.agent = NodeAgent(
            settings.agent_settings(), opened.recovered, randomness, opened.claims, opened.remembered
        )
        self.driver = self._make_driver(opened)
        self._transport = self._make_transport(randomness)
        self._storage = self._make_storage(opened)
        self.driver.attach(self._transport, self._storage)
        self._upstream = UpstreamClient(self.metrics)
        self._health = NodeHealth(self.agent)
        self._clients = self._make_client_listener()
        self._prober = EngineProber(self.agent.router)
        self._history = RolloutHistory()
        self._admin = self._make_admin_listener()
        self._connect_listeners()
        self._sample_timer = asyncio.get_running_loop().call_later(SAMPLE_PERIOD_S, self._sample)

    def _make_driver(self, opened: OpenedStorage) -> AgentDriver:
        driver = AgentDriver(self.agent, self._log, self.metrics)
        if self._settings.data_folder is not None and opened.store is None:
            driver.replica_stopped_reason = opened.reason
            self.metrics.set("replica_stopped", 1)
        return driver

    def _make_transport(self, randomness: random.Random) -> PeerTransport:
        settings = self._settings
        injector = self._fault_injector
        secret = settings.peer_secret.get_secret_value() if settings.peer_secret is not None else None
        authenticator = HandshakeAuthenticator(settings.fleet, settings.node, uuid.uuid4().hex, secret)
        return PeerTransport(
            AgentCodec(self.agent),
            authenticator,
            lambda: self.agent.membership,
            self.driver.submit,
            self._log,
            self.metrics,
            randomness,
            self._resources,
            partitioned=injector.partitioned if injector is not None else lambda: False,
        )

    def _make_storage(self, opened: OpenedStorage) -> StorageWorker | None:
        if opened.store is None:
            return None
        return StorageWorker(opened.store, self.driver.submit, self.metrics, opened.journal, opened.peer_list)

    def _make_client_listener(self) -> ClientListener:
        services = RunnerServices(
            node=self._settings.node,
            router=self.agent.router,
            driver=self.driver,
            upstream=self._upstream,
            metrics=self.metrics,
            log=self._log,
        )
        return ClientListener(self._settings, services, self._health, self._resources)

    def _make_admin_listener(self) -> AdminListener:
        return AdminListener(
            self._settings,
            self.agent,
            self.driver,
            self.metrics,
            self._log,
            self._history,
            self._upstream.rates,
            self._health,
            self._resources,
            self._fault_injector,
        )

    def _connect_listeners(self) -> None:
        self.agent.router.set_probe_listener(self._prober.probe)
        self.driver.revocation_listeners.append(self._clients.end_revoked)

    async def start(self) -> None:
        """Open the listeners, then start the agent.

        :raises OSError: if an address can't be bound.
        """
        await self._transport.listen(self._settings.peer_address)
        await self._admin.listen()
        self.driver.start()
        await self._clients.listen()
        self._log.write("node_started", zone=self._settings.zone, fleet=self._settings.fleet)

    async def wait(self) -> int:
        """Wait for a stop request or a crash, then stop. Return the exit code or :data:`RESTART_AS_NEW`."""
        if await wait_for_end(self.driver, self.stop_requested) == EXIT_CRASHED:
            return EXIT_CRASHED
        await self.stop()
        return exit_code(self.driver, self.stop_requested)

    async def stop(self) -> None:
        """Stop gracefully: report not ready, stop accepting, leave, finish running streams, close."""
        self._log.write("node_stopping", grace_s=self._settings.stop_grace_s)
        self._health.stopping = True
        # Clients are still accepted until the platform's readiness checks see that the node is not ready.
        await asyncio.sleep(self._settings.stop_delay_s)
        self._clients.stop_accepting()
        self.driver.submit(StopBegun())
        await self._clients.finish(self._settings.stop_grace_s)
        self.driver.submit(StopFinished())
        await asyncio.sleep(LEAVE_DELAY_S)
        await self.close()
        self._log.write("node_stopped")

    async def close(self) -> None:
        """Close listeners, connections and storage without waiting for running requests."""
        self._sample_timer.cancel()
        self.driver.stop()
        self._prober.stop()
        self.driver.abandon_waiters()
        await self._admin.close()
        await self._upstream.close()
        await self._transport.close()
        if self._storage is not None:
            await asyncio.to_thread(self._storage.stop, STORAGE_STOP_TIMEOUT_S)

    def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        self._upstream.rates.sample(loop.time())
        for service in self.agent.view.rollouts:
            status = self.agent.rollout_status(service)
            if status is not None:
                self._history.add(service, status, loop.time())
        self._sample_timer = loop.call_later(SAMPLE_PERIOD_S, self._sample)


async def _run(settings: NodeSettings) -> int:
    log = EventLog(settings.node, settings.log_level, settings.log_format)
    stop_requested = asyncio.Event()
    _handle_signals(stop_requested, log)
    return await run_until_stopped(settings, log, stop_requested)


async def run_until_stopped(settings: NodeSettings, log: EventLog, stop_requested: asyncio.Event) -> int:
    """Run one node after another until one is stopped, and return the exit code.

    Each node after the first starts with a new replica.
    """
    injector = FaultInjector() if settings.fault_injection else None
    make_disk = injector.disk if injector is not None else RealDisk

    def make_node(opened: OpenedStorage) -> NodeProcess:
        return NodeProcess(settings, opened, log, injector, stop_requested)

    return await run_nodes(settings.data_folder, make_node, log, make_disk)


def _handle_signals(stop_requested: asyncio.Event, log: EventLog) -> None:
    def on_signal(name: str) -> None:
        if stop_requested.is_set():
            log.write("stopped_at_once", LogLevel.WARNING, signal=name)
            os._exit(EXIT_KILLED)
        log.write("signal", signal=name)
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number.name)


def run_node(settings: NodeSettings) -> int:
    """Run a node until it is stopped, and return the exit code of the process."""
    code = asyncio.run(_run(settings))
    if code == EXIT_CRASHED:
        # Threads may hang on a stalled disk, and the process must not wait for them.
        os._exit(code)
    return code
