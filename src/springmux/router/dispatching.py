"""Builds the request that is sent to an engine."""

from __future__ import annotations

from springmux.control.view import RouteKind
from springmux.router.attempt import Attempt
from springmux.router.core import RouterCore
from springmux.router.effects import Dispatch, Headers
from springmux.router.events import ClientRequest
from springmux.router.parse import ParsedRequest

CONNECT_TIMEOUT_S = 0.5
"""Connect timeout if the service was just removed from the configuration; the default of its schema."""


def dispatch_effect(
    core: RouterCore,
    request: ClientRequest,
    parsed: ParsedRequest,
    attempt: Attempt,
    deadline: float,
    now: float,
) -> Dispatch:
    """Return the effect that sends ``request`` to the attempt's engine, with its body unchanged."""
    headers: Headers = (
        ("Content-Type", "application/json"),
        ("X-Request-Id", request.request_id),
        ("X-Deadline-S", f"{deadline - now:.3f}"),
    )
    if parsed.route.kind is RouteKind.CALL:
        headers = (*headers, ("X-Idempotency-Key", parsed.action_id(request.request_id)))
    service = core.view.configuration.services.get(parsed.route.service)
    return Dispatch(
        attempt=attempt.number,
        engine=attempt.slot.record,
        path=parsed.path,
        headers=headers,
        body=parsed.body,
        connect_timeout_s=service.connect_timeout_s if service else CONNECT_TIMEOUT_S,
        # A pooled connection may be closed during the request, which leaves its fate unknown.
        fresh=not parsed.route.repeatable or attempt.number > 1,
    )
