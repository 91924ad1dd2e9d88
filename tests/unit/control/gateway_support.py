"""Builders for tests of the gateway's configuration."""

from __future__ import annotations

import json
from typing import Any

from springmux.control.commands import ApplyGateway, Outcome, gateway_order_id
from tests.unit.control.support import Log


def whole(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a whole document. ``changes`` replace its members; ``None`` removes a member."""
    document: dict[str, Any] = {
        "version": version,
        "routes": [
            {
                "name": "draft",
                "host": "API.Example:8443",
                "path_prefix": "/draft/",
                "kind": "stream",
                "timeout_ms": 91668,
                "target_ms": 260000.0,
                "gap_target_ms": 80,
                "priority": 2,
                "service": "text",
                "max_attempts": 3,
                "sticky": True,
                "resumable": True,
                "protocol": "sse",
                "tls": {"modes": ["strict", None], "weight": 1e-3},
            },
            {
                "name": "pages",
                "host": "www.example",
                "path_prefix": "/",
                "public": True,
                "backends": [{"service": "pages", "weight": 9}, {"service": "text", "weight": 0.5}],
            },
        ],
        "services": [
            {"name": "text", "engine": {"slots": 8, "cache_tokens": 9000, "family": "m1"}, "protocol": "h2"},
            {"name": "pages", "health_path": "/ok", "max_connections": 7},
        ],
        "limits": {"max_body_bytes": 1000, "header_timeout_ms": 250.5},
        "tenants": [
            {
                "name": "acme",
                "api_keys": ["k1", "k2", "k1"],
                "quota_unit": "tokens",
                "rate_per_s": 5,
                "burst": 9,
            },
            {"name": "other", "api_keys": ["k3"], "priority": 1, "uncounted_tokens": 40},
        ],
    }
    document.update(changes)
    return {name: member for name, member in document.items() if member is not None}


def change(base_version: int, document: Any, partial: bool = False, issued_by: str = "ann") -> ApplyGateway:
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return ApplyGateway(
        order=gateway_order_id(base_version, data, partial),
        issued_by=issued_by,
        base_version=base_version,
        document=data,
        partial=partial,
    )


def patch(base_version: int, **members: Any) -> ApplyGateway:
    """Return a partial change to the version after ``base_version``."""
    return change(base_version, {"version": base_version + 1, **members}, partial=True)


def read_back(log: Log) -> Any:
    document = log.state.gateway_document()
    assert document is not None
    return json.loads(document)


def with_gateway(**changes: Any) -> Log:
    log = Log()
    assert log.outcome(change(0, whole(1, **changes))) is Outcome.ACCEPTED
    return log
