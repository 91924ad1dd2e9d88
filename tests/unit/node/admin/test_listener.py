"""The admin listener: reports of engines, orders of operators, health."""

import asyncio
import io
import json
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, OrderSubmitted
from springmux.agent.readiness import CUT_OFF, FETCHING, JOINING, STARTING, STOPPING
from springmux.control.commands import (
    AnyCommand,
    ApplyConfiguration,
    CommandResult,
    Outcome,
    PromoteRollout,
    PutKey,
)
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect
from springmux.node.admin import control_endpoints as admin_control
from springmux.node.admin.listener import AdminListener
from springmux.node.admin.rollout_history import RolloutHistory
from springmux.node.driver import AgentDriver
from springmux.node.health import NodeHealth
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.service_rates import ServiceRates
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.errors import ApiError, ErrorCode, FieldError
from tests.unit.node.support import TEST_TIMEOUT_S, FakeAgent, make_settings, make_view, until

ENGINE = {
    "engine": "e1", "service": "text", "version": "v1", "address": "127.0.0.1:9000",
    "capacity": 4, "incarnation": 7,
}  # fmt: skip
CONFIGURATION = {
    "services": {"text": {"stable": "v1"}},
    "routes": {"chat": {"kind": "prompt", "service": "text", "class": "bulk"}},
}


class RunningAdmin:
    """A running admin listener, and an HTTP client for it."""

    def __init__(self, agent: FakeAgent, base: str, session: aiohttp.ClientSession) -> None:
        self.agent, self._base, self._session = agent, base, session
        self.health = NodeHealth(agent)

    async def send(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any, dict[str, str]]:
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self._session.request(
            method, self._base + path, data=data, headers=header_fields
        ) as response:
            raw = await response.read()
            is_json = response.content_type == "application/json"
            return response.status, json.loads(raw) if is_json else raw, dict(response.headers)

    def commands(self) -> list[AnyCommand]:
        return [event.command for event in self.agent.events if isinstance(event, OrderSubmitted)]


@asynccontextmanager
async def admin_node(**settings_values: Any) -> AsyncIterator[RunningAdmin]:
    settings = make_settings(**settings_values)
    agent = FakeAgent(make_view())
    log, metrics = EventLog("n1", output=io.StringIO()), NodeMetrics()
    driver = AgentDriver(agent, log, metrics)
    health = NodeHealth(agent)
    listener = AdminListener(settings, agent, driver, metrics, log, RolloutHistory(), ServiceRates(), health)
    await listener.listen()
    async with aiohttp.ClientSession() as session:
        admin = RunningAdmin(agent, f"http://{settings.admin_address}", session)
        admin.health = health
        yield admin
    await listener.close()
    driver.stop()


def respond_with(outcome: Outcome, **values: Any) -> Any:
    def on_order(event: OrderSubmitted) -> list[Effect]:
        result = CommandResult(event.command.order, outcome, Revision(9), **values)
        return [OrderAnswered(event.correlation_id, result)]

    return on_order


async def test_announce_heartbeat_and_drain_are_submitted_as_events() -> None:
    async with admin_node() as admin:
        assert (await admin.send("POST", "/v1/engines/announce", ENGINE))[0] == 204
        heartbeat_body = {
            **ENGINE,
            "sequence": 3,
            "status": "draining",
            "running": 2,
            "queued": 1,
            "cache_used": 0.5,
        }
        assert (await admin.send("POST", "/v1/engines/heartbeat", heartbeat_body))[0] == 204
        assert (await admin.send("POST", "/v1/engines/drain", {"engine": "e1"}))[0] == 204
        announced, heartbeat, draining = admin.agent.events
        assert isinstance(announced, EngineAnnounced)
        assert announced.record.incarnation == 7
        assert isinstance(heartbeat, EngineHeartbeat)
        assert heartbeat.record.status is EngineStatus.DRAINING
        assert (heartbeat.record.sequence, heartbeat.load.running, heartbeat.load.queued) == (3, 2, 1)
        assert isinstance(draining, EngineDraining)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({**ENGINE, "capacity": "4"}, "capacity"),
        ({**ENGINE, "capacity": 0}, "capacity"),
        ({**ENGINE, "address": "engine:9000"}, "address"),
        ({**ENGINE, "engine": "e\r\nX-Evil: 1"}, "engine"),
        ({**ENGINE, "capacity": 1 << 62}, "capacity"),
        ({**ENGINE, "incarnation": 1 << 64}, "incarnation"),
        ({**ENGINE, "incarnation": -1}, "incarnation"),
        ({**ENGINE, "engine": "e1\n"}, "engine"),
        ({**ENGINE, "zone": "z" * 65}, "zone"),
        ({**ENGINE, "address": "::1:9000"}, "address"),
        ({"engine": "e1"}, "$"),
        (b'{"x": ' + b"[" * 100_000, "$"),
    ],
)
async def test_invalid_announcement_gets_an_error_with_its_field_and_is_not_submitted(
    body: Any, field: str
) -> None:
    async with admin_node() as admin:
        status, document, _ = await admin.send("POST", "/v1/engines/announce", body)
        assert (status, document["error"]["errors"][0]["path"]) == (400, field)
        assert admin.agent.events == []


@pytest.mark.parametrize("field", ["sequence", "running", "queued", "cache_used"])
async def test_heartbeat_with_a_number_out_of_range_is_refused(field: str) -> None:
    async with admin_node() as admin:
        for value in (-1, 1 << 64):
            body = {**ENGINE, "sequence": 1, field: value}
            status, document, _ = await admin.send("POST", "/v1/engines/heartbeat", body)
            assert (status, document["error"]["errors"][0]["path"]) == (400, field)
        assert admin.agent.events == []


@pytest.mark.parametrize(
    ("reason", "code"),
    [
        (STARTING, "not_ready"),
        (JOINING, "not_ready"),
        (CUT_OFF, "cut_off"),
        (STOPPING, "stopping"),
        (FETCHING, None),
    ],
)
async def test_node_that_reaches_no_other_node_refuses_reports_of_engines(
    reason: str, code: str | None
) -> None:
    async with admin_node() as admin:
        admin.agent.ready, admin.agent.not_ready_reason = False, reason
        name, heartbeat_body = {"engine": "e1"}, {**ENGINE, "sequence": 1}
        for path, body in (
            ("announce", ENGINE),
            ("heartbeat", heartbeat_body),
            ("drain", name),
            ("leave", name),
        ):
            status, document, headers = await admin.send("POST", f"/v1/engines/{path}", body)
            if code is None:
                assert status == 204
                continue
            assert (status, document["error"]["code"]) == (503, code)
            assert (document["error"]["fate"], headers["Retry-After"]) == ("refused", "1")
        assert len(admin.agent.events) == (4 if code is None else 0)


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("PUT", "/v1/tenants/t%0A", {"tokens_per_s": 1, "burst_tokens": 1}),
        ("DELETE", "/v1/tenants/t%0A", None),
        ("POST", "/v1/keys/k%0A/revoke", None),
        ("PUT", "/v1/keys/k2", {"tenant": "t\n", "digest": "0" * 64}),
        ("PUT", "/v1/keys/k2", {"tenant": "t1", "digest": "0" * 63 + "\n"}),
        ("PUT", f"/v1/configuration?version={'9' * 5000}", CONFIGURATION),
        ("POST", "/v1/controllers/remove", {"replica": "r" * 1000}),
        ("POST", "/v1/controllers/transfer", {"target": "a b"}),
        ("PUT", "/v1/tenants/t1", b'{"x": ' + b"[" * 100_000),
    ],
)
async def test_order_with_invalid_values_is_refused_and_not_submitted(
    method: str, path: str, body: Any
) -> None:
    async with admin_node() as admin:
        status, document, _ = await admin.send(method, path, body)
        assert (status in (400, 422), document["error"]["fate"]) == (True, "refused")
        assert admin.agent.events == []


async def test_accepted_order_is_submitted_with_id_and_operator_and_returns_its_result() -> None:
    async with admin_node() as admin:
        admin.agent.on_order = respond_with(Outcome.ACCEPTED, version=2)
        status, document, _ = await admin.send(
            "PUT", "/v1/configuration?version=2", CONFIGURATION, X_Order_Id="o-1", X_Operator="ada"
        )
        assert (status, document) == (
            200, {"order": "o-1", "outcome": "accepted", "revision": 9, "version": 2}
        )  # fmt: skip
        (command,) = admin.commands()
        assert isinstance(command, ApplyConfiguration)
        assert (command.order, command.issued_by, command.version, command.partial) == (
            "o-1",
            "ada",
            2,
            False,
        )


async def test_order_outcomes_have_their_http_statuses() -> None:
    winner = {"version": 2, "order": "other"}
    field_errors = (FieldError("a.b", "bad"),)
    cases = [
        (respond_with(Outcome.CONFLICT, winner=winner), 409, "version_conflict"),
        (respond_with(Outcome.INVALID, errors=field_errors), 422, "invalid_order"),
        (respond_with(Outcome.NOT_FOUND), 404, "not_found"),
    ]
    async with admin_node() as admin:
        for on_order, status, code in cases:
            admin.agent.on_order = on_order
            received_status, document, _ = await admin.send(
                "PATCH", "/v1/configuration?version=2", {"limits": {}}
            )
            assert (received_status, document["error"]["code"]) == (status, code)
            if status == 409:
                assert document["winner"] == winner
            if status == 422:
                assert document["error"]["errors"] == [{"path": "a.b", "message": "bad"}]


async def test_refused_order_has_a_retry_after_header() -> None:
    async with admin_node() as admin:
        error = ApiError(ErrorCode.NO_QUORUM, "no quorum", 503, retry_after_s=0.4)
        admin.agent.on_order = lambda event: [OrderAnswered(event.correlation_id, None, error)]
        status, document, headers = await admin.send("POST", "/v1/keys/k1/revoke")
        assert (status, document["error"]["code"], headers["Retry-After"]) == (503, "no_quorum", "1")
        assert document["error"]["node"] == "n1"


async def test_order_without_a_result_in_time_has_an_unknown_fate() -> None:
    async with admin_node(order_timeout_s=0.05) as admin:
        status, document, _ = await admin.send("POST", "/v1/keys/k1/revoke", X_Order_Id="o-2")
        assert (status, document["error"]["fate"]) == (504, "unknown")


async def test_invalid_configuration_gets_every_error_and_is_not_submitted() -> None:
    invalid_configuration = {
        "services": {"text": {"stable": ""}},
        "routes": {"chat": {"kind": "pony"}},
        "typo": {},
    }
    async with admin_node() as admin:
        for method, path in (("PUT", "/v1/configuration?version=2"), ("POST", "/v1/configuration/validate")):
            status, document, _ = await admin.send(method, path, invalid_configuration)
            paths = {error["path"] for error in document["error"]["errors"]}
            assert (status, document["error"]["code"]) == (422, "invalid_configuration")
            assert {"services.text.stable", "routes.chat.kind", "typo"} <= paths
        assert admin.commands() == []


async def test_too_large_or_malformed_configuration_or_one_without_version_is_refused() -> None:
    async with admin_node(max_configuration_bytes=1024) as admin:
        for size in (1025, 1 << 20):
            status, document, _ = await admin.send("PUT", "/v1/configuration?version=2", b" " * size)
            assert (status, document["error"]["code"]) == (413, "body_too_large")
        assert (await admin.send("PUT", "/v1/configuration?version=2", b"{"))[0] == 422
        assert (await admin.send("PUT", "/v1/configuration", CONFIGURATION))[0] == 400
        assert admin.commands() == []


async def test_parsing_a_configuration_does_not_block_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    entered, resume = threading.Event(), threading.Event()

    def slow_parse(document: bytes, version: int, max_bytes: int) -> None:
        entered.set()
        assert resume.wait(TEST_TIMEOUT_S)

    monkeypatch.setattr(admin_control, "parse_configuration", slow_parse)
    async with admin_node() as admin:
        admin.agent.on_order = respond_with(Outcome.ACCEPTED)
        order = asyncio.ensure_future(admin.send("PUT", "/v1/configuration?version=2", CONFIGURATION))
        await until(entered.is_set)
        assert (await admin.send("GET", "/healthz"))[0] == 200
        resume.set()
        assert (await order)[0] == 200


async def test_key_is_submitted_as_a_digest_and_listed_without_it() -> None:
    async with admin_node() as admin:
        admin.agent.on_order = respond_with(Outcome.ACCEPTED)
        body = {"tenant": "t1", "key": "sixteen-characters"}
        assert (await admin.send("PUT", "/v1/keys/k2", body))[0] == 200
        (command,) = admin.commands()
        assert isinstance(command, PutKey)
        assert len(command.digest) == 64
        assert (await admin.send("PUT", "/v1/keys/k3", {"tenant": "t1", "key": "short"}))[0] == 400
        _, listed, _ = await admin.send("GET", "/v1/keys")
        assert listed == [{"key": "k1", "tenant": "t1", "revoked": False}]


async def test_resent_promote_names_the_same_rollout_and_invalid_parameters_are_named() -> None:
    async with admin_node() as admin:
        admin.agent.on_order = respond_with(Outcome.ACCEPTED)
        body = {"parameters": {"candidate": "v2", "by_s": 60}}
        for _ in range(2):
            assert (await admin.send("POST", "/v1/rollouts/text/promote", body, X_Order_Id="o-3"))[0] == 200
        first, second = admin.commands()
        assert isinstance(first, PromoteRollout)
        assert first == second
        assert (first.plan.service, first.plan.candidate) == ("text", "v2")
        invalid_body = {"parameters": {"candidate": "v2", "expose_share": 0.9, "pony": 1}}
        status, document, _ = await admin.send("POST", "/v1/rollouts/text/promote", invalid_body)
        paths = {error["path"] for error in document["error"]["errors"]}
        assert (status, paths) == (422, {"parameters.expose_share", "parameters.pony"})
        assert (await admin.send("POST", "/v1/rollouts/none/promote", body))[0] == 422


async def test_preview_refuses_a_rate_over_the_engines_capacity() -> None:
    async with admin_node() as admin:
        body = {"parameters": {"service": "text", "candidate": "v2"}}
        admin.agent.add_engine("127.0.0.1:9000")
        status, document, _ = await admin.send("POST", "/v1/rollouts/preview?prompts_per_s=100", body)
        assert status == 422
        assert "too few" in document["error"]["errors"][0]["message"]
        for rate in ("nan", "-1", "1e308", "x"):
            status, document, _ = await admin.send("POST", f"/v1/rollouts/preview?prompts_per_s={rate}", body)
            assert (status, document["error"]["errors"][0]["path"]) == (400, "prompts_per_s")
        assert admin.commands() == []


async def test_readiness_health_metrics_status_and_errors_are_served() -> None:
    async with admin_node() as admin:
        assert (await admin.send("GET", "/readyz"))[:2] == (200, {"ready": True, "reason": ""})
        admin.agent.ready, admin.agent.not_ready_reason = False, "cut off"
        assert (await admin.send("GET", "/readyz"))[:2] == (503, {"ready": False, "reason": "cut off"})
        admin.health.stopping = True
        assert (await admin.send("GET", "/readyz"))[1]["reason"] == "stopping"
        assert (await admin.send("GET", "/healthz"))[0] == 200
        assert b"springmux_ready" in (await admin.send("GET", "/metrics"))[1]
        assert (await admin.send("GET", "/v1/status"))[1]["node"] == {"node": "n1"}
        for method, path, status, code in (
            ("GET", "/nothing", 404, "not_found"),
            ("DELETE", "/v1/configuration", 405, "method_not_allowed"),
            ("GET", "/v1/rollouts/text", 404, "not_found"),
        ):
            received_status, document, _ = await admin.send(method, path)
            assert (received_status, document["error"]["code"]) == (status, code)
