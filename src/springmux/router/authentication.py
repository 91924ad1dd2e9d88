"""Authentication by a bearer key, looked up by its digest. The key itself is never stored or logged."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from springmux.control.view import ControlView, KeyRecord
from springmux.router.errors import RefusalError
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import KeyDigest

BEARER_PREFIX = "bearer "


def authenticate(headers: Mapping[str, str], view: ControlView) -> KeyRecord:
    """Return the record of the client's key.

    :raises RefusalError: ``missing_key``, ``unknown_key`` or ``revoked_key`` (401).
    """
    value = headers.get("authorization", "")
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX or len(value) == len(BEARER_PREFIX):
        raise RefusalError(ErrorCode.MISSING_KEY, "send the header Authorization: Bearer KEY")
    key = value[len(BEARER_PREFIX) :].strip()
    digest = KeyDigest(hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest())
    record = view.keys.get(digest)
    if record is None or record.tenant not in view.tenants:
        raise RefusalError(ErrorCode.UNKNOWN_KEY, "the key is not known")
    if record.revoked:
        raise RefusalError(ErrorCode.REVOKED_KEY, "the key was revoked")
    return record
