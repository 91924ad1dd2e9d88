"""Admin endpoints of rollouts: templates, preview, orders, status, history."""

from __future__ import annotations

import uuid
from typing import Protocol

import msgspec
from aiohttp import web

from springmux.control.commands import AbortRollout, PauseRollout, PromoteRollout, PutTemplate, ResumeRollout
from springmux.control.view import ControlView
from springmux.coordination.membership.view import MembershipView
from springmux.node.admin.errors import invalid_field_error, validation_error
from springmux.node.admin.json_bodies import json_response
from springmux.node.admin.order_submission import OrderSubmitter, operator_name, order_id
from springmux.node.admin.rollout_history import RolloutHistory
from springmux.node.service_rates import ServiceRates
from springmux.rollout.plan import RolloutPlan, RolloutRecord
from springmux.rollout.planning.preview import EngineCapacity, Preview, preview
from springmux.rollout.planning.standard_template import STANDARD_TEMPLATE
from springmux.rollout.planning.template import (
    RolloutTemplate,
    TemplateError,
    instantiate,
    parse_promote_body,
    parse_template,
)
from springmux.rollout.status import RolloutStatus
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.errors import ApiError, ApiResponseError, ErrorCode, FieldError
from springmux.vocabulary.names import RolloutId, ServiceName

MAX_PROMPTS_PER_S = 1e9
"""Upper bound of a requested rate, far above any fleet; sums over the longest rollout (a day) stay exact."""


class RolloutsAgent(Protocol):
    """Interface of the agent, as these endpoints read it."""

    @property
    def view(self) -> ControlView:
        """The control state in force."""

    @property
    def membership(self) -> MembershipView:
        """The nodes of the fleet."""

    @property
    def engines(self) -> EnginesView:
        """The directory of engines."""

    def rollout_status(self, service: ServiceName) -> RolloutStatus | None:
        """Return the status of a service's rollout as this node knows it, or ``None``."""


class RolloutReport(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/rollouts/{service}``."""

    record: RolloutRecord
    status: RolloutStatus | None


class RolloutEndpoints:
    """Submits operators' rollout requests as orders, and reports rollouts."""

    def __init__(
        self, agent: RolloutsAgent, orders: OrderSubmitter, history: RolloutHistory, rates: ServiceRates
    ) -> None:
        self._agent = agent
        self._orders = orders
        self._history = history
        self._rates = rates

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the endpoints' paths at ``router``."""
        router.add_get("/v1/templates", self._list_templates)
        router.add_put("/v1/templates/{name}", self._put_template)
        router.add_post("/v1/rollouts/preview", self._preview)
        router.add_get("/v1/rollouts", self._list)
        router.add_get("/v1/rollouts/{service}", self._show)
        router.add_get("/v1/rollouts/{service}/history", self._show_history)
        router.add_post("/v1/rollouts/{service}/promote", self._promote)
        router.add_post("/v1/rollouts/{service}/pause", self._pause)
        router.add_post("/v1/rollouts/{service}/resume", self._resume)
        router.add_post("/v1/rollouts/{service}/abort", self._abort)

    async def _list_templates(self, _: web.Request) -> web.Response:
        stored = [msgspec.Raw(document) for _, document in sorted(self._agent.view.templates.items())]
        built_in = msgspec.Raw(STANDARD_TEMPLATE.model_dump_json().encode())
        return json_response([built_in, *stored])

    async def _put_template(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        document = await request.read()
        _check_template(name, document)
        command = PutTemplate(
            order=order_id(request), issued_by=operator_name(request), name=name, document=document
        )
        return await self._orders.submit(command, ErrorCode.ROLLOUT_CONFLICT)

    def _template(self, name: str) -> RolloutTemplate:
        if name in ("", STANDARD_TEMPLATE.name):
            return STANDARD_TEMPLATE
        document = self._agent.view.templates.get(name)
        if document is None:
            known = sorted({STANDARD_TEMPLATE.name, *self._agent.view.templates})
            field_error = FieldError("template", f"no template {name!r}; there are {known}")
            raise validation_error(ErrorCode.INVALID_ORDER, "the order is wrong", (field_error,))
        return parse_template(document)

    async def _parse_plan(self, request: web.Request, service: str) -> RolloutPlan:
        try:
            body = parse_promote_body(await request.read())
            parameters = dict(body.parameters)
            if service:
                parameters.setdefault("service", service)
            plan = instantiate(self._template(body.template), parameters)
        except TemplateError as error:
            raise validation_error(ErrorCode.INVALID_ORDER, "the plan is wrong", error.errors) from None
        if service and plan.service != service:
            field_error = FieldError("parameters.service", f"is {plan.service!r}, the path says {service!r}")
            raise validation_error(ErrorCode.INVALID_ORDER, "the plan is wrong", (field_error,))
        if plan.service not in self._agent.view.configuration.services:
            field_error = FieldError(
                "parameters.service", f"the configuration has no service {plan.service!r}"
            )
            raise validation_error(ErrorCode.INVALID_ORDER, "the plan is wrong", (field_error,))
        return plan

    def _preview_plan(self, plan: RolloutPlan, requested_rate: str | None) -> Preview:
        if requested_rate is not None:
            prompts_per_s = _parse_rate(requested_rate)
        else:
            # Clients are spread evenly, so every node has about this node's rate.
            nodes = max(1, len(self._agent.membership.present()))
            prompts_per_s = self._rates.per_s(plan.service) * nodes
        return preview(plan, prompts_per_s, self._capacity(plan))

    def _capacity(self, plan: RolloutPlan) -> EngineCapacity:
        stable = self._agent.view.stable_version(plan.service)
        ready = self._agent.engines.ready(plan.service)
        candidates = [record for record in ready if record.version == plan.candidate]
        return EngineCapacity(
            candidate=sum(record.capacity for record in candidates),
            stable=sum(record.capacity for record in ready if record.version == stable),
            candidate_engines=len(candidates),
        )

    async def _preview(self, request: web.Request) -> web.Response:
        plan_preview = self._preview_plan(
            await self._parse_plan(request, ""), request.query.get("prompts_per_s")
        )
        _check_feasible(plan_preview)
        return json_response(plan_preview)

    async def _promote(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        plan = await self._parse_plan(request, service)
        order = order_id(request)
        command = PromoteRollout(
            order=order,
            issued_by=operator_name(request),
            # Derived from the order id, so that a resent order names the same rollout.
            rollout=RolloutId(uuid.uuid5(uuid.NAMESPACE_OID, order).hex),
            plan=plan,
        )
        return await self._orders.submit(command, ErrorCode.ROLLOUT_CONFLICT)

    async def _pause(self, request: web.Request) -> web.Response:
        command = PauseRollout(
            order=order_id(request), issued_by=operator_name(request), service=_service(request)
        )
        return await self._orders.submit(command, ErrorCode.ROLLOUT_CONFLICT)

    async def _resume(self, request: web.Request) -> web.Response:
        command = ResumeRollout(
            order=order_id(request), issued_by=operator_name(request), service=_service(request)
        )
        return await self._orders.submit(command, ErrorCode.ROLLOUT_CONFLICT)

    async def _abort(self, request: web.Request) -> web.Response:
        command = AbortRollout(
            order=order_id(request), issued_by=operator_name(request), service=_service(request)
        )
        return await self._orders.submit(command, ErrorCode.ROLLOUT_CONFLICT)

    def _report(self, record: RolloutRecord) -> RolloutReport:
        return RolloutReport(record=record, status=self._agent.rollout_status(record.service))

    async def _list(self, _: web.Request) -> web.Response:
        rollouts = self._agent.view.rollouts
        return json_response([self._report(rollouts[service]) for service in sorted(rollouts)])

    async def _show(self, request: web.Request) -> web.Response:
        record = self._agent.view.rollouts.get(_service(request))
        if record is None:
            text = f"no rollout of {_service(request)!r}"
            raise ApiResponseError(ApiError(code=ErrorCode.NOT_FOUND, message=text, status=404))
        return json_response(self._report(record))

    async def _show_history(self, request: web.Request) -> web.Response:
        return json_response(self._history.samples_of(_service(request)))


def _check_template(name: str, document: bytes) -> None:
    try:
        template = parse_template(document)
    except TemplateError as error:
        raise validation_error(ErrorCode.INVALID_ORDER, "the template is wrong", error.errors) from None
    if template.name != name:
        field_error = FieldError("name", f"is {template.name!r}, the path says {name!r}")
        raise validation_error(ErrorCode.INVALID_ORDER, "the template is wrong", (field_error,))
    if name == STANDARD_TEMPLATE.name:
        field_error = FieldError("name", "this name belongs to the built-in template")
        raise validation_error(ErrorCode.INVALID_ORDER, "the template is wrong", (field_error,))


def _service(request: web.Request) -> ServiceName:
    return ServiceName(request.match_info["service"])


def _parse_rate(text: str) -> float:
    try:
        rate = float(text)
    except ValueError:
        raise invalid_field_error("prompts_per_s", "must be a number") from None
    if not 0 <= rate <= MAX_PROMPTS_PER_S:
        raise invalid_field_error("prompts_per_s", f"must be a number from 0 to {MAX_PROMPTS_PER_S:.0e}")
    return rate


def _check_feasible(plan_preview: Preview) -> None:
    if plan_preview.refusal:
        field_error = FieldError("plan", plan_preview.refusal)
        raise validation_error(ErrorCode.INVALID_ORDER, "the plan can't keep its promises", (field_error,))
