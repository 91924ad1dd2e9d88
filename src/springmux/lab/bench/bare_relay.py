"""Baseline for the cost of the data plane: a relay that makes no decisions.

It consists of an aiohttp server and an aiohttp client that reuse connections as a node does, but it has no
keys, limits, routing, checks, records or retries. Run it with
``python -m springmux.lab.bench.bare_relay LISTEN TARGET``.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import aiohttp
from aiohttp import web

MAX_BODY_BYTES = 8 << 20
_HOP_HEADERS = frozenset({"connection", "content-length", "host", "keep-alive", "transfer-encoding"})
"""Headers of one connection (RFC 9110, section 7.6.1), and headers that the HTTP client sets itself."""


class BareRelay:
    """Forwards every request to one back end."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Forward one request; stream the response back chunk by chunk."""
        body = await request.read()
        headers = {name: value for name, value in request.headers.items() if _is_forwarded(name)}
        url = f"http://{self._target}{request.path_qs}"
        async with self._session.request(request.method, url, data=body, headers=headers) as upstream:
            response_headers = {
                name: value for name, value in upstream.headers.items() if _is_forwarded(name)
            }
            if upstream.content_length is not None:
                return web.Response(
                    status=upstream.status, body=await upstream.read(), headers=response_headers
                )
            response = web.StreamResponse(status=upstream.status, headers=response_headers)
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    async def close(self) -> None:
        """Close the connections to the back end."""
        await self._session.close()


def _is_forwarded(header: str) -> bool:
    return header.lower() not in _HOP_HEADERS


async def serve(listen: str, target: str) -> None:
    """Run until SIGTERM or SIGINT."""
    relay = BareRelay(target)
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application.router.add_route("*", "/{path:.*}", relay.relay)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, port = listen.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await runner.cleanup()
    await relay.close()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2]))
