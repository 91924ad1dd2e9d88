"""Collects from the code the names that people and programs outside of the fleet use."""

from __future__ import annotations

import ast
import re
import types
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast, get_args

import msgspec
import pydantic
import typer
from aiohttp import web

import springmux
from springmux.agent import wire
from springmux.agent.status import NodeStatusReport
from springmux.cli.exit_codes import ExitCode
from springmux.cli.main import application
from springmux.control import documents, gateway_documents
from springmux.control.commands import Outcome
from springmux.control.delivery.arrival import DeliveryMethod
from springmux.coordination.state_machine import message_name
from springmux.gateway.dialect import OWN_HEADERS
from springmux.gateway.refusals import RefusalReason
from springmux.node import health, lifecycle
from springmux.node.admin import control_endpoints as admin_control
from springmux.node.admin import engine_endpoints as admin_engines
from springmux.node.admin import listener as admin_listener
from springmux.node.admin import order_submission as admin_orders
from springmux.node.admin import rollout_endpoints as admin_rollouts
from springmux.node.admin import rollout_history
from springmux.node.client import error_responses as answers
from springmux.node.gateway import (
    control_interface,
    control_responses,
    engine_endpoints,
    forwarder,
    rollout_endpoints,
    status_endpoint,
)
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.metrics.table import METRICS, PREFIX
from springmux.node.settings import NodeSettings
from springmux.node.storage.worker import FAILURE_KINDS
from springmux.rollout.planning import template
from springmux.rollout.planning.preview import Preview
from springmux.rollout.planning.standard_template import STANDARD_TEMPLATE
from springmux.router.errors import STATUS_OF_CODE
from springmux.vocabulary.errors import ErrorCode, Fate
from unit.compatibility.shapes import Shape, shape_of

BODIES: dict[str, type] = {
    "GET /readyz": health.ReadyBody,
    "GET /v1/configuration": admin_control.ConfigurationBody,
    "GET /v1/configuration/history": admin_control.ConfigurationEntry,
    "POST /v1/configuration/validate": admin_control.ValidBody,
    "PUT /v1/tenants": admin_control.TenantBody,
    "PUT /v1/keys": admin_control.KeyBody,
    "GET /v1/keys": admin_control.KeyEntry,
    "POST /v1/controllers/transfer": admin_control.TransferBody,
    "POST /v1/controllers/remove": admin_control.RemoveBody,
    "POST /v1/engines/announce": admin_engines.AnnounceBody,
    "POST /v1/engines/heartbeat": admin_engines.HeartbeatBody,
    "POST /v1/engines/drain, leave": admin_engines.EngineBody,
    "GET /v1/engines": admin_engines.EngineList,
    "GET /v1/status": admin_listener.StatusBody,
    "GET /v1/status of a gateway": NodeStatusReport,
    "GET /v1/rollouts": admin_rollouts.RolloutReport,
    "GET /v1/rollouts/{service}/history": rollout_history.RolloutSamples,
    "POST /v1/rollouts/preview": Preview,
    "an order's answer": admin_orders.AcceptedBody,
    "an order's conflict": admin_orders.ConflictBody,
    "an error": answers.ErrorBody,
    "gateway: GET /readyz": control_interface.ReadyBody,
    "gateway: GET /v1/gateway/status": status_endpoint.GatewayStatusBody,
    "gateway: PUT /v1/gateway/engines": engine_endpoints.HeartbeatBody,
    "gateway: POST /v1/gateway/rollouts": rollout_endpoints.RolloutBody,
    "gateway: GET /v1/gateway/rollouts": rollout_endpoints.RolloutStateBody,
    "gateway: an error of control": control_responses.ErrorBody,
    "gateway: an error to a client": forwarder._ErrorBody,
    "gateway: configuration, back end": gateway_documents.BackendItem,
    "gateway: configuration, route": gateway_documents.RouteItem,
    "gateway: configuration, engine": gateway_documents.EngineItem,
    "gateway: configuration, service": gateway_documents.ServiceItem,
    "gateway: configuration, tenant": gateway_documents.TenantItem,
    "gateway: configuration, limits": gateway_documents.LimitsItem,
    "gateway: settings": GatewaySettings,
}
"""JSON bodies by the endpoint or document in which they are used."""

DOCUMENTS: dict[str, type[pydantic.BaseModel]] = {
    "settings": NodeSettings,
    "configuration, services": documents.ServiceDocument,
    "configuration, routes": documents.RouteDocument,
    "configuration, limits": documents.LimitsDocument,
    "configuration, exceptions": documents.ExceptionsDocument,
    "rollout template": template.RolloutTemplate,
    "rollout template, parameter": template.Parameter,
    "rollout, promote": template.PromoteBody,
}
"""Documents that operators write, by their kind."""

_OUTER_LITERAL = re.compile(
    r"^(x-[a-z-]+|/(v1|readyz|healthz|metrics|springmux)\b\S*|SPRINGMUX_\w+)$", re.IGNORECASE
)


def outer_names() -> dict[str, Any]:
    """Return all names by kind, in a form that can be encoded as JSON."""
    return {
        "bodies": {name: _body(body) for name, body in BODIES.items()},
        "documents": {name: _fields(model) for name, model in DOCUMENTS.items()},
        "standard template": STANDARD_TEMPLATE.model_dump(mode="json"),
        "paths": sorted(_admin_paths()),
        "literals": sorted(_literals()),
        "headers": {name: getattr(OWN_HEADERS, name).decode() for name in OWN_HEADERS.__struct_fields__},
        "metrics": {
            f"{PREFIX}{spec.name}": [spec.kind.value, list(spec.labels), list(spec.buckets)]
            for spec in METRICS
        },
        "metric labels": {
            "message": sorted(message_name(message) for message in wire.ALL_MESSAGES),
            "reason": sorted(RefusalReason),
            "kind": sorted(FAILURE_KINDS.values()),
            "way": sorted(DeliveryMethod),
            "outcome": sorted(Outcome),
        },
        "error codes": {code: STATUS_OF_CODE.get(code) for code in ErrorCode},
        "fates": sorted(Fate),
        "exit codes": {code.name: code.value for code in ExitCode},
        "daemon's exit codes": sorted(
            value for name, value in vars(lifecycle).items() if name.startswith("EXIT_")
        ),
        "commands": dict(_commands("springmux", typer.main.get_command(application))),
    }


def _body(body: type) -> Shape:
    return shape_of(body)


def _fields(model: type[pydantic.BaseModel]) -> dict[str, Any]:
    return {
        field.alias or name: {
            "required": field.is_required(),
            "default": None if field.is_required() else repr(field.default),
            "values": _values(field.annotation),
        }
        for name, field in model.model_fields.items()
    }


def _values(annotation: Any) -> list[str]:
    if typing.get_origin(annotation) is typing.Literal:
        return [str(value) for value in get_args(annotation)]
    if isinstance(annotation, types.UnionType):
        return [value for each in get_args(annotation) for value in _values(each)]
    return []


def _admin_paths() -> Iterator[str]:
    router = web.UrlDispatcher()
    unused = cast(Any, None)
    admin_control.ControlEndpoints(unused, unused, 0).add_routes(router)
    admin_engines.EngineEndpoints(unused, unused, unused).add_routes(router)
    admin_rollouts.RolloutEndpoints(unused, unused, unused, unused).add_routes(router)
    for route in router.routes():
        assert route.resource is not None
        yield f"{route.method} {route.resource.canonical}"


def _literals() -> set[str]:
    """Return the paths, headers and environment variables that are literals in the code."""
    found = set()
    for file in Path(springmux.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text("utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
                text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
                if _OUTER_LITERAL.match(text):
                    found.add(text)
    return found


def _commands(path: str, command: Any) -> Iterator[tuple[str, list[str]]]:
    for name, member in sorted(getattr(command, "commands", {}).items()):
        yield from _commands(f"{path} {name}", member)
    if not hasattr(command, "commands"):
        yield (
            path,
            [
                each.name.upper()
                if each.param_type_name == "argument"
                else ", ".join([*each.opts, *each.secondary_opts])
                for each in command.params
            ],
        )


def json_form(value: Any) -> Any:
    """Return ``value`` as it is decoded from its JSON encoding."""
    return msgspec.json.decode(msgspec.json.encode(value))
