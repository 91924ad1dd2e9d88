"""Parsing of the headers that describe a prompt, and the quota units and priority derived from them."""

from __future__ import annotations

from springmux.control.gateway_configuration import GatewayRoute, GatewayTenant
from springmux.gateway.prompt_metadata import NO_PROMPT_METADATA, PromptMetadata

MAX_PRIORITY = 9
"""Lowest of the ten priorities of an engine; 0 is the most urgent."""
ROUTE_PRIORITIES_PER_TENANT_PRIORITY = 3
"""Weight of a tenant's priority, which takes precedence over the route's."""
MAX_TOKEN_DIGITS = 12
MAX_PARTS = 256
"""Parts of a prompt that guide the engine choice; a head of the largest size has room for thousands."""


def parse_prompt_metadata(prefix: bytes | None, usage: bytes | None) -> PromptMetadata:
    """Return the prompt's metadata from the two headers (docs/API.md).

    Malformed parts are ignored, since the metadata only guides the engine choice.
    """
    if prefix is None and usage is None:
        return NO_PROMPT_METADATA
    prompt_tokens, output_tokens = _parse_usage(usage)
    parts, prefix_tokens = _parse_prefix(prefix)
    prompt_tokens = prompt_tokens or prefix_tokens
    return PromptMetadata(prefix=parts, prompt_tokens=prompt_tokens, output_tokens=output_tokens)


def quota_tokens(tenant: GatewayTenant, usage: bytes | None) -> float:
    """Return the quota units of a request: stated tokens, or the tenant's default; 1 if requests count."""
    if not tenant.counts_tokens:
        return 1.0
    if usage is None:
        return tenant.uncounted_tokens
    prompt_tokens, output_tokens = _parse_usage(usage)
    return float(prompt_tokens + output_tokens) or tenant.uncounted_tokens


def engine_priority(route: GatewayRoute, tenant: GatewayTenant | None) -> int:
    """Return the priority to send to the engine (0 to :data:`MAX_PRIORITY`)."""
    tenant_priority = tenant.priority if tenant is not None else 0
    combined = tenant_priority * ROUTE_PRIORITIES_PER_TENANT_PRIORITY + route.priority
    return max(0, min(MAX_PRIORITY, combined))


def _parse_usage(usage: bytes | None) -> tuple[int, int]:
    if usage is None:
        return 0, 0
    prompt, _, output = usage.partition(b",")
    return _parse_count(prompt), _parse_count(output)


def _parse_prefix(prefix: bytes | None) -> tuple[tuple[tuple[str, int], ...], int]:
    """Return the first :data:`MAX_PARTS` parts, and the tokens of all of them."""
    parts: list[tuple[str, int]] = []
    total_tokens = 0
    for part in prefix.split(b",") if prefix else ():
        name, separator, tokens = part.strip().partition(b":")
        if not separator or not name:
            continue
        count = _parse_count(tokens)
        total_tokens += count
        if len(parts) < MAX_PARTS:
            parts.append((name.decode("latin-1"), count))
    return tuple(parts), total_tokens


def _parse_count(text: bytes) -> int:
    stripped = text.strip()
    return int(stripped) if stripped.isdigit() and len(stripped) <= MAX_TOKEN_DIGITS else 0
