"""Rollout templates in the control state, stored as the documents that operators sent."""

from __future__ import annotations

import re
from collections.abc import Mapping

import msgspec

from springmux.control.command_decision import ACCEPTED, CommandDecision, invalid
from springmux.control.commands import PutTemplate
from springmux.control.name_pattern import NAME_PATTERN
from springmux.control.nesting import MAX_DEPTH, is_within_max_depth
from springmux.vocabulary.errors import FieldError

MAX_TEMPLATE_BYTES = 256 << 10
MAX_TEMPLATES = 1000
"""Every node holds all templates, which are few and small."""
_NAME = re.compile(NAME_PATTERN)


class TemplatesSection:
    """Templates by name. :mod:`springmux.rollout.planning.template` validates their content."""

    def __init__(self) -> None:
        self.documents: Mapping[str, bytes] = {}

    def put(self, command: PutTemplate) -> CommandDecision:
        """Create or replace a template."""
        errors = self._errors(command)
        if errors:
            return invalid(*errors)
        self.documents = {**self.documents, command.name: command.document}
        return ACCEPTED

    def _errors(self, command: PutTemplate) -> list[FieldError]:
        errors: list[FieldError] = []
        if not _NAME.fullmatch(command.name):
            errors.append(FieldError("name", "must be 1 to 128 letters, digits, '.', '_' or '-'"))
        if len(command.document) > MAX_TEMPLATE_BYTES:
            errors.append(FieldError("", f"the limit is {MAX_TEMPLATE_BYTES} bytes"))
        elif not _is_object(command.document):
            errors.append(FieldError("", f"must be a JSON object of at most {MAX_DEPTH} levels"))
        if command.name not in self.documents and len(self.documents) >= MAX_TEMPLATES:
            errors.append(FieldError("name", f"there are {MAX_TEMPLATES} templates already"))
        return errors


def _is_object(document: bytes) -> bool:
    """Return whether ``document`` is a JSON object that every node can decode, whatever its stack depth."""
    try:
        value = msgspec.json.decode(document)
    except (msgspec.DecodeError, RecursionError):
        return False
    return isinstance(value, dict) and is_within_max_depth(value)
