"""Parse a change of the gateway's configuration: a whole document, or items to put and names to remove.

Only the change itself is checked here, independently of the present configuration, so that a thread can
parse ahead. References between items are checked by :mod:`springmux.control.gateway_references`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from springmux.control.configuration import (
    ConfigurationTooLargeError,
    InvalidConfigurationError,
    bounded_errors,
    decode_document,
)
from springmux.control.gateway_configuration import (
    GatewayLimits,
    GatewayRoute,
    GatewayService,
    GatewayTenant,
)
from springmux.control.gateway_documents import LimitsItem, RouteItem, ServiceItem, TenantItem
from springmux.vocabulary.errors import FieldError

LISTS = ("routes", "services", "tenants")
WHOLE_MEMBERS = frozenset({"version", "limits", *LISTS})
LARGEST_VERSION = 2**63 - 1
"""Largest integer that the log's encoding can hold."""
NO_VERSION = -1

Typed = TypeVar("Typed")
TypedOut = TypeVar("TypedOut", covariant=True)


class ItemModel(Protocol[TypedOut]):
    """Common interface of the structs of :mod:`springmux.control.gateway_documents`."""

    @property
    def name(self) -> str:
        """The item's name."""

    def field_errors(self) -> tuple[FieldError, ...]:
        """Return the errors that involve several fields."""

    def typed(self) -> TypedOut:
        """Return the item in the form that nodes use."""


@dataclass(frozen=True, slots=True)
class GatewayItem(Generic[Typed]):
    """An item as sent by the operator and in the form that nodes use."""

    raw: Mapping[str, Any]
    typed: Typed


@dataclass(frozen=True, slots=True)
class ItemChanges(Generic[Typed]):
    """Items to put, by name in order, and names to remove. ``is_present``: the document has this list."""

    put: Mapping[str, GatewayItem[Typed]]
    removed: tuple[str, ...]
    is_present: bool


@dataclass(frozen=True, slots=True)
class GatewayChange:
    """A parsed change. ``partial``: it builds on the present items; else it replaces all of them.

    ``limits``: ``None`` if the change doesn't contain them. ``extras``: unknown members of a whole document.
    """

    version: int
    partial: bool
    routes: ItemChanges[GatewayRoute]
    services: ItemChanges[GatewayService]
    tenants: ItemChanges[GatewayTenant]
    limits: GatewayItem[GatewayLimits] | None
    extras: Mapping[str, Any] = field(default_factory=dict)


def parse_change(document: bytes, partial: bool, max_bytes: int) -> GatewayChange:
    """Return the change in a JSON document.

    :raises ConfigurationTooLargeError: before anything is read.
    :raises InvalidConfigurationError: with the wrong fields, the first of each item.
    """
    if len(document) > max_bytes:
        raise ConfigurationTooLargeError(len(document), max_bytes)
    value = decode_document(document)
    if not isinstance(value, dict):
        raise InvalidConfigurationError((FieldError("", "the document must be an object"),))
    return _ChangeParser(value, partial).change()


class _ChangeParser:
    """Parse one document and collect its errors."""

    def __init__(self, value: dict[str, Any], partial: bool) -> None:
        self._value = value
        self._partial = partial
        self._errors: list[FieldError] = []

    def change(self) -> GatewayChange:
        put, removed = self._sources()
        change = GatewayChange(
            version=self._version(),
            partial=self._partial,
            routes=self._list("routes", RouteItem, put, removed),
            services=self._list("services", ServiceItem, put, removed),
            tenants=self._list("tenants", TenantItem, put, removed),
            limits=self._limits(put),
            extras={} if self._partial else _without(self._value, WHOLE_MEMBERS),
        )
        if self._errors:
            raise InvalidConfigurationError(bounded_errors(self._errors))
        return change

    def _sources(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the objects that hold items to put and names to remove."""
        if not self._partial:
            for name in ("routes", "services"):
                if name not in self._value:
                    self._add(name, "a whole document must have this list")
            return self._value, {}
        for name in LISTS:
            if name in self._value:
                self._add(name, "a partial change gives items under 'upsert' and names under 'remove'")
        return self._object("upsert", (*LISTS, "limits")), self._object("remove", LISTS)

    def _object(self, name: str, known: tuple[str, ...]) -> dict[str, Any]:
        value = self._value.get(name, {})
        if not isinstance(value, dict):
            self._add(name, "must be an object")
            return {}
        for member in value:
            if member not in known:
                self._add(f"{name}.{member}", "unknown list; known are " + ", ".join(known))
        return value

    def _version(self) -> int:
        version = self._value.get("version")
        is_integer = isinstance(version, int) and not isinstance(version, bool)
        if is_integer and 0 < version <= LARGEST_VERSION:  # type: ignore[operator]
            return int(version)  # type: ignore[arg-type]
        self._add("version", f"must be an integer from 1 to {LARGEST_VERSION}")
        return NO_VERSION

    def _list(
        self,
        section: str,
        model: type[ItemModel[Typed]],
        put: dict[str, Any],
        removed: dict[str, Any],
    ) -> ItemChanges[Typed]:
        prefix = "upsert." if self._partial else ""
        found = self._items(put.get(section, []), prefix + section, model)
        return ItemChanges(found, self._removed(section, removed), section in put)

    def _items(self, items: Any, path: str, model: type[ItemModel[Typed]]) -> dict[str, GatewayItem[Typed]]:
        found: dict[str, GatewayItem[Typed]] = {}
        if not isinstance(items, list):
            self._add(path, "must be a list")
            return found
        for number, raw in enumerate(items):
            where = f"{path}.{_label(raw, number)}"
            item = self._item(raw, where, model)
            if item is None:
                continue
            if item.name in found:
                self._add(f"{where}.name", f"the name {item.name!r} is in this list twice")
            found[item.name] = GatewayItem(raw, item.typed())
        return found

    def _item(self, raw: Any, path: str, model: type[ItemModel[Typed]]) -> ItemModel[Typed] | None:
        item = self._converted(raw, path, model)
        field_errors = item.field_errors() if item is not None else ()
        for error in field_errors:
            self._add(f"{path}.{error.path}", error.message)
        return None if field_errors else item

    def _removed(self, section: str, removed: dict[str, Any]) -> tuple[str, ...]:
        names = removed.get(section, [])
        if isinstance(names, list) and all(isinstance(name, str) for name in names):
            return tuple(names)
        self._add(f"remove.{section}", "must be a list of names")
        return ()

    def _limits(self, put: dict[str, Any]) -> GatewayItem[GatewayLimits] | None:
        for container, path in ((self._value, "limits"), (put, "upsert.limits")):
            if "limits" in container:
                item = self._converted(container["limits"], path, LimitsItem)
                return GatewayItem(container["limits"], item.typed()) if item is not None else None
        return None

    def _converted(self, raw: Any, path: str, model: type[Typed]) -> Typed | None:
        try:
            return msgspec.convert(raw, model)
        except msgspec.ValidationError as error:
            message, _, inner = str(error).partition(" - at `$")
            where = inner.rstrip("`").replace("[", ".").replace("]", "")
            self._add(path + where, message)
            return None

    def _add(self, path: str, message: str) -> None:
        self._errors.append(FieldError(path, message))


def _without(value: dict[str, Any], names: frozenset[str]) -> dict[str, Any]:
    return {name: member for name, member in value.items() if name not in names}


def _label(raw: Any, number: int) -> str:
    """Return the label of an item in a path: its name if it has one, else its index."""
    name = raw.get("name") if isinstance(raw, dict) else None
    return name if isinstance(name, str) and name else str(number)
