"""Operators of the brief: they race, lose answers, send wrong and huge configurations, revoke keys."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import time
from http import HTTPStatus

import aiohttp
import msgspec

from springmux.lab.admin.operator_client import OrderFailedError
from springmux.lab.admin.orders import (
    patch_configuration,
    put_configuration,
    put_key,
    put_tenant,
    revoke_key,
)
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.records import OrderRecord, RevocationRecord

LIMIT_BYTES = 8 << 20
"""The stated limit of a configuration (default of the settings)."""
HUGE_SHARE = 0.95
FILLER_ROUTE_BYTES = 150
"""About the size of one route in the huge document."""
FIRST_TIMEOUT_S = 5.0
REVOCATION_WATCH_S = 6.0
LONG_RESPONSE_TOKENS = 600
"""At 12 to 22 ms a piece the stream lasts longer than the watch."""
REFUSAL_POLL_S = 0.05
TAIL_BYTES = 4096
"""Room for an error event and the pieces before it."""


class Operators:
    """What operators do in an experiment. All orders are recorded by the deployment's client."""

    def __init__(self, injector: DeploymentFaultInjector) -> None:
        self._injector = injector
        self._client = injector.operators
        self._races = 0

    async def next_version(self) -> int:
        """Return the number that the next configuration must have.

        :raises OrderFailedError: if no node answers.
        """
        state = await self._client.configuration()
        if state is None:
            raise OrderFailedError("no node tells the configuration's version")
        return state.version + 1

    async def patch(self, field: str, value: object) -> OrderRecord:
        """Change one limit by a partial configuration."""
        patch = msgspec.json.encode({"limits": {field: value}})
        return await self._client.submit(
            patch_configuration(await self.next_version(), patch), self._any_index()
        )

    async def race(self) -> None:
        """Have two operators send different changes under one version number to two nodes at once."""
        self._races += 1
        name = f"race-{self._races}"
        version = await self.next_version()
        first = self._any_index()
        orders = [
            patch_configuration(version, json.dumps({"limits": {"queue_length": length}}).encode(), race=name)
            for length in (200 + self._races, 300 + self._races)
        ]
        await asyncio.gather(
            *(self._client.submit(order, first + number) for number, order in enumerate(orders))
        )

    async def lose_response(self) -> None:
        """Lose an order's answer on the way, then resend the order to other nodes, twice."""
        patch = msgspec.json.encode({"limits": {"queue_length": 256}})
        order = patch_configuration(await self.next_version(), patch)
        first = self._any_index()
        nodes = self._client.nodes
        await self._client.send(order, nodes[first % len(nodes)], drop_response=True)
        for step in (1, 2):
            await self._client.submit(order, first + step)

    async def send_invalid(self) -> None:
        """Send invalid and too large configurations; each must be refused as the interface states."""
        version = await self.next_version()
        invalid = self._injector.deployment.plan.configuration | {
            "routes": {"x": {"kind": "prompt", "service": "nowhere", "class": "fast", "deadline_s": -1}},
            "limits": {"max_in_flight": "many"},
        }
        await self._client.submit(put_configuration(version, msgspec.json.encode(invalid), expected=422))
        bad_patch = msgspec.json.encode({"limits": {"queue_length": -5}})
        await self._client.submit(patch_configuration(version, bad_patch, expected=422))
        await self._client.submit(put_configuration(version, b"{not json", expected=422))
        too_large = self._padded(LIMIT_BYTES + 1)
        await self._client.submit(put_configuration(version, too_large, expected=413))

    async def send_huge(self) -> None:
        """Send a valid configuration a little under the limit, then the ordinary one again."""
        huge = self._huge_document()
        self._injector.record_fault(
            "huge_configuration", "operators", began=True, detail=f"{len(huge)} bytes"
        )
        await self._client.submit_accepted(put_configuration(await self.next_version(), huge))
        ordinary = msgspec.json.encode(self._injector.deployment.plan.configuration)
        await self._client.submit_accepted(put_configuration(await self.next_version(), ordinary))
        self._injector.record_fault("huge_configuration", "operators", began=False)

    async def submit_changes(self, count: int) -> None:
        """Acknowledge ``count`` changes: tenants' quotas and partial configurations in turn."""
        tenant = self._injector.deployment.plan.tenants[0]
        for number in range(count):
            if number % 2:
                await self.patch("queue_length", 256 + number)
                continue
            burst = tenant.burst_tokens + number % 7
            await self._client.submit_accepted(put_tenant(tenant.name, tenant.tokens_per_s, burst), number)

    async def revoke_while_streaming(self) -> None:
        """Revoke a key while a stream of it runs; watch the stream and a connection kept alive."""
        plan = self._injector.deployment.plan
        key_id, key = f"short-lived-{secrets.token_hex(4)}", secrets.token_urlsafe(24)
        await self._client.submit_accepted(put_key(key_id, plan.tenants[0].name, key))
        # Two seconds: by then the key is in force at every node.
        await asyncio.sleep(2.0)
        node = self._injector.pick_node(controller=False)
        url = f"http://{node.client_address}/v1/chat/completions"
        route = next(traffic.route for traffic in plan.traffic if traffic.kind == "prompt")
        watch = _RevocationWatch(url, route, key)
        await watch.begin()
        try:
            response = await self._client.submit_accepted(revoke_key(key_id))
            record = await watch.observe(response.answered_at_s)
            self._injector.records.revocations.append(record)
        finally:
            await watch.close()

    def _any_index(self) -> int:
        return self._injector.random.randrange(len(self._client.nodes))

    def _padded(self, size_bytes: int) -> bytes:
        ordinary = msgspec.json.encode(self._injector.deployment.plan.configuration)
        return ordinary + b" " * (size_bytes - len(ordinary))

    def _huge_document(self) -> bytes:
        configuration = dict(self._injector.deployment.plan.configuration)
        service = self._injector.deployment.plan.rollout_service
        routes: dict[str, object] = dict(msgspec.convert(configuration["routes"], dict[str, object]))
        for number in range(int(LIMIT_BYTES * HUGE_SHARE) // FILLER_ROUTE_BYTES):
            # A long name, as generated configurations have.
            name = f"generated-{'x' * 60}-{number:06d}"
            routes[name] = {"kind": "prompt", "service": service, "class": "bulk", "deadline_s": 30.0}
        configuration["routes"] = routes
        return msgspec.json.encode(configuration)


class _RevocationWatch:
    """One stream and one kept connection under a key that is about to be revoked."""

    def __init__(self, url: str, route: str, key: str) -> None:
        self._url = url
        self._route = route
        self._headers = {"Authorization": f"Bearer {key}"}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=30.0)
        )
        self._stream: asyncio.Task[float | None] | None = None
        self._running = asyncio.Event()

    async def begin(self) -> None:
        """Start the stream; returns once its first bytes came."""
        self._stream = asyncio.create_task(self._read_stream())
        async with asyncio.timeout(FIRST_TIMEOUT_S):
            await self._running.wait()

    async def observe(self, acknowledged_at_s: float) -> RevocationRecord:
        """Return when stream and kept connection felt the revocation."""
        assert self._stream is not None
        refused_after_s = await self._poll_refusal(acknowledged_at_s)
        try:
            ended_at_s = await asyncio.wait_for(self._stream, REVOCATION_WATCH_S)
        except TimeoutError:
            ended_at_s = None
        ended_after_s = None if ended_at_s is None else max(0.0, ended_at_s - acknowledged_at_s)
        return RevocationRecord(acknowledged_at_s, ended_after_s, refused_after_s)

    async def close(self) -> None:
        """End the stream and the connections."""
        if self._stream is not None:
            self._stream.cancel()
            await asyncio.gather(self._stream, return_exceptions=True)
        await self._session.close()

    def _body(self, tokens: int) -> bytes:
        messages = [{"role": "user", "content": "one short text"}]
        return json.dumps(
            {"model": self._route, "messages": messages, "stream": True, "max_tokens": tokens}
        ).encode()

    async def _read_stream(self) -> float | None:
        """Return when the stream ended with an error event; ``None`` if it ended otherwise."""
        body = self._body(LONG_RESPONSE_TOKENS)
        while True:
            async with self._session.post(self._url, data=body, headers=self._headers) as response:
                if response.status == HTTPStatus.OK:
                    return await self._read_to_error(response)
            # Refused (a node that is not ready, a full quota): the watch begins with a stream that runs.
            await asyncio.sleep(REFUSAL_POLL_S)

    async def _read_to_error(self, response: aiohttp.ClientResponse) -> float | None:
        data = b""
        # A stream that can't be finished is cut after its error event, so the body's end is missing.
        with contextlib.suppress(aiohttp.ClientPayloadError):
            async for piece in response.content.iter_any():
                data = data[-TAIL_BYTES:] + piece
                self._running.set()
        return time.monotonic() if b"event: error" in data and b"[DONE]" not in data else None

    async def _poll_refusal(self, acknowledged_at_s: float) -> float | None:
        while time.monotonic() < acknowledged_at_s + REVOCATION_WATCH_S:
            async with self._session.post(self._url, data=self._body(1), headers=self._headers) as response:
                await response.read()
                if response.status == HTTPStatus.UNAUTHORIZED:
                    return time.monotonic() - acknowledged_at_s
            await asyncio.sleep(REFUSAL_POLL_S)
        return None
