"""Admin endpoints of the control state: configuration, tenants, keys, controllers."""

from __future__ import annotations

import asyncio
import hashlib
import math
import re
from typing import Protocol

import msgspec
from aiohttp import web

from springmux.control.commands import ApplyConfiguration, PutKey, PutTenant, RemoveTenant, RevokeKey
from springmux.control.configuration import (
    ConfigurationTooLargeError,
    InvalidConfigurationError,
    decode_document,
    parse_configuration,
)
from springmux.control.name_pattern import NAME_PATTERN
from springmux.control.state import ControlState
from springmux.control.view import ControlView, Tenant
from springmux.node.admin.errors import invalid_field_error, validation_error
from springmux.node.admin.json_bodies import decode_body, json_response
from springmux.node.admin.order_submission import OrderSubmitter, operator_name, order_id
from springmux.vocabulary.errors import ApiError, ApiResponseError, ErrorCode, FieldError
from springmux.vocabulary.names import KeyDigest, KeyId, TenantName

_NAME = re.compile(NAME_PATTERN)
_DIGEST = re.compile(r"[0-9a-f]{64}")
_VERSION = re.compile(r"[0-9]{1,15}")
"""Up to 15 digits, which stay below 2**53, so that every JSON reader represents the version exactly."""
MINIMUM_KEY_LENGTH = 16
"""Minimum length of a key in characters, so that it can't be guessed; generated keys have 43."""


class ConfigurationEntry(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/configuration/history``: a configuration that was applied."""

    version: int
    order: str
    issued_by: str
    revision: int


class ControlAgent(Protocol):
    """Interface of the agent, as these endpoints read it."""

    @property
    def view(self) -> ControlView:
        """The control state in force."""

    @property
    def control(self) -> ControlState:
        """The state machine, read for documents and history; the endpoints apply no command to it."""


class TenantBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/tenants/{tenant}``."""

    tokens_per_s: float
    burst_tokens: float
    weight: float = 1.0


class KeyBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/keys/{key}``; it has either the key or the key's digest."""

    tenant: str
    key: str | None = None
    digest: str | None = None


class TransferBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/controllers/transfer``. An empty ``target`` means any replica."""

    target: str = ""


class RemoveBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/controllers/remove``."""

    replica: str


class ConfigurationBody(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/configuration``."""

    version: int
    revision: int
    document: msgspec.Raw


class ValidBody(msgspec.Struct, frozen=True):
    """Response of ``POST /v1/configuration/validate`` to a valid document."""

    valid: bool = True


class TenantEntry(msgspec.Struct, frozen=True):
    """One tenant of ``GET /v1/tenants``, with its defaults, which readers should not have to know."""

    name: TenantName
    tokens_per_s: float
    burst_tokens: float
    weight: float


class KeyEntry(msgspec.Struct, frozen=True):
    """One key of ``GET /v1/keys``, without the key itself and its digest."""

    key: str
    tenant: str
    revoked: bool


class ControlEndpoints:
    """Submits operators' requests as orders.

    :param max_configuration_bytes: largest configuration document that is accepted.
    """

    def __init__(self, agent: ControlAgent, orders: OrderSubmitter, max_configuration_bytes: int) -> None:
        self._agent = agent
        self._orders = orders
        self._max_bytes = max_configuration_bytes

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the endpoints' paths at ``router``."""
        router.add_get("/v1/configuration", self._show)
        router.add_get("/v1/configuration/history", self._history)
        router.add_post("/v1/configuration/validate", self._validate)
        router.add_put("/v1/configuration", self._put)
        router.add_patch("/v1/configuration", self._patch)
        router.add_get("/v1/tenants", self._list_tenants)
        router.add_put("/v1/tenants/{tenant}", self._put_tenant)
        router.add_delete("/v1/tenants/{tenant}", self._remove_tenant)
        router.add_get("/v1/keys", self._list_keys)
        router.add_put("/v1/keys/{key}", self._put_key)
        router.add_post("/v1/keys/{key}/revoke", self._revoke_key)
        router.add_post("/v1/controllers/transfer", self._transfer)
        router.add_post("/v1/controllers/remove", self._remove)

    async def _show(self, _: web.Request) -> web.Response:
        view = self._agent.view
        document = msgspec.Raw(self._agent.control.configuration_document() or b"{}")
        return json_response(ConfigurationBody(view.configuration.version, view.revision, document))

    async def _history(self, _: web.Request) -> web.Response:
        entries = self._agent.control.configuration_history()
        return json_response(
            [
                ConfigurationEntry(entry.version, entry.order, entry.issued_by, entry.revision)
                for entry in entries
            ]
        )

    async def _validate(self, request: web.Request) -> web.Response:
        await self._check_document(await request.read(), partial=False)
        return json_response(ValidBody())

    async def _check_document(self, document: bytes, partial: bool) -> None:
        """Check a document in a thread. A patch is only decoded here; its effect is checked when applied."""

        def parse() -> object:
            return decode_document(document) if partial else parse_configuration(document, 0, self._max_bytes)

        if len(document) > self._max_bytes:
            raise _too_large(len(document), self._max_bytes)
        try:
            await asyncio.to_thread(parse)
        except ConfigurationTooLargeError as error:
            raise _too_large(error.size_bytes, error.limit_bytes) from None
        except InvalidConfigurationError as error:
            count = len(error.errors)
            text = f"the configuration has {count} wrong field{'s' if count != 1 else ''}"
            raise validation_error(ErrorCode.INVALID_CONFIGURATION, text, error.errors) from None

    async def _put(self, request: web.Request) -> web.Response:
        return await self._change(request, partial=False)

    async def _patch(self, request: web.Request) -> web.Response:
        return await self._change(request, partial=True)

    async def _change(self, request: web.Request, partial: bool) -> web.Response:
        version = _requested_version(request)
        document = await request.read()
        await self._check_document(document, partial)
        command = ApplyConfiguration(
            order=order_id(request),
            issued_by=operator_name(request),
            version=version,
            document=document,
            partial=partial,
        )
        return await self._orders.submit(command, ErrorCode.VERSION_CONFLICT)

    async def _list_tenants(self, _: web.Request) -> web.Response:
        tenants = self._agent.view.tenants
        return json_response([_tenant_entry(tenants[name]) for name in sorted(tenants)])

    async def _put_tenant(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), TenantBody)
        name = _checked_name(request.match_info["tenant"], "tenant")
        numbers = {
            "tokens_per_s": body.tokens_per_s,
            "burst_tokens": body.burst_tokens,
            "weight": body.weight,
        }
        field_errors = tuple(
            FieldError(field, "must be a positive number")
            for field, number in numbers.items()
            if not 0 < number < math.inf
        )
        if field_errors:
            raise validation_error(ErrorCode.INVALID_ORDER, "the tenant is wrong", field_errors)
        tenant = Tenant(
            name=TenantName(name),
            tokens_per_s=body.tokens_per_s,
            burst_tokens=body.burst_tokens,
            weight=body.weight,
        )
        command = PutTenant(order=order_id(request), issued_by=operator_name(request), tenant=tenant)
        return await self._orders.submit(command, ErrorCode.VERSION_CONFLICT)

    async def _remove_tenant(self, request: web.Request) -> web.Response:
        tenant = TenantName(_checked_name(request.match_info["tenant"], "tenant"))
        command = RemoveTenant(order=order_id(request), issued_by=operator_name(request), tenant=tenant)
        return await self._orders.submit(command, ErrorCode.VERSION_CONFLICT)

    async def _list_keys(self, _: web.Request) -> web.Response:
        keys = sorted(self._agent.view.keys.values(), key=lambda record: record.key)
        return json_response([KeyEntry(key.key, key.tenant, key.revoked) for key in keys])

    async def _put_key(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), KeyBody)
        command = PutKey(
            order=order_id(request),
            issued_by=operator_name(request),
            key=KeyId(_checked_name(request.match_info["key"], "key_id")),
            digest=_key_digest(body),
            tenant=TenantName(_checked_name(body.tenant, "tenant")),
        )
        return await self._orders.submit(command, ErrorCode.VERSION_CONFLICT)

    async def _revoke_key(self, request: web.Request) -> web.Response:
        key = KeyId(_checked_name(request.match_info["key"], "key_id"))
        command = RevokeKey(order=order_id(request), issued_by=operator_name(request), key=key)
        return await self._orders.submit(command, ErrorCode.VERSION_CONFLICT)

    async def _transfer(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read() or b"{}", TransferBody)
        return await self._orders.transfer(body.target and _checked_name(body.target, "target"))

    async def _remove(self, request: web.Request) -> web.Response:
        replica = decode_body(await request.read(), RemoveBody).replica
        return await self._orders.remove(_checked_name(replica, "replica"))


def _too_large(size_bytes: int, limit_bytes: int) -> ApiResponseError:
    text = f"the configuration has {size_bytes} bytes, the limit is {limit_bytes}"
    return ApiResponseError(ApiError(code=ErrorCode.BODY_TOO_LARGE, message=text, status=413))


def _tenant_entry(tenant: Tenant) -> TenantEntry:
    return TenantEntry(
        name=tenant.name,
        tokens_per_s=tenant.tokens_per_s,
        burst_tokens=tenant.burst_tokens,
        weight=tenant.weight,
    )


def _requested_version(request: web.Request) -> int:
    text = request.query.get("version", "")
    if not _VERSION.fullmatch(text) or int(text) == 0:
        raise invalid_field_error("version", "give ?version=N, the present version plus 1")
    return int(text)


def _checked_name(value: str, path: str) -> str:
    if not _NAME.fullmatch(value):
        raise validation_error(
            ErrorCode.INVALID_ORDER, "the name is wrong", (FieldError(path, f"must match {NAME_PATTERN}"),)
        )
    return value


def _key_digest(body: KeyBody) -> KeyDigest:
    if (body.key is None) == (body.digest is None):
        raise invalid_field_error("key", "give the key or its digest, one of them")
    if body.key is not None:
        if len(body.key) < MINIMUM_KEY_LENGTH:
            raise invalid_field_error("key", f"must have at least {MINIMUM_KEY_LENGTH} characters")
        return KeyDigest(hashlib.sha256(body.key.encode()).hexdigest())
    digest = (body.digest or "").lower()
    if not _DIGEST.fullmatch(digest):
        raise invalid_field_error("digest", "must be a SHA-256 of 64 hex digits")
    return KeyDigest(digest)
