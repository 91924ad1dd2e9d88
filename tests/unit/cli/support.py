"""A scripted admin server in a thread, and a function that runs the command line."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from click.testing import Result
from typer.testing import CliRunner

from springmux.cli.main import application

UNREACHABLE_ADMIN = "127.0.0.1:1"
"""Port 1 of the loopback address, where nothing listens."""


@dataclass
class RecordedRequest:
    """One request that the scripted server received."""

    method: str
    path: str
    order_id: str | None
    operator: str | None
    body: Any
    if_match: str | None = None


@dataclass
class ScriptedAdmin:
    """Responses by ``METHOD path``. A list is served in order and its last response repeats.

    ``None`` closes the connection without a response.
    """

    responses: dict[str, Any]
    address: str = ""
    requests: list[RecordedRequest] = field(default_factory=list)

    def next_response(self, name: str) -> Any:
        response = self.responses.get(name, (404, {"error": {"code": "not_found", "message": "none"}}))
        if isinstance(response, list):
            return response.pop(0) if len(response) > 1 else response[0]
        return response


@contextmanager
def scripted_admin(responses: dict[str, Any]) -> Iterator[ScriptedAdmin]:
    """Run a scripted admin server in a thread until the context ends."""
    admin = ScriptedAdmin(responses)

    class Handler(BaseHTTPRequestHandler):
        def _respond(self) -> None:
            data = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            body = json.loads(data) if data else None
            order_id, operator = self.headers.get("X-Order-Id"), self.headers.get("X-Operator")
            if_match = self.headers.get("If-Match")
            admin.requests.append(
                RecordedRequest(self.command, self.path, order_id, operator, body, if_match)
            )
            response = admin.next_response(f"{self.command} {self.path}")
            if response is None:
                self.close_connection = True
                return
            status, document = response
            body_bytes = b"" if document is None else json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(body_bytes)))
            self.end_headers()
            self.wfile.write(body_bytes)

        do_GET = do_PUT = do_POST = do_PATCH = do_DELETE = _respond

        def log_message(self, format: str, *args: Any) -> None: ...

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    admin.address = f"127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True)
    thread.start()
    try:
        yield admin
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def run(*arguments: str, stdin: str | None = None) -> Result:
    """Run the command line in this process and return its result."""
    return CliRunner().invoke(application, list(arguments), input=stdin)
