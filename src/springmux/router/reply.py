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


class Reply:
    """One reply. ``fault``: what is invalid, if anything; ``version``: the version that the engine reports.

    Exactly one of ``stream`` and ``answer`` is set after a valid head.
    """

    __slots__ = ("_broke_off", "_headers", "answer", "fault", "status", "stream", "version")

    def __init__(
        self,
        event: UpstreamHead,
        parsed: ParsedRequest,
        request_id: RequestId,
        engine: EngineId,
        node: NodeId,
    ) -> None:
        self.status = event.status
        self.stream: StreamChecker | None = None
        self.answer: ResponseChecker | None = None
        self.version = ""
        self._broke_off = False
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
            self._begin_stream(event, request_id)
        else:
            completion = parsed.route.kind is RouteKind.PROMPT and event.status < 400
            self.answer = ResponseChecker(event.headers, request_id if completion else "")
            self.fault = self.answer.fault

    def _begin_stream(self, event: UpstreamHead, request_id: RequestId) -> None:
        if not event.headers.get("content-type", "").startswith(EVENT_STREAM):
            self.fault = "the engine did not answer with a stream"
            return
        self.stream = StreamChecker(request_id)

    def feed(self, data: bytes) -> bytes:
        """Feed bytes of the body; return what may be forwarded now (nothing unless it is a stream)."""
        if self.stream is not None:
            forward = self.stream.feed(data)
            self.fault = self.stream.fault
            return forward
        if self.answer is not None:
            self.answer.feed(data)
            self.fault = self.answer.fault
        return b""

    def end(self) -> bytes:
        """Handle the proper end; return the complete body, or nothing if it is invalid or a stream."""
        if self.answer is None:
            self.fault = "the engine ended its stream before the last piece"
            self._broke_off = True
            return b""
        self.answer.end()
        self.fault = self.answer.fault
        return self.answer.body

    @property
    def finished(self) -> bool:
        """Whether a stream has ended properly."""
        return self.stream is not None and self.stream.finished

    @property
    def trailing(self) -> bool:
        """Whether bytes arrived after a stream's end."""
        return self.stream is not None and self.stream.trailing

    def error_code(self) -> ErrorCode:
        """Return the error code of the fault."""
        if self.stream is not None and self.stream.engine_error:
            return ErrorCode.ENGINE_ERROR
        return ErrorCode.ENGINE_BROKE_OFF if self._broke_off else ErrorCode.ENGINE_PROTOCOL

    def ending(self) -> Ending:
        """Return the ending that the fault stands for."""
        engine_error = self.stream is not None and self.stream.engine_error
        return Ending.ERROR_STATUS if engine_error else Ending.BROKEN

    def head(self) -> ResponseHead:
        """Return the head for the client; unless it is a stream, only after :meth:`end`."""
        length = len(self.answer.body) if self.answer is not None else None
        return ResponseHead(self.status, self._headers, length)

    def pieces(self) -> int:
        """Return the number of valid chunks of a stream."""
        return self.stream.pieces if self.stream is not None else 0

    def prompt_tokens(self) -> int:
        """Return the prompt's tokens as reported by the engine, 0 if it did not."""
        checker = self.stream or self.answer
        return checker.prompt_tokens if checker is not None else 0

    def tokens(self) -> int:
        """Return the response's tokens as reported by the engine, else the number of chunks."""
        checker = self.stream or self.answer
        counted = checker.tokens if checker is not None else 0
        return counted or self.pieces()
