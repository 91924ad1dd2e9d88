"""What a caller states of its prompt: its shared parts, its tokens, and what it counts for the quota."""

from __future__ import annotations

from springmux.control.gateway_configuration import GatewayRoute, GatewayTenant
from springmux.gateway.placement import PromptFacts

NO_FACTS = PromptFacts()
MOST_PRIORITY = 9
"""Engines know ten ranks, 0 is the most urgent."""
RANKS_OF_A_TENANT = 3
"""A tenant's rank comes before the route's; three ranks of routes fit between two of tenants."""


def parse_facts(prefix: bytes | None, usage: bytes | None) -> PromptFacts:
    """Return the facts in the two headers. Malformed parts are left out: they only guide the choice."""
    if prefix is None and usage is None:
        return NO_FACTS
    prompt_tokens, output_tokens = _parse_usage(usage)
    parts = _parse_prefix(prefix)
    if not prompt_tokens:
        prompt_tokens = sum(tokens for _, tokens in parts)
    return PromptFacts(prefix=parts, prompt_tokens=prompt_tokens, output_tokens=output_tokens)


def quota_tokens(tenant: GatewayTenant, usage: bytes | None) -> float:
    """Return what a request counts: the sum of its stated tokens, or what one without any counts."""
    if not tenant.counts_tokens:
        return 1.0
    if usage is None:
        return tenant.uncounted_tokens
    prompt_tokens, output_tokens = _parse_usage(usage)
    return float(prompt_tokens + output_tokens) or tenant.uncounted_tokens


def engine_priority(route: GatewayRoute, tenant: GatewayTenant | None) -> int:
    """Return the rank that the engine is told."""
    tenant_rank = tenant.priority if tenant is not None else 0
    return max(0, min(MOST_PRIORITY, tenant_rank * RANKS_OF_A_TENANT + route.priority))


def _parse_usage(usage: bytes | None) -> tuple[int, int]:
    if usage is None:
        return 0, 0
    prompt, _, output = usage.partition(b",")
    return _count(prompt), _count(output)


def _parse_prefix(prefix: bytes | None) -> tuple[tuple[str, int], ...]:
    if not prefix:
        return ()
    parts = []
    for part in prefix.split(b","):
        name, separator, tokens = part.strip().partition(b":")
        if separator and name:
            parts.append((name.decode("latin-1"), _count(tokens)))
    return tuple(parts)


def _count(text: bytes) -> int:
    stripped = text.strip()
    return int(stripped) if stripped.isdigit() and len(stripped) <= 12 else 0
