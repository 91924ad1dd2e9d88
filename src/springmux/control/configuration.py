"""Parses the operators' configuration document and reports all its errors together, each with its path.

The objects of a document of some MiB are checked one by one, so that a thread that parses it never holds the
interpreter lock for long and the node's heartbeats continue.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from springmux.control.name_pattern import NAME_PATTERN
from springmux.control.nesting import MAX_DEPTH, is_within_max_depth
from springmux.control.view import AdmissionLimits, Configuration
from springmux.vocabulary.errors import FieldError, SpringmuxError
from springmux.vocabulary.names import RouteName, ServiceName

if TYPE_CHECKING:
    from springmux.control.documents import DocumentModel

MAX_DOCUMENT_BYTES = 8 << 20
"""Default size limit of a configuration document. Larger ones get status 413 (docs/API.md)."""
MAX_REPORTED_ERRORS = 1000
"""Bounds the size of the response to a document with very many errors."""
MAX_HINT_CANDIDATES = 200
"""Most names to search for a similar one. With thousands of names and errors it would take minutes."""
SECTIONS = ("services", "routes", "limits", "exceptions")

Section = TypeVar("Section", bound="DocumentModel")
Typed = TypeVar("Typed")


class InvalidConfigurationError(SpringmuxError):
    """The document is invalid. ``errors`` lists every invalid field, up to :data:`MAX_REPORTED_ERRORS`."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{error.path}: {error.message}" for error in errors[:5]))
        self.errors = errors


class ConfigurationTooLargeError(SpringmuxError):
    """The document is larger than the limit. Both sizes are in bytes."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"document has {size_bytes} bytes, the limit is {limit_bytes}")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


def parse_configuration(
    document: bytes, version: int = 0, max_bytes: int = MAX_DOCUMENT_BYTES
) -> Configuration:
    """Return the configuration in a JSON document.

    :raises ConfigurationTooLargeError: before the document is parsed.
    :raises InvalidConfigurationError: with every invalid field.
    """
    if len(document) > max_bytes:
        raise ConfigurationTooLargeError(len(document), max_bytes)
    return build_configuration(decode_document(document), version)


def decode_document(document: bytes) -> Any:
    """Return the JSON value in ``document``.

    :raises InvalidConfigurationError: if ``document`` isn't JSON, or is nested too deeply.
    """
    try:
        value = msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfigurationError((FieldError("", f"not JSON: {error}"),)) from error
    if not is_within_max_depth(value):
        raise InvalidConfigurationError((FieldError("", f"nested deeper than {MAX_DEPTH} levels"),))
    return value


def canonical_document(value: Any) -> bytes:
    """Return the canonical JSON text of a value of bounded depth: members sorted by name, no whitespace.

    The encoder could sort the members itself. But for a document of 8 MiB that is a single call that holds
    the interpreter lock for seconds, and would stop the node's heartbeats even from another thread.
    """
    return msgspec.json.encode(_sorted_members(value))


def _sorted_members(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _sorted_members(value[name]) for name in sorted(value)}
    if isinstance(value, list):
        return [_sorted_members(item) for item in value]
    return value


def build_configuration(value: Any, version: int) -> Configuration:
    """Return the configuration in a decoded document.

    :raises InvalidConfigurationError: with every invalid field.
    """
    from springmux.control.documents import ExceptionsDocument, LimitsDocument, RouteDocument, ServiceDocument

    checker = _Checker()
    sections = checker.sections(value)
    services = checker.parse_named(sections, "services", ServiceDocument, ServiceDocument.to_service)
    routes = checker.parse_named(sections, "routes", RouteDocument, RouteDocument.to_route)
    limits = checker.parse_single(sections, "limits", LimitsDocument)
    exceptions = checker.parse_single(sections, "exceptions", ExceptionsDocument)
    checker.check_route_services(sections.get("routes"), sections.get("services"))
    if limits is not None:
        checker.check_reserved_slots(limits.to_limits())
    if checker.errors or limits is None or exceptions is None:
        raise InvalidConfigurationError(bounded_errors(checker.errors))
    return Configuration(
        version=version,
        services={ServiceName(name): service for name, service in services.items()},
        routes={RouteName(name): route for name, route in routes.items()},
        limits=limits.to_limits(),
        exceptions=exceptions.to_exceptions(),
    )


def bounded_errors(errors: list[FieldError]) -> tuple[FieldError, ...]:
    """Return the first :data:`MAX_REPORTED_ERRORS` errors, and one that states how many were left out."""
    if len(errors) <= MAX_REPORTED_ERRORS:
        return tuple(errors)
    more = FieldError("", f"and {len(errors) - MAX_REPORTED_ERRORS} more errors")
    return (*errors[:MAX_REPORTED_ERRORS], more)


class _Checker:
    """Parses the sections of a document and collects their errors."""

    def __init__(self) -> None:
        self.errors: list[FieldError] = []

    def add(self, path: str, message: str) -> None:
        self.errors.append(FieldError(path, message))

    def sections(self, value: Any) -> dict[str, Any]:
        if not isinstance(value, dict):
            self.add("", "the document must be an object")
            return {}
        for name in sorted(set(value) - set(SECTIONS)):
            self.add(name, _unknown_field(name, SECTIONS))
        return value

    def parse_named(
        self,
        sections: Mapping[str, Any],
        section: str,
        model: type[Section],
        convert: Callable[[Section, str], Typed],
    ) -> dict[str, Typed]:
        members = sections.get(section, {})
        if not isinstance(members, dict):
            self.add(section, "must be an object")
            return {}
        found: dict[str, Typed] = {}
        for name in sorted(members):
            path = f"{section}.{name}"
            if not re.fullmatch(NAME_PATTERN, name):
                self.add(path, "names are 1 to 128 letters, digits, '.', '_' or '-', first a letter or digit")
            parsed = self._parse_object(members[name], path, model)
            if parsed is not None:
                found[name] = convert(parsed, name)
        return found

    def parse_single(self, sections: Mapping[str, Any], section: str, model: type[Section]) -> Section | None:
        return self._parse_object(sections.get(section, {}), section, model)

    def check_route_services(self, routes: Any, services: Any) -> None:
        """Check that each route's service exists, using the raw values to include invalid routes."""
        known = services if isinstance(services, dict) else {}
        for name in sorted(routes) if isinstance(routes, dict) else ():
            service = routes[name].get("service") if isinstance(routes[name], dict) else None
            if isinstance(service, str) and service not in known:
                hint = _similar_name_hint(service, tuple(known))
                self.add(f"routes.{name}.service", f"there is no service {service!r}{hint}")

    def check_reserved_slots(self, limits: AdmissionLimits) -> None:
        reserved = limits.interactive_reserved + limits.transaction_reserved
        if reserved > limits.max_in_flight:
            message = f"with transaction_reserved it is {reserved}, more than max_in_flight"
            self.add("limits.interactive_reserved", message)

    def _parse_object(self, value: Any, path: str, model: type[Section]) -> Section | None:
        from pydantic import ValidationError

        try:
            return model.model_validate(value)
        except ValidationError as error:
            for detail in error.errors(include_url=False, include_input=False):
                where = ".".join((path, *map(str, detail["loc"])))
                self.add(where, _error_message(detail, model))
            return None


def _error_message(detail: Any, model: type[DocumentModel]) -> str:
    if detail["type"] == "extra_forbidden":
        fields = tuple(field.alias or name for name, field in model.model_fields.items())
        return _unknown_field(str(detail["loc"][-1]), fields)
    if detail["type"] == "model_type":
        return "must be an object"
    return str(detail["msg"])


def _unknown_field(name: str, known: tuple[str, ...]) -> str:
    hint = _similar_name_hint(name, known) or "; known are " + ", ".join(known)
    return f"unknown field{hint}"


def _similar_name_hint(name: str, known: tuple[str, ...]) -> str:
    """Return a hint with the most similar known name, or an empty string if none is similar."""
    if len(known) > MAX_HINT_CANDIDATES:
        return ""
    import difflib  # needed for invalid documents only

    close = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""
