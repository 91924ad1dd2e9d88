"""The configuration in the control state: present document, compare-and-set, history."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Any

import msgspec

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
from springmux.control.verdict import Verdict, conflict, invalid
from springmux.control.view import Configuration
from springmux.coordination.identifiers import Revision
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import OrderId, ServiceName, VersionName

HISTORY_VERSIONS = 200
HISTORY_DOCUMENTS = 20
HISTORY_DOCUMENT_BYTES = 32 << 20
"""Total size of the documents kept of the last 20 versions; the present one is always kept."""
PREPARED_DOCUMENTS = 4
EMPTY_DOCUMENT = b"{}"


class ConfigurationVersion(msgspec.Struct, frozen=True, array_like=True):
    """Who made a version of the configuration, and at which revision."""

    version: int
    order: OrderId
    issued_by: str
    revision: Revision


class ParsedDocument(msgspec.Struct, frozen=True):
    """A complete document in canonical form and parsed, or its errors."""

    document: bytes
    configuration: Configuration | None
    errors: tuple[FieldError, ...] = ()


class RolloutConstraint(msgspec.Struct, frozen=True):
    """A rollout's constraint on its service: the stable version, and whether the rollout still runs."""

    service: ServiceName
    stable: VersionName
    running: bool


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force and its document; replaced atomically, since a thread reads it, too."""

    configuration: Configuration
    document: bytes


class ConfigurationSection:
    """Versions of the configuration. Deterministic: equal commands give equal sections."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_document_bytes = max_document_bytes
        self.current = CurrentConfiguration(Configuration(), EMPTY_DOCUMENT)
        self.history: tuple[ConfigurationVersion, ...] = ()
        self.documents: tuple[tuple[int, bytes], ...] = ()
        self._prepared: dict[tuple[int, bytes], ParsedDocument] = {}

    def prepare(self, command: ApplyConfiguration) -> None:
        """Parse a command ahead for ``apply``, in a thread; change nothing else."""
        base = self.current
        parsed = self._parse(command.document, command.partial, base)
        if len(self._prepared) >= PREPARED_DOCUMENTS:
            self._prepared.clear()
        self._prepared[_key(command, base)] = parsed

    def parse(self, document: bytes, partial: bool) -> ParsedDocument:
        """Parse a complete document, or a merge patch on the present one."""
        return self._parse(document, partial, self.current)

    def _parse(self, document: bytes, partial: bool, base: CurrentConfiguration) -> ParsedDocument:
        try:
            if len(document) > self._max_document_bytes:
                raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
            value = decode_document(document)
            if partial:
                value = merge_patch(decode_document(base.document), value)
            return self._parsed(value)
        except ConfigurationTooLargeError as error:
            return ParsedDocument(b"", None, (FieldError("", str(error)),))
        except InvalidConfigurationError as error:
            return ParsedDocument(b"", None, error.errors)

    def apply(
        self, command: ApplyConfiguration, revision: Revision, constraints: Collection[RolloutConstraint]
    ) -> Verdict:
        """Install the command's document if its version is the next one and it is valid.

        :param constraints: constraints of rollouts on services, which a document must respect.
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
        return Verdict(Outcome.ACCEPTED, version=command.version)

    def rollout_conflicts(
        self, configuration: Configuration | None, constraints: Collection[RolloutConstraint]
    ) -> tuple[FieldError, ...]:
        """Return the errors where a document removes a service under rollout or changes a stable version."""
        errors: list[FieldError] = []
        for constraint in constraints if configuration is not None else ():
            found = configuration.services.get(constraint.service) if configuration else None
            before = self.current.configuration.services.get(constraint.service)
            path = f"services.{constraint.service}"
            if found is None and before is not None and constraint.running:
                errors.append(FieldError(path, "a rollout of this service is under way; abort it first"))
            elif found is not None and found.stable not in (
                constraint.stable,
                before.stable if before else "",
            ):
                message = (
                    f"the stable version is {constraint.stable!r} since its rollout; promote to change it"
                )
                errors.append(FieldError(f"{path}.stable", message))
        return tuple(errors)

    def document_of(self, version: int) -> bytes | None:
        """Return the document of a version, if it's still kept."""
        return dict(self.documents).get(version)

    def restore(
        self,
        configuration: Configuration,
        document: bytes,
        history: tuple[ConfigurationVersion, ...],
        documents: tuple[tuple[int, bytes], ...],
    ) -> None:
        """Replace the section by a snapshot's."""
        self.current = CurrentConfiguration(configuration, document)
        self.history = history
        self.documents = documents
        self._prepared.clear()

    def _parsed(self, value: Any) -> ParsedDocument:
        document = canonical_document(value)
        if len(document) > self._max_document_bytes:
            raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
        return ParsedDocument(document, build_configuration(value, 0))

    def _version_conflict(self, version: int) -> Verdict:
        present = self.current.configuration.version
        winner: dict[str, Any] = {"version": present}
        if self.history:
            winner["order"] = self.history[-1].order
            winner["issued_by"] = self.history[-1].issued_by
        return conflict(f"version {version} does not follow the present version {present}", winner)

    def _install(
        self, command: ApplyConfiguration, document: bytes, configuration: Configuration, revision: Revision
    ) -> None:
        numbered = msgspec.structs.replace(configuration, version=command.version)
        self.current = CurrentConfiguration(numbered, document)
        made = ConfigurationVersion(command.version, command.order, command.issued_by, revision)
        self.history = (*self.history, made)[-HISTORY_VERSIONS:]
        self.documents = _bounded((*self.documents, (command.version, document)))


def _key(command: ApplyConfiguration, base: CurrentConfiguration) -> tuple[int, bytes]:
    """Return the cache key of a parsed document: its digest, and for a patch also the base version."""
    base_version = base.configuration.version if command.partial else -1
    return (base_version, hashlib.blake2b(command.document, digest_size=16).digest())


def _bounded(documents: tuple[tuple[int, bytes], ...]) -> tuple[tuple[int, bytes], ...]:
    kept = documents[-HISTORY_DOCUMENTS:]
    while len(kept) > 1 and sum(len(document) for _, document in kept) > HISTORY_DOCUMENT_BYTES:
        kept = kept[1:]
    return kept
