"""JSON bodies of the admin listener: decoding of requests, encoding of responses."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from aiohttp import web

from springmux.node.admin.errors import decode_failure
from springmux.node.client.error_responses import JSON_TYPE

Body = TypeVar("Body", bound=msgspec.Struct)


def decode_body(data: bytes, body_type: type[Body]) -> Body:
    """Return a request's body as a struct of type ``body_type``.

    :raises ApiResponseError: the body is not JSON, or does not match the type.
    """
    try:
        return msgspec.json.decode(data, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise decode_failure(error) from None


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with ``value`` encoded as JSON."""
    return web.Response(status=status, body=msgspec.json.encode(value), content_type=JSON_TYPE)
