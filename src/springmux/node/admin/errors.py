"""Typed errors of the admin listener, and the middleware that turns them into responses."""

from __future__ import annotations

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from springmux.node.client.body_reader import BodyRejectedError
from springmux.node.client.error_responses import NOT_FOUND_HINT, error_body, error_headers
from springmux.node.logs import EventLog
from springmux.vocabulary.errors import ApiError, ApiResponseError, ErrorCode, FieldError

OVERLOAD_RETRY_S = 1.0


def invalid_field_error(path: str, message: str) -> ApiResponseError:
    """Return a 400 error that names one invalid field."""
    return ApiResponseError(
        ApiError(
            code=ErrorCode.INVALID_REQUEST,
            message=f"{path}: {message}",
            status=400,
            errors=(FieldError(path, message),),
        )
    )


def decode_failure(error: msgspec.DecodeError | RecursionError) -> ApiResponseError:
    """Return a 400 error for a body that is not JSON or does not match the expected type."""
    if isinstance(error, RecursionError):
        return invalid_field_error("$", "is nested too deeply")
    text = str(error)
    if isinstance(error, msgspec.ValidationError):
        message, _, path = text.partition(" - at `$.")
        return invalid_field_error(path.rstrip("`") or "$", message)
    return ApiResponseError(
        ApiError(code=ErrorCode.MALFORMED_JSON, message=f"the body is not JSON: {text}", status=400)
    )


def validation_error(code: ErrorCode, message: str, errors: tuple[FieldError, ...]) -> ApiResponseError:
    """Return a 422 error with every invalid field."""
    return ApiResponseError(ApiError(code=code, message=message, status=422, errors=errors))


def rejection_error(rejected: BodyRejectedError) -> ApiResponseError:
    """Return the error for a body that was not read."""
    retry_after_s = OVERLOAD_RETRY_S if rejected.code is ErrorCode.OVERLOADED else None
    return ApiResponseError(
        ApiError(
            code=rejected.code,
            message=rejected.message,
            status=rejected.status,
            retry_after_s=retry_after_s,
        )
    )


def error_response(error: ApiError) -> web.Response:
    """Return the HTTP response of a typed error."""
    return web.Response(status=error.status, body=error_body(error), headers=error_headers(error))


def error_middleware(node: str, log: EventLog) -> Middleware:
    """Return a middleware that turns exceptions into typed error responses with the node's name."""

    @web.middleware
    async def respond_to_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except ApiResponseError as raised:
            error = raised.error
        except web.HTTPRequestEntityTooLarge as raised_http:
            error = ApiError(code=ErrorCode.BODY_TOO_LARGE, message=raised_http.text or "", status=413)
        except web.HTTPMethodNotAllowed as raised_http:
            allowed = ", ".join(sorted(raised_http.allowed_methods))
            text = f"{request.path} takes {allowed} only"
            error = ApiError(code=ErrorCode.METHOD_NOT_ALLOWED, message=text, status=405)
        except web.HTTPNotFound:
            error = ApiError(code=ErrorCode.NOT_FOUND, message=NOT_FOUND_HINT, status=404)
        except web.HTTPException:
            raise
        except Exception as fault:  # noqa: BLE001 - a fault in one request must not end the node
            log.crash("admin_request_crashed", fault)
            error = ApiError(code=ErrorCode.INTERNAL, message="the node failed; see its log", status=500)
        return error_response(msgspec.structs.replace(error, node=node))

    return respond_to_errors
