"""JSON bodies of the admin listener: decode a request's, encode a response's."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from aiohttp import web

from springmux.node.admin.errors import decode_failure
from springmux.node.client.error_responses import JSON_TYPE

Body = TypeVar("Body", bound=msgspec.Struct)


def decode_body(data: bytes, kind: type[Body]) -> Body:
    """Return a request's body as a struct of type ``kind``.

    :raises ApiResponseError: if it is not JSON, or not of that shape.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise decode_failure(error) from None


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a value as a JSON response."""
    return web.Response(status=status, body=msgspec.json.encode(value), content_type=JSON_TYPE)
