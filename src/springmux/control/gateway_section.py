"""The gateway's configuration in the control state: items as sent, and in the form that nodes use."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from springmux.control.command_decision import CommandDecision, conflict, invalid
from springmux.control.commands import ApplyGateway, Outcome
from springmux.control.configuration import (
    MAX_DOCUMENT_BYTES,
    ConfigurationTooLargeError,
    InvalidConfigurationError,
    bounded_errors,
)
from springmux.control.gateway_change import (
    GatewayChange,
    GatewayItem,
    ItemChanges,
    Typed,
    parse_change,
)
from springmux.control.gateway_configuration import (
    EMPTY_GATEWAY,
    GatewayConfiguration,
    GatewayLimits,
    GatewayRoute,
    GatewayService,
    GatewayTenant,
)
from springmux.control.gateway_references import (
    duplicate_keys,
    duplicate_routes,
    tenants_by_key,
    unknown_services,
)
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import ServiceName, TenantName

MAX_PREPARED_CHANGES = 4
NO_DOCUMENT = b""


@dataclass(frozen=True, slots=True)
class _Items:
    """All items in order. ``tenants`` is ``None`` if the document has no such list."""

    routes: Mapping[str, GatewayItem[GatewayRoute]] = field(default_factory=dict)
    services: Mapping[str, GatewayItem[GatewayService]] = field(default_factory=dict)
    tenants: Mapping[str, GatewayItem[GatewayTenant]] | None = None
    limits: GatewayItem[GatewayLimits] | None = None
    extras: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _CurrentState:
    """The configuration in force, its items and its document. Replaced atomically."""

    items: _Items = field(default_factory=_Items)
    configuration: GatewayConfiguration = EMPTY_GATEWAY
    document: bytes = NO_DOCUMENT


class GatewaySection:
    """The newest gateway configuration. Deterministic: equal commands produce equal sections."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_document_bytes = max_document_bytes
        self._current = _CurrentState()
        self._prepared: dict[bytes, GatewayChange] = {}

    @property
    def configuration(self) -> GatewayConfiguration:
        """The configuration in force. It stays the same object until a change is accepted."""
        return self._current.configuration

    def document(self) -> bytes:
        """Return the whole configuration as JSON, each item as it was sent; empty if there is none."""
        return self._current.document

    def prepare(self, command: ApplyGateway) -> None:
        """Parse a command in advance for ``apply``, possibly in another thread. Nothing else changes."""
        try:
            change = parse_change(command.document, command.partial, self._max_document_bytes)
        except (InvalidConfigurationError, ConfigurationTooLargeError):
            return
        if len(self._prepared) >= MAX_PREPARED_CHANGES:
            self._prepared.clear()
        self._prepared[_key(command)] = change

    def apply(self, command: ApplyGateway) -> CommandDecision:
        """Apply the change if it is based on the current version and the result is valid.

        A change that can't be parsed is invalid, whatever its base version. Otherwise, a base version that
        isn't the current one is a conflict.
        """
        try:
            change = self._parse(command)
            current = self.configuration.version
            if command.base_version != current:
                message = f"the change builds on version {command.base_version}, the present one is {current}"
                return conflict(message, {"version": current})
            self._current = self._build_next_state(change)
        except ConfigurationTooLargeError as error:
            return invalid(FieldError("", str(error)))
        except InvalidConfigurationError as error:
            return invalid(*error.errors)
        return CommandDecision(Outcome.ACCEPTED, version=change.version)

    def restored(self, document: bytes) -> GatewaySection:
        """Return a new section with a snapshot's document. This section doesn't change.

        :raises InvalidConfigurationError: if this program doesn't accept the document.
        """
        section = GatewaySection(self._max_document_bytes)
        if document:
            change = parse_change(document, partial=False, max_bytes=len(document))
            items = _merge(_Items(), change)
            section._current = _CurrentState(items, _build_configuration(items, change.version), document)
        return section

    def _parse(self, command: ApplyGateway) -> GatewayChange:
        prepared = self._prepared.pop(_key(command), None) if self._prepared else None
        if prepared is not None:
            return prepared
        return parse_change(command.document, command.partial, self._max_document_bytes)

    def _build_next_state(self, change: GatewayChange) -> _CurrentState:
        current = self.configuration.version
        if change.version <= current:
            message = f"must be above the present version {current}"
            raise InvalidConfigurationError((FieldError("version", message),))
        base = self._current.items if change.partial else _Items()
        items = _merge(base, change)
        configuration = _build_configuration(items, change.version)
        document = _encode_document(items, change.version)
        if len(document) > self._max_document_bytes:
            raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
        return _CurrentState(items, configuration, document)


def _merge(base: _Items, change: GatewayChange) -> _Items:
    tenants = _apply_changes(base.tenants or {}, change.tenants)
    has_tenants = (
        base.tenants is not None or bool(tenants) or (change.tenants.is_present and not change.partial)
    )
    return _Items(
        routes=_apply_changes(base.routes, change.routes),
        services=_apply_changes(base.services, change.services),
        tenants=tenants if has_tenants else None,
        limits=change.limits or base.limits,
        extras=base.extras if change.partial else change.extras,
    )


def _apply_changes(
    items: Mapping[str, GatewayItem[Typed]], change: ItemChanges[Typed]
) -> Mapping[str, GatewayItem[Typed]]:
    """Return the changed list. A replaced item keeps its position, and a new one is appended."""
    if not change.put and not change.removed:
        return items
    changed = {**items, **change.put}
    for name in change.removed:
        changed.pop(name, None)
    return changed


def _build_configuration(items: _Items, version: int) -> GatewayConfiguration:
    """Validate the references between items and return the configuration.

    :raises InvalidConfigurationError: with every invalid reference.
    """
    tenants = items.tenants or {}
    key_tenants = tenants_by_key(tenants)
    errors = [
        *unknown_services(items.routes, items.services),
        *duplicate_routes(items.routes),
        *duplicate_keys(tenants, key_tenants),
    ]
    if errors:
        raise InvalidConfigurationError(bounded_errors(errors))
    return GatewayConfiguration(
        version=version,
        routes=tuple(item.typed for item in items.routes.values()),
        services={ServiceName(name): item.typed for name, item in items.services.items()},
        tenants={TenantName(name): item.typed for name, item in tenants.items()},
        limits=items.limits.typed if items.limits else GatewayLimits(),
        key_tenants=key_tenants,
    )


def _encode_document(items: _Items, version: int) -> bytes:
    value: dict[str, Any] = {
        "version": version,
        "routes": [item.raw for item in items.routes.values()],
        "services": [item.raw for item in items.services.values()],
    }
    if items.limits is not None:
        value["limits"] = items.limits.raw
    if items.tenants is not None:
        value["tenants"] = [item.raw for item in items.tenants.values()]
    return msgspec.json.encode({**value, **items.extras})


def _key(command: ApplyGateway) -> bytes:
    """Return the cache key of a parsed change."""
    prefix = b"partial" if command.partial else b"whole"
    return hashlib.blake2b(prefix + b":" + command.document, digest_size=16).digest()
