"""The gateway's configuration in the control state: items as they were sent, and parsed for the nodes."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from springmux.control.commands import ApplyGateway, Outcome
from springmux.control.configuration import (
    MAX_DOCUMENT_BYTES,
    ConfigurationTooLargeError,
    InvalidConfigurationError,
)
from springmux.control.gateway_change import (
    Entry,
    GatewayChange,
    ListChange,
    Typed,
    parse_change,
    reported,
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
    routes_alike,
    shared_keys,
    tenants_by_key,
    unknown_services,
)
from springmux.control.verdict import Verdict, conflict, invalid
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import ServiceName, TenantName

PREPARED_CHANGES = 4
NO_DOCUMENT = b""


@dataclass(frozen=True, slots=True)
class _Items:
    """All items in order, with what was sent of each. ``tenants`` is ``None`` if the list is absent."""

    routes: Mapping[str, Entry[GatewayRoute]] = field(default_factory=dict)
    services: Mapping[str, Entry[GatewayService]] = field(default_factory=dict)
    tenants: Mapping[str, Entry[GatewayTenant]] | None = None
    limits: Entry[GatewayLimits] | None = None
    extras: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Present:
    """What is in force; replaced as one."""

    items: _Items = field(default_factory=_Items)
    configuration: GatewayConfiguration = EMPTY_GATEWAY
    document: bytes = NO_DOCUMENT


class GatewaySection:
    """The newest gateway configuration. Deterministic: equal commands give equal sections."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_document_bytes = max_document_bytes
        self._present = _Present()
        self._prepared: dict[bytes, GatewayChange] = {}

    @property
    def configuration(self) -> GatewayConfiguration:
        """The configuration in force; the same object until a change is accepted."""
        return self._present.configuration

    def document(self) -> bytes:
        """Return the whole configuration as JSON, each item as it was sent; empty if there is none."""
        return self._present.document

    def prepare(self, command: ApplyGateway) -> None:
        """Parse ahead, in a thread; ``apply`` then finds the result. Changes nothing else."""
        try:
            change = parse_change(command.document, command.partial, self._max_document_bytes)
        except (InvalidConfigurationError, ConfigurationTooLargeError):
            return
        if len(self._prepared) >= PREPARED_CHANGES:
            self._prepared.clear()
        self._prepared[_key(command)] = change

    def apply(self, command: ApplyGateway) -> Verdict:
        """Make the change if it builds on the present version and the outcome is valid.

        A change that can't be read is invalid whatever it builds on; else a lost race is a conflict.
        """
        try:
            change = self._parsed(command)
            present = self.configuration.version
            if command.base_version != present:
                message = f"the change builds on version {command.base_version}, the present one is {present}"
                return conflict(message, {"version": present})
            self._present = self._next(change)
        except ConfigurationTooLargeError as error:
            return invalid(FieldError("", str(error)))
        except InvalidConfigurationError as error:
            return invalid(*error.errors)
        return Verdict(Outcome.ACCEPTED, version=change.version)

    def restored(self, document: bytes) -> GatewaySection:
        """Return a section with a snapshot's document; this one doesn't change.

        :raises InvalidConfigurationError: if the document is none that this program takes.
        """
        section = GatewaySection(self._max_document_bytes)
        if document:
            change = parse_change(document, partial=False, max_bytes=len(document))
            section._present = _Present(*_built(_merged(_Items(), change), change.version), document)
        return section

    def _parsed(self, command: ApplyGateway) -> GatewayChange:
        prepared = self._prepared.pop(_key(command), None) if self._prepared else None
        if prepared is not None:
            return prepared
        return parse_change(command.document, command.partial, self._max_document_bytes)

    def _next(self, change: GatewayChange) -> _Present:
        present = self.configuration.version
        if change.version <= present:
            message = f"must be above the present version {present}"
            raise InvalidConfigurationError((FieldError("version", message),))
        base = self._present.items if change.partial else _Items()
        items, configuration = _built(_merged(base, change), change.version)
        document = _document(items, change.version)
        if len(document) > self._max_document_bytes:
            raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
        return _Present(items, configuration, document)


def _merged(base: _Items, change: GatewayChange) -> _Items:
    tenants = _changed(base.tenants or {}, change.tenants)
    has_tenants = base.tenants is not None or bool(tenants) or (change.tenants.stated and not change.partial)
    return _Items(
        routes=_changed(base.routes, change.routes),
        services=_changed(base.services, change.services),
        tenants=tenants if has_tenants else None,
        limits=change.limits or base.limits,
        extras=base.extras if change.partial else change.extras,
    )


def _changed(entries: Mapping[str, Entry[Typed]], change: ListChange[Typed]) -> Mapping[str, Entry[Typed]]:
    """Return the changed list; an item that is replaced keeps its place, a new one comes last."""
    if not change.put and not change.removed:
        return entries
    changed = {**entries, **change.put}
    for name in change.removed:
        changed.pop(name, None)
    return changed


def _built(items: _Items, version: int) -> tuple[_Items, GatewayConfiguration]:
    """Return the items with their configuration.

    :raises InvalidConfigurationError: with every wrong reference.
    """
    tenants = items.tenants or {}
    key_tenants = tenants_by_key(tenants)
    errors = [
        *unknown_services(items.routes, items.services),
        *routes_alike(items.routes),
        *shared_keys(tenants, key_tenants),
    ]
    if errors:
        raise InvalidConfigurationError(reported(errors))
    configuration = GatewayConfiguration(
        version=version,
        routes=tuple(entry.typed for entry in items.routes.values()),
        services={ServiceName(name): entry.typed for name, entry in items.services.items()},
        tenants={TenantName(name): entry.typed for name, entry in tenants.items()},
        limits=items.limits.typed if items.limits else GatewayLimits(),
        key_tenants=key_tenants,
    )
    return items, configuration


def _document(items: _Items, version: int) -> bytes:
    value: dict[str, Any] = {
        "version": version,
        "routes": [entry.raw for entry in items.routes.values()],
        "services": [entry.raw for entry in items.services.values()],
    }
    if items.limits is not None:
        value["limits"] = items.limits.raw
    if items.tenants is not None:
        value["tenants"] = [entry.raw for entry in items.tenants.values()]
    return msgspec.json.encode({**value, **items.extras})


def _key(command: ApplyGateway) -> bytes:
    """Name a parse by all that it depends on."""
    prefix = b"partial" if command.partial else b"whole"
    return hashlib.blake2b(prefix + b":" + command.document, digest_size=16).digest()
