"""Operator scenarios: races, lost responses, invalid and huge configurations, revoked keys."""

from __future__ import annotations

import asyncio
import json
import secrets

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
from springmux.lab.faults.revocation_probe import RevocationProbe
from springmux.lab.records import OrderRecord

MAX_CONFIGURATION_BYTES = 8 << 20
"""Size limit of a configuration (default of the settings)."""
KEY_PROPAGATION_S = 2.0
"""Time until a new key is in force at every node."""
HUGE_DOCUMENT_SHARE = 0.95
FILLER_ROUTE_BYTES = 150
"""About the size of one route in the huge document."""


class OperatorScenarios:
    """Actions of operators in an experiment. The deployment's operator client records every order."""

    def __init__(self, injector: DeploymentFaultInjector) -> None:
        self._injector = injector
        self._client = injector.operators
        self._races = 0

    async def next_version(self) -> int:
        """Return the version number that the next configuration must have.

        :raises OrderFailedError: if no node responds.
        """
        state = await self._client.configuration()
        if state is None:
            raise OrderFailedError("no node returned the configuration's version")
        return state.version + 1

    async def patch(self, field: str, value: object) -> OrderRecord:
        """Change one limit with a partial configuration."""
        patch = msgspec.json.encode({"limits": {field: value}})
        return await self._client.submit(
            patch_configuration(await self.next_version(), patch), self._random_node_index()
        )

    async def race(self) -> None:
        """Send two different changes under one version number concurrently to two nodes."""
        self._races += 1
        name = f"race-{self._races}"
        version = await self.next_version()
        first = self._random_node_index()
        orders = [
            patch_configuration(version, json.dumps({"limits": {"queue_length": length}}).encode(), race=name)
            for length in (200 + self._races, 300 + self._races)
        ]
        await asyncio.gather(
            *(self._client.submit(order, first + number) for number, order in enumerate(orders))
        )

    async def lose_response(self) -> None:
        """Drop the response to an order, then resend the order twice, to other nodes."""
        patch = msgspec.json.encode({"limits": {"queue_length": 256}})
        order = patch_configuration(await self.next_version(), patch)
        first = self._random_node_index()
        nodes = self._client.nodes
        await self._client.send(order, nodes[first % len(nodes)], drop_response=True)
        for step in (1, 2):
            await self._client.submit(order, first + step)

    async def send_invalid(self) -> None:
        """Send invalid and too large configurations; each must be rejected as documented."""
        version = await self.next_version()
        invalid = self._injector.deployment.plan.configuration | {
            "routes": {"x": {"kind": "prompt", "service": "nowhere", "class": "fast", "deadline_s": -1}},
            "limits": {"max_in_flight": "many"},
        }
        await self._client.submit(put_configuration(version, msgspec.json.encode(invalid), expected=422))
        bad_patch = msgspec.json.encode({"limits": {"queue_length": -5}})
        await self._client.submit(patch_configuration(version, bad_patch, expected=422))
        await self._client.submit(put_configuration(version, b"{not json", expected=422))
        too_large = self._padded(MAX_CONFIGURATION_BYTES + 1)
        await self._client.submit(put_configuration(version, too_large, expected=413))

    async def send_huge(self) -> None:
        """Send a valid configuration just under the size limit, then the ordinary one again."""
        huge = self._huge_document()
        self._injector.record_fault(
            "huge_configuration", "operators", began=True, detail=f"{len(huge)} bytes"
        )
        await self._client.submit_accepted(put_configuration(await self.next_version(), huge))
        ordinary = msgspec.json.encode(self._injector.deployment.plan.configuration)
        await self._client.submit_accepted(put_configuration(await self.next_version(), ordinary))
        self._injector.record_fault("huge_configuration", "operators", began=False)

    async def submit_changes(self, count: int) -> None:
        """Submit ``count`` changes, alternately to a tenant's quota and to the configuration."""
        tenant = self._injector.deployment.plan.tenants[0]
        for number in range(count):
            if number % 2:
                await self.patch("queue_length", 256 + number)
                continue
            burst = tenant.burst_tokens + number % 7
            await self._client.submit_accepted(put_tenant(tenant.name, tenant.tokens_per_s, burst), number)

    async def revoke_while_streaming(self) -> None:
        """Revoke a key in use; observe its running stream and a keep-alive connection."""
        plan = self._injector.deployment.plan
        key_id, key = f"short-lived-{secrets.token_hex(4)}", secrets.token_urlsafe(24)
        await self._client.submit_accepted(put_key(key_id, plan.tenants[0].name, key))
        await asyncio.sleep(KEY_PROPAGATION_S)
        node = self._injector.pick_node(controller=False)
        url = f"http://{node.client_address}/v1/chat/completions"
        route = next(traffic.route for traffic in plan.traffic if traffic.kind == "prompt")
        probe = RevocationProbe(url, route, key)
        await probe.begin()
        try:
            response = await self._client.submit_accepted(revoke_key(key_id))
            record = await probe.observe(response.answered_at_s)
            self._injector.records.revocations.append(record)
        finally:
            await probe.close()

    def _random_node_index(self) -> int:
        return self._injector.random.randrange(len(self._client.nodes))

    def _padded(self, size_bytes: int) -> bytes:
        ordinary = msgspec.json.encode(self._injector.deployment.plan.configuration)
        return ordinary + b" " * (size_bytes - len(ordinary))

    def _huge_document(self) -> bytes:
        configuration = dict(self._injector.deployment.plan.configuration)
        service = self._injector.deployment.plan.rollout_service
        routes: dict[str, object] = dict(msgspec.convert(configuration["routes"], dict[str, object]))
        for number in range(int(MAX_CONFIGURATION_BYTES * HUGE_DOCUMENT_SHARE) // FILLER_ROUTE_BYTES):
            # Generated configurations have names of this length.
            name = f"generated-{'x' * 60}-{number:06d}"
            routes[name] = {"kind": "prompt", "service": service, "class": "bulk", "deadline_s": 30.0}
        configuration["routes"] = routes
        return msgspec.json.encode(configuration)
