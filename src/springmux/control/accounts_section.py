"""Tenants and API keys in the control state. Of a key, only the digest is stored."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

import msgspec

from springmux.control.command_decision import ACCEPTED, CommandDecision, conflict, invalid, not_found
from springmux.control.commands import PutKey, PutTenant, RemoveTenant, RevokeKey
from springmux.control.name_pattern import NAME_PATTERN
from springmux.control.persistent_map import PersistentMap
from springmux.control.view import KeyRecord, Tenant
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import KeyDigest, KeyId, TenantName

_NAME = re.compile(NAME_PATTERN)
_DIGEST = re.compile(r"[0-9a-f]{64}")


class AccountsSection:
    """Maps of tenants and keys. The maps are immutable, so that views can share them."""

    def __init__(self) -> None:
        self.tenants: PersistentMap[TenantName, Tenant] = PersistentMap()
        self.keys: PersistentMap[KeyDigest, KeyRecord] = PersistentMap()
        self._digests: dict[KeyId, KeyDigest] = {}

    def put_tenant(self, command: PutTenant) -> CommandDecision:
        """Create or replace a tenant."""
        errors = _tenant_errors(command.tenant)
        if errors:
            return invalid(*errors)
        self.tenants = self.tenants.set(command.tenant.name, command.tenant)
        return ACCEPTED

    def remove_tenant(self, command: RemoveTenant) -> CommandDecision:
        """Remove a tenant and revoke its keys. Their records stay, so that rejections state the reason."""
        if command.tenant not in self.tenants:
            return not_found(f"there is no tenant {command.tenant!r}")
        self.tenants = self.tenants.without(command.tenant)
        for record in list(self.keys.values()):
            if record.tenant == command.tenant:
                self._revoke(record)
        return ACCEPTED

    def put_key(self, command: PutKey) -> CommandDecision:
        """Register a key. Its id and digest belong together permanently; a changed key needs a new id."""
        errors = self._key_errors(command)
        if errors:
            return invalid(*errors)
        requested = KeyRecord(command.key, command.digest, command.tenant)
        other_digest = self._digests.get(command.key, command.digest)
        existing = self.keys.get(other_digest) or self.keys.get(command.digest)
        if existing is not None and existing != requested:
            state = "revoked" if existing.revoked else "registered otherwise"
            return conflict(f"key {existing.key!r} is {state}; take a new key and id", {"key": existing.key})
        self._register(requested)
        return ACCEPTED

    def revoke_key(self, command: RevokeKey) -> CommandDecision:
        """Revoke a key. Revoking a revoked key is accepted and changes nothing."""
        digest = self._digests.get(command.key)
        if digest is None:
            return not_found(f"there is no key {command.key!r}")
        self._revoke(self.keys[digest])
        return ACCEPTED

    def restore(self, tenants: Iterable[Tenant], keys: Iterable[KeyRecord]) -> None:
        """Replace all tenants and keys by those of a snapshot."""
        records = tuple(keys)
        self.tenants = PersistentMap((tenant.name, tenant) for tenant in tenants)
        self.keys = PersistentMap((record.digest, record) for record in records)
        self._digests = {record.key: record.digest for record in records}

    def _register(self, record: KeyRecord) -> None:
        self.keys = self.keys.set(record.digest, record)
        self._digests[record.key] = record.digest

    def _revoke(self, record: KeyRecord) -> None:
        self.keys = self.keys.set(record.digest, msgspec.structs.replace(record, revoked=True))

    def _key_errors(self, command: PutKey) -> list[FieldError]:
        errors: list[FieldError] = []
        if not _NAME.fullmatch(command.key):
            errors.append(FieldError("key_id", "must be 1 to 128 letters, digits, '.', '_' or '-'"))
        if not _DIGEST.fullmatch(command.digest):
            errors.append(FieldError("digest", "must be a SHA-256 in 64 lower-case hex digits"))
        if command.tenant not in self.tenants:
            errors.append(FieldError("tenant", f"there is no tenant {command.tenant!r}"))
        return errors


def _tenant_errors(tenant: Tenant) -> list[FieldError]:
    errors: list[FieldError] = []
    if not _NAME.fullmatch(tenant.name):
        errors.append(FieldError("tenant", "must be 1 to 128 letters, digits, '.', '_' or '-'"))
    quantities = {
        "tokens_per_s": tenant.tokens_per_s,
        "burst_tokens": tenant.burst_tokens,
        "weight": tenant.weight,
    }
    for name, value in quantities.items():
        if not math.isfinite(value) or value < 0:
            errors.append(FieldError(name, "must be a number, 0 or more"))
    if tenant.weight == 0:
        errors.append(FieldError("weight", "must be more than 0"))
    return errors
