"""A scripted admin server in a thread, and a runner of the command line."""

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

DEAD_ADMIN = "127.0.0.1:1"
"""Port 1 of loopback: nothing listens there."""


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
    """Responses by ``METHOD path``; a list in turn, its last again. ``None``: close the connection."""

    answers: dict[str, Any]
    address: str = ""
    requests: list[RecordedRequest] = field(default_factory=list)

    def next_answer(self, name: str) -> Any:
        answer = self.answers.get(name, (404, {"error": {"code": "not_found", "message": "none"}}))
        if isinstance(answer, list):
            return answer.pop(0) if len(answer) > 1 else answer[0]
        return answer


@contextmanager
def scripted_admin(answers: dict[str, Any]) -> Iterator[ScriptedAdmin]:
    """Run a scripted admin server."""
    admin = ScriptedAdmin(answers)

    class Handler(BaseHTTPRequestHandler):
        def _any(self) -> None:
            data = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            body = json.loads(data) if data else None
            order_id, operator = self.headers.get("X-Order-Id"), self.headers.get("X-Operator")
            if_match = self.headers.get("If-Match")
            admin.requests.append(
                RecordedRequest(self.command, self.path, order_id, operator, body, if_match)
            )
            answer = admin.next_answer(f"{self.command} {self.path}")
            if answer is None:
                self.close_connection = True
                return
            status, document = answer
            raw = b"" if document is None else json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(raw)))
            self.end_headers()
            self.wfile.write(raw)

        do_GET = do_PUT = do_POST = do_PATCH = do_DELETE = _any

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
    """Run the command line."""
    return CliRunner().invoke(application, list(arguments), input=stdin)
