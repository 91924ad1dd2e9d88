"""Scripted engines, on a loop whose clock passes without waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from springmux.node.http.types import ExchangeFailedError, FailureKind, Header, RequestHead, ResponseHead

ID: Header = (b"x-request-id", b"r1")
SEAL = b"x-answer-seal"


class _PassingSelector(selectors.DefaultSelector):
    """Does not wait: the time that it would have waited has passed."""

    passed_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class PassingLoop(asyncio.SelectorEventLoop):
    """A loop for tests without sockets: timers fire in their order, and no real time passes."""

    def __init__(self) -> None:
        self._passing = _PassingSelector()
        super().__init__(self._passing)

    def time(self) -> float:
        return self._passing.passed_s


def play(story: Coroutine[Any, Any, None]) -> None:
    """Run a transcript on a passing clock."""
    with asyncio.Runner(loop_factory=PassingLoop) as runner:
        runner.run(story)


def now() -> float:
    return asyncio.get_running_loop().time()


class Pause(msgspec.Struct, frozen=True):
    """The engine is silent for so long."""

    seconds: float


FOREVER = Pause(1e6)
Step = ResponseHead | bytes | FailureKind | Pause
Script = Sequence[Step]


def answer(
    status: int, *headers: Header, seal: bytes | None = b"s1", length: int | None = None
) -> ResponseHead:
    """Return an engine's head."""
    own = ((SEAL, seal),) if seal is not None else ()
    return ResponseHead(status, (ID, *own, *headers), None, True)


def events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(first, last + 1))


DECLINE = (answer(503, (b"x-not-executed", b"1"), seal=None), b"full")
WHOLE = (answer(200), b"whole")


class ScriptedExchange:
    """One engine's side of a script; what follows its last step is the proper end."""

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


class Sent(msgspec.Struct, frozen=True):
    """A request as an engine got it."""

    address: str
    head: RequestHead
    body: bytes
    at: float
    exchange: ScriptedExchange


class ScriptedClient:
    """Implements EngineClient. The n-th try follows the n-th script; a script may fail the connection."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.tried: list[str] = []
        self.sent: list[Sent] = []

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> ScriptedExchange:
        self.tried.append(address)
        assert self.scripts, "an engine too many"
        script = list(self.scripts.pop(0))
        if script and script[0] is FailureKind.UNRESPONSIVE:
            await asyncio.sleep(connect_timeout_s)  # a connection that does not come up
            raise ExchangeFailedError(FailureKind.CONNECT)
        if script and script[0] in (FailureKind.CONNECT, FailureKind.NOT_SENT):
            raise ExchangeFailedError(FailureKind(script[0]))
        exchange = ScriptedExchange(script)
        self.sent.append(Sent(address, head, body, now(), exchange))
        return exchange

    def close(self) -> None: ...
