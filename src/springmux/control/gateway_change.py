"""Parses a change of the gateway's configuration: a whole document, or items to put and names to remove.

Only the change itself is checked here, independently of the current configuration, so that a thread can parse
it in advance. :mod:`springmux.control.gateway_references` checks references between items.
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

LIST_NAMES = ("routes", "services", "tenants")
KNOWN_MEMBERS = frozenset({"version", "limits", *LIST_NAMES})
MAX_VERSION = 2**63 - 1
"""Largest version, bounded by the largest integer that the log's encoding can hold."""
NO_VERSION = -1

Typed = TypeVar("Typed")
TypedOut = TypeVar("TypedOut", covariant=True)


class ItemModel(Protocol[TypedOut]):
    """Common interface of the named items in :mod:`springmux.control.gateway_documents`."""

    @property
    def name(self) -> str:
        """The item's name."""

    def field_errors(self) -> tuple[FieldError, ...]:
        """Return the errors that involve several fields."""

    def to_typed(self) -> TypedOut:
        """Return the item in the form that nodes use."""


@dataclass(frozen=True, slots=True)
class GatewayItem(Generic[Typed]):
    """An item as the operator sent it (``raw``) and in the form that nodes use (``typed``)."""

    raw: Mapping[str, Any]
    typed: Typed


@dataclass(frozen=True, slots=True)
class ItemChanges(Generic[Typed]):
    """Items to put, by name and in order, and names to remove. ``is_present``: the document has this list."""

    put: Mapping[str, GatewayItem[Typed]]
    removed: tuple[str, ...]
    is_present: bool


@dataclass(frozen=True, slots=True)
class GatewayChange:
    """A parsed change. If ``partial``, it changes the current items; otherwise it replaces all of them.

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
    """Return the change that a JSON document describes.

    :raises ConfigurationTooLargeError: before the document is parsed.
    :raises InvalidConfigurationError: with the invalid fields; of each item only the first one found.
    """
    if len(document) > max_bytes:
        raise ConfigurationTooLargeError(len(document), max_bytes)
    value = decode_document(document)
    if not isinstance(value, dict):
        raise InvalidConfigurationError((FieldError("", "the document must be an object"),))
    return _ChangeParser(value, partial).parse()


class _ChangeParser:
    """Parses one document and collects its errors."""

    def __init__(self, value: dict[str, Any], partial: bool) -> None:
        self._value = value
        self._partial = partial
        self._errors: list[FieldError] = []

    def parse(self) -> GatewayChange:
        put, removed = self._put_and_removed()
        change = GatewayChange(
            version=self._parse_version(),
            partial=self._partial,
            routes=self._parse_list("routes", RouteItem, put, removed),
            services=self._parse_list("services", ServiceItem, put, removed),
            tenants=self._parse_list("tenants", TenantItem, put, removed),
            limits=self._parse_limits(put),
            extras={} if self._partial else _without_members(self._value, KNOWN_MEMBERS),
        )
        if self._errors:
            raise InvalidConfigurationError(bounded_errors(self._errors))
        return change

    def _put_and_removed(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the objects that contain the items to put and the names to remove."""
        if not self._partial:
            for name in ("routes", "services"):
                if name not in self._value:
                    self._add_error(name, "a whole document must have this list")
            return self._value, {}
        for name in LIST_NAMES:
            if name in self._value:
                self._add_error(name, "a partial change gives items under 'upsert' and names under 'remove'")
        return self._parse_object("upsert", (*LIST_NAMES, "limits")), self._parse_object("remove", LIST_NAMES)

    def _parse_object(self, name: str, known: tuple[str, ...]) -> dict[str, Any]:
        value = self._value.get(name, {})
        if not isinstance(value, dict):
            self._add_error(name, "must be an object")
            return {}
        for member in value:
            if member not in known:
                self._add_error(f"{name}.{member}", "unknown list; known are " + ", ".join(known))
        return value

    def _parse_version(self) -> int:
        version = self._value.get("version")
        is_integer = isinstance(version, int) and not isinstance(version, bool)
        if is_integer and 0 < version <= MAX_VERSION:  # type: ignore[operator]
            return int(version)  # type: ignore[arg-type]
        self._add_error("version", f"must be an integer from 1 to {MAX_VERSION}")
        return NO_VERSION

    def _parse_list(
        self,
        section: str,
        model: type[ItemModel[Typed]],
        put: dict[str, Any],
        removed: dict[str, Any],
    ) -> ItemChanges[Typed]:
        prefix = "upsert." if self._partial else ""
        found = self._parse_items(put.get(section, []), prefix + section, model)
        return ItemChanges(found, self._parse_removed_names(section, removed), section in put)

    def _parse_items(
        self, items: Any, path: str, model: type[ItemModel[Typed]]
    ) -> dict[str, GatewayItem[Typed]]:
        found: dict[str, GatewayItem[Typed]] = {}
        if not isinstance(items, list):
            self._add_error(path, "must be a list")
            return found
        for number, raw in enumerate(items):
            where = f"{path}.{_item_label(raw, number)}"
            item = self._parse_item(raw, where, model)
            if item is None:
                continue
            if item.name in found:
                self._add_error(f"{where}.name", f"the name {item.name!r} is in this list twice")
            found[item.name] = GatewayItem(raw, item.to_typed())
        return found

    def _parse_item(self, raw: Any, path: str, model: type[ItemModel[Typed]]) -> ItemModel[Typed] | None:
        item = self._convert(raw, path, model)
        field_errors = item.field_errors() if item is not None else ()
        for error in field_errors:
            self._add_error(f"{path}.{error.path}", error.message)
        return None if field_errors else item

    def _parse_removed_names(self, section: str, removed: dict[str, Any]) -> tuple[str, ...]:
        names = removed.get(section, [])
        if isinstance(names, list) and all(isinstance(name, str) for name in names):
            return tuple(names)
        self._add_error(f"remove.{section}", "must be a list of names")
        return ()

    def _parse_limits(self, put: dict[str, Any]) -> GatewayItem[GatewayLimits] | None:
        for container, path in ((self._value, "limits"), (put, "upsert.limits")):
            if "limits" in container:
                item = self._convert(container["limits"], path, LimitsItem)
                return GatewayItem(container["limits"], item.to_typed()) if item is not None else None
        return None

    def _convert(self, raw: Any, path: str, model: type[Typed]) -> Typed | None:
        try:
            return msgspec.convert(raw, model)
        except msgspec.ValidationError as error:
            message, _, inner = str(error).partition(" - at `$")
            where = inner.rstrip("`").replace("[", ".").replace("]", "")
            self._add_error(path + where, message)
            return None

    def _add_error(self, path: str, message: str) -> None:
        self._errors.append(FieldError(path, message))


def _without_members(value: dict[str, Any], names: frozenset[str]) -> dict[str, Any]:
    return {name: member for name, member in value.items() if name not in names}


def _item_label(raw: Any, number: int) -> str:
    """Return how error paths refer to an item: by its name if it has one, else by its index."""
    name = raw.get("name") if isinstance(raw, dict) else None
    return name if isinstance(name, str) and name else str(number)
