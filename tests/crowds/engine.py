"""A back end of the crowds' requests: it holds some of them, and responds to the others at once."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re

from tests.crowds.processes import HOST, SystemProcess, send_until_accepted

SERVICE = "crowded"
HELD_PATH, LARGE_PATH, ORDINARY_PATH = b"/held/", b"/large/", b"/ordinary/"
LARGE_BODY = b"x" * (1 << 20)
SLOTS = 4000
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_ID = re.compile(rb"\r\nx-request-id: *([^\r]*)", re.IGNORECASE)


class HoldingEngine:
    """An engine. ``received_bytes`` has the body sizes of the requests on the ordinary path."""

    def __init__(self) -> None:
        self.received_bytes: list[int] = []
        self.held = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=SLOTS, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def end(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()

    async def register(self, system: SystemProcess) -> None:
        """Report the engine to the process."""
        heartbeat = {"service": SERVICE, "address": self.address, "slots": SLOTS, "zone": "z1", "sequence": 1}
        body = json.dumps(heartbeat).encode()
        await send_until_accepted(system.ports.control, "PUT", "/v1/gateway/engines/e1", body)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
                while True:
                    await self._serve_one(reader, writer)
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ", 2)[1]
        length = _LENGTH.search(head)
        size_bytes = int(length[1]) if length is not None else 0
        body = await reader.readexactly(size_bytes)
        if path.startswith(HELD_PATH):
            self.held += 1
            await reader.read(1)  # until the gateway gives the request up
            raise ConnectionResetError
        if path.startswith(ORDINARY_PATH):
            self.received_bytes.append(len(body))
        response = LARGE_BODY if path.startswith(LARGE_PATH) else b"ok"
        request_id = _ID.search(head)
        echoed = request_id[1] if request_id is not None else b""
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nx-answer-seal: s\r\nx-request-id: %b\r\n\r\n%b"
            % (len(response), echoed, response)
        )
        await writer.drain()
