"""A gateway node: construction of agent, listeners and storage, readiness, and the graceful stop."""

from __future__ import annotations

import asyncio
import os
import random

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.agent.events import StopBegun, StopFinished
from springmux.agent.readiness import STOPPING
from springmux.coordination.membership.events import SeedsChanged
from springmux.coordination.state_machine import LogLevel
from springmux.gateway.core import RetryBounds
from springmux.gateway.dialect import HeaderNames
from springmux.node.addresses import split_address
from springmux.node.driver import AgentDriver
from springmux.node.gateway.control_interface import ControlInterface, ReadyBody, ready_handler
from springmux.node.gateway.forwarder import Forwarder
from springmux.node.gateway.headers import HeaderRules
from springmux.node.gateway.refusal_log import RefusalLog, counter_values
from springmux.node.gateway.request_log import RequestLog
from springmux.node.gateway.services import ForwarderServices
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.gateway.startup_gate import STARTUP_S, StartupGate
from springmux.node.http.client import PooledEngineClient
from springmux.node.http.server import HttpServer
from springmux.node.http.types import ServerLimits
from springmux.node.lifecycle import EXIT_CRASHED, RESTART_AS_NEW, exit_code, wait_for_end
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.agent_codec import AgentCodec
from springmux.node.peer.handshake import HandshakeAuthenticator
from springmux.node.peer.transport import PeerTransport
from springmux.node.resources.memory_budget import MemoryClass
from springmux.node.resources.process_resources import ProcessResources
from springmux.node.service_rates import ServiceRates
from springmux.node.storage.opening import OpenedStorage
from springmux.node.storage.worker import StorageWorker

STORAGE_STOP_TIMEOUT_S = 1.0
STOP_ACCEPTING_DELAY_S = 2.5
"""Time for the platform's readiness checks to notice a stop. Clients are still accepted until then."""
LOADS_INTERVAL_S = 0.1
"""Half the interval of usage reports, so that each report contains current loads."""
RATES_INTERVAL_S = 0.5
LEAVE_DELAY_S = 0.1
"""Time for sending the agent's last messages before the connections close."""
CLOSE_MARGIN_S = 1.5
"""Part of the stop's grace period that is reserved for closing."""
KEYS_NOT_CURRENT = "out of contact: a key may have been taken away"
"""Reason why a node that would refuse nearly every request is not ready.

While it is not ready, clients are sent to other nodes that can serve them.
"""
CONTROL_BODY_BYTES = 16 << 20
CONTROL_IDLE_TIMEOUT_S = 30.0
READY_BODY_BYTES = 1024
"""A readiness check has no body."""


class GatewayNode:
    """A running gateway node, until it stops or has to be replaced by one with a new replica."""

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        opened: OpenedStorage,
        log: EventLog,
        stop_requested: asyncio.Event,
    ) -> None:
        self._settings = settings
        self._log = log
        self._stop_requested = stop_requested
        self._stopping = False
        self._loads_timer: asyncio.TimerHandle | None = None
        self._rates_timer: asyncio.TimerHandle | None = None
        self._resources = ProcessResources(settings.memory_mb, settings.max_descriptors)
        self._client = PooledEngineClient()
        self._rates = ServiceRates()
        self.metrics = NodeMetrics()
        randomness = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.agent = self._make_agent(opened, randomness)
        self.driver = self._make_driver(opened)
        self._transport = self._make_transport(randomness)
        self._storage = self._make_storage(opened)
        self.driver.attach(self._transport, self._storage)
        counters = self.agent.gateway.counters
        self._refusals = RefusalLog(counters, log, names.request_id)
        self.metrics.add_source(lambda: counter_values(counters))
        self.metrics.add_source(self._resources.metric_values)
        forwarder = Forwarder(self._make_services(names, randomness))
        control = ControlInterface(settings, self.agent, self.driver, self.metrics, self, self._rates)
        self._front = HttpServer(
            forwarder.handle, self._front_limits, self._refusals.record_server_refusal, self._resources
        )
        shares = self._resources.connections
        control_limits = ServerLimits(
            max_body_bytes=CONTROL_BODY_BYTES,
            idle_timeout_s=CONTROL_IDLE_TIMEOUT_S,
            max_connections=shares.control,
        )
        ready_limits = msgspec.structs.replace(
            control_limits, max_body_bytes=READY_BODY_BYTES, max_connections=shares.ready
        )
        self._control = HttpServer(
            control.handle,
            lambda: control_limits,
            resources=self._resources,
            memory_class=MemoryClass.FLEET,
        )
        self._ready = HttpServer(ready_handler(control), lambda: ready_limits, resources=self._resources)

    def readiness(self) -> ReadyBody:
        """Return whether clients should be sent to this node, and why not."""
        if self._stopping:
            return ReadyBody(False, STOPPING)
        now = asyncio.get_running_loop().time()
        if self.agent.gateway_ready and not self.agent.gateway.knows_keys(now):
            return ReadyBody(False, KEYS_NOT_CURRENT)
        return ReadyBody(self.agent.gateway_ready, self.agent.gateway_reason)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change while running: the seeds and the grace period of a stop."""
        self._settings = settings
        self.driver.submit(SeedsChanged(settings.peer_seeds))

    async def start(self) -> None:
        """Open the listeners, then start the agent.

        :raises OSError: if an address can't be bound.
        """
        settings = self._settings
        await self._transport.listen(settings.peer_address)
        for server, address in (
            (self._control, settings.control_address),
            (self._ready, settings.ready_address),
            (self._front, settings.front_address),
        ):
            await server.listen(*split_address(address))
        self.driver.start()
        self._exchange_loads()
        self._sample_rates()
        self._log.write("node_started", zone=settings.zone, fleet=settings.fleet)

    async def wait(self) -> int:
        """Wait for a stop request or a crash, then stop. Return the exit code or :data:`RESTART_AS_NEW`."""
        ending = await wait_for_end(self.driver, self._stop_requested)
        if ending == EXIT_CRASHED:
            return EXIT_CRASHED
        if ending == RESTART_AS_NEW:
            await self.close()
            return RESTART_AS_NEW
        await self._stop()
        return exit_code(self.driver, self._stop_requested)

    async def _stop(self) -> None:
        """Stop gracefully: report not ready, transfer leadership, finish all requests read so far, close."""
        settings = self._settings
        self._log.write("node_stopping", grace_s=settings.stop_grace_s)
        self._stopping = True
        self.driver.submit(StopBegun())
        await asyncio.sleep(STOP_ACCEPTING_DELAY_S)
        self._front.stop_accepting()
        await self._front.finish(max(0.0, settings.stop_grace_s - STOP_ACCEPTING_DELAY_S - CLOSE_MARGIN_S))
        self.driver.submit(StopFinished())
        await asyncio.sleep(LEAVE_DELAY_S)
        await self.close()
        self._log.write("node_stopped")

    async def close(self) -> None:
        """Close listeners, connections and storage without waiting for running requests."""
        for timer in (self._loads_timer, self._rates_timer):
            if timer is not None:
                timer.cancel()
        self.driver.stop()
        self.driver.abandon_waiters()
        for server in (self._front, self._control, self._ready):
            server.close()
        self._refusals.flush()
        self._client.close()
        await self._transport.close()
        if self._storage is not None:
            await asyncio.to_thread(self._storage.stop, STORAGE_STOP_TIMEOUT_S)

    def _exchange_loads(self) -> None:
        self.agent.gateway.exchange_loads()
        self.driver.refresh_timer()
        self._loads_timer = asyncio.get_running_loop().call_later(LOADS_INTERVAL_S, self._exchange_loads)

    def _sample_rates(self) -> None:
        loop = asyncio.get_running_loop()
        self._rates.sample(loop.time())
        self._rates_timer = loop.call_later(RATES_INTERVAL_S, self._sample_rates)

    def _front_limits(self) -> ServerLimits:
        limits = self.agent.gateway.table.configuration.limits
        return ServerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000.0,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            max_connections=self._resources.connections.front,
        )

    def _make_agent(self, opened: OpenedStorage, randomness: random.Random) -> NodeAgent:
        settings = self._settings
        agent = NodeAgent(
            settings.agent_settings(), opened.recovered, randomness, opened.claims, opened.remembered
        )
        agent.gateway.set_retry_bounds(
            RetryBounds(settings.retry_share, settings.fleet_retries, settings.retry_window_s)
        )
        return agent

    def _make_driver(self, opened: OpenedStorage) -> AgentDriver:
        driver = AgentDriver(self.agent, self._log, self.metrics)
        if self._settings.data_folder and opened.store is None:
            driver.replica_stopped_reason = opened.reason
            self.metrics.set("replica_stopped", 1)
        return driver

    def _make_services(self, names: HeaderNames, randomness: random.Random) -> ForwarderServices:
        return ForwarderServices(
            core=self.agent.gateway,
            client=self._client,
            headers=HeaderRules(names),
            randomness=random.Random(randomness.getrandbits(64)),
            rates=self._rates,
            refusals=self._refusals,
            startup_gate=StartupGate(asyncio.get_running_loop().time() + STARTUP_S),
            request_log=RequestLog(self._log) if self._log.is_enabled_for(LogLevel.DEBUG) else None,
        )

    def _make_transport(self, randomness: random.Random) -> PeerTransport:
        settings = self._settings
        boot_id = f"{randomness.getrandbits(128):032x}"
        return PeerTransport(
            AgentCodec(self.agent),
            HandshakeAuthenticator(settings.fleet, settings.node, boot_id, None),
            lambda: self.agent.membership,
            self.driver.submit,
            self._log,
            self.metrics,
            randomness,
            self._resources,
        )

    def _make_storage(self, opened: OpenedStorage) -> StorageWorker | None:
        if opened.store is None:
            return None
        return StorageWorker(opened.store, self.driver.submit, self.metrics, opened.journal, opened.peer_list)
