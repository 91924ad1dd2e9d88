"""Heads and bodies of responses that the node itself builds."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.control.view import Configuration, RouteKind
from springmux.coordination.identifiers import NodeId
from springmux.router.effects import Headers, ResponseHead
from springmux.router.stored_response import StoredResponse
from springmux.vocabulary.names import RequestId

_COMMON_HEADER_NAMES = frozenset({"x-request-id", "x-node"})


class _Model(msgspec.Struct, frozen=True):
    id: str
    object: str = "model"
    owned_by: str = "springmux"
    created: int = 0


class _ModelList(msgspec.Struct, frozen=True):
    data: list[_Model]
    object: str = "list"


_encoder = msgspec.json.Encoder()


def common_headers(request_id: RequestId, node: NodeId) -> Headers:
    """Return the headers that every response has."""
    return (("X-Request-Id", request_id), ("X-Node", node))


def engine_headers(
    request_id: RequestId, node: NodeId, engine: str, version: str, upstream: Mapping[str, str], stream: bool
) -> Headers:
    """Return the headers of an engine's response for the client."""
    content_type = upstream.get("content-type", "application/json")
    headers = (
        *common_headers(request_id, node),
        ("X-Engine", engine),
        ("X-Engine-Version", version),
        ("Content-Type", content_type),
    )
    retry_after = upstream.get("retry-after")
    if retry_after is not None:
        headers = (*headers, ("Retry-After", retry_after))
    if stream:
        headers = (*headers, ("Cache-Control", "no-cache"))
    return headers


def replay_headers(request_id: RequestId, node: NodeId, stored: StoredResponse) -> Headers:
    """Return the headers for replaying a stored response, with the request id of the resent request."""
    kept = tuple(pair for pair in stored.headers if pair[0].lower() not in _COMMON_HEADER_NAMES)
    return (*common_headers(request_id, node), *kept, ("X-Replayed", "true"))


def models_body(configuration: Configuration) -> bytes:
    """Return the list of prompt routes as an OpenAI-style model list."""
    names = sorted(r.name for r in configuration.routes.values() if r.kind is RouteKind.PROMPT)
    return _encoder.encode(_ModelList([_Model(name) for name in names]))


def models_head(request_id: RequestId, node: NodeId, body: bytes) -> ResponseHead:
    """Return the head for :func:`models_body`."""
    headers = (*common_headers(request_id, node), ("Content-Type", "application/json"))
    return ResponseHead(200, headers, len(body))
