"""Parsing and validation of client requests.

A body is decoded once, into the few fields that the router needs, and forwarded unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec
import xxhash

from springmux.control.view import Configuration, Route, RouteKind
from springmux.router.errors import RefusalError
from springmux.router.events import ClientRequest
from springmux.vocabulary.errors import ErrorCode, FieldError
from springmux.vocabulary.names import RequestId, RouteName

T = TypeVar("T")

CHAT_PATH = "/v1/chat/completions"
CALLS_PREFIX = "/v1/calls/"
MODELS_PATH = "/v1/models"
MAX_IDEMPOTENCY_KEY_LENGTH = 200
"""Maximum number of characters; documented in docs/API.md."""
BYTES_PER_TOKEN = 4
"""Usual ratio for text in European languages. If the engine reports the prompt's token count, this count is
charged instead of the estimate."""


class ContentPart(msgspec.Struct):
    """One part of a message in the list form; parts that are not text have no ``text``."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message of the conversation."""

    role: str
    content: str | list[ContentPart] | None = None


class ChatBody(msgspec.Struct):
    """The fields of a chat-completions request that the router reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


class ParsedRequest(msgspec.Struct, frozen=True):
    """A request with a known route and a valid body.

    ``prefix_text``: text that engines cache, in order (empty for calls). ``max_tokens``: response limit.
    """

    route: Route
    path: str
    stream: bool
    body: bytes
    prefix_text: bytes
    prompt_tokens: int
    max_tokens: int
    idempotency_key: str

    def action_id(self, request_id: RequestId) -> str:
        """Return the client's idempotency key, or the request id without one."""
        return self.idempotency_key or request_id

    def action_hash(self, request_id: RequestId) -> int:
        """Return a 64-bit hash of :meth:`action_id`, for the version filter."""
        return xxhash.xxh3_64_intdigest(self.action_id(request_id).encode(errors="surrogateescape"))


class _JsonObject(msgspec.Struct):
    """Any JSON object; its fields belong to the service."""


_chat_decoder = msgspec.json.Decoder(ChatBody)
_object_decoder = msgspec.json.Decoder(_JsonObject)


def path_without_query(path: str) -> str:
    """Return ``path`` without its query."""
    return path.partition("?")[0]


def check_path(request: ClientRequest) -> None:
    """Check path and method.

    :raises RefusalError: ``not_found`` or ``method_not_allowed``.
    """
    path = path_without_query(request.path)
    if path == MODELS_PATH:
        allowed = "GET"
    elif path == CHAT_PATH or path.startswith(CALLS_PREFIX):
        allowed = "POST"
    else:
        raise RefusalError(ErrorCode.NOT_FOUND, f"no such path; prompts go to {CHAT_PATH}")
    if request.method != allowed:
        raise RefusalError(ErrorCode.METHOD_NOT_ALLOWED, f"{path} takes {allowed} only")


def parse_request(request: ClientRequest, configuration: Configuration) -> ParsedRequest:
    """Parse a request whose path was checked by :func:`check_path`.

    :raises RefusalError: unknown route, invalid body, or a body over the route's limit.
    """
    path = path_without_query(request.path)
    if path == CHAT_PATH:
        return _parse_chat(request, configuration)
    return _parse_call(request, path, configuration)


def _parse_chat(request: ClientRequest, configuration: Configuration) -> ParsedRequest:
    _check_size(request.body, _largest_prompt_body(configuration))
    body = _decode(_chat_decoder, request.body)
    route = _find_route(configuration, body.model, RouteKind.PROMPT)
    _check_size(request.body, route.max_body_bytes)
    if not body.messages:
        raise _invalid_field("messages", "must hold at least one message")
    max_tokens = route.max_tokens if body.max_tokens is None else body.max_tokens
    if not 1 <= max_tokens <= route.max_tokens:
        raise _invalid_field("max_tokens", f"must be 1 to {route.max_tokens} on this route")
    prefix_text = _prefix_text(body.messages)
    return ParsedRequest(
        route=route,
        path=CHAT_PATH,
        stream=body.stream,
        body=request.body,
        prefix_text=prefix_text,
        prompt_tokens=len(prefix_text) // BYTES_PER_TOKEN + 1,
        max_tokens=max_tokens,
        idempotency_key=_idempotency_key(request.headers),
    )


def _parse_call(request: ClientRequest, path: str, configuration: Configuration) -> ParsedRequest:
    route = _find_route(configuration, path[len(CALLS_PREFIX) :], RouteKind.CALL)
    _check_size(request.body, route.max_body_bytes)
    _decode(_object_decoder, request.body)
    _check_utf8(request.body)
    return ParsedRequest(
        route=route,
        path=path,
        stream=False,
        body=request.body,
        prefix_text=b"",
        prompt_tokens=0,
        max_tokens=0,
        idempotency_key=_idempotency_key(request.headers),
    )


def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$.")
        raise _invalid_field(path.rstrip("`"), message) from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise RefusalError(ErrorCode.MALFORMED_JSON, f"the body is not JSON: {error}") from None


def _check_utf8(body: bytes) -> None:
    try:
        body.decode()
    except UnicodeDecodeError:
        raise RefusalError(ErrorCode.MALFORMED_JSON, "the body is not UTF-8") from None


def _invalid_field(path: str, message: str) -> RefusalError:
    text = f"{path}: {message}" if path else message
    return RefusalError(ErrorCode.INVALID_REQUEST, text, errors=(FieldError(path, message),))


def _check_size(body: bytes, limit_bytes: int) -> None:
    if len(body) > limit_bytes:
        raise RefusalError(
            ErrorCode.BODY_TOO_LARGE, f"the body has {len(body)} bytes, the limit is {limit_bytes}"
        )


def _largest_prompt_body(configuration: Configuration) -> int:
    sizes = (r.max_body_bytes for r in configuration.routes.values() if r.kind is RouteKind.PROMPT)
    return max(sizes, default=0)


def _find_route(configuration: Configuration, name: str, kind: RouteKind) -> Route:
    route = configuration.routes.get(RouteName(name))
    if route is None or route.kind is not kind:
        raise RefusalError(ErrorCode.UNKNOWN_ROUTE, f"no {kind} route of that name in the configuration")
    return route


def _prefix_text(messages: list[ChatMessage]) -> bytes:
    texts: list[str] = []
    for message in messages:
        texts.append(message.role)
        content = message.content
        if isinstance(content, str):
            texts.append(content)
        elif content is not None:
            texts.extend(part.text for part in content)
    return "\0".join(texts).encode()


def _idempotency_key(headers: Mapping[str, str]) -> str:
    key = headers.get("idempotency-key")
    if key is None:
        return ""
    # The key is sent to the engine in a header, whose value must be printable text.
    if not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        message = f"must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} printable characters"
        raise _invalid_field("Idempotency-Key", message)
    return key
