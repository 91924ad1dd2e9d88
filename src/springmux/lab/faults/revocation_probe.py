"""Probe of a key's revocation: one stream and one keep-alive connection that use the key."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from http import HTTPStatus

import aiohttp

from springmux.lab.records import RevocationRecord

FIRST_CHUNK_TIMEOUT_S = 5.0
OBSERVATION_S = 6.0
LONG_RESPONSE_TOKENS = 600
"""At 12 to 22 ms a chunk the stream outlasts the probe."""
REFUSAL_POLL_S = 0.05
TAIL_BYTES = 4096
"""Bytes of the stream's end that are searched; enough for an error event and the chunks before it."""


class RevocationProbe:
    """Keeps a stream and a connection open with a key that is about to be revoked."""

    def __init__(self, url: str, route: str, key: str) -> None:
        self._url = url
        self._route = route
        self._headers = {"Authorization": f"Bearer {key}"}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=30.0)
        )
        self._stream: asyncio.Task[float | None] | None = None
        self._stream_started = asyncio.Event()

    async def begin(self) -> None:
        """Start the stream; return once its first bytes have arrived."""
        self._stream = asyncio.create_task(self._read_stream())
        async with asyncio.timeout(FIRST_CHUNK_TIMEOUT_S):
            await self._stream_started.wait()

    async def observe(self, acknowledged_at_s: float) -> RevocationRecord:
        """Return when the revocation took effect on the stream and on the keep-alive connection."""
        assert self._stream is not None
        refused_after_s = await self._poll_refusal(acknowledged_at_s)
        try:
            ended_at_s = await asyncio.wait_for(self._stream, OBSERVATION_S)
        except TimeoutError:
            ended_at_s = None
        ended_after_s = None if ended_at_s is None else max(0.0, ended_at_s - acknowledged_at_s)
        return RevocationRecord(acknowledged_at_s, ended_after_s, refused_after_s)

    async def close(self) -> None:
        """Cancel the stream and close the connections."""
        if self._stream is not None:
            self._stream.cancel()
            await asyncio.gather(self._stream, return_exceptions=True)
        await self._session.close()

    def _body(self, tokens: int) -> bytes:
        messages = [{"role": "user", "content": "one short text"}]
        return json.dumps(
            {"model": self._route, "messages": messages, "stream": True, "max_tokens": tokens}
        ).encode()

    async def _read_stream(self) -> float | None:
        """Return the time at which the stream ended with an error event; ``None`` if it ended otherwise."""
        body = self._body(LONG_RESPONSE_TOKENS)
        while True:
            async with self._session.post(self._url, data=body, headers=self._headers) as response:
                if response.status == HTTPStatus.OK:
                    return await self._read_to_error(response)
            # The node is not ready, or the quota is used up. Retry, because the probe needs a stream.
            await asyncio.sleep(REFUSAL_POLL_S)

    async def _read_to_error(self, response: aiohttp.ClientResponse) -> float | None:
        data = b""
        # The connection closes right after an error event, so the body is incomplete.
        with contextlib.suppress(aiohttp.ClientPayloadError):
            async for chunk in response.content.iter_any():
                data = data[-TAIL_BYTES:] + chunk
                self._stream_started.set()
        return time.monotonic() if b"event: error" in data and b"[DONE]" not in data else None

    async def _poll_refusal(self, acknowledged_at_s: float) -> float | None:
        while time.monotonic() < acknowledged_at_s + OBSERVATION_S:
            async with self._session.post(self._url, data=self._body(1), headers=self._headers) as response:
                await response.read()
                if response.status == HTTPStatus.UNAUTHORIZED:
                    return time.monotonic() - acknowledged_at_s
            await asyncio.sleep(REFUSAL_POLL_S)
        return None
