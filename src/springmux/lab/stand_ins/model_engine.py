"""Stand-in model engine: the chat-completions API over HTTP, driven by the engine model."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable

import msgspec
from aiohttp import web

from springmux.lab.records import Arrival, BackEndEvent, Ending
from springmux.lab.stand_ins.announcer import Announcer, EngineIdentity, LoadReport
from springmux.simulation.engine_model import (
    BYTES_PER_TOKEN,
    EngineModel,
    EngineSpec,
    ResponseFault,
    ResponsePlan,
    VersionBehaviour,
)
from springmux.vocabulary.names import RequestId, RouteName

MAX_BODY_BYTES = 4 << 20


class _Message(msgspec.Struct):
    content: str
    role: str = "user"


class _ChatRequest(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int = 64


def _usage(chat: _ChatRequest, answer_tokens: int) -> dict[str, int]:
    """Return the token counts: a token is four bytes of prompt, or one chunk of the response."""
    prompt_bytes = sum(len(message.content.encode()) for message in chat.messages)
    prompt_tokens = prompt_bytes // BYTES_PER_TOKEN + 1
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + answer_tokens,
    }


def chunk_text(request: str, seq: int) -> str:
    """Return the text of one chunk, derived from request and number so that a client can check it."""
    return f"{request[-6:]}.{seq} "


class ModelEngine:
    """One engine on one port.

    :param record_event: receives each arrival and ending.
    :param clock: returns monotonic seconds; replaceable in tests.
    """

    def __init__(
        self,
        identity: EngineIdentity,
        spec: EngineSpec,
        behaviour: VersionBehaviour,
        admin_addresses: list[str],
        record_event: Callable[[BackEndEvent], None],
        seed: int,
        lateness_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        source = random.Random(seed)
        self.identity = identity
        self.model = EngineModel(spec, behaviour, source)
        self.announcer = Announcer(identity, admin_addresses, self._current_load, source, lateness_s)
        self.served = 0
        self.unresponsive = False
        self.draining = False
        self._record_event = record_event
        self._clock = clock
        self._bad_responses: set[RequestId] = set()
        self._slot_waiters: dict[RequestId, asyncio.Event] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on the identity's address and start the announcer."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post("/v1/chat/completions", self._handle_completion)
        self._runner = web.AppRunner(
            # A client that disconnects frees its slot, as at a real engine.
            application,
            access_log=None,
            shutdown_timeout=0.05,
            handler_cancellation=True,
        )
        await self._runner.setup()
        host, port = self.identity.address.rsplit(":", 1)
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        await self.announcer.start()

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self.model.running

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Stop or resume responses and reports; connections are accepted in both states."""
        self.unresponsive = unresponsive
        self.announcer.paused = unresponsive

    def set_behaviour(self, behaviour: VersionBehaviour) -> None:
        """Switch to another version behaviour."""
        self.model.behaviour = behaviour
        self.model.bad_since = None

    async def crash(self) -> None:
        """Close every connection without deregistering."""
        await self.announcer.stop()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def drain(self) -> bool:
        """Report that the engine drains and may get no new request; return whether a node acknowledged it.

        The engine continues to serve what it gets.
        """
        self.draining = True
        return await self.announcer.drain()

    async def leave(self, grace_s: float = 0.0) -> None:
        """Let running requests finish within ``grace_s``, deregister, stop."""
        deadline = self._clock() + grace_s
        while self.running and self._clock() < deadline:
            await asyncio.sleep(0.05)
        await self.announcer.leave()
        await self.crash()

    def _current_load(self) -> LoadReport:
        return LoadReport(
            running=self.model.running,
            queued=self.model.queued,
            cache_used=self.model.cache.used_share,
            draining=self.draining,
        )

    async def _handle_completion(self, http_request: web.Request) -> web.StreamResponse:
        if self.unresponsive:
            await asyncio.Event().wait()
        body = await http_request.read()
        request_id = RequestId(http_request.headers.get("X-Request-Id", ""))
        try:
            chat = msgspec.json.decode(body, type=_ChatRequest)
        except msgspec.DecodeError as error:
            return web.json_response(
                {"error": {"message": str(error)}}, status=400, headers=self._headers(request_id)
            )
        if self.model.bad_since is None:
            self.model.bad_since = self._clock()
        identity = self.identity
        self._record_event(
            Arrival(
                self._clock(), identity.engine, identity.service, identity.version, chat.model, request_id
            )
        )
        try:
            await self._acquire_slot(request_id)
            self.served += 1
            return await self._respond(http_request, chat, request_id)
        finally:
            self._release_slot(request_id)
            self._record_end(request_id)

    def _record_end(self, request_id: RequestId) -> None:
        identity = self.identity
        bad = request_id in self._bad_responses
        self._bad_responses.discard(request_id)
        self._record_event(
            Ending(self._clock(), identity.engine, identity.service, identity.version, request_id, bad)
        )

    async def _acquire_slot(self, request_id: RequestId) -> None:
        if self.model.arrive(request_id):
            return
        waiter = self._slot_waiters[request_id] = asyncio.Event()
        await waiter.wait()

    def _release_slot(self, request_id: RequestId) -> None:
        self._slot_waiters.pop(request_id, None)
        successor = self.model.leave(request_id)
        if successor is not None and successor in self._slot_waiters:
            self._slot_waiters[successor].set()

    async def _respond(
        self, http_request: web.Request, chat: _ChatRequest, request_id: RequestId
    ) -> web.StreamResponse:
        prompt = "\n".join(message.content for message in chat.messages).encode()
        plan = self.model.plan(prompt, RouteName(chat.model), self._clock())
        if plan.degraded:
            self._bad_responses.add(request_id)
        if plan.fault is ResponseFault.SILENT or self.unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(plan.first_chunk_delay_s)
        if plan.fault is ResponseFault.ERROR:
            answer = {"error": {"message": "engine failed"}}
            return web.json_response(answer, status=500, headers=self._headers(request_id))
        if plan.fault is ResponseFault.WRONG_ID:
            request_id = RequestId("crossed-" + request_id)
        if chat.stream:
            return await self._stream(http_request, chat, request_id, plan)
        return await self._respond_complete(chat, request_id, plan)

    async def _respond_complete(
        self, chat: _ChatRequest, request_id: RequestId, plan: ResponsePlan
    ) -> web.StreamResponse:
        route = RouteName(chat.model)
        for _ in range(chat.max_tokens - 1):
            await asyncio.sleep(self.model.chunk_gap_s(route, self._clock()))
        if plan.fault is ResponseFault.GARBAGE:
            return web.Response(
                body=b'{"id": "', content_type="application/json", headers=self._headers(request_id)
            )
        text = "".join(chunk_text(request_id, seq) for seq in range(chat.max_tokens))
        answer = {
            "id": request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": chat.model,
            "choices": [
                {"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}
            ],
            "usage": _usage(chat, chat.max_tokens),
        }
        return web.json_response(answer, headers=self._headers(request_id))

    async def _stream(
        self, http_request: web.Request, chat: _ChatRequest, request_id: RequestId, plan: ResponsePlan
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**self._headers(request_id), "Content-Type": "text/event-stream"}
        )
        await response.prepare(http_request)
        if plan.fault is ResponseFault.GARBAGE:
            await response.write(b"data: {not json\n\n")
            return response
        route = RouteName(chat.model)
        for seq in range(chat.max_tokens):
            if seq:
                await asyncio.sleep(self.model.chunk_gap_s(route, self._clock()))
            if self.unresponsive:
                await asyncio.Event().wait()
            if plan.fault is ResponseFault.CUT and seq >= plan.cut_after:
                self._abort_connection(http_request)
                return response
            await response.write(self._chunk(chat, request_id, seq))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _chunk(self, chat: _ChatRequest, request_id: RequestId, seq: int) -> bytes:
        last = seq == chat.max_tokens - 1
        choice = {
            "index": 0,
            "delta": {"content": chunk_text(request_id, seq)},
            "finish_reason": "stop" if last else None,
        }
        chunk: dict[str, object] = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": chat.model,
            "seq": seq,
            "choices": [choice],
        }
        if last:
            chunk["usage"] = _usage(chat, seq + 1)
        return b"data: " + json.dumps(chunk, separators=(",", ":")).encode() + b"\n\n"

    def _abort_connection(self, http_request: web.Request) -> None:
        if http_request.transport is not None:
            http_request.transport.abort()

    def _headers(self, request_id: RequestId) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Engine-Id": self.identity.engine,
            "X-Engine-Version": self.identity.version,
        }
