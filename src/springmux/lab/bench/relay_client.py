"""Load client that measures the data plane; runs as a process and prints its result as JSON."""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp
import msgspec

ROUTE = "bench"
KEY = "springmux-bench-key"
_REQUEST_TIMEOUT_S = 30.0


class ClientPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to send, at most ``concurrency`` at a time. ``rate_per_s`` 0: as fast as possible."""

    address: str
    requests: int
    chunks: int
    stream: bool
    concurrency: int = 8
    rate_per_s: float = 0.0
    prompt_bytes: int = 200


class ClientResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a plan. ``complete``: number of responses with status 200 and their end marker."""

    complete: int
    failed: int
    seconds: float


class RelayClient:
    """Sends the requests of a plan."""

    def __init__(self, plan: ClientPlan) -> None:
        self._plan = plan
        self._next_number = 0
        self._complete = 0
        self._failed = 0

    async def run(self) -> ClientResult:
        """Send all requests and count the responses."""
        began = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await asyncio.gather(*(self._run_worker(session, began) for _ in range(self._plan.concurrency)))
        return ClientResult(complete=self._complete, failed=self._failed, seconds=time.monotonic() - began)

    async def _run_worker(self, session: aiohttp.ClientSession, began: float) -> None:
        while self._next_number < self._plan.requests:
            number = self._next_number
            self._next_number += 1
            if self._plan.rate_per_s:
                due_at = began + number / self._plan.rate_per_s
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            try:
                complete = await self._send(session, number)
            except (aiohttp.ClientError, TimeoutError):
                complete = False
            self._complete += complete
            self._failed += not complete

    async def _send(self, session: aiohttp.ClientSession, number: int) -> bool:
        plan = self._plan
        body = {
            "model": ROUTE,
            "messages": [{"role": "user", "content": f"{number} ".ljust(plan.prompt_bytes, "x")}],
            "stream": plan.stream,
            "max_tokens": plan.chunks,
        }
        headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": f"bench-{number}"}
        url = f"http://{plan.address}/v1/chat/completions"
        async with session.post(url, data=msgspec.json.encode(body), headers=headers) as response:
            data = await response.read()
            complete = data.endswith(b"data: [DONE]\n\n") if plan.stream else data.endswith(b"}")
            return response.status == 200 and complete


if __name__ == "__main__":
    client_plan = msgspec.json.decode(sys.argv[1], type=ClientPlan)
    sys.stdout.buffer.write(msgspec.json.encode(asyncio.run(RelayClient(client_plan).run())))
