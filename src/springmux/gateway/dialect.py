"""Names of the headers that the gateway reads and writes; a deployment may configure others."""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names in lower case, as bytes. The defaults are the gateway's own interface (docs/API.md).

    Read from clients: ``request_id``, ``deadline_ms`` (how long the client waits), ``api_key``, ``model``,
    ``token_usage`` (``PROMPT,MOST_OUT``), ``prompt_prefix`` (``ID:TOKENS`` parts in order, joined by commas).
    Written to engines: ``target_engine``, ``tenant``, ``priority`` (0 to 9), ``last_event_id``.
    Read from engines: ``not_executed`` (the request was not executed), ``seal`` (the engine's signature,
    valid only on the engine's own response), ``engine_id``.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    api_key: bytes = b"x-api-key"
    model: bytes = b"x-model"
    token_usage: bytes = b"x-token-usage"
    prompt_prefix: bytes = b"x-prompt-prefix"
    target_engine: bytes = b"x-target-engine"
    tenant: bytes = b"x-tenant"
    priority: bytes = b"x-priority"
    last_event_id: bytes = b"last-event-id"
    not_executed: bytes = b"x-not-executed"
    seal: bytes = b"x-answer-seal"
    engine_id: bytes = b"x-engine-id"


OWN_HEADERS = HeaderNames()
