"""An engine's response to one attempt, stream or not: checked, and ready to be forwarded."""

from __future__ import annotations

from springmux.control.view import RouteKind
from springmux.coordination.identifiers import NodeId
from springmux.rollout.outcome import Ending
from springmux.router.effects import Headers, ResponseHead
from springmux.router.events import UpstreamHead
from springmux.router.parse import ParsedRequest
from springmux.router.response_check import ResponseChecker, head_fault
from springmux.router.responses import engine_headers
from springmux.router.stream_check import StreamChecker
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import EngineId, RequestId

EVENT_STREAM = "text/event-stream"


class EngineResponse:
    """One response. ``fault``: what is invalid, or an empty string; ``version``: as reported by the engine.

    Exactly one of ``stream_checker`` and ``buffered_checker`` is set after a valid head.
    """

    __slots__ = (
        "_ended_early",
        "_headers",
        "buffered_checker",
        "fault",
        "status",
        "stream_checker",
        "version",
    )

    def __init__(
        self,
        event: UpstreamHead,
        parsed: ParsedRequest,
        request_id: RequestId,
        engine: EngineId,
        node: NodeId,
    ) -> None:
        self.status = event.status
        self.stream_checker: StreamChecker | None = None
        self.buffered_checker: ResponseChecker | None = None
        self.version = ""
        self._ended_early = False
        self._headers: Headers = ()
        self.fault = head_fault(event.headers, request_id, engine)
        if not self.fault and not (200 <= event.status < 300 or 400 <= event.status < 500):
            self.fault = f"the engine answered with status {event.status}"
        if self.fault:
            return
        self.version = event.headers["x-engine-version"]
        as_stream = parsed.stream and event.status < 400
        self._headers = engine_headers(
            request_id, node, engine, self.version, event.headers, stream=as_stream
        )
        if as_stream:
            self._start_stream(event, request_id)
        else:
            completion = parsed.route.kind is RouteKind.PROMPT and event.status < 400
            self.buffered_checker = ResponseChecker(event.headers, request_id if completion else "")
            self.fault = self.buffered_checker.fault

    def _start_stream(self, event: UpstreamHead, request_id: RequestId) -> None:
        if not event.headers.get("content-type", "").startswith(EVENT_STREAM):
            self.fault = "the engine did not answer with a stream"
            return
        self.stream_checker = StreamChecker(request_id)

    def feed(self, data: bytes) -> bytes:
        """Feed bytes of the body; return the bytes to forward now (none unless the response is a stream)."""
        if self.stream_checker is not None:
            forward = self.stream_checker.feed(data)
            self.fault = self.stream_checker.fault
            return forward
        if self.buffered_checker is not None:
            self.buffered_checker.feed(data)
            self.fault = self.buffered_checker.fault
        return b""

    def end(self) -> bytes:
        """Handle the proper end; return the complete body, or no bytes if it is invalid or a stream."""
        if self.buffered_checker is None:
            self.fault = "the engine ended its stream before the last piece"
            self._ended_early = True
            return b""
        self.buffered_checker.end()
        self.fault = self.buffered_checker.fault
        return self.buffered_checker.body

    @property
    def finished(self) -> bool:
        """Whether a stream has ended properly."""
        return self.stream_checker is not None and self.stream_checker.finished

    @property
    def trailing(self) -> bool:
        """Whether bytes arrived after a stream's end."""
        return self.stream_checker is not None and self.stream_checker.trailing

    def error_code(self) -> ErrorCode:
        """Return the error code of the fault."""
        if self.stream_checker is not None and self.stream_checker.engine_error:
            return ErrorCode.ENGINE_ERROR
        return ErrorCode.ENGINE_BROKE_OFF if self._ended_early else ErrorCode.ENGINE_PROTOCOL

    def ending(self) -> Ending:
        """Return the ending of the attempt that matches the fault."""
        engine_error = self.stream_checker is not None and self.stream_checker.engine_error
        return Ending.ERROR_STATUS if engine_error else Ending.BROKEN

    def head(self) -> ResponseHead:
        """Return the head for the client; may be called after :meth:`end` only, unless this is a stream."""
        length = len(self.buffered_checker.body) if self.buffered_checker is not None else None
        return ResponseHead(self.status, self._headers, length)

    def chunk_count(self) -> int:
        """Return the number of valid chunks of a stream."""
        return self.stream_checker.chunk_count if self.stream_checker is not None else 0

    def prompt_tokens(self) -> int:
        """Return the number of prompt tokens reported by the engine, or 0 if it reported none."""
        checker = self.stream_checker or self.buffered_checker
        return checker.prompt_tokens if checker is not None else 0

    def tokens(self) -> int:
        """Return the number of response tokens reported by the engine, or else the number of chunks."""
        checker = self.stream_checker or self.buffered_checker
        counted = checker.tokens if checker is not None else 0
        return counted or self.chunk_count()
