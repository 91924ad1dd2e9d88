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
"""Documents of the last 20 versions are kept up to this size in all, and the present one always."""
PREPARED_DOCUMENTS = 4
EMPTY_DOCUMENT = b"{}"


class ConfigurationVersion(msgspec.Struct, frozen=True, array_like=True):
    """Who made a version of the configuration, and at which revision."""

    version: int
    order: OrderId
    issued_by: str
    revision: Revision


class ParsedDocument(msgspec.Struct, frozen=True):
    """A whole document in canonical form and parsed, or what is wrong with it."""

    document: bytes
    configuration: Configuration | None
    errors: tuple[FieldError, ...] = ()


class ServiceClaim(msgspec.Struct, frozen=True):
    """What a rollout says of its service: its stable version, and whether it still runs."""

    service: ServiceName
    stable: VersionName
    running: bool


class PresentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force and its document; replaced as one, so a thread never sees half of it."""

    configuration: Configuration
    document: bytes


class ConfigurationSection:
    """Versions of the configuration. Deterministic: equal commands give equal sections."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_document_bytes = max_document_bytes
        self.present = PresentConfiguration(Configuration(), EMPTY_DOCUMENT)
        self.history: tuple[ConfigurationVersion, ...] = ()
        self.documents: tuple[tuple[int, bytes], ...] = ()
        self._prepared: dict[tuple[int, bytes], ParsedDocument] = {}

    def prepare(self, command: ApplyConfiguration) -> None:
        """Parse ahead, in a thread; ``apply`` then finds the result. Changes nothing else."""
        base = self.present
        parsed = self._parse(command.document, command.partial, base)
        if len(self._prepared) >= PREPARED_DOCUMENTS:
            self._prepared.clear()
        self._prepared[_key(command, base)] = parsed

    def parse(self, document: bytes, partial: bool) -> ParsedDocument:
        """Parse a whole document, or a merge patch on the present one."""
        return self._parse(document, partial, self.present)

    def _parse(self, document: bytes, partial: bool, base: PresentConfiguration) -> ParsedDocument:
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
        self, command: ApplyConfiguration, revision: Revision, claims: Collection[ServiceClaim]
    ) -> Verdict:
        """Make the command's document the next version if it is the next and valid.

        :param claims: what rollouts say of services; a document must not contradict them.
        """
        if command.version != self.present.configuration.version + 1:
            return self._lost(command.version)
        parsed = self._prepared.pop(_key(command, self.present), None)
        if parsed is None:
            parsed = self.parse(command.document, command.partial)
        errors = parsed.errors or self.contradictions(parsed.configuration, claims)
        if parsed.configuration is None or errors:
            return invalid(*errors)
        self._take(command, parsed.document, parsed.configuration, revision)
        return Verdict(Outcome.ACCEPTED, version=command.version)

    def contradictions(
        self, configuration: Configuration | None, claims: Collection[ServiceClaim]
    ) -> tuple[FieldError, ...]:
        """Return where a document goes against rollouts: they hold services and their stable versions."""
        errors: list[FieldError] = []
        for claim in claims if configuration is not None else ():
            found = configuration.services.get(claim.service) if configuration else None
            before = self.present.configuration.services.get(claim.service)
            path = f"services.{claim.service}"
            if found is None and before is not None and claim.running:
                errors.append(FieldError(path, "a rollout of this service is under way; abort it first"))
            elif found is not None and found.stable not in (claim.stable, before.stable if before else ""):
                message = f"the stable version is {claim.stable!r} since its rollout; promote to change it"
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
        self.present = PresentConfiguration(configuration, document)
        self.history = history
        self.documents = documents
        self._prepared.clear()

    def _parsed(self, value: Any) -> ParsedDocument:
        document = canonical_document(value)
        if len(document) > self._max_document_bytes:
            raise ConfigurationTooLargeError(len(document), self._max_document_bytes)
        return ParsedDocument(document, build_configuration(value, 0))

    def _lost(self, version: int) -> Verdict:
        present = self.present.configuration.version
        winner: dict[str, Any] = {"version": present}
        if self.history:
            winner["order"] = self.history[-1].order
            winner["issued_by"] = self.history[-1].issued_by
        return conflict(f"version {version} does not follow the present version {present}", winner)

    def _take(
        self, command: ApplyConfiguration, document: bytes, configuration: Configuration, revision: Revision
    ) -> None:
        numbered = msgspec.structs.replace(configuration, version=command.version)
        self.present = PresentConfiguration(numbered, document)
        made = ConfigurationVersion(command.version, command.order, command.issued_by, revision)
        self.history = (*self.history, made)[-HISTORY_VERSIONS:]
        self.documents = _bounded((*self.documents, (command.version, document)))


def _key(command: ApplyConfiguration, base: PresentConfiguration) -> tuple[int, bytes]:
    """Name a parse by all that it depends on: the document, and for a patch also its base."""
    base_version = base.configuration.version if command.partial else -1
    return (base_version, hashlib.blake2b(command.document, digest_size=16).digest())


def _bounded(documents: tuple[tuple[int, bytes], ...]) -> tuple[tuple[int, bytes], ...]:
    kept = documents[-HISTORY_DOCUMENTS:]
    while len(kept) > 1 and sum(len(document) for _, document in kept) > HISTORY_DOCUMENT_BYTES:
        kept = kept[1:]
    return kept
