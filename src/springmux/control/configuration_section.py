"""The configuration in the control state: current document, compare-and-set and history."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Any

import msgspec

from springmux.control.command_decision import CommandDecision, conflict, invalid
from springmux.control.commands import ApplyConfiguration, Outcome
from springmux.control.configuration import (
    MAX_DOCUMENT_BYTES,
    ConfigurationTooLargeError,
    InvalidConfigurationError,
    build_configuration,
    canonical_document,
    decode_document,
)
from springmux.control.merge_patch import merge_patch
from springmux.control.view import Configuration
from springmux.coordination.identifiers import Revision
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import OrderId, ServiceName, VersionName

MAX_HISTORY_VERSIONS = 200
MAX_HISTORY_DOCUMENTS = 20
MAX_HISTORY_DOCUMENT_BYTES = 32 << 20
"""Bound on the total size of the documents kept of the last 20 versions. The current one is always kept."""
MAX_PREPARED_DOCUMENTS = 4
EMPTY_DOCUMENT = b"{}"


class ConfigurationVersion(msgspec.Struct, frozen=True, array_like=True):
    """Records who made a version of the configuration, and at which revision."""

    version: int
    order: OrderId
    issued_by: str
    revision: Revision


class ParsedDocument(msgspec.Struct, frozen=True):
    """A complete document, in canonical form and parsed, or its errors."""

    document: bytes
    configuration: Configuration | None
    errors: tuple[FieldError, ...] = ()


class RolloutConstraint(msgspec.Struct, frozen=True):
    """Constraint of a rollout on its service: the stable version, and whether the rollout is running."""

    service: ServiceName
    stable: VersionName
    running: bool


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force and its document. Replaced atomically, since another thread reads it."""

    configuration: Configuration
    document: bytes


class ConfigurationSection:
    """Versions of the configuration. Deterministic: equal commands produce equal sections."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_document_bytes = max_document_bytes
        self.current = CurrentConfiguration(Configuration(), EMPTY_DOCUMENT)
        self.history: tuple[ConfigurationVersion, ...] = ()
        self.documents: tuple[tuple[int, bytes], ...] = ()
        self._prepared: dict[tuple[int, bytes], ParsedDocument] = {}

    def prepare(self, command: ApplyConfiguration) -> None:
        """Parse a command in advance for ``apply``, possibly in another thread. Nothing else changes."""
        base = self.current
        parsed = self._parse_on_base(command.document, command.partial, base)
        if len(self._prepared) >= MAX_PREPARED_DOCUMENTS:
            self._prepared.clear()
        self._prepared[_key(command, base)] = parsed

    def parse(self, document: bytes, partial: bool) -> ParsedDocument:
        """Parse a complete document, or if ``partial`` a merge patch on the current one."""
        return self._parse_on_base(document, partial, self.current)

    def _parse_on_base(self, document: bytes, partial: bool, base: CurrentConfiguration) -> ParsedDocument:
        try:
            if len(document) > self._max_document_bytes:
                raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
            value = decode_document(document)
            if partial:
                value = merge_patch(decode_document(base.document), value)
            return self._parse_value(value)
        except ConfigurationTooLargeError as error:
            return ParsedDocument(b"", None, (FieldError("", str(error)),))
        except InvalidConfigurationError as error:
            return ParsedDocument(b"", None, error.errors)

    def apply(
        self, command: ApplyConfiguration, revision: Revision, constraints: Collection[RolloutConstraint]
    ) -> CommandDecision:
        """Install the command's document if it is valid and its version is the current one plus 1.

        :param constraints: constraints of rollouts on services, which the document must satisfy.
        """
        if command.version != self.current.configuration.version + 1:
            return self._version_conflict(command.version)
        parsed = self._prepared.pop(_key(command, self.current), None)
        if parsed is None:
            parsed = self.parse(command.document, command.partial)
        errors = parsed.errors or self.rollout_conflicts(parsed.configuration, constraints)
        if parsed.configuration is None or errors:
            return invalid(*errors)
        self._install(command, parsed.document, parsed.configuration, revision)
        return CommandDecision(Outcome.ACCEPTED, version=command.version)

    def rollout_conflicts(
        self, configuration: Configuration | None, constraints: Collection[RolloutConstraint]
    ) -> tuple[FieldError, ...]:
        """Return an error for each service that a rollout doesn't allow to be removed or changed.

        A document may not remove a service with a running rollout, nor change the stable version that a
        rollout has set.
        """
        errors: list[FieldError] = []
        for constraint in constraints if configuration is not None else ():
            new_service = configuration.services.get(constraint.service) if configuration else None
            current_service = self.current.configuration.services.get(constraint.service)
            path = f"services.{constraint.service}"
            if new_service is None and current_service is not None and constraint.running:
                errors.append(FieldError(path, "a rollout of this service is under way; abort it first"))
            elif new_service is not None and new_service.stable not in (
                constraint.stable,
                current_service.stable if current_service else "",
            ):
                message = (
                    f"the stable version is {constraint.stable!r} since its rollout; promote to change it"
                )
                errors.append(FieldError(f"{path}.stable", message))
        return tuple(errors)

    def document_of(self, version: int) -> bytes | None:
        """Return the document of a version, or ``None`` if it is no longer kept."""
        return dict(self.documents).get(version)

    def restore(
        self,
        configuration: Configuration,
        document: bytes,
        history: tuple[ConfigurationVersion, ...],
        documents: tuple[tuple[int, bytes], ...],
    ) -> None:
        """Replace all versions by those of a snapshot."""
        self.current = CurrentConfiguration(configuration, document)
        self.history = history
        self.documents = documents
        self._prepared.clear()

    def _parse_value(self, value: Any) -> ParsedDocument:
        document = canonical_document(value)
        if len(document) > self._max_document_bytes:
            raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
        return ParsedDocument(document, build_configuration(value, 0))

    def _version_conflict(self, version: int) -> CommandDecision:
        current_version = self.current.configuration.version
        winner: dict[str, Any] = {"version": current_version}
        if self.history:
            winner["order"] = self.history[-1].order
            winner["issued_by"] = self.history[-1].issued_by
        return conflict(f"version {version} does not follow the present version {current_version}", winner)

    def _install(
        self, command: ApplyConfiguration, document: bytes, configuration: Configuration, revision: Revision
    ) -> None:
        numbered = msgspec.structs.replace(configuration, version=command.version)
        self.current = CurrentConfiguration(numbered, document)
        new_version = ConfigurationVersion(command.version, command.order, command.issued_by, revision)
        self.history = (*self.history, new_version)[-MAX_HISTORY_VERSIONS:]
        self.documents = _drop_oldest_documents((*self.documents, (command.version, document)))


def _key(command: ApplyConfiguration, base: CurrentConfiguration) -> tuple[int, bytes]:
    """Return the cache key of a parsed document: the base version of a patch, and the document's digest."""
    base_version = base.configuration.version if command.partial else -1
    return (base_version, hashlib.blake2b(command.document, digest_size=16).digest())


def _drop_oldest_documents(documents: tuple[tuple[int, bytes], ...]) -> tuple[tuple[int, bytes], ...]:
    kept = documents[-MAX_HISTORY_DOCUMENTS:]
    while len(kept) > 1 and sum(len(document) for _, document in kept) > MAX_HISTORY_DOCUMENT_BYTES:
        kept = kept[1:]
    return kept
