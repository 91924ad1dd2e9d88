"""An engine's reply to one attempt, whichever shape it has: checked, and ready to be passed on."""

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
    """One reply. ``fault`` is empty while all is well; ``version`` is what the engine says it runs.

    Exactly one of ``stream`` and ``answer`` is set once a faultless head came.
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
        """Take bytes of the body; return what may be passed on now (of a whole answer: nothing yet)."""
        if self.stream is not None:
            forward = self.stream.feed(data)
            self.fault = self.stream.fault
            return forward
        if self.answer is not None:
            self.answer.feed(data)
            self.fault = self.answer.fault
        return b""

    def end(self) -> bytes:
        """Take the proper end of the exchange; return the whole answer, unless there is a fault."""
        if self.answer is None:
            self.fault = "the engine ended its stream before the last piece"
            self._broke_off = True
            return b""
        self.answer.end()
        self.fault = self.answer.fault
        return self.answer.body

    @property
    def finished(self) -> bool:
        """Whether a stream has come to its proper end."""
        return self.stream is not None and self.stream.finished

    @property
    def trailing(self) -> bool:
        """Whether bytes came after a stream's end."""
        return self.stream is not None and self.stream.trailing

    def error_code(self) -> ErrorCode:
        """Return what to tell the caller of the fault."""
        if self.stream is not None and self.stream.engine_error:
            return ErrorCode.ENGINE_ERROR
        return ErrorCode.ENGINE_BROKE_OFF if self._broke_off else ErrorCode.ENGINE_PROTOCOL

    def ending(self) -> Ending:
        """Return what the fault is as evidence."""
        engine_error = self.stream is not None and self.stream.engine_error
        return Ending.ERROR_STATUS if engine_error else Ending.BROKEN

    def head(self) -> ResponseHead:
        """Return the head for the caller; of a whole answer only after its end was checked."""
        length = len(self.answer.body) if self.answer is not None else None
        return ResponseHead(self.status, self._headers, length)

    def pieces(self) -> int:
        """Return how many valid pieces of a stream came."""
        return self.stream.pieces if self.stream is not None else 0

    def prompt_tokens(self) -> int:
        """Return the prompt's length as the engine counted it, 0 if it didn't say."""
        checker = self.stream or self.answer
        return checker.prompt_tokens if checker is not None else 0

    def tokens(self) -> int:
        """Return the answer's length as the engine counted it, else the number of pieces."""
        checker = self.stream or self.answer
        counted = checker.tokens if checker is not None else 0
        return counted or self.pieces()
