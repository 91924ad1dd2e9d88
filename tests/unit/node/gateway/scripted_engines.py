"""Scripted engines, and an event loop in virtual time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from springmux.node.http.types import ExchangeFailedError, FailureKind, Header, RequestHead, ResponseHead

ID: Header = (b"x-request-id", b"r1")
SEAL = b"x-answer-seal"


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the virtual time by each timeout instead of waiting."""

    now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no callback is ready")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time for tests without sockets: timers fire in order, and no real time passes."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(scenario)


def now() -> float:
    return asyncio.get_running_loop().time()


class Pause(msgspec.Struct, frozen=True):
    """Step in which the engine sends nothing for ``seconds``."""

    seconds: float


FOREVER = Pause(1e6)
Step = ResponseHead | bytes | FailureKind | Pause
Script = Sequence[Step]


def response_head(
    status: int, *headers: Header, seal: bytes | None = b"s1", length: int | None = None
) -> ResponseHead:
    """Return the head of an engine's response; ``seal=None`` omits the seal header."""
    own = ((SEAL, seal),) if seal is not None else ()
    return ResponseHead(status, (ID, *own, *headers), None, True)


def stream_events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(first, last + 1))


DECLINE = (response_head(503, (b"x-not-executed", b"1"), seal=None), b"full")
COMPLETE_RESPONSE = (response_head(200), b"whole")


class ScriptedExchange:
    """An exchange that follows one engine's script. After the last step the response ends regularly."""

    def __init__(self, script: Script) -> None:
        self._steps = list(script)
        self.ended_at: float | None = None
        self.aborted = False
        self.released = False

    async def head(self) -> ResponseHead:
        step = await self._next()
        assert isinstance(step, ResponseHead)
        return step

    async def read(self) -> bytes:
        step = await self._next()
        assert not isinstance(step, ResponseHead)
        return step

    def release(self) -> None:
        self.released = True
        self.ended_at = now()

    def abort(self) -> None:
        self.aborted = True
        self.ended_at = now()

    async def _next(self) -> ResponseHead | bytes:
        while self._steps:
            step = self._steps.pop(0)
            if isinstance(step, Pause):
                await asyncio.sleep(step.seconds)
            elif isinstance(step, FailureKind):
                raise ExchangeFailedError(step)
            else:
                return step
        return b""


class SentRequest(msgspec.Struct, frozen=True):
    """A request as an engine received it."""

    address: str
    head: RequestHead
    body: bytes
    at: float
    exchange: ScriptedExchange


class ScriptedClient:
    """Implements EngineClient. The n-th attempt follows the n-th script, which may fail the connection."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.attempted_addresses: list[str] = []
        self.sent: list[SentRequest] = []

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> ScriptedExchange:
        self.attempted_addresses.append(address)
        assert self.scripts, "more attempts than scripts"
        script = list(self.scripts.pop(0))
        if script and script[0] is FailureKind.UNRESPONSIVE:
            await asyncio.sleep(connect_timeout_s)  # the connection is not established in time
            raise ExchangeFailedError(FailureKind.CONNECT)
        if script and script[0] in (FailureKind.CONNECT, FailureKind.NOT_SENT):
            raise ExchangeFailedError(FailureKind(script[0]))
        exchange = ScriptedExchange(script)
        self.sent.append(SentRequest(address, head, body, now(), exchange))
        return exchange

    def close(self) -> None: ...
